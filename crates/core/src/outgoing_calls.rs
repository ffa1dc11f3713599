//! [`OutgoingCalls`]: the attempts started in a tick, combined into calls, and their records for the journal.

use cranehill_scheduler::Time;
use cranehill_scheduler::api::EndpointId;

use crate::effect::{Attempt, Effect, Record};
use crate::mutation::{self, Mutation};
use crate::pending_message::SendRequest;

/// Limit on the encoded bytes of a call with several messages; a single larger message is sent in a call of its own.
const MAX_CALL_BYTES: usize = 64 * 1024;
/// Estimated bytes that an attempt adds to a call besides its body and idempotency key.
const ATTEMPT_OVERHEAD_BYTES: usize = 128;

/// One call to an endpoint, before it is sent.
struct OutgoingCall {
    /// Number of the call, assigned by the scheduler ([`SendRequest::call`]).
    number: u64,
    endpoint: EndpointId,
    address: String,
    attempts: Vec<Attempt>,
}

impl OutgoingCall {
    /// Whether another attempt fits within [`MAX_CALL_BYTES`].
    fn has_space_for(&self, attempt: &Attempt) -> bool {
        let used: usize = self.attempts.iter().map(encoded_bytes).sum();
        used + encoded_bytes(attempt) <= MAX_CALL_BYTES
    }

    /// Adds an attempt. All attempts of a call share the earliest time-out: an attempt that timed out before the others
    /// could not be resolved by the answer to the call.
    fn add(&mut self, attempt: Attempt) {
        let attempts = self.attempts.iter();
        let until = attempts
            .map(|attempt| attempt.times_out_at)
            .fold(attempt.times_out_at, Time::min);
        self.attempts.push(attempt);
        for attempt in &mut self.attempts {
            attempt.times_out_at = until;
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

/// Estimated bytes of an attempt in a call, where bodies are encoded in base 64.
fn encoded_bytes(attempt: &Attempt) -> usize {
    let key = attempt.idempotency_key.as_ref().map_or(0, String::len);
    attempt.body.len() * 4 / 3 + key + ATTEMPT_OVERHEAD_BYTES
}

/// The calls started in a tick.
#[derive(Default)]
pub(crate) struct OutgoingCalls {
    calls: Vec<OutgoingCall>,
    records: Vec<Record>,
}

impl OutgoingCalls {
    /// Adds an attempt to its call, or to a new call if it does not fit.
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
            started_at: now.0,
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

    /// Removes and returns the records of the attempts, in the order in which the attempts were added.
    pub(crate) fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    /// Converts the calls into effects.
    pub(crate) fn into_effects(self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for call in self.calls {
            let effect = call.into_effect();
            if mutation::is_enabled(Mutation::TwoCopies) {
                effects.push(effect.clone());
            }
            effects.push(effect);
        }
        effects
    }
}
