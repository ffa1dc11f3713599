//! What is recorded of a run: events on the wire, and what the test harness did to processes and destinations.

use std::time::Duration;

/// The answer to the client that submitted a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The sender has the message.
    Accepted,
    /// Web Push: the one answer says that the push service has the message.
    Delivered,
    /// The sender did not accept it.
    Rejected {
        /// When the client may submit it again, if the answer says so.
        after: Option<Duration>,
    },
    /// Web Push: expired, and possibly executed.
    Failed,
    /// The submission itself was wrong.
    Error,
}

/// How a final report ends a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalReport {
    /// Not executed, or harmless to repeat: the client may submit it again.
    Returned {
        /// When it may be submitted again, if the report says so.
        after: Option<Duration>,
    },
    /// It must not be submitted again.
    Failed,
}

/// The outcome of one message of a call, as the destination knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// Executed.
    Done,
    /// Failed, and possibly executed.
    Failed,
    /// Rejected by an overloaded destination, and not executed.
    Busy,
}

/// The state of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// In service.
    Up,
    /// Gets nothing new.
    Draining,
    /// No longer listed.
    Removed,
}

/// An event on the wire, or an action of the test harness.
///
/// A `connection`, an `endpoint` and a `destination` are the numbers that the harness gave them.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditEvent {
    /// The last byte of a submission was written to the sender.
    Submitted {
        /// Message id.
        id: String,
        /// Index into the classes that the auditor was made with.
        class: usize,
        /// Where the message is to be delivered.
        destination: u64,
        /// The message's time to live.
        time_to_live: Duration,
        /// Within which it keeps its order, where its class keeps one.
        ordering_key: Option<String>,
    },
    /// The last byte of a Web Push post was written to the sender. Its one answer is its end.
    Posted {
        /// Message id.
        id: String,
        /// Index into the classes that the auditor was made with.
        class: usize,
        /// Where the message is to be delivered.
        destination: u64,
        /// The message's time to live.
        time_to_live: Duration,
    },
    /// The sender answered a submission or post.
    Answered {
        /// Message id.
        id: String,
        /// What it answered.
        answer: Answer,
    },
    /// The sender closed the client's connection with a request unanswered.
    Dropped {
        /// Message id.
        id: String,
    },
    /// The client closed its connection after waiting too long for an answer.
    Abandoned {
        /// Message id.
        id: String,
    },
    /// The sender opened a connection to an endpoint.
    Opened {
        /// The new connection.
        connection: u64,
        /// Where to.
        endpoint: usize,
        /// The endpoint's destination.
        destination: u64,
    },
    /// The sender closed a connection to an endpoint.
    Closed {
        /// The connection.
        connection: u64,
    },
    /// The first byte of a call arrived.
    Begun {
        /// On which connection.
        connection: u64,
        /// At which endpoint.
        endpoint: usize,
        /// The endpoint's destination.
        destination: u64,
    },
    /// The last byte of a call arrived.
    Called {
        /// On which connection.
        connection: u64,
        /// At which endpoint.
        endpoint: usize,
        /// The endpoint's destination.
        destination: u64,
        /// The call's messages.
        ids: Vec<String>,
    },
    /// The last byte of a reply was written.
    Replied {
        /// On which connection.
        connection: u64,
        /// By which endpoint.
        endpoint: usize,
        /// The endpoint's destination.
        destination: u64,
        /// The outcome of each message of the call.
        outcomes: Vec<(String, DeliveryOutcome)>,
        /// The reply's `Retry-After`.
        wait: Option<Duration>,
        /// Further bytes follow the reply, so that the connection must not be used again.
        spoilt: bool,
    },
    /// The simulated server ended the connection without a proper reply: refused, reset, or a malformed reply.
    Broke {
        /// The connection.
        connection: u64,
        /// Its endpoint.
        endpoint: usize,
        /// The endpoint's destination.
        destination: u64,
        /// The messages of the call in flight.
        ids: Vec<String>,
        /// Whether the call was possibly executed.
        executed: bool,
    },
    /// The sender counts as notified of a change in the endpoint list.
    Notified {
        /// The changed endpoint.
        endpoint: usize,
        /// The endpoint's destination.
        destination: u64,
        /// Its new state.
        listed: Listed,
    },
    /// The sender sent a final report to the platform.
    Reported {
        /// Message id.
        id: String,
        /// What it reported.
        final_report: FinalReport,
    },
    /// The sender was asked to end, or was killed.
    Signalled,
    /// The sender's process has ended.
    ProcessExited,
    /// The sender's state folder is lost, or nothing starts the sender again: it answers for nothing any more.
    Lost {
        /// The sender's journal was cut, and only these messages are lost.
        only: Option<Vec<String>>,
    },
    /// The sender answers again.
    Ready,
    /// A destination was overloaded while it warmed up, and has failed.
    Fell {
        /// The destination.
        destination: u64,
    },
    /// An outage of a destination is over, and it warms up.
    Back {
        /// The destination.
        destination: u64,
        /// End of the outage.
        since: Duration,
        /// Length of the outage.
        down: Duration,
        /// Calls a second when warm.
        capacity: f64,
        /// The part of its capacity that it has at first, 0 to 1.
        cold: f64,
        /// Time until it is warm.
        warm: Duration,
        /// What each message of a call after the first costs, in calls.
        item: f64,
    },
}

/// One recorded event, of one sender or of none.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditRecord {
    /// When the harness noticed it, since the start of the scenario.
    pub at: Duration,
    /// The event may have been this much earlier than it was noticed.
    pub recording_delay: Duration,
    /// The number of the sender that it is about.
    pub sender: Option<usize>,
    /// The event.
    pub event: AuditEvent,
    /// Bytes from the wire, or a sentence, that proves it.
    pub wire: String,
}
