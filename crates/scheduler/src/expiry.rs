//! Ends pending messages with a final answer: those that can no longer be delivered, and those of least priority weight where
//! too many are pending.

use crate::api::{Action, DedupScope, Effect, Status};
use crate::indices::MessageNumber;
use crate::messages::{RankedMessage, sort_highest_first};
use crate::state::SchedulerState;

/// This part of the settings' bound on pending messages is kept free, as a divisor.
const FREE_PART_DIVISOR: usize = 16;
/// A message expires this many ticks before its deadline, so that its final answer is in time.
const EXPIRY_MARGIN_TICKS: u32 = 2;
/// Rejected clients are advised to retry after the longest advice that they heed, divided by this.
const RETRY_AFTER_DIVISOR: u32 = 2;

impl SchedulerState {
    /// Messages that may be accepted before one of least priority weight is ended.
    pub(crate) fn capacity(&self) -> usize {
        self.max_pending().saturating_sub(self.messages.len())
    }

    /// Messages pending after a tick, at most. The part kept free lets the next arrivals be compared with those pending; else
    /// they would be rejected unseen.
    fn max_pending(&self) -> usize {
        let bound = self.settings.max_pending;
        bound - (bound / FREE_PART_DIVISOR).clamp(1, bound)
    }

    /// Ends at once what can no longer be delivered.
    pub(crate) fn expire_unreachable(&mut self) {
        let latest = self.now + self.settings.tick * EXPIRY_MARGIN_TICKS;
        let unreachable: Vec<MessageNumber> = self
            .messages
            .waiting()
            .filter(|(_, message)| {
                message.deadline <= latest || !message.may_repeat(&self.settings, self.now)
            })
            .map(|(number, _)| number)
            .collect();
        for number in unreachable {
            self.expire(number);
        }
        self.ordering.remove_idle(self.now);
    }

    /// Ends the messages of least priority weight that are too many, after all that may be sent has been: one destination's
    /// backlog must not displace what others would accept at once.
    pub(crate) fn shed_excess(&mut self) {
        let excess = self.messages.len().saturating_sub(self.max_pending());
        if excess == 0 {
            return;
        }
        let mut by_weight: Vec<RankedMessage> = self
            .messages
            .waiting()
            .map(|(number, message)| RankedMessage {
                value: message.priority_weight(&self.settings, self.now),
                number,
            })
            .collect();
        sort_highest_first(&mut by_weight);
        for message in by_weight.into_iter().rev().take(excess) {
            self.expire(message.number);
        }
    }

    /// Gives the final answer of an expired message: rejected where a retry by the client is harmless, else failed.
    fn expire(&mut self, number: MessageNumber) {
        let Some(message) = self.messages.get(number) else {
            return;
        };
        let class = message.class(&self.settings);
        let after = (self.settings.retry_after && message.verdict.is_none())
            .then_some(self.settings.max_retry_after / RETRY_AFTER_DIVISOR);
        // The client's retry may reach any endpoint, after that time.
        let harmless_anywhere = message.possibly_executed.is_none()
            || class.effect == Effect::Safe
            || class.dedup == DedupScope::All;
        let retry_at = self.now + after.unwrap_or_default();
        let retry_is_harmless =
            harmless_anywhere && message.repeat_is_harmless(&self.settings, retry_at);
        let rejected = retry_is_harmless && message.verdict != Some(Status::PermanentError);
        let id = message.id.clone();
        self.actions.push(if rejected {
            Action::Reject { id, after }
        } else {
            Action::Fail(id)
        });
        if let Some(key) = &message.ordering_key {
            self.ordering.message_expires(key);
        }
        self.complete_message(number);
    }
}
