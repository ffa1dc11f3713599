//! Calls in flight, and when a message may share one.

use std::time::Duration;

use crate::api::{Effect, Settings, Time};
use crate::indices::EndpointIndex;
use crate::messages::Message;
use crate::routes::Route;

/// One call in flight; several messages may share it.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) endpoint: EndpointIndex,
    /// Class of its first message.
    pub(crate) class: usize,
    pub(crate) sent: Time,
    /// When it times out, for all messages that share it.
    pub(crate) timeout_at: Time,
    /// It must not time out before this, for the sake of one of them.
    pub(crate) min_timeout_at: Time,
    pub(crate) messages: u32,
    /// Messages whose outcome is not known yet.
    pub(crate) unanswered: u32,
    /// The outcome of one message has been counted for the call.
    pub(crate) counted: bool,
}

impl Call {
    /// A call with one message.
    pub(crate) fn new(endpoint: EndpointIndex, class: usize, now: Time, wait: &CallWait) -> Call {
        Call {
            endpoint,
            class,
            sent: now,
            timeout_at: wait.timeout_at,
            min_timeout_at: wait.min_timeout_at,
            messages: 1,
            unanswered: 1,
            counted: false,
        }
    }

    /// Whether a message with this wait may share the call. Its one time-out must be within the time of each message and
    /// not shorter than any of them needs: a message that alone timed out would leave open what the answer means for it.
    pub(crate) fn can_add(&self, route: &Route, wait: &CallWait) -> bool {
        let timeout_at = self.timeout_at.min(wait.timeout_at);
        self.messages < route.kind.per_call
            && self.min_timeout_at.max(wait.min_timeout_at) <= timeout_at
    }

    /// Adds a message with this wait.
    pub(crate) fn add(&mut self, wait: &CallWait) {
        self.messages += 1;
        self.unanswered += 1;
        self.timeout_at = self.timeout_at.min(wait.timeout_at);
        self.min_timeout_at = self.min_timeout_at.max(wait.min_timeout_at);
    }
}

/// How long a message's call may and must be waited for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallWait {
    /// The time-out of the message's attempt.
    pub(crate) timeout: Duration,
    /// When that time-out ends.
    pub(crate) timeout_at: Time,
    /// The call must not time out before this: an unsafe message would be lost.
    pub(crate) min_timeout_at: Time,
}

impl CallWait {
    /// The wait of a message that is sent now.
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
