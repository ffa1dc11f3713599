//! Records of a run: events on the wire, and the test harness's actions on processes and destinations.

use std::time::Duration;

/// The answer to the client that submitted a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The sender accepted the message.
    Accepted,
    /// Web Push: the push service accepted the message (RFC 8030, section 5).
    Delivered,
    /// The sender did not accept the message.
    Rejected {
        /// Wait before the client may submit it again, if the answer states one.
        after: Option<Duration>,
    },
    /// Web Push: the message expired undelivered, and was possibly executed.
    Failed,
    /// The submission was invalid.
    Error,
}

/// The end of a message that a final report states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalReport {
    /// Not executed, or harmless to repeat: the client may submit it again.
    Returned {
        /// Wait before it may be submitted again, if the report states one.
        after: Option<Duration>,
    },
    /// The message failed and must not be submitted again.
    Failed,
}

/// The outcome of one message of a call at the destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The message was executed.
    Done,
    /// The attempt failed; the message was possibly executed.
    Failed,
    /// An overloaded destination rejected the message without executing it.
    Busy,
}

/// The state of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// The endpoint is in service.
    Up,
    /// The endpoint must receive no new calls.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// An event on the wire, or an action of the test harness.
///
/// The harness numbers connections, endpoints and destinations; events refer to them by these numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditEvent {
    /// The last byte of a submission was written to the sender.
    Submitted {
        /// Id of the message.
        id: String,
        /// Index into the classes passed to [`Auditor::new`](super::Auditor::new).
        class: usize,
        /// Number of the destination of the message.
        destination: u64,
        /// Time to live of the message, from its submission.
        time_to_live: Duration,
        /// Ordering key, if the class of the message is ordered.
        ordering_key: Option<String>,
    },
    /// The last byte of a Web Push post was written to the sender. The answer to it is the end of the message.
    Posted {
        /// Id of the message.
        id: String,
        /// Index into the classes passed to [`Auditor::new`](super::Auditor::new).
        class: usize,
        /// Number of the destination of the message.
        destination: u64,
        /// Time to live of the message, from its submission.
        time_to_live: Duration,
    },
    /// The sender answered a submission or post.
    Answered {
        /// Id of the message.
        id: String,
        /// The sender's answer.
        answer: Answer,
    },
    /// The sender closed the client's connection before it answered a request.
    Dropped {
        /// Id of the message.
        id: String,
    },
    /// The client closed its connection after waiting too long for an answer.
    Abandoned {
        /// Id of the message.
        id: String,
    },
    /// The sender opened a connection to an endpoint.
    Opened {
        /// Number of the new connection.
        connection: u64,
        /// Number of the endpoint that it leads to.
        endpoint: usize,
        /// Number of the endpoint's destination.
        destination: u64,
    },
    /// The sender closed a connection to an endpoint.
    Closed {
        /// Number of the connection.
        connection: u64,
    },
    /// An endpoint received the first byte of a call.
    Begun {
        /// Number of the connection.
        connection: u64,
        /// Number of the endpoint that received it.
        endpoint: usize,
        /// Number of the endpoint's destination.
        destination: u64,
    },
    /// An endpoint received the last byte of a call.
    Called {
        /// Number of the connection.
        connection: u64,
        /// Number of the endpoint that received it.
        endpoint: usize,
        /// Number of the endpoint's destination.
        destination: u64,
        /// Ids of the messages in the call.
        ids: Vec<String>,
    },
    /// An endpoint wrote the last byte of a reply.
    Replied {
        /// Number of the connection.
        connection: u64,
        /// Number of the endpoint that replied.
        endpoint: usize,
        /// Number of the endpoint's destination.
        destination: u64,
        /// Id and outcome of each message of the call.
        outcomes: Vec<(String, DeliveryOutcome)>,
        /// `Retry-After` of the reply (RFC 9110, section 10.2.3).
        wait: Option<Duration>,
        /// Further bytes follow the reply, so the connection must not be used again.
        spoilt: bool,
    },
    /// The simulated server refused or reset the connection, or wrote a malformed reply.
    Broke {
        /// Number of the connection.
        connection: u64,
        /// Number of the endpoint at the other end.
        endpoint: usize,
        /// Number of the endpoint's destination.
        destination: u64,
        /// Ids of the messages of the call in flight.
        ids: Vec<String>,
        /// Whether the call was possibly executed.
        executed: bool,
    },
    /// From this time on, the sender must know of a change in the endpoint list.
    Notified {
        /// Number of the changed endpoint.
        endpoint: usize,
        /// Number of the endpoint's destination.
        destination: u64,
        /// State of the endpoint after the change.
        listed: Listed,
    },
    /// The sender sent a final report to the platform.
    Reported {
        /// Id of the message.
        id: String,
        /// The end of the message that it states.
        final_report: FinalReport,
    },
    /// The sender's process received a signal to terminate (SIGTERM), or was killed.
    Signalled,
    /// The sender's process has ended.
    ProcessExited,
    /// The sender's state folder is lost, or the sender is never started again: its messages are no longer judged.
    Lost {
        /// Ids of the lost messages if the journal was damaged; `None` if all of the sender's messages are lost.
        only: Option<Vec<String>>,
    },
    /// The sender is ready after a start.
    Ready,
    /// A destination failed under overload while it warmed up.
    Fell {
        /// Number of the destination.
        destination: u64,
    },
    /// An outage of a destination has ended, and the destination warms up.
    Back {
        /// Number of the destination.
        destination: u64,
        /// End of the outage, since the start of the scenario.
        since: Duration,
        /// Length of the outage.
        down: Duration,
        /// Calls per second when warm.
        capacity: f64,
        /// Share of the capacity available at the end of the outage, 0 to 1.
        cold: f64,
        /// Time from the end of the outage until the whole capacity is available.
        warm: Duration,
        /// Cost of each message of a call after the first, in calls of one message.
        item: f64,
    },
}

/// A recorded event, which concerns one sender or none.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditRecord {
    /// When the harness observed the event, since the start of the scenario.
    pub at: Duration,
    /// The longest time by which the event may have preceded `at`.
    pub recording_delay: Duration,
    /// Number of the sender that the event concerns.
    pub sender: Option<usize>,
    /// What happened.
    pub event: AuditEvent,
    /// Evidence of the event: bytes from the wire, or a sentence.
    pub wire: String,
}
