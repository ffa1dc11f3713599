//! Checks the auditor: each mutation of a build must violate the rule that is meant to detect it.

use std::path::Path;

use cranehill_scenario_runner::mutations::{CASES, Case};
use cranehill_scenario_runner::{Outcome, Plan, play, report};

use super::arguments::RehearseArgs;
use super::error::RehearseError;
use super::plans::built_in_plan;
use super::queue::{play_all, print_table};
use crate::verdict::Verdict;

/// Runs each mutation of `mutated_program` on its scenario, and this program on the same scenarios.
///
/// `Failed` if a mutation does not violate its rule, or if this program violates a rule.
pub(super) fn run(mutated_program: &Path, args: &RehearseArgs) -> Result<Verdict, RehearseError> {
    let mut scenarios: Vec<&str> = CASES.iter().map(|case| case.scenario).collect();
    scenarios.sort_unstable();
    scenarios.dedup();
    let mut plans = Vec::new();
    for text in &scenarios {
        plans.push(built_in_plan(text, args.seed, args)?);
    }
    for case in CASES {
        plans.push(Plan {
            program: mutated_program.to_owned(),
            mutation: Some(case.name.into()),
            ..built_in_plan(case.scenario, args.seed, args)?
        });
    }
    let mut passed = true;
    play_all(&plans, args.jobs.into(), |index, outcome| {
        let plan = &plans[index];
        passed &= match index.checked_sub(scenarios.len()) {
            Some(case) => check_mutation(&CASES[case], plan, outcome)?,
            None => check_unmutated(plan, &outcome),
        };
        Ok(())
    })?;
    Ok(Verdict::passed_if(passed))
}

/// Prints whether this program, without a mutation, passes a scenario; with the table of rules if not.
fn check_unmutated(plan: &Plan, outcome: &Outcome) -> bool {
    let holds = outcome.holds();
    if !holds {
        print_table(plan, outcome);
    }
    let verdict = if holds { "passes" } else { "BREAKS A RULE" };
    println!("{:<18} {verdict}", "sound");
    holds
}

/// Prints whether a mutation violated its rule.
fn check_mutation(case: &Case, plan: &Plan, first: Outcome) -> Result<bool, RehearseError> {
    let is_caught = |outcome: &Outcome| report::broken(outcome).contains(&case.rule);
    // On an overloaded machine the rule may not have been checked: run the scenario again, with no other in parallel.
    let outcome = if !is_caught(&first) && first.unclear() {
        play(plan, |_, _| {})?
    } else {
        first
    };
    let caught = is_caught(&outcome);
    let broken: Vec<&str> = report::broken(&outcome)
        .iter()
        .map(|rule| rule.description())
        .collect();
    let verdict = if caught { "caught" } else { "NOT CAUGHT" };
    println!(
        "{:<18} {verdict} in {:.1} s; broken: {}",
        case.name,
        outcome.lasted.as_secs_f64(),
        broken.join("; ")
    );
    Ok(caught)
}
