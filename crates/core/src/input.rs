//! What the reducer is told.

use std::time::Duration;

use cranehill_membership as membership;
use cranehill_scheduler::api::{EndpointId, Report, Status};

use crate::effect::Record;
use crate::message::{Listing, Message};

/// How one message's attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    pub id: String,
    pub attempt: u32,
    pub status: Status,
    /// The destination says that the message is over: nothing more is owed.
    pub over: bool,
    pub took: Duration,
    pub retry_after: Option<Duration>,
    pub report: Option<Report>,
}

#[derive(Debug)]
pub enum Input {
    Submitted(Message),
    /// Whoever waited for this message's end has left.
    Cancelled(String),
    EndpointsChanged {
        whole: bool,
        list: Vec<Listing>,
    },
    AttemptsFinished(Vec<AttemptOutcome>),
    HealthChecked {
        endpoint: EndpointId,
        status: Status,
    },
    /// The timer asked for with [`crate::Effect::WakeAt`] is due.
    TimerFired,
    /// Everything of this turn is in.
    TickEnded,
    /// What of the records of [`crate::Effect::Persist`] is in the journal now.
    Persisted(Persisted),
    /// The platform has these final reports.
    FinalReportsAcknowledged(Vec<String>),
    /// What an earlier process left in the journal.
    Recovered(Vec<Record>),
    /// No new attempts: the process is about to end.
    Stopping,
    /// What an earlier process had learned of destinations, as [`crate::Effect::PersistLearnedState`] wrote it.
    LearnedStateRestored(Vec<u8>),
    /// No new attempts from now on, or again: another process is about to take over.
    Quiesced(bool),
    /// What the process before this one passed on, as [`crate::Core::learned_state`] gave it.
    LearnedStateInherited(Vec<u8>),
    /// An operator takes an endpoint out, or has it `back`; answered by [`crate::Effect::Detached`].
    Detach {
        by: usize,
        endpoint: String,
        back: bool,
    },
    /// Of the fleet's members, where this sender takes part ([`crate::Core::join`]).
    Fleet(membership::Input),
}

/// How much of a turn's records the journal took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persisted {
    All,
    /// There was room for what has ended only ([`Record::is_end`]).
    EndsOnly,
    Nothing,
}
