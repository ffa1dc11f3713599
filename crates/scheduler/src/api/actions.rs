//! Actions that the scheduler returns.

use std::time::Duration;

use super::identifiers::{EndpointId, MessageId};

/// What the scheduler's caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint to send to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Duration,
        /// The call that carries it: all messages with this number share one call, whose time-out is the
        /// shortest of theirs.
        call: u64,
        /// It may have been executed before, and a repeat is harmless only within this time: what is not written in
        /// full by then (because its connection opened late, for example) must not be written at all.
        write_within: Option<Duration>,
    },
    /// Final answer: rejected; a retry by the client is harmless.
    Reject {
        /// The message.
        id: MessageId,
        /// When the client should retry.
        after: Option<Duration>,
    },
    /// Final answer: failed; the message may or may not have been executed.
    Fail(MessageId),
    /// Ask for an [`Event::Wake`](super::Event::Wake) after this time.
    Timer(Duration),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a health check.
    CheckHealth(EndpointId),
    /// Poll the endpoint list, and subscribe to its changes.
    Subscribe,
}
