//! What the reducer asks for.

use std::sync::Arc;
use std::time::Duration;

use cranehill_membership as membership;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;

use crate::detach::Detachments;
use crate::message::{Answer, Envelope, FinalReport, Origin};

/// One message in a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub number: u32,
    pub key: Option<String>,
    pub body: Arc<[u8]>,
    pub envelope: Option<Arc<Envelope>>,
    /// When the wait for it ends: the same for all that share a call.
    pub until: Time,
    /// A repeat that is not written whole by then must not be written: what it repeats may have been executed too long ago.
    pub write_by: Option<Time>,
}

#[derive(Clone, Debug)]
pub enum Effect {
    /// Write these down, then say [`crate::Input::Persisted`].
    Persist(Vec<Record>),
    Answer {
        to: Origin,
        id: String,
        answer: Answer,
    },
    Call {
        endpoint: EndpointId,
        address: String,
        attempts: Vec<Attempt>,
    },
    SendFinalReport {
        id: String,
        final_report: FinalReport,
    },
    /// End calls to these of which nothing is written yet: told to wait, or not to be sent to.
    CancelUnwritten {
        endpoints: Vec<EndpointId>,
    },
    CloseIdle(EndpointId),
    CheckHealth {
        endpoint: EndpointId,
        address: String,
    },
    WakeAt(Time),
    /// Keep this in place of what was kept before: what is learned of destinations.
    PersistLearnedState(Vec<u8>),
    /// The sender is back in full, so long after its start.
    RecoveryComplete(Duration),
    /// A zone is left, tried or returned to, by the whole fleet.
    Zone(cranehill_zone_failover::Change),
    /// Keep what is detached `now`, then answer the operator; `known` is false where nobody holds what was asked.
    Detached {
        by: usize,
        known: bool,
        now: Detachments,
    },
    /// Of the fleet's members.
    Fleet(membership::Effect),
}

/// What the journal keeps. Times are in nanoseconds on the core's clock, which is anchored to Unix time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    Accepted {
        id: String,
        class: usize,
        tenant: usize,
        destination: u64,
        key: Option<String>,
        /// What it keeps its order within.
        ordering_key: Option<String>,
        deadline: u64,
        /// When it was accepted.
        at: u64,
        body: Arc<[u8]>,
    },
    /// Written before the attempt goes out.
    AttemptStarted {
        id: String,
        attempt: u32,
        endpoint: String,
        at: u64,
    },
    /// The attempt is back; it may have been executed unless `not_executed`.
    AttemptFinished {
        id: String,
        attempt: u32,
        not_executed: bool,
    },
    /// Ended; the platform is still to be told, and until then nothing else goes within `ordering_key`.
    FinalReportDue {
        id: String,
        final_report: FinalReport,
        ordering_key: Option<String>,
    },
    /// Nothing more is owed; the id is remembered until then.
    Completed { id: String, until: u64 },
}

impl Record {
    /// The message that it is about.
    pub fn id(&self) -> &str {
        match self {
            Record::Accepted { id, .. }
            | Record::AttemptStarted { id, .. }
            | Record::AttemptFinished { id, .. }
            | Record::FinalReportDue { id, .. }
            | Record::Completed { id, .. } => id,
        }
    }

    /// Tells how something ended that has happened already: it can't be refused, only written later.
    pub fn is_end(&self) -> bool {
        matches!(
            self,
            Record::AttemptFinished { .. }
                | Record::FinalReportDue { .. }
                | Record::Completed { .. }
        )
    }
}
