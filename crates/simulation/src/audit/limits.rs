//! The figures of the operators' rules, and what each class of messages allows.

use std::time::Duration;

/// The bounds of the rules, from the operators' pages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Attempts that a message may have.
    pub max_attempts: u32,
    /// How long new calls to an endpoint may go on after the sender was notified that it drains or is removed.
    pub drain_grace: Duration,
    /// A call that arrives this soon after a `Retry-After` was already on its way.
    pub retry_after_grace: Duration,
    /// How long a connection may have been idle when a call begins on it.
    pub max_idle: Duration,
    /// How long after its time to live a message must have ended.
    pub end_grace: Duration,
    /// How long after a restarted sender is ready no end is overdue.
    pub restart_grace: Duration,
    /// How long a client waits for the answer to a submission.
    pub answer_timeout: Duration,
    /// Added to the bounds of rules whose timers also include a round trip on sockets.
    pub socket_slack: Duration,
    /// A sender that knew of an outage is to blame for an overload if its like sent more than this share of it, 0 to 1.
    pub informed_share: f64,
    /// A warming destination fails at more than this many times its present capacity.
    pub overload_factor: f64,
    /// Over how long the overload of a warming destination is measured.
    pub overload_window: Duration,
    /// How long an ordering key rests after an attempt that is possibly still being executed.
    pub key_rest: Duration,
    /// Of N expected calls, this many times the root of N, and this many more, are put down to chance.
    pub chance_margin: f64,
}

impl Default for Figures {
    fn default() -> Figures {
        let ms = Duration::from_millis;
        Figures {
            max_attempts: 6,
            drain_grace: ms(500),
            retry_after_grace: ms(100),
            max_idle: ms(15_000),
            end_grace: ms(300),
            restart_grace: ms(1500),
            answer_timeout: ms(400),
            socket_slack: ms(50),
            informed_share: 2.0 / 3.0,
            overload_factor: 1.5,
            overload_window: ms(3000),
            key_rest: ms(100),
            chance_margin: 2.0,
        }
    }
}

/// What a class of messages allows after an attempt that was possibly executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Any number of repeats.
    Safe,
    /// Repeats that the destination drops by their idempotency key.
    Keyed {
        /// How long the destination drops them, from the first possible execution.
        window: Duration,
    },
    /// No repeat.
    Unsafe,
}
