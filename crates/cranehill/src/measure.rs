//! `cranehill measure`: searches for the highest rate that the senders sustain.

use std::path::Path;
use std::time::Duration;

use cranehill_scenario_runner::RunError;
use cranehill_scenario_runner::measure::{MeasureOptions, Step, highest, step};

use crate::input::{InputError, current_program};
use crate::verdict::Verdict;

/// The final step, at half of the highest rate, is this many times as long as the others.
const FINAL_STEP_FACTOR: u32 = 3;

/// The arguments of `measure`.
#[derive(Clone, Debug, clap::Args)]
pub struct MeasureArgs {
    /// Submit over Web Push instead of RESP2.
    #[arg(long)]
    push: bool,
    /// Endpoints of all simulated destinations together, two for each.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(2..=2000))]
    endpoints: u16,
    /// Number of senders that share the load.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=16))]
    senders: u16,
    /// Seconds for which each step submits messages.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=600))]
    seconds: u16,
    /// Run one step at this rate instead of the search.
    #[arg(long, value_name = "MESSAGES_A_SECOND", value_parser = clap::value_parser!(u32).range(1..=100_000))]
    rate: Option<u32>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The measurement can't be made.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The path of this program can't be determined.
    #[error(transparent)]
    Input(#[from] InputError),
    /// A step can't be run.
    #[error(transparent)]
    Run(#[from] RunError),
}

/// Measures and prints a line for each step; `Failed` if the lowest rate, or the one of `--rate`, is not sustained.
pub fn run(args: &MeasureArgs) -> Result<Verdict, MeasureError> {
    let program = current_program()?;
    let options = MeasureOptions {
        endpoints: args.endpoints.into(),
        senders: args.senders.into(),
        push: args.push,
        span: Duration::from_secs(args.seconds.into()),
        seed: args.seed,
    };
    println!("{}", Step::HEADING);
    match args.rate {
        Some(rate) => {
            let measured = step(&program, &options, f64::from(rate))?;
            print_step(&measured);
            Ok(Verdict::passed_if(measured.sustained()))
        }
        None => search(&program, &options),
    }
}

fn search(program: &Path, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
    let Some(best) = highest(program, options, print_step)? else {
        return Ok(Verdict::Failed);
    };
    println!(
        "highest sustained rate: {:.0}/s; at half of it, for a longer time:",
        best.rate
    );
    let longer = MeasureOptions {
        span: options.span * FINAL_STEP_FACTOR,
        ..*options
    };
    print_step(&step(program, &longer, best.rate / 2.0)?);
    Ok(Verdict::Passed)
}

fn print_step(step: &Step) {
    println!("{}", step.line());
    // A runner that was late itself may have caused these problems, so they are no evidence against the senders.
    if step.clear() {
        step.wrong.iter().for_each(|wrong| println!("    {wrong}"));
    }
}
