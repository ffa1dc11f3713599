//! The bounds that the rules check, and the repeats that each class of messages allows.

use std::time::Duration;

/// The bounds that the rules check. [`Default`] has the values that the operators require.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RuleLimits {
    /// Largest number of attempts of a message.
    pub max_attempts: u32,
    /// How long new calls to an endpoint may begin after the sender was notified that it drains or is removed.
    pub drain_grace: Duration,
    /// A call that arrives within this time after a `Retry-After` counts as sent before the sender received it.
    pub retry_after_grace: Duration,
    /// Longest idle time of a connection on which a call begins.
    pub max_idle: Duration,
    /// Time after its time to live within which a message must have ended.
    pub end_grace: Duration,
    /// Time after a restarted sender is ready in which none of its messages counts as overdue.
    pub restart_grace: Duration,
    /// How long a client waits for the answer to a submission.
    pub answer_timeout: Duration,
    /// Tolerance of time bounds that include a round trip over sockets.
    pub socket_slack: Duration,
    /// An overload counts as a violation if senders that saw the outage caused more than this share of it, 0 to 1.
    pub informed_share: f64,
    /// A destination that warms up fails at a load above this multiple of its current capacity.
    pub overload_factor: f64,
    /// Window over which the load on a destination that warms up is measured.
    pub overload_window: Duration,
    /// Pause of an ordering key after an attempt that is possibly still being executed.
    pub ordering_key_pause: Duration,
    /// Tolerance for random arrivals: with this value c and N expected calls, c * sqrt(N) + c further calls are allowed.
    pub chance_margin: f64,
}

impl Default for RuleLimits {
    fn default() -> RuleLimits {
        let ms = Duration::from_millis;
        RuleLimits {
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
            ordering_key_pause: ms(100),
            chance_margin: 2.0,
        }
    }
}

/// The repeats that a class of messages allows after an attempt that was possibly executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Repeats are harmless and always allowed.
    Safe,
    /// Repeats are allowed while the destination drops duplicates by the idempotency key.
    Keyed {
        /// How long the destination drops duplicates, from the first possible execution.
        window: Duration,
    },
    /// Repeats are forbidden.
    Unsafe,
}
