//! Two, twenty and thirty real senders return to one cold destination; some were restarted meanwhile, some never saw it fail.

use std::collections::BTreeSet;
use std::thread;

use cranehill_fleet_harness::scenario;
use cranehill_scenario_runner::{Limits, Outcome, Plan, play, report};
use cranehill_simulation::audit::{AuditEvent, Rule, Verdict};
use cranehill_simulation::scenario;

const SEED: u64 = 1;
/// The destination that fails.
const COLD: u64 = 0;

fn played(senders: usize) -> Outcome {
    let text = scenario("cold-return").expect("a scenario of the program");
    let scenario = scenario::parse_for(text, SEED, Some(senders)).expect("a good day");
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

/// Senders that called the destination once it was back, and those of them to which it had failed before.
fn returned(outcome: &Outcome) -> (BTreeSet<usize>, BTreeSet<usize>) {
    let (mut back, mut after, mut notified) = (false, BTreeSet::new(), BTreeSet::new());
    for line in &outcome.lines {
        match &line.event {
            AuditEvent::Back { .. } => back = true,
            AuditEvent::Broke {
                destination: COLD, ..
            } if !back => notified.extend(line.sender),
            AuditEvent::Called {
                destination: COLD, ..
            } if back => after.extend(line.sender),
            _ => {}
        }
    }
    let returned_notified = after.intersection(&notified).copied().collect();
    (after, returned_notified)
}

/// The bound is on the sum of all processes, so that more of them must not mean more calls. Judged by the auditor, which sees the
/// wire alone.
#[test]
fn senders_together_do_not_overload_a_cold_destination() {
    thread::scope(|scope| {
        for senders in [2, 20, 30] {
            scope.spawn(move || {
                let outcome = played(senders);
                let table = report::table(&format!("{senders} senders"), SEED, &outcome).join("\n");
                assert!(outcome.holds(), "{table}");
                let verdict = outcome
                    .verdicts
                    .iter()
                    .find(|(rule, _)| *rule == Rule::Return);
                let judged = matches!(verdict, Some((_, Verdict::Kept { cases })) if *cases > 50);
                assert!(judged, "too few calls to a cold destination: {table}");
                let (after, notified) = returned(&outcome);
                assert!(
                    !notified.is_empty(),
                    "{senders} senders: nobody had been told: {table}"
                );
                let never_saw = after.len() - notified.len();
                assert!(
                    senders == 2 || never_saw > 0,
                    "{senders} senders: all had been told: {table}"
                );
            });
        }
    });
}
