//! Plays a scenario: an event loop with all simulated servers on one thread and one clock.
//!
//! [`play`] starts the senders, waits until they are ready and runs the loop until the scenario is over. Every event on a connection
//! is recorded with the time at which it was noticed, and with how late that may have been.

mod clients;
mod clock;
mod connection;
mod connections;
mod destinations;
mod directory;
mod endpoint_listeners;
mod event_log;
mod event_loop;
mod fleet;
mod losses;
mod processes;
mod readiness;
mod replies;
mod schedule;
mod setup;
mod state;
mod timers;
mod verdicts;

use std::time::Duration;

use mio::Events;

use crate::error::RunError;
use crate::network::{Direct, Network};
use crate::outcome::Outcome;
use crate::plan::Plan;
use crate::resource_usage;
use state::Runner;

/// Events that one poll returns at most.
const EVENTS_PER_POLL: usize = 1024;

/// Plays a scenario. `progress` is called in each turn of the loop with the time that has passed and the latest end.
///
/// # Errors
/// A sender does not start, or a socket fails.
pub fn play(plan: &Plan, progress: impl FnMut(Duration, Duration)) -> Result<Outcome, RunError> {
    play_through(plan, &mut Direct, progress)
}

/// As [`play`], over a network between senders and simulated servers.
///
/// # Errors
/// A sender does not start, or a socket fails.
pub fn play_through(
    plan: &Plan,
    network: &mut dyn Network,
    mut progress: impl FnMut(Duration, Duration),
) -> Result<Outcome, RunError> {
    let folder = tempfile::tempdir()?;
    let mut runner = Runner::prepare(plan, folder.path(), network)?;
    runner.wait_ready()?;
    runner.begin();
    network.begin(runner.started);
    let cpu_before = resource_usage::of_this_thread();
    let latest_end = runner.latest_end();
    let mut events = Events::with_capacity(EVENTS_PER_POLL);
    loop {
        runner.turn(&mut events)?;
        let now = runner.now();
        progress(now, latest_end);
        if now >= latest_end || runner.is_settled(now) {
            runner.outcome.runner_cpu = resource_usage::of_this_thread().saturating_sub(cpu_before);
            return Ok(runner.finish());
        }
    }
}
