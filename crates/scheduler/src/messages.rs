//! Pending messages: whether each may be sent again, and its priority weight.

use std::collections::BTreeMap;

use crate::api::{
    Class, Decay, DestinationId, Effect, MessageId, OrderingKey, Settings, Status, Time,
};
use crate::indices::{CallNumber, EndpointIndex, MessageNumber};
use crate::slow_start::MIN_SPAN_SECONDS;

/// Factor of the priority weight for each further latency objective, with halving decay.
const HALF: f64 = 0.5;

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Number of the attempt, from 0, including attempts of earlier processes of this sender.
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointIndex,
    /// Number of the call that carries it.
    pub(crate) call: CallNumber,
    pub(crate) sent_at: Time,
}

/// The first possibly executed attempt of a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    pub(crate) sent_at: Time,
    /// `None` if the endpoint is not in the endpoint list.
    pub(crate) endpoint: Option<EndpointIndex>,
}

/// A message that is pending, or completed with an attempt still in flight.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) id: MessageId,
    /// Position in `Settings::classes`.
    pub(crate) class: usize,
    pub(crate) ordering_key: Option<OrderingKey>,
    pub(crate) destination: DestinationId,
    /// Whether it was accepted over its tenant's quota.
    pub(crate) over_quota: bool,
    /// End of the latency objective.
    pub(crate) latency_objective_at: Time,
    pub(crate) deadline: Time,
    /// Earliest time of the next attempt: the end of a backoff.
    pub(crate) not_before: Time,
    /// Number of attempts made, including those of earlier processes.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    pub(crate) possibly_executed: Option<PossibleExecution>,
    /// A permanent result, after which a retry cannot succeed.
    pub(crate) permanent_result: Option<Status>,
    /// Whether it is completed and only waits for its attempt in flight to finish.
    pub(crate) completed: bool,
}

impl Message {
    /// The message's class.
    pub(crate) fn class<'a>(&self, settings: &'a Settings) -> &'a Class {
        &settings.classes[self.class]
    }

    /// Whether a further attempt is allowed at all, to any endpoint.
    pub(crate) fn may_repeat(&self, settings: &Settings, now: Time) -> bool {
        self.attempts < settings.max_attempts
            && self.permanent_result.is_none()
            && self.repeat_is_harmless(settings, now)
    }

    /// Until when a possibly executed message may be sent again; `None` for no limit.
    pub(crate) fn repeatable_until(&self, settings: &Settings) -> Option<Time> {
        let first_sent = self.possibly_executed?.sent_at;
        let class = self.class(settings);
        match class.effect {
            Effect::Safe => None,
            Effect::Idempotent => Some(first_sent + class.dedup_window),
            Effect::Unsafe => Some(first_sent),
        }
    }

    /// Whether sending the message at `at` is harmless, given possible earlier executions.
    pub(crate) fn repeat_is_harmless(&self, settings: &Settings, at: Time) -> bool {
        self.repeatable_until(settings)
            .is_none_or(|until| at < until)
    }

    /// Records a possibly executed attempt; only the first one is kept.
    pub(crate) fn record_possible_execution(&mut self, attempt: &Attempt) {
        self.possibly_executed.get_or_insert(PossibleExecution {
            sent_at: attempt.sent_at,
            endpoint: Some(attempt.endpoint),
        });
    }

    /// The priority weight if the message is answered at `at`; zero from the deadline on.
    pub(crate) fn priority_weight(&self, settings: &Settings, at: Time) -> f64 {
        if at >= self.deadline {
            return 0.0;
        }
        let class = self.class(settings);
        let late = (at - self.latency_objective_at).as_secs_f64();
        let share = match settings.decay {
            Decay::Linear => {
                let span = class.deadline.saturating_sub(class.latency_objective);
                let span = span.as_secs_f64().max(MIN_SPAN_SECONDS);
                1.0 - (1.0 - class.min_weight_share) * (late / span)
            }
            Decay::Halving => {
                let objective = class.latency_objective.as_secs_f64();
                HALF.powf(late / objective.max(MIN_SPAN_SECONDS))
            }
        };
        let quota_factor = if self.over_quota {
            settings.over_quota_factor
        } else {
            1.0
        };
        class.priority_weight * quota_factor * share.clamp(class.min_weight_share.min(1.0), 1.0)
    }
}

/// A message with the value by which it is sorted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedMessage {
    /// Urgency (dispatch) or priority weight (load shedding).
    pub(crate) value: f64,
    pub(crate) number: MessageNumber,
}

/// Sorts by value, highest first; messages with equal values stay in the order accepted.
pub(crate) fn sort_highest_first(ranked: &mut [RankedMessage]) {
    ranked.sort_by(|left, right| {
        let by_value = right.value.total_cmp(&left.value);
        by_value.then(left.number.cmp(&right.number))
    });
}

/// All messages, ordered by number and so by when they were accepted.
#[derive(Debug, Default)]
pub(crate) struct MessageTable {
    by_number: BTreeMap<MessageNumber, Message>,
    numbers: BTreeMap<MessageId, MessageNumber>,
}

impl MessageTable {
    /// Number of messages, including completed ones with an attempt in flight.
    pub(crate) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// The number of the message with this id.
    pub(crate) fn number_of(&self, id: &MessageId) -> Option<MessageNumber> {
        self.numbers.get(id).copied()
    }

    /// The message with this number.
    pub(crate) fn get(&self, number: MessageNumber) -> Option<&Message> {
        self.by_number.get(&number)
    }

    /// The message with this number, mutable.
    pub(crate) fn get_mut(&mut self, number: MessageNumber) -> Option<&mut Message> {
        self.by_number.get_mut(&number)
    }

    /// Adds a message with a new number.
    pub(crate) fn insert(&mut self, number: MessageNumber, message: Message) {
        self.numbers.insert(message.id.clone(), number);
        self.by_number.insert(number, message);
    }

    /// Marks a message as completed, and removes it unless an attempt is in flight. Returns the message if it was removed.
    pub(crate) fn complete(&mut self, number: MessageNumber) -> Option<Message> {
        let message = self.by_number.get_mut(&number)?;
        message.completed = true;
        if message.in_flight.is_some() {
            return None;
        }
        let message = self.by_number.remove(&number)?;
        self.numbers.remove(&message.id);
        Some(message)
    }

    /// All messages.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Message> {
        self.by_number.values()
    }

    /// Messages that are not completed and have no attempt in flight, in the order accepted.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (MessageNumber, &Message)> {
        self.by_number
            .iter()
            .filter(|(_, message)| message.in_flight.is_none() && !message.completed)
            .map(|(&number, message)| (number, message))
    }
}
