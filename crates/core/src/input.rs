//! [`Input`]: what the reducer is notified of.

use std::time::Duration;

use cranehill_membership as membership;
use cranehill_scheduler::api::{EndpointId, Event, MessageId, Outcome, Report, Status};

use crate::effect::{Attempt, Record};
use crate::message::{Listing, Message};

/// How one attempt of a message finished.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The message.
    pub id: String,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it finished.
    pub status: Status,
    /// The destination says that the message needs no further attempt.
    pub over: bool,
    /// Time from the start of the attempt to its end.
    pub took: Duration,
    /// How long the destination asks not to be called.
    pub retry_after: Option<Duration>,
    /// The destination's load report.
    pub report: Option<Report>,
}

impl AttemptOutcome {
    /// The outcome of an attempt that was never sent.
    pub(crate) fn not_sent(attempt: Attempt) -> AttemptOutcome {
        AttemptOutcome {
            id: attempt.id,
            attempt: attempt.number,
            status: Status::NotSent,
            over: false,
            took: Duration::ZERO,
            retry_after: None,
            report: None,
        }
    }

    /// The outcome for the scheduler; `completed` where the message has ended.
    pub(crate) fn into_event(self, completed: bool) -> Event {
        Event::Outcome(Outcome {
            id: MessageId(self.id),
            attempt: self.attempt,
            status: self.status,
            completed,
            took: self.took,
            wait: self.retry_after,
            report: self.report,
        })
    }
}

/// What the reducer is notified of.
#[derive(Debug)]
pub enum Input {
    /// A client submitted a message.
    Submitted(Message),
    /// The client that waited for the end of this message has disconnected.
    Cancelled(String),
    /// Discovery sent its endpoint list, or changes to it.
    EndpointsChanged {
        /// The entries replace the list; otherwise they are changes to it.
        whole: bool,
        /// The entries.
        list: Vec<Listing>,
    },
    /// Attempts have finished.
    AttemptsFinished(Vec<AttemptOutcome>),
    /// A health check has finished.
    HealthChecked {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check finished.
        status: Status,
    },
    /// The timer requested with [`crate::Effect::WakeAt`] has fired.
    TimerFired,
    /// All inputs of this tick have been passed in.
    TickEnded,
    /// The journal has written the records of [`crate::Effect::Persist`], or some of them.
    Persisted(Persisted),
    /// The platform has acknowledged the final reports of these messages.
    FinalReportsAcknowledged(Vec<String>),
    /// The records that an earlier process left in the journal.
    Recovered(Vec<Record>),
    /// The process is about to end: no new attempts.
    Stopping,
    /// The learned state that an earlier process persisted ([`crate::Effect::PersistLearnedState`]).
    LearnedStateRestored(Vec<u8>),
    /// Another process is about to take over: no new attempts while this is true.
    Quiesced(bool),
    /// The learned state of the process that this one takes over from ([`crate::Core::learned_state`]).
    LearnedStateInherited(Vec<u8>),
    /// An operator detaches an endpoint, or attaches it again. [`crate::Effect::Detached`] is the answer.
    Detach {
        /// Number of the operator's connection.
        by: usize,
        /// Id of the endpoint.
        endpoint: String,
        /// Attach it again.
        back: bool,
    },
    /// An input for the fleet's membership, where this sender is a member ([`crate::Core::join`]).
    Fleet(membership::Input),
}

/// Which records of a tick the journal has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persisted {
    /// All of them.
    All,
    /// It had space for records of finished work only ([`Record::is_end`]).
    EndsOnly,
    /// None.
    Nothing,
}
