//! 2, 20 and 30 real senders call one destination again after its outage. Some were restarted
//! meanwhile, and some had no failed call to it.

use std::collections::BTreeSet;
use std::thread;

use cranehill_fleet_harness::scenario;
use cranehill_scenario_runner::{Limits, Outcome, Plan, play, report};
use cranehill_simulation::audit::{AuditEvent, Rule, Verdict};
use cranehill_simulation::scenario;

const SEED: u64 = 1;
/// The number of the destination with the outage.
const COLD_DESTINATION: u64 = 0;

fn run_scenario(senders: usize) -> Outcome {
    let text = scenario("cold-return").expect("a built-in scenario");
    let scenario = scenario::parse_for(text, SEED, Some(senders)).expect("scenario is valid");
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

/// The senders that called the destination after its outage, and those of them that had a failed call to it before.
fn senders_after_outage(outcome: &Outcome) -> (BTreeSet<usize>, BTreeSet<usize>) {
    let (mut recovered, mut callers, mut with_failures) = (false, BTreeSet::new(), BTreeSet::new());
    for line in &outcome.lines {
        match &line.event {
            AuditEvent::Back { .. } => recovered = true,
            AuditEvent::Broke {
                destination: COLD_DESTINATION,
                ..
            } if !recovered => with_failures.extend(line.sender),
            AuditEvent::Called {
                destination: COLD_DESTINATION,
                ..
            } if recovered => callers.extend(line.sender),
            _ => {}
        }
    }
    let callers_with_failures = callers.intersection(&with_failures).copied().collect();
    (callers, callers_with_failures)
}

/// Guards a cold destination against the sum of all senders: more senders must not mean more calls. The auditor checks this
/// from the recorded traffic alone.
#[test]
fn senders_together_do_not_overload_a_cold_destination() {
    thread::scope(|scope| {
        for senders in [2, 20, 30] {
            scope.spawn(move || {
                let outcome = run_scenario(senders);
                let table = report::table(&format!("{senders} senders"), SEED, &outcome).join("\n");
                assert!(outcome.holds(), "{table}");
                let verdict = outcome
                    .verdicts
                    .iter()
                    .find(|(rule, _)| *rule == Rule::Return);
                let has_cases =
                    matches!(verdict, Some((_, Verdict::Kept { cases })) if *cases > 50);
                assert!(has_cases, "too few calls to a cold destination: {table}");
                let (callers, with_failures) = senders_after_outage(&outcome);
                assert!(
                    !with_failures.is_empty(),
                    "{senders} senders: no caller had a failed call before: {table}"
                );
                let without_failures = callers.len() - with_failures.len();
                assert!(
                    senders == 2 || without_failures > 0,
                    "{senders} senders: every caller had a failed call before: {table}"
                );
            });
        }
    });
}
