//! Real senders are killed or terminated while destinations drop repeats for one second only.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::thread;
use std::time::Duration;

use cranehill_scenario_runner::{Limits, Outcome, Plan, play, report};
use cranehill_simulation::audit::{Answer, AuditEvent, DeliveryOutcome, Rule, Verdict};
use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::scenario;

const SEED: u64 = 1;
/// The index of the scenario's class that may be repeated at any time, and the number of SIGKILLs in the scenario.
const REPEATABLE_CLASS: usize = 1;
const KILLS: usize = 4;
/// A message reported less than this before its deadline, or later, could not have been delivered any more.
const EXPIRY_MARGIN: Duration = Duration::from_millis(100);

fn run_scenario(recovery_in_steps: bool) -> Outcome {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals/days/short-window.toml");
    let text = std::fs::read_to_string(path).expect("scenario file read");
    let mut scenario = scenario::parse(&text, SEED).expect("scenario is valid");
    if recovery_in_steps {
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
    play(&plan, |_, _| {}).expect("scenario run completed")
}

/// Accepted messages that were reported with time left although an attempt was allowed: those that may be repeated at any time,
/// and those that no destination can have executed.
#[derive(Debug, Default)]
struct NeedlesslyReported {
    repeatable: Vec<String>,
    not_executed: Vec<String>,
}

fn find_needlessly_reported(outcome: &Outcome) -> NeedlesslyReported {
    let (mut deadlines, mut accepted, mut possibly_executed) =
        (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    let mut needless = NeedlesslyReported::default();
    for line in &outcome.lines {
        match &line.event {
            AuditEvent::Submitted {
                id,
                class,
                time_to_live,
                ..
            } => {
                deadlines
                    .entry(id.clone())
                    .or_insert((line.at + *time_to_live, *class));
            }
            AuditEvent::Answered {
                id,
                answer: Answer::Accepted,
            } => {
                accepted.insert(id.clone());
            }
            AuditEvent::Called { ids, .. } => possibly_executed.extend(ids.iter().cloned()),
            AuditEvent::Replied { outcomes, .. } => {
                for (id, _) in outcomes
                    .iter()
                    .filter(|(_, delivery_outcome)| *delivery_outcome == DeliveryOutcome::Busy)
                {
                    possibly_executed.remove(id);
                }
            }
            AuditEvent::Reported { id, .. } if accepted.contains(id) => {
                let Some((deadline, class)) = deadlines
                    .get(id)
                    .filter(|(deadline, _)| line.at + EXPIRY_MARGIN < *deadline)
                else {
                    continue;
                };
                let description =
                    format!("{id} reported at {:?}, deadline at {deadline:?}", line.at);
                if *class == REPEATABLE_CLASS {
                    needless.repeatable.push(description);
                } else if !possibly_executed.contains(id) {
                    needless.not_executed.push(description);
                }
            }
            _ => {}
        }
    }
    needless
}

/// Restarts with recovery all at once, as on the platform, and in steps. The auditor checks the repeats; needlessly reported
/// messages are found from the recorded traffic.
#[test]
fn restarts_respect_a_one_second_window_and_lose_nothing_deliverable() {
    thread::scope(|scope| {
        for recovery_in_steps in [false, true] {
            scope.spawn(move || {
                let outcome = run_scenario(recovery_in_steps);
                let table = report::table(
                    &format!("recovery in steps: {recovery_in_steps}"),
                    SEED,
                    &outcome,
                )
                .join("\n");
                assert!(outcome.holds(), "{table}");
                let repeats = outcome
                    .verdicts
                    .iter()
                    .find(|(rule, _)| *rule == Rule::Repeats);
                assert!(
                    !matches!(repeats, Some((_, Verdict::Kept { cases: 0 }))),
                    "the rule on repeats had no case: {table}"
                );
                let needless = find_needlessly_reported(&outcome);
                assert!(needless.repeatable.is_empty(), "{needless:?}\n{table}");
                // A kill may fall between the record of an attempt and its request; the next process must then assume that it ran.
                assert!(
                    needless.not_executed.len() <= KILLS,
                    "{needless:?}\n{table}"
                );
                println!("recovery in steps: {recovery_in_steps}: {needless:?}");
            });
        }
    });
}
