//! Actions that the scheduler returns.

use std::time::Duration;

use super::identifiers::{EndpointId, MessageId};

/// An instruction to the scheduler's caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message to send.
        id: MessageId,
        /// The endpoint to send to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Duration,
        /// Number of the call that carries the message. Messages with the same number share one call, whose time-out is the
        /// shortest of theirs.
        call: u64,
        /// Set if the message may have been executed before and a repeat is harmless only within this time. If the request
        /// cannot be written in full by then (because its connection opens late, for example), it must not be sent.
        write_timeout: Option<Duration>,
    },
    /// Give the client the final answer that the message is rejected; a retry by the client is harmless.
    Reject {
        /// The rejected message.
        id: MessageId,
        /// Time after which the client is advised to retry (Retry-After).
        retry_after: Option<Duration>,
    },
    /// Give the client the final answer that the message failed. It may or may not have been executed.
    Fail(MessageId),
    /// Pass an [`Event::TimerFired`](super::Event::TimerFired) to the scheduler after this time.
    Timer(Duration),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a health check.
    CheckHealth(EndpointId),
    /// Poll the endpoint list, and subscribe to its changes.
    PollEndpointList,
}
