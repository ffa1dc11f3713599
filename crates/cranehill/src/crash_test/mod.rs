//! `cranehill crash-test`: kills a real sender under load at random instants and restarts it with the same folder.
//!
//! What destinations and the platform received is compared with what the sender accepted. With `--flip-every`, a byte
//! of the journal is changed after some of the kills.

mod client;
mod delivery_log;
mod error;
mod outcome;
mod player;
mod sender_process;
mod servers;
mod settings;

use indicatif::ProgressBar;

use crate::input::current_program;
use crate::verdict::Verdict;
pub use error::CrashTestError;
pub use outcome::Outcome;
pub use player::{Plan, play};

/// The arguments of `crash-test`.
#[derive(Clone, Debug, clap::Args)]
pub struct CrashTestArgs {
    /// Number of kills.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..))]
    kills: u32,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Change a byte of the journal after every KILLS kills; 0 for never.
    #[arg(long, default_value_t = 0, value_name = "KILLS")]
    flip_every: u32,
    /// Size limit of the journal's folder in MB.
    #[arg(long, default_value_t = 0.5)]
    disk_mb: f64,
}

/// Runs the test and prints the outcome; `Failed` if the sender violated a rule.
///
/// # Errors
/// If a simulated server, the folder or a sender can't be started or used.
pub fn run(args: &CrashTestArgs) -> Result<Verdict, CrashTestError> {
    let plan = Plan {
        program: current_program()?,
        kills: args.kills,
        seed: args.seed,
        flip_every: args.flip_every,
        disk_mb: args.disk_mb,
    };
    let progress_bar = ProgressBar::new(u64::from(args.kills));
    let outcome = play(&plan, |done| progress_bar.set_position(u64::from(done)))?;
    progress_bar.finish_and_clear();
    println!("seed {}, {} MB", args.seed, args.disk_mb);
    outcome.lines().iter().for_each(|line| println!("{line}"));
    let holds = outcome.holds();
    println!("{}", if holds { "holds" } else { "BROKEN" });
    Ok(Verdict::passed_if(holds))
}
