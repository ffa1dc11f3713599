//! [`PendingMessage`]: one message that has not ended, and the state of its attempts.

use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{
    AcceptedMessage, Class, DestinationId, Effect, EndpointId, MessageId, OrderingKey,
    PriorAttempts, Status,
};

use crate::effect::{Attempt, Record};
use crate::message::{Answer, FinalReport, Message, Origin};
use crate::mutation::{self, Mutation};

/// A rejected message counts as expired if at most this many ticks remain until its deadline: the scheduler ends
/// messages that early, as no attempt can be sent in the remaining time.
const EXPIRY_TICKS: u32 = 2;

/// The first attempt of a message that was possibly executed at its destination.
#[derive(Clone, Debug)]
pub(crate) struct PossibleExecution {
    pub(crate) at: Time,
    pub(crate) endpoint: EndpointId,
    pub(crate) attempt: u32,
}

/// The attempt of a message that is currently in flight.
#[derive(Debug)]
pub(crate) struct InFlightAttempt {
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointId,
}

/// A request of the scheduler to send an attempt.
#[derive(Debug)]
pub(crate) struct SendRequest {
    pub(crate) id: MessageId,
    pub(crate) endpoint: EndpointId,
    /// Number of the call; attempts with the same number share a call.
    pub(crate) call: u64,
    /// See [`Attempt::times_out_at`].
    pub(crate) until: Time,
    /// See [`Attempt::write_by`].
    pub(crate) write_by: Option<Time>,
}

/// How the scheduler ends a message that is not delivered.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Verdict {
    /// The message was not executed: it can safely be submitted again.
    Rejected { retry_after: Option<Duration> },
    /// The message was possibly executed, or can't be executed.
    Failed,
}

impl Verdict {
    /// Converts the verdict into the final report to the platform.
    pub(crate) fn final_report(self) -> FinalReport {
        match self {
            Verdict::Rejected { retry_after } => FinalReport::Returned {
                after_ms: retry_after.map_or(0, |after| after.as_millis() as u64),
            },
            Verdict::Failed => FinalReport::Failed,
        }
    }
}

/// A message that has not ended.
#[derive(Debug)]
pub(crate) struct PendingMessage {
    /// Position among all messages of this process, in the order in which they became pending.
    pub(crate) sequence: u64,
    pub(crate) message: Message,
    pub(crate) deadline: Time,
    /// Latest time to hand the message over to the scheduler. It is no later than that of any later message with the
    /// same ordering key, as messages of one key are handed over in order.
    pub(crate) hand_over_by: Time,
    /// Number of attempts started, including those of earlier processes; it is the number of the next attempt.
    attempts: u32,
    in_flight: Option<InFlightAttempt>,
    possibly_executed: Option<PossibleExecution>,
    /// Whether it is accepted: its record is in the journal, or is about to be written in this tick.
    pub(crate) accepted: bool,
    /// Whether the destination has answered that the recipient no longer exists.
    recipient_removed: bool,
}

impl PendingMessage {
    /// Creates the state of a message that was submitted or recovered, without an attempt in flight.
    pub(crate) fn new(
        sequence: u64,
        message: Message,
        deadline: Time,
        hand_over_by: Time,
        possibly_executed: Option<PossibleExecution>,
    ) -> PendingMessage {
        PendingMessage {
            sequence,
            deadline,
            hand_over_by,
            attempts: message.attempts_used,
            in_flight: None,
            possibly_executed,
            accepted: message.origin == Origin::Restored,
            recipient_removed: false,
            message,
        }
    }

    /// Id of its destination.
    pub(crate) fn destination(&self) -> DestinationId {
        DestinationId(self.message.destination)
    }

    /// Its ordering key; messages with the same key are sent one at a time, in order.
    pub(crate) fn ordering_key(&self) -> Option<OrderingKey> {
        self.message.ordering_key.clone().map(OrderingKey)
    }

    /// Whether the message has an attempt in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// The journal record of its acceptance at `now`.
    pub(crate) fn accepted_record(&self, now: Time) -> Record {
        let message = &self.message;
        Record::Accepted {
            id: message.id.clone(),
            class: message.class,
            tenant: message.tenant,
            destination: message.destination,
            idempotency_key: message.idempotency_key.clone(),
            ordering_key: message.ordering_key.clone(),
            deadline: self.deadline.0,
            accepted_at: now.0,
            body: message.body.clone(),
        }
    }

    /// Converts the message for the scheduler, with all times relative to `now`.
    pub(crate) fn to_scheduler(&self, now: Time) -> AcceptedMessage {
        let message = &self.message;
        let prior = PriorAttempts {
            attempts: message.attempts_used,
            restored: message.origin == Origin::Restored,
            possibly_executed: self
                .possibly_executed
                .as_ref()
                .map(|first| (now - first.at, first.endpoint.clone())),
        };
        let ordering_key = self
            .ordering_key()
            .filter(|_| !mutation::is_enabled(Mutation::IgnoresOrder));
        AcceptedMessage {
            id: MessageId(message.id.clone()),
            class: message.class,
            tenant: message.tenant,
            ordering_key,
            time_left: self.deadline - now,
            destination: self.destination(),
            prior,
        }
    }

    /// Starts the next attempt. It counts as possibly executed until it finishes as not executed.
    pub(crate) fn start_attempt(&mut self, now: Time, request: &SendRequest) -> Attempt {
        let number = self.attempts;
        self.attempts += 1;
        self.in_flight = Some(InFlightAttempt {
            number,
            endpoint: request.endpoint.clone(),
        });
        self.possibly_executed
            .get_or_insert_with(|| PossibleExecution {
                at: now,
                endpoint: request.endpoint.clone(),
                attempt: number,
            });
        Attempt {
            id: self.message.id.clone(),
            number,
            idempotency_key: self.message.idempotency_key.clone(),
            body: self.message.body.clone(),
            envelope: self.message.envelope.clone(),
            times_out_at: request.until.min(self.deadline),
            write_by: request.write_by,
        }
    }

    /// Handles a finished attempt. Returns the attempt if it was in flight.
    pub(crate) fn finish_attempt(
        &mut self,
        number: u32,
        status: Status,
    ) -> Option<InFlightAttempt> {
        let finished = self
            .in_flight
            .take_if(|in_flight| in_flight.number == number);
        self.possibly_executed
            .take_if(|first| status.not_executed() && first.attempt == number);
        self.recipient_removed |= status == Status::RecipientRemoved;
        finished
    }

    /// Whether a client that is told to submit the message again does no harm: it was certainly not executed, or its class allows any
    /// repeat.
    pub(crate) fn may_be_repeated(&self, classes: &[Class]) -> bool {
        let class = classes.get(self.message.class);
        self.possibly_executed.is_none() || class.is_some_and(|class| class.effect == Effect::Safe)
    }

    /// The answer to a client that waits for the end of this message, which ends undelivered.
    pub(crate) fn final_answer(&self, verdict: Verdict, now: Time, tick: Duration) -> Answer {
        match verdict {
            Verdict::Rejected { .. } if self.recipient_removed => Answer::RecipientRemoved,
            Verdict::Rejected { .. } if self.deadline <= now + tick * EXPIRY_TICKS => {
                Answer::Expired
            }
            Verdict::Rejected { retry_after } => Answer::Rejected { retry_after },
            Verdict::Failed => Answer::Failed,
        }
    }
}
