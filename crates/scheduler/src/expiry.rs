//! Ends pending messages that can no longer be delivered, with a final answer, and sheds load when too many are pending.

use crate::api::{Action, DedupScope, Effect, Status};
use crate::indices::MessageNumber;
use crate::messages::{RankedMessage, sort_highest_first};
use crate::state::SchedulerState;

/// Part of the bound on pending messages that is kept free for new messages, as a divisor of the bound.
const FREE_PART_DIVISOR: usize = 16;
/// A message expires this many ticks before its deadline, so that its final answer is in time.
const EXPIRY_MARGIN_TICKS: u32 = 2;
/// Rejected clients are advised to retry after [`Settings::max_retry_after`](crate::api::Settings::max_retry_after) divided by
/// this.
const RETRY_AFTER_DIVISOR: u32 = 2;

impl SchedulerState {
    /// Number of messages that can be accepted before load is shed.
    pub(crate) fn capacity(&self) -> usize {
        self.max_pending().saturating_sub(self.messages.len())
    }

    /// Maximum number of pending messages after a tick. It is below the bound in the settings, so that new messages can be
    /// accepted and compared by priority weight with the pending ones instead of being rejected outright.
    fn max_pending(&self) -> usize {
        let bound = self.settings.max_pending;
        bound - (bound / FREE_PART_DIVISOR).clamp(1, bound)
    }

    /// Expires the messages whose deadline is near or that may not be sent again.
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

    /// Sheds load: expires the pending messages with the lowest priority weight while there are too many. Called after dispatch,
    /// so that the backlog of one destination does not displace messages that others accept now.
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

    /// Gives the final answer for a message: rejected if a retry by the client is harmless, otherwise failed.
    fn expire(&mut self, number: MessageNumber) {
        let Some(message) = self.messages.get(number) else {
            return;
        };
        let class = message.class(&self.settings);
        let retry_after = (self.settings.retry_after && message.permanent_result.is_none())
            .then_some(self.settings.max_retry_after / RETRY_AFTER_DIVISOR);
        // The client's retry comes after the advised time and may reach any endpoint.
        let harmless_anywhere = message.possibly_executed.is_none()
            || class.effect == Effect::Safe
            || class.dedup == DedupScope::All;
        let retry_at = self.now + retry_after.unwrap_or_default();
        let retry_is_harmless =
            harmless_anywhere && message.repeat_is_harmless(&self.settings, retry_at);
        let rejected =
            retry_is_harmless && message.permanent_result != Some(Status::PermanentError);
        let id = message.id.clone();
        self.actions.push(if rejected {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail(id)
        });
        if let Some(key) = &message.ordering_key {
            self.ordering.message_expires(key);
        }
        self.complete_message(number);
    }
}
