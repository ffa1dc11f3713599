//! Real senders are killed and told to end where repeats are dropped for one second only.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::thread;
use std::time::Duration;

use cranehill_scenario_runner::{Limits, Outcome, Plan, play, report};
use cranehill_simulation::audit::{Answer, AuditEvent, DeliveryOutcome, Rule, Verdict};
use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::scenario;

const SEED: u64 = 1;
/// Of the day's classes, the one that may be repeated at any time, and its ends by SIGKILL.
const SAFE: usize = 1;
const KILLS: usize = 4;
/// What is reported so long before its time is over, or later, had no chance any more.
const SOON_OVER: Duration = Duration::from_millis(100);

fn played(by_steps: bool) -> Outcome {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals/days/short-window.toml");
    let text = std::fs::read_to_string(path).expect("a file");
    let mut scenario = scenario::parse(&text, SEED).expect("a good day");
    if by_steps {
        let period = Duration::from_millis(500);
        let (round_trip, hold) = (Duration::from_millis(150), Duration::from_secs(10));
        scenario.fleet = Some(Fleet {
            period,
            round_trip,
            hold,
            recovery: true,
            ..Fleet::default()
        });
    }
    let program = env!("CARGO_BIN_EXE_cranehill").into();
    let limits = Limits::default();
    let plan = Plan {
        scenario,
        seed: SEED,
        program,
        limits,
        mutation: None,
        against: None,
    };
    play(&plan, |_, _| {}).expect("it plays")
}

/// Messages that were accepted, may go at any time and were reported with time left: those that nothing was seen of at the
/// destinations, and those that may be repeated without end.
#[derive(Debug, Default)]
struct Lost {
    repeatable: Vec<String>,
    untried: Vec<String>,
}

fn lost_by_caution(outcome: &Outcome) -> Lost {
    let (mut times, mut accepted, mut may_have_run) =
        (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    let mut lost = Lost::default();
    for line in &outcome.lines {
        match &line.event {
            AuditEvent::Submitted {
                id,
                class,
                time_to_live,
                ..
            } => {
                times
                    .entry(id.clone())
                    .or_insert((line.at + *time_to_live, *class));
            }
            AuditEvent::Answered {
                id,
                answer: Answer::Accepted,
            } => {
                accepted.insert(id.clone());
            }
            AuditEvent::Called { ids, .. } => may_have_run.extend(ids.iter().cloned()),
            AuditEvent::Replied { outcomes, .. } => {
                for (id, _) in outcomes
                    .iter()
                    .filter(|(_, delivery_outcome)| *delivery_outcome == DeliveryOutcome::Busy)
                {
                    may_have_run.remove(id);
                }
            }
            AuditEvent::Reported { id, .. } if accepted.contains(id) => {
                let Some((over, class)) = times
                    .get(id)
                    .filter(|(over, _)| line.at + SOON_OVER < *over)
                else {
                    continue;
                };
                let what = format!("{id} at {:?}, its time was over at {over:?}", line.at);
                if *class == SAFE {
                    lost.repeatable.push(what);
                } else if !may_have_run.contains(id) {
                    lost.untried.push(what);
                }
            }
            _ => {}
        }
    }
    lost
}

/// All at once, as the platform has it, and by steps. The auditor judges the repeats; what is lost by caution is read off the wire.
#[test]
fn restarts_respect_a_one_second_window_and_lose_nothing_deliverable() {
    thread::scope(|scope| {
        for by_steps in [false, true] {
            scope.spawn(move || {
                let outcome = played(by_steps);
                let table =
                    report::table(&format!("by steps: {by_steps}"), SEED, &outcome).join("\n");
                assert!(outcome.holds(), "{table}");
                let repeats = outcome
                    .verdicts
                    .iter()
                    .find(|(rule, _)| *rule == Rule::Repeats);
                assert!(
                    !matches!(repeats, Some((_, Verdict::Kept { cases: 0 }))),
                    "no repeat: {table}"
                );
                let lost = lost_by_caution(&outcome);
                assert!(lost.repeatable.is_empty(), "{lost:?}\n{table}");
                // A kill may come between an attempt's record and its bytes: the next process has to take it for one that ran.
                assert!(lost.untried.len() <= KILLS, "{lost:?}\n{table}");
                println!("by steps: {by_steps}: {lost:?}");
            });
        }
    });
}
