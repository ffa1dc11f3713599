//! Plays a scenario: an event loop that runs all simulated servers and clients on one thread with one clock.
//!
//! [`play`] starts the senders, waits until they are ready and runs the loop until the scenario is over. Every event on a connection
//! is recorded with the time at which the loop noticed it, and with an upper bound on the delay since it happened.

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

/// Upper bound on the events that one poll returns.
const EVENTS_PER_POLL: usize = 1024;

/// Plays a scenario to its end and audits it. `progress` is called after each turn of the event loop with the time since the start
/// of the scenario and the time at which the run ends at the latest.
///
/// # Errors
/// A sender does not start or is not ready in time, or an operation on a socket or file fails.
pub fn play(plan: &Plan, progress: impl FnMut(Duration, Duration)) -> Result<Outcome, RunError> {
    play_through(plan, &mut Direct, progress)
}

/// As [`play`], with the connections of the senders made through `network`.
///
/// # Errors
/// As for [`play`]; also if `network` fails to map an address.
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
