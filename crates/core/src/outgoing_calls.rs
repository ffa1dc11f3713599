//! [`OutgoingCalls`]: the attempts that a tick starts, combined into calls, and their records for the journal.

use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;

use crate::effect::{Attempt, Effect, Record};
use crate::mutation::{self, Mutation};
use crate::pending_message::SendRequest;

/// Bytes of a call with several messages at most: it is bounded like any other request body.
const MAX_CALL_BYTES: usize = 64 * 1024;
/// Bytes that an attempt adds to a call besides its body and key.
const ATTEMPT_OVERHEAD_BYTES: usize = 128;

/// A call to be made.
struct OutgoingCall {
    /// The scheduler's number of it.
    number: u64,
    endpoint: EndpointId,
    address: String,
    attempts: Vec<Attempt>,
}

impl OutgoingCall {
    /// Whether another attempt fits into its body.
    fn has_space_for(&self, attempt: &Attempt) -> bool {
        let used: usize = self.attempts.iter().map(encoded_bytes).sum();
        used + encoded_bytes(attempt) <= MAX_CALL_BYTES
    }

    /// Adds an attempt. All attempts of a call share the earliest time-out: if one ended before the others, the answer
    /// to the call would leave it open.
    fn add(&mut self, attempt: Attempt) {
        let attempts = self.attempts.iter();
        let until = attempts
            .map(|attempt| attempt.until)
            .fold(attempt.until, Time::min);
        self.attempts.push(attempt);
        for attempt in &mut self.attempts {
            attempt.until = until;
        }
    }

    fn into_effect(self) -> Effect {
        Effect::Call {
            endpoint: self.endpoint,
            address: self.address,
            attempts: self.attempts,
        }
    }
}

/// Bytes of an attempt in a call, where bodies are in base 64.
fn encoded_bytes(attempt: &Attempt) -> usize {
    let key = attempt.key.as_ref().map_or(0, String::len);
    attempt.body.len() * 4 / 3 + key + ATTEMPT_OVERHEAD_BYTES
}

/// The calls of a tick.
#[derive(Default)]
pub(crate) struct OutgoingCalls {
    calls: Vec<OutgoingCall>,
    records: Vec<Record>,
}

impl OutgoingCalls {
    /// Adds an attempt to its call, or to a new one where that has no space left.
    pub(crate) fn add(
        &mut self,
        now: Time,
        request: SendRequest,
        address: String,
        attempt: Attempt,
    ) {
        self.records.push(Record::AttemptStarted {
            id: attempt.id.clone(),
            attempt: attempt.number,
            endpoint: request.endpoint.0.clone(),
            at: now.0,
        });
        let call = self
            .calls
            .iter_mut()
            .find(|call| call.number == request.call && call.has_space_for(&attempt));
        match call {
            Some(call) => call.add(attempt),
            None => self.calls.push(OutgoingCall {
                number: request.call,
                endpoint: request.endpoint,
                address,
                attempts: vec![attempt],
            }),
        }
    }

    /// Removes and returns the records of the attempts, in the order in which these were added.
    pub(crate) fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    /// The effects that make the calls.
    pub(crate) fn into_effects(self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for call in self.calls {
            let effect = call.into_effect();
            if mutation::is(Mutation::TwoCopies) {
                effects.push(effect.clone());
            }
            effects.push(effect);
        }
        effects
    }
}
