//! One turn of the event loop: first the events of sockets, then the timers that are due.

use std::io::ErrorKind;
use std::time::Duration;

use mio::event::Event;
use mio::{Events, Token};

use super::connection::{ConnectionId, WAKE};
use super::state::Runner;
use super::timers::Timer;
use crate::error::RunError;

/// Timeout of a poll if no timer is due earlier.
const MAX_POLL: Duration = Duration::from_millis(50);
/// A poll that returns within this had an event that may have happened before the poll began.
const IMMEDIATE_POLL: Duration = Duration::from_micros(50);
/// How long the run waits after the last deadline for answers and final reports.
const SETTLE_TIME: Duration = Duration::from_millis(700);

impl Runner<'_> {
    /// The latest end of the run: the time to live of every message has ended, and answers and final reports have had time to arrive.
    pub(super) fn latest_end(&self) -> Duration {
        let longest = self
            .scenario
            .load
            .classes
            .iter()
            .map(|class| class.time_to_live)
            .max()
            .unwrap_or_default();
        self.scenario.duration + longest + SETTLE_TIME
    }

    /// Whether the scenario's duration is over, no message is pending, and no submission is scheduled.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        now >= self.scenario.duration && self.pending.is_empty() && self.clients.next().is_none()
    }

    /// Polls until an event or the next timer, handles the events of sockets, and then the timers that are due.
    pub(super) fn turn(&mut self, events: &mut Events) -> Result<(), RunError> {
        let now = self.now();
        let until_timer = self
            .timers
            .next_due()
            .map_or(MAX_POLL, |at| at.saturating_sub(now));
        self.poll_once(events, until_timer.min(MAX_POLL))?;
        while let Some((due, timer)) = self.timers.pop_due(self.now()) {
            self.log
                .set_current_lateness(self.now().saturating_sub(due));
            self.on_timer(timer)?;
        }
        Ok(())
    }

    /// Polls once and handles the events of sockets and senders' processes.
    pub(super) fn poll_once(
        &mut self,
        events: &mut Events,
        timeout: Duration,
    ) -> Result<(), RunError> {
        let before = self.now();
        match self.poll.poll(events, Some(timeout)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let after = self.now();
        // A poll that returns immediately found an event from before its start: from any time since the end of the last poll.
        let last_poll = self.outcome.lasted;
        let max_delay = if after - before <= IMMEDIATE_POLL {
            before.saturating_sub(last_poll)
        } else {
            Duration::ZERO
        };
        self.log.add_lateness(max_delay);
        let tokens: Vec<Token> = events.iter().map(Event::token).collect();
        for token in tokens {
            self.log.current_lateness = max_delay + (self.now() - after);
            match token {
                WAKE => self.on_process_events(),
                Token(n) if n < self.listeners.len() => self.accept(n),
                Token(n) => self.on_socket(ConnectionId(n)),
            }
        }
        self.outcome.lasted = after;
        Ok(())
    }

    fn on_timer(&mut self, timer: Timer) -> Result<(), RunError> {
        match timer {
            Timer::Arrival { at } => self.on_arrival(at),
            Timer::ClientTimeout { connection, id } => self.on_client_timeout(connection, &id),
            Timer::Unrouted { id } => self.client_unanswered(&id),
            Timer::Reply { connection, serial } => self.on_reply_due(connection, serial),
            Timer::SecondCopy { connection, reply } => self.send(connection, &reply),
            Timer::CloseIdle {
                connection,
                last_used,
            } => self.close_idle(connection, last_used),
            Timer::Watch { connection } => self.answer_watch(connection),
            Timer::ListChange(n) => self.change_list(n),
            Timer::Signal(n) => self.on_signal(n),
            Timer::FaultEdge { endpoint } => self.reset_connections_of(endpoint),
            Timer::OutageEnd { destination } => self.record_recovery(destination),
            Timer::AwaitExit { sender, kill_at } => self.await_exit(sender, kill_at),
            Timer::StopRouting { sender } => self.stop_routing(sender),
            Timer::Start { sender } => self.restart(sender)?,
            Timer::FleetAction(n) => self.on_fleet_action(n),
            Timer::KillDuringUpgrade { sender, which } => self.kill_during_upgrade(sender, which),
            Timer::Resume { sender } => self.resume(sender),
        }
        Ok(())
    }
}
