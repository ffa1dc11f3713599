//! Schedules the timer for the next time at which a pending message may become sendable or must expire.

use crate::api::{Action, Time};
use crate::messages::Message;
use crate::routes::RETEST_INTERVAL;
use crate::state::SchedulerState;

/// The timer fires this many ticks before a message's deadline, in time for it to expire.
const DEADLINE_MARGIN_TICKS: u32 = 2;

impl SchedulerState {
    /// Handles a timer that has fired. Callers may round timers down: one that fires up to a tick early counts as the one
    /// scheduled.
    pub(crate) fn on_timer(&mut self) {
        let latest = self.now + self.settings.tick;
        self.next_wakeup.take_if(|wakeup| *wakeup <= latest);
    }

    /// Starts a timer for the next time at which a pending message may become sendable or must expire, unless an earlier timer is running.
    pub(crate) fn schedule_wakeup(&mut self) {
        let messages = self.messages.waiting();
        let next = messages
            .map(|(_, message)| self.next_change_of(message))
            .chain(self.discovery_polls.next_poll())
            .min();
        let Some(next) = next else {
            return;
        };
        let next = next.max(self.now + self.settings.tick);
        let running = self
            .next_wakeup
            .is_some_and(|wakeup| wakeup > self.now && wakeup <= next);
        if !running {
            self.next_wakeup = Some(next);
            self.actions.push(Action::Timer(next - self.now));
        }
    }

    /// When a message must be considered again: the earliest of its backoff, pauses and limits that end, its expiry and
    /// [`RETEST_INTERVAL`].
    fn next_change_of(&self, message: &Message) -> Time {
        let expiry = message
            .deadline
            .saturating_sub(self.settings.tick * DEADLINE_MARGIN_TICKS);
        let retest = (self.now + RETEST_INTERVAL).min(expiry);
        let route_changes = self
            .routes
            .of_destination(message.destination)
            .iter()
            .map(|&index| &self.routes[index])
            .flat_map(|route| {
                let next_probe = route.health.next_probe().unwrap_or(self.now);
                let next_token = route.token_bucket.next_token_at();
                [route.blocked_until, next_probe, next_token]
            });
        let pause_end = message
            .ordering_key
            .as_ref()
            .and_then(|key| self.ordering.paused_until(key));
        route_changes
            .chain(pause_end)
            .chain([message.not_before])
            .filter(|&change| change > self.now)
            .fold(retest, Time::min)
    }
}
