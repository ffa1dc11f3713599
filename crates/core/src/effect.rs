//! [`Effect`], an action that the reducer requests from its caller, and [`Record`], an entry of the journal.

use std::sync::Arc;
use std::time::Duration;

use cranehill_membership as membership;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;

use crate::detachments::Detachments;
use crate::message::{Answer, Envelope, FinalReport, Origin};

/// One attempt to deliver a message, as part of a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the message.
    pub id: String,
    /// Number of the attempt, from 0.
    pub number: u32,
    /// Idempotency key, by which the destination recognizes a repeated attempt.
    pub idempotency_key: Option<String>,
    /// Body of the message.
    pub body: Arc<[u8]>,
    /// Path, headers and expiry that the client ingress passed with the message; `None` for other ingresses.
    pub envelope: Option<Arc<Envelope>>,
    /// When the attempt times out: the same time for all attempts of a call.
    pub times_out_at: Time,
    /// Set for a repeated attempt: unless the request is written completely by this time, it must not be sent. An
    /// earlier attempt may have been executed, and the destination no longer recognizes a repeat after the idempotency
    /// window.
    pub write_by: Option<Time>,
}

/// An action that the reducer requests from its caller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Append these records to the journal, then pass in [`crate::Input::Persisted`].
    Persist(Vec<Record>),
    /// Send the answer about a message to the client that submitted it.
    Answer {
        /// The client to be answered.
        to: Origin,
        /// Id of the message.
        id: String,
        /// The answer to be sent.
        answer: Answer,
    },
    /// Call an endpoint with one or more messages.
    Call {
        /// Id of the endpoint.
        endpoint: EndpointId,
        /// Address of the endpoint, as discovery lists it.
        address: String,
        /// The attempts that the call carries, at least one.
        attempts: Vec<Attempt>,
    },
    /// Report to the platform how an accepted message ended. Sent again after a restart until
    /// [`crate::Input::FinalReportsAcknowledged`].
    SendFinalReport {
        /// Id of the message.
        id: String,
        /// How the message ended.
        final_report: FinalReport,
    },
    /// Cancel the calls to these endpoints of which no byte has been written yet: the endpoints are draining or
    /// removed, or their destination answered with a retry-after time.
    CancelUnwritten {
        /// Ids of the endpoints.
        endpoints: Vec<EndpointId>,
    },
    /// Close idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a health check to an endpoint; answered with [`crate::Input::HealthChecked`].
    CheckHealth {
        /// Id of the endpoint.
        endpoint: EndpointId,
        /// Address of the endpoint, as discovery lists it.
        address: String,
    },
    /// Pass in [`crate::Input::TimerFired`] at this time.
    WakeAt(Time),
    /// Replace the learned state in the state file by these bytes.
    PersistLearnedState(Vec<u8>),
    /// The recovery after the restart is complete; carries the time since the start of the process.
    RecoveryComplete(Duration),
    /// The fleet evacuates a zone, probes it or returns to it. Only for the log: the reducer has applied the change.
    Zone(cranehill_zone_failover::Change),
    /// Persist the detachments, then answer the operator's request ([`crate::Input::Detach`]).
    Detached {
        /// Number of the operator's connection.
        connection: usize,
        /// False if the endpoint is neither listed nor detached, or if the limits on detached endpoints allow no
        /// further one.
        known: bool,
        /// All detachments after the request.
        detachments: Detachments,
    },
    /// An effect of the membership protocol.
    Fleet(membership::Effect),
}

/// An entry of the journal. Times are Unix times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted.
    Accepted {
        /// Id of the message.
        id: String,
        /// Index of its class in the settings.
        class: usize,
        /// Index of its tenant in the settings.
        tenant: usize,
        /// Id of its destination.
        destination: u64,
        /// Idempotency key, if the client gave one.
        idempotency_key: Option<String>,
        /// Messages with the same ordering key are sent one at a time, in order.
        ordering_key: Option<String>,
        /// When the message expires.
        deadline: u64,
        /// When the message was accepted.
        accepted_at: u64,
        /// Body of the message.
        body: Arc<[u8]>,
    },
    /// An attempt is about to be sent.
    AttemptStarted {
        /// Id of the message.
        id: String,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Id of the endpoint that is called.
        endpoint: String,
        /// When the attempt was started.
        started_at: u64,
    },
    /// An attempt has finished without ending the message.
    AttemptFinished {
        /// Id of the message.
        id: String,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// True if the attempt was certainly not executed; otherwise it was possibly executed.
        not_executed: bool,
    },
    /// The message has ended; the platform has not acknowledged the final report yet.
    FinalReportDue {
        /// Id of the message.
        id: String,
        /// How the message ended.
        final_report: FinalReport,
        /// Ordering key of the message; no other message of this key is sent until the report is acknowledged.
        ordering_key: Option<String>,
    },
    /// The message is completed: no attempt or report remains.
    Completed {
        /// Id of the message.
        id: String,
        /// Until when the id is kept, to recognize a repeated submission.
        remembered_until: u64,
    },
}

impl Record {
    /// Id of the message that the record is about.
    pub fn id(&self) -> &str {
        match self {
            Record::Accepted { id, .. }
            | Record::AttemptStarted { id, .. }
            | Record::AttemptFinished { id, .. }
            | Record::FinalReportDue { id, .. }
            | Record::Completed { id, .. } => id,
        }
    }

    /// Whether the record is about an event that has already happened. Unlike a new message or attempt, such a record
    /// can't be refused when the journal is full, only written later.
    pub fn is_end_record(&self) -> bool {
        matches!(
            self,
            Record::AttemptFinished { .. }
                | Record::FinalReportDue { .. }
                | Record::Completed { .. }
        )
    }
}
