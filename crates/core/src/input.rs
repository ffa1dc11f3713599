//! [`Input`]: an event that is passed to the reducer.

use std::time::Duration;

use cranehill_membership as membership;
use cranehill_scheduler::api::{EndpointId, Event, LoadReport, MessageId, Outcome, Status};

use crate::effect::{Attempt, Record};
use crate::message::{Listing, Message};

/// How one attempt of a message finished.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// Id of the message.
    pub id: String,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Result of the attempt.
    pub status: Status,
    /// True if the message needs no further attempt, whatever the status, as its destination has answered so.
    pub is_final: bool,
    /// Time from the start of the attempt to its end.
    pub duration: Duration,
    /// Retry-after time of the answer: no call to the destination for this long.
    pub retry_after: Option<Duration>,
    /// Load report of the destination, if the answer has one.
    pub load_report: Option<LoadReport>,
}

impl AttemptOutcome {
    /// The outcome of an attempt that was never sent.
    pub(crate) fn not_sent(attempt: Attempt) -> AttemptOutcome {
        AttemptOutcome {
            id: attempt.id,
            attempt: attempt.number,
            status: Status::NotSent,
            is_final: false,
            duration: Duration::ZERO,
            retry_after: None,
            load_report: None,
        }
    }

    /// Converts the outcome into an event for the scheduler; `completed` is true if the message has ended.
    pub(crate) fn into_event(self, completed: bool) -> Event {
        Event::Outcome(Outcome {
            id: MessageId(self.id),
            attempt: self.attempt,
            status: self.status,
            completed,
            elapsed: self.duration,
            retry_after: self.retry_after,
            report: self.load_report,
        })
    }
}

/// An event that is passed to the reducer.
#[derive(Debug)]
pub enum Input {
    /// A client submitted a message.
    Submitted(Message),
    /// The client that waited for the end of the message with this id has disconnected.
    Cancelled(String),
    /// Discovery sent the full endpoint list, or changes to it.
    EndpointsChanged {
        /// True if the entries replace the list, false if they are changes to it.
        whole: bool,
        /// Entries of the list, or the changed ones.
        list: Vec<Listing>,
    },
    /// Attempts have finished.
    AttemptsFinished(Vec<AttemptOutcome>),
    /// A health check has finished.
    HealthChecked {
        /// Id of the endpoint that was checked.
        endpoint: EndpointId,
        /// Result of the health check.
        status: Status,
    },
    /// The timer requested with [`crate::Effect::WakeAt`] has fired.
    TimerFired,
    /// All inputs of this tick have been passed in: the scheduler decides on them.
    TickEnded,
    /// The journal has written the records of [`crate::Effect::Persist`], or some of them.
    Persisted(Persisted),
    /// The platform has acknowledged the final reports of the messages with these ids.
    FinalReportsAcknowledged(Vec<String>),
    /// The records that an earlier process left in the journal.
    Recovered(Vec<Record>),
    /// The process is shutting down: no new attempts are started.
    Stopping,
    /// The process is about to end: each client that waits for the end of its message is answered now. A message that may be submitted again
    /// is rejected with this retry-after time; one that was possibly executed and must not be repeated fails.
    Ending {
        /// The retry-after time.
        retry_after: Duration,
    },
    /// The learned state that an earlier process persisted with [`crate::Effect::PersistLearnedState`].
    LearnedStateRestored(Vec<u8>),
    /// Whether a hand-over to a new process is in progress: no new attempts are started while this is true.
    Quiesced(bool),
    /// The learned state of the previous process, received in a hand-over ([`crate::Core::learned_state`]).
    LearnedStateInherited(Vec<u8>),
    /// An operator detaches an endpoint, or attaches it again. Answered with [`crate::Effect::Detached`].
    Detach {
        /// Number of the operator's connection.
        connection: usize,
        /// Id of the endpoint.
        endpoint: String,
        /// True to attach the endpoint, false to detach it.
        attach: bool,
    },
    /// An input for the membership protocol; ignored before [`crate::Core::join`].
    Fleet(membership::Input),
}

/// Which records of [`crate::Effect::Persist`] the journal has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persisted {
    /// All records.
    All,
    /// Only the records for which [`Record::is_end_record`] is true: the journal had no space for new messages and
    /// attempts.
    EndsOnly,
    /// No record.
    Nothing,
}
