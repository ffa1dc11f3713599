//! Calls in flight, and the conditions for messages to share a call.

use std::time::Duration;

use crate::api::{Effect, Settings, Time};
use crate::indices::EndpointIndex;
use crate::messages::Message;
use crate::routes::Route;

/// A call in flight, which carries one or more messages.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointIndex,
    /// Class of the first message in the call.
    pub(crate) class: usize,
    pub(crate) sent_at: Time,
    /// When the call times out, for all of its messages.
    pub(crate) timeout_at: Time,
    /// The latest `min_timeout_at` of its messages: the call must not time out earlier.
    pub(crate) min_timeout_at: Time,
    pub(crate) messages: u32,
    /// Messages whose outcome is not known yet.
    pub(crate) unanswered: u32,
    /// Whether the outcome of one of its messages was recorded as that of the call.
    pub(crate) outcome_recorded: bool,
}

impl Call {
    /// A call with one message.
    pub(crate) fn new(endpoint: EndpointIndex, class: usize, now: Time, wait: &CallWait) -> Call {
        Call {
            endpoint,
            class,
            sent_at: now,
            timeout_at: wait.timeout_at,
            min_timeout_at: wait.min_timeout_at,
            messages: 1,
            unanswered: 1,
            outcome_recorded: false,
        }
    }

    /// Whether a message with this `wait` may share the call. A call has a single time-out, which must end before the attempt of
    /// any of its messages does and not before the minimum of any. If one message timed out alone, the later answer to the
    /// call would be ambiguous for it.
    pub(crate) fn can_add(&self, route: &Route, wait: &CallWait) -> bool {
        let timeout_at = self.timeout_at.min(wait.timeout_at);
        self.messages < route.kind.max_messages_per_call
            && self.min_timeout_at.max(wait.min_timeout_at) <= timeout_at
    }

    /// Adds a message with this `wait`.
    pub(crate) fn add(&mut self, wait: &CallWait) {
        self.messages += 1;
        self.unanswered += 1;
        self.timeout_at = self.timeout_at.min(wait.timeout_at);
        self.min_timeout_at = self.min_timeout_at.max(wait.min_timeout_at);
    }
}

/// The longest and the shortest time to wait for the answer to a message's call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallWait {
    /// The time-out of the message's attempt.
    pub(crate) timeout: Duration,
    /// When the attempt times out.
    pub(crate) timeout_at: Time,
    /// When the call may time out at the earliest. For an unsafe message this is `timeout_at`, since it cannot be retried after
    /// a time-out; for others it is the usual time of a call.
    pub(crate) min_timeout_at: Time,
}

impl CallWait {
    /// The wait for a message that is sent now.
    pub(crate) fn new(message: &Message, route: &Route, settings: &Settings, now: Time) -> Self {
        let class = message.class(settings);
        let timeout = route.round_trips[message.class]
            .attempt_timeout(class)
            .min(message.deadline - now);
        let min_wait = match class.effect {
            Effect::Unsafe => timeout,
            Effect::Safe | Effect::Idempotent => {
                Duration::from_secs_f64(route.call_times(message.class, settings).usual)
            }
        };
        CallWait {
            timeout,
            timeout_at: now + timeout,
            min_timeout_at: now + min_wait,
        }
    }
}
