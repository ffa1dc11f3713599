//! Plays a build with mutations: each one must break the rule that it is about.

use std::path::Path;

use cranehill_scenario_runner::mutations::{CASES, Case};
use cranehill_scenario_runner::{Outcome, Plan, play, report};

use super::arguments::RehearseArgs;
use super::error::RehearseError;
use super::plans::built_in_plan;
use super::queue::{play_all, print_table};
use crate::verdict::Verdict;

/// Plays each mutation of `mutated_program` on its scenario, and this program on the same scenarios.
///
/// `Failed` if a mutation is not caught by its rule, or if this program breaks a rule.
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
            None => check_sound(plan, &outcome),
        };
        Ok(())
    })?;
    Ok(Verdict::passed_if(passed))
}

/// Prints whether a program without mutations breaks no rule.
fn check_sound(plan: &Plan, outcome: &Outcome) -> bool {
    let holds = outcome.holds();
    if !holds {
        print_table(plan, outcome);
    }
    let verdict = if holds { "passes" } else { "BREAKS A RULE" };
    println!("{:<18} {verdict}", "sound");
    holds
}

/// Prints whether a mutation was caught by its rule.
fn check_mutation(case: &Case, plan: &Plan, first: Outcome) -> Result<bool, RehearseError> {
    let is_caught = |outcome: &Outcome| report::broken(outcome).contains(&case.rule);
    // An overloaded machine gives no verdict: play it again, alone.
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
