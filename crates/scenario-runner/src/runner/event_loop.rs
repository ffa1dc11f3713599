//! One turn of the event loop: sockets, then timers.

use std::io::ErrorKind;
use std::time::Duration;

use mio::event::Event;
use mio::{Events, Token};

use super::connection::{ConnectionId, WAKE};
use super::state::Runner;
use super::timers::Timer;
use crate::error::RunError;

/// The longest poll without a timer.
const MAX_POLL: Duration = Duration::from_millis(50);
/// An event that a poll returns sooner than this was there before the poll began.
const IMMEDIATE_POLL: Duration = Duration::from_micros(50);
/// Time after the last deadline in which answers and final reports may still arrive.
const SETTLE_TIME: Duration = Duration::from_millis(700);

impl Runner<'_> {
    /// By then the time to live of every message is over.
    pub(super) fn latest_end(&self) -> Duration {
        let longest = self
            .scenario
            .load
            .classes
            .iter()
            .map(|c| c.time_to_live)
            .max()
            .unwrap_or_default();
        self.scenario.duration + longest + SETTLE_TIME
    }

    /// The scenario's duration is over, and every message is completed.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        now >= self.scenario.duration && self.pending.is_empty() && self.clients.next().is_none()
    }

    /// Waits until the next timer at most, handles the events of sockets, and then the timers that are due.
    pub(super) fn turn(&mut self, events: &mut Events) -> Result<(), RunError> {
        let now = self.now();
        let until_timer = self
            .timers
            .next_due()
            .map_or(MAX_POLL, |at| at.saturating_sub(now));
        self.poll_once(events, until_timer.min(MAX_POLL))?;
        while let Some((due, timer)) = self.timers.pop_due(self.now()) {
            self.log.set_late(self.now().saturating_sub(due));
            self.on_timer(timer)?;
        }
        Ok(())
    }

    /// Waits for sockets and handles their events.
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
        // An event that was there before the poll may have arrived at any time since the last one.
        let last_poll = self.outcome.lasted;
        let waited = if after - before <= IMMEDIATE_POLL {
            before.saturating_sub(last_poll)
        } else {
            Duration::ZERO
        };
        self.log.note_lateness(waited);
        let tokens: Vec<Token> = events.iter().map(Event::token).collect();
        for token in tokens {
            self.log.late = waited + (self.now() - after);
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
            Timer::CloseIdle { connection, used } => self.close_idle(connection, used),
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
