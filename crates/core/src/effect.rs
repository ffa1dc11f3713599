//! [`Effect`]: what the reducer asks for, and [`Record`]: what the journal keeps.

use std::sync::Arc;
use std::time::Duration;

use cranehill_membership as membership;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;

use crate::detachments::Detachments;
use crate::message::{Answer, Envelope, FinalReport, Origin};

/// One message in a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The message.
    pub id: String,
    /// Number of the attempt, from 0.
    pub number: u32,
    /// Idempotency key: what the destination recognises a repeat by.
    pub key: Option<String>,
    /// The message's body.
    pub body: Arc<[u8]>,
    /// What the client ingress passed along with the message.
    pub envelope: Option<Arc<Envelope>>,
    /// Time-out: the same for all attempts of a call.
    pub until: Time,
    /// A repeat that is not written whole by then must not be written: the earlier attempt may have been executed, and
    /// its idempotency window ends.
    pub write_by: Option<Time>,
}

/// What the reducer asks for.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Append these records to the journal, then pass in [`crate::Input::Persisted`].
    Persist(Vec<Record>),
    /// Answer the client that submitted a message.
    Answer {
        /// The client.
        to: Origin,
        /// The message.
        id: String,
        /// The answer.
        answer: Answer,
    },
    /// Call an endpoint with one or several messages.
    Call {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: String,
        /// The messages, at least one.
        attempts: Vec<Attempt>,
    },
    /// Report to the platform how an accepted message ended.
    SendFinalReport {
        /// The message.
        id: String,
        /// How it ended.
        final_report: FinalReport,
    },
    /// Cancel calls to these endpoints of which nothing is written yet: they asked not to be called, or are removed.
    CancelUnwritten {
        /// The endpoints.
        endpoints: Vec<EndpointId>,
    },
    /// Close idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a health check.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: String,
    },
    /// Pass in [`crate::Input::TimerFired`] then.
    WakeAt(Time),
    /// Replace the persisted learned state by this.
    PersistLearnedState(Vec<u8>),
    /// The sender is back in full service, this long after its start.
    RecoveryComplete(Duration),
    /// The fleet evacuates a zone, probes it or returns to it. For the log.
    Zone(cranehill_zone_failover::Change),
    /// Persist the detachments, then answer the operator.
    Detached {
        /// Number of the operator's connection.
        by: usize,
        /// False where the endpoint is not known, or no further one can be detached.
        known: bool,
        /// All detachments as of now.
        now: Detachments,
    },
    /// An effect of the fleet's membership.
    Fleet(membership::Effect),
}

/// What the journal keeps. Times are Unix times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted.
    Accepted {
        /// The message.
        id: String,
        /// Position of its class in the settings.
        class: usize,
        /// Position of its tenant in the settings.
        tenant: usize,
        /// Where it is sent.
        destination: u64,
        /// Idempotency key.
        key: Option<String>,
        /// Messages with the same ordering key are sent one at a time, in order.
        ordering_key: Option<String>,
        /// When it expires.
        deadline: u64,
        /// When it was accepted.
        at: u64,
        /// Its body.
        body: Arc<[u8]>,
    },
    /// An attempt is about to be sent.
    AttemptStarted {
        /// The message.
        id: String,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Where it is sent.
        endpoint: String,
        /// When it was started.
        at: u64,
    },
    /// An attempt has finished without ending the message.
    AttemptFinished {
        /// The message.
        id: String,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// It was certainly not executed.
        not_executed: bool,
    },
    /// The message has ended; the platform has not acknowledged the final report yet.
    FinalReportDue {
        /// The message.
        id: String,
        /// How it ended.
        final_report: FinalReport,
        /// No other message of this key is sent until the report is acknowledged.
        ordering_key: Option<String>,
    },
    /// The message is completed: no attempt or report remains.
    Completed {
        /// The message.
        id: String,
        /// Until when its id is remembered.
        until: u64,
    },
}

impl Record {
    /// The id of the message.
    pub fn id(&self) -> &str {
        match self {
            Record::Accepted { id, .. }
            | Record::AttemptStarted { id, .. }
            | Record::AttemptFinished { id, .. }
            | Record::FinalReportDue { id, .. }
            | Record::Completed { id, .. } => id,
        }
    }

    /// Whether it records the end of something that has happened already: unlike a new message or attempt, that can't be
    /// refused for want of space, only written later.
    pub fn is_end(&self) -> bool {
        matches!(
            self,
            Record::AttemptFinished { .. }
                | Record::FinalReportDue { .. }
                | Record::Completed { .. }
        )
    }
}
