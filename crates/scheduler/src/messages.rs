//! Pending messages: what rules and priority weight say of each.

use std::collections::BTreeMap;

use crate::api::{
    Class, Decay, DestinationId, Effect, MessageId, OrderingKey, Settings, Status, Time,
};
use crate::indices::{CallNumber, EndpointIndex, MessageNumber};
use crate::slow_start::MIN_SPAN_SECONDS;

/// Halving decay: the factor for each further latency objective.
const HALF: f64 = 0.5;

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Counted from 0, over all processes of this sender.
    pub(crate) number: u32,
    pub(crate) endpoint: EndpointIndex,
    /// The call that carries it.
    pub(crate) call: CallNumber,
    pub(crate) sent: Time,
}

/// The first attempt of a message that may have been executed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    pub(crate) sent: Time,
    /// None where it is no longer known.
    pub(crate) endpoint: Option<EndpointIndex>,
}

/// A message that is pending, or whose attempt is still in flight.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) id: MessageId,
    /// Position in the settings.
    pub(crate) class: usize,
    pub(crate) ordering_key: Option<OrderingKey>,
    pub(crate) destination: DestinationId,
    /// It came over its tenant's quota.
    pub(crate) over_quota: bool,
    pub(crate) latency_objective_at: Time,
    pub(crate) deadline: Time,
    /// No attempt before this.
    pub(crate) not_before: Time,
    /// Attempts made so far.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    pub(crate) possibly_executed: Option<PossibleExecution>,
    /// An answer that no further attempt can change.
    pub(crate) verdict: Option<Status>,
    /// It has its final answer; only its attempt is still in flight.
    pub(crate) completed: bool,
}

impl Message {
    /// Its class in the settings.
    pub(crate) fn class<'a>(&self, settings: &'a Settings) -> &'a Class {
        &settings.classes[self.class]
    }

    /// Whether a further attempt keeps the rules, whichever its endpoint.
    pub(crate) fn may_repeat(&self, settings: &Settings, now: Time) -> bool {
        self.attempts < settings.attempts_cap
            && self.verdict.is_none()
            && self.repeat_is_harmless(settings, now)
    }

    /// Until when it may reach its destination although it may have been executed; none for at any time.
    pub(crate) fn repeatable_until(&self, settings: &Settings) -> Option<Time> {
        let first_sent = self.possibly_executed?.sent;
        let class = self.class(settings);
        match class.effect {
            Effect::Safe => None,
            Effect::Idempotent => Some(first_sent + class.window),
            Effect::Unsafe => Some(first_sent),
        }
    }

    /// Whether it may reach its destination at `at`.
    pub(crate) fn repeat_is_harmless(&self, settings: &Settings, at: Time) -> bool {
        self.repeatable_until(settings)
            .is_none_or(|until| at < until)
    }

    /// Records an attempt that may have been executed; the first one counts.
    pub(crate) fn record_possible_execution(&mut self, attempt: &Attempt) {
        self.possibly_executed.get_or_insert(PossibleExecution {
            sent: attempt.sent,
            endpoint: Some(attempt.endpoint),
        });
    }

    /// Its priority weight if it is answered at `at`.
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
                1.0 - (1.0 - class.late_share) * (late / span)
            }
            Decay::Halving => {
                let objective = class.latency_objective.as_secs_f64();
                HALF.powf(late / objective.max(MIN_SPAN_SECONDS))
            }
        };
        let quota_factor = if self.over_quota {
            settings.over_share_worth
        } else {
            1.0
        };
        class.priority_weight * quota_factor * share.clamp(class.late_share.min(1.0), 1.0)
    }
}

/// A message with a figure that ranks it among others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedMessage {
    /// Urgency or priority weight.
    pub(crate) value: f64,
    pub(crate) number: MessageNumber,
}

/// Sorts by value, the highest first; of equal ones, the message accepted first.
pub(crate) fn sort_highest_first(ranked: &mut [RankedMessage]) {
    ranked.sort_by(|one, other| {
        let by_value = other.value.total_cmp(&one.value);
        by_value.then(one.number.cmp(&other.number))
    });
}

/// All messages by number: in the order accepted.
#[derive(Debug, Default)]
pub(crate) struct MessageTable {
    by_number: BTreeMap<MessageNumber, Message>,
    numbers: BTreeMap<MessageId, MessageNumber>,
}

impl MessageTable {
    /// Messages pending, or with an attempt in flight.
    pub(crate) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// The number of a message.
    pub(crate) fn number_of(&self, id: &MessageId) -> Option<MessageNumber> {
        self.numbers.get(id).copied()
    }

    /// The message with a number.
    pub(crate) fn get(&self, number: MessageNumber) -> Option<&Message> {
        self.by_number.get(&number)
    }

    /// The message with a number.
    pub(crate) fn get_mut(&mut self, number: MessageNumber) -> Option<&mut Message> {
        self.by_number.get_mut(&number)
    }

    /// Adds a message.
    pub(crate) fn insert(&mut self, number: MessageNumber, message: Message) {
        self.numbers.insert(message.id.clone(), number);
        self.by_number.insert(number, message);
    }

    /// Marks a message as completed, and removes it unless its attempt is in flight; returns it if it was removed.
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

    /// Messages that have no attempt in flight and no final answer, in the order accepted.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (MessageNumber, &Message)> {
        self.by_number
            .iter()
            .filter(|(_, message)| message.in_flight.is_none() && !message.completed)
            .map(|(&number, message)| (number, message))
    }
}
