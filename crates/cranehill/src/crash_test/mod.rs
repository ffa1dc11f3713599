//! `cranehill crash-test`: a real sender under load is killed at random instants, again and again over one folder.
//!
//! What destinations and the platform received is compared with what the sender has accepted. With flips, a byte of
//! its journal is changed between two processes.

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
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..))]
    kills: u32,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Flip a byte of the journal after each so many kills; 0 for never.
    #[arg(long, default_value_t = 0, value_name = "KILLS")]
    flip_every: u32,
    /// Megabytes that the journal's folder may hold.
    #[arg(long, default_value_t = 0.5)]
    disk_mb: f64,
}

/// Plays the kills and prints the outcome; `Failed` if the sender broke a promise.
pub fn run(args: &CrashTestArgs) -> Result<Verdict, CrashTestError> {
    let plan = Plan {
        program: current_program()?,
        kills: args.kills,
        seed: args.seed,
        flip_every: args.flip_every,
        disk_mb: args.disk_mb,
    };
    let bar = ProgressBar::new(u64::from(args.kills));
    let outcome = play(&plan, |done| bar.set_position(u64::from(done)))?;
    bar.finish_and_clear();
    println!("seed {}, {} MB", args.seed, args.disk_mb);
    outcome.lines().iter().for_each(|line| println!("{line}"));
    let holds = outcome.holds();
    println!("{}", if holds { "holds" } else { "BROKEN" });
    Ok(Verdict::passed_if(holds))
}
