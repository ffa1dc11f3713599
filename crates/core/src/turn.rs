//! A turn: the decisions' actions become records, answers, calls and reports, and go out once the journal has the records.

use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Action, EndpointId, Event, MessageId, Status};

use crate::effect::{Attempt, Effect, Record};
use crate::input::{AttemptOutcome, Persisted};
use crate::message::{Answer, Origin};
use crate::mutation::{self, Mutation};
use crate::reducer::Core;

/// The largest body of a call with several messages, and what each adds besides its own body and key.
const CALL_MOST: usize = 64 * 1024;
const ITEM: usize = 128;

/// A call about to go out.
struct OutgoingCall {
    /// The decisions' number of it.
    number: u64,
    endpoint: EndpointId,
    address: String,
    attempts: Vec<Attempt>,
}

impl OutgoingCall {
    fn into_effects(self) -> Vec<Effect> {
        let OutgoingCall {
            endpoint,
            address,
            attempts,
            ..
        } = self;
        let call = Effect::Call {
            endpoint,
            address,
            attempts,
        };
        if mutation::is(Mutation::TwoCopies) {
            vec![call.clone(), call]
        } else {
            vec![call]
        }
    }
}

/// What a turn sends: calls, and the record of each attempt in them.
#[derive(Default)]
struct Outgoing {
    calls: Vec<OutgoingCall>,
    records: Vec<Record>,
}

impl Outgoing {
    /// Puts an attempt into its call, if that has room, or into a new one.
    fn add(&mut self, number: u64, endpoint: EndpointId, address: &str, attempt: Attempt) {
        // A call's body is bounded like any other: large messages must not share one.
        let size =
            |a: &Attempt| a.body.len() * 4 / 3 + a.key.as_ref().map_or(0, String::len) + ITEM;
        let fits = |c: &[Attempt]| c.iter().map(size).sum::<usize>() + size(&attempt) <= CALL_MOST;
        let Some(call) = self
            .calls
            .iter_mut()
            .find(|c| c.number == number && fits(&c.attempts))
        else {
            let (address, attempts) = (address.to_owned(), vec![attempt]);
            return self.calls.push(OutgoingCall {
                number,
                endpoint,
                address,
                attempts,
            });
        };
        // One wait for all: what runs out alone would leave open what the answer says of the rest.
        let until = call
            .attempts
            .iter()
            .map(|a| a.until)
            .fold(attempt.until, Time::min);
        call.attempts.push(attempt);
        call.attempts.iter_mut().for_each(|a| a.until = until);
    }
}

/// An attempt as the decisions ask for it.
struct Send {
    id: String,
    endpoint: EndpointId,
    /// Which attempts go together.
    call: u64,
    /// See [`Attempt`].
    until: Time,
    write_by: Option<Time>,
}

impl Core {
    /// Lets the module decide on all that came in this turn.
    pub(crate) fn on_tick_ended(&mut self) -> Vec<Effect> {
        let events = self.events_of_this_turn();
        let zoned = self.update_zones();
        self.update_returning();
        let actions = self.decide(events);
        let outgoing = self.carry_out(actions);
        // An answer goes before its call: a delivery counts only once the client knows that we have the message.
        let mut effects = self.accept_unacknowledged();
        self.record_attempts(outgoing.records);
        effects.append(&mut self.deferred);
        effects.extend(
            outgoing
                .calls
                .into_iter()
                .flat_map(OutgoingCall::into_effects),
        );
        effects.extend(zoned);
        effects.extend(self.hand_over_backlog().map(Effect::WakeAt));
        effects.extend(self.come_back());
        self.deferred = effects;
        self.persist_records()
    }

    fn decide(&mut self, events: Vec<Event>) -> Vec<Action> {
        if self.quiet {
            self.scheduler.bar_all();
        }
        let (mut actions, events) = self.restore(events);
        actions.extend(self.scheduler.handle(self.now, events));
        let active = self.scheduler.active_routes();
        log::trace!(active; "turn: {active} lanes are active after it");
        actions
    }

    fn carry_out(&mut self, actions: Vec<Action>) -> Outgoing {
        let mut outgoing = Outgoing::default();
        let now = self.now;
        for action in actions {
            match action {
                Action::Send { .. } if self.stopping => {}
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                    call,
                    write_within,
                } => {
                    let (until, write_by) = (now + timeout, write_within.map(|left| now + left));
                    self.on_send(
                        Send {
                            id: id.0,
                            endpoint,
                            call,
                            until,
                            write_by,
                        },
                        &mut outgoing,
                    );
                }
                Action::Reject { id, after } => self.on_final(id.0, after, true),
                Action::Fail(id) => self.on_final(id.0, None, false),
                Action::Timer(after) => self.deferred.push(Effect::WakeAt(now + after)),
                Action::CloseIdle(endpoint) => self.deferred.push(Effect::CloseIdle(endpoint)),
                Action::CheckHealth(endpoint) => {
                    let address = self.list.address(&endpoint).map(str::to_owned);
                    self.deferred
                        .extend(address.map(|address| Effect::CheckHealth { endpoint, address }));
                }
                // The directory is watched all the time.
                Action::Subscribe => {}
            }
        }
        outgoing
    }

    fn on_send(&mut self, send: Send, outgoing: &mut Outgoing) {
        let Send {
            id,
            endpoint,
            call,
            until,
            write_by,
        } = send;
        let Some(pending) = self.pending.get_mut(&id) else {
            must_hold!(
                self.unknown_message,
                false,
                "a send for {id}, which is not held"
            );
            return;
        };
        must_hold!(
            self.second_copy,
            pending.out.is_none(),
            "a second copy of {id}"
        );
        let Some(address) = self.list.address(&endpoint) else {
            must_hold!(
                self.unlisted_endpoint,
                false,
                "a send to {endpoint}, which was never listed"
            );
            return;
        };
        let (number, of) = (pending.attempts, pending.message.destination);
        pending.attempts += 1;
        pending.out = Some((number, endpoint.clone()));
        pending
            .possibly_executed
            .get_or_insert_with(|| (self.now, endpoint.clone(), number));
        let attempt = Attempt {
            id: id.clone(),
            number,
            key: pending.message.key.clone(),
            body: pending.message.body.clone(),
            envelope: pending.message.envelope.clone(),
            until: until.min(pending.deadline),
            write_by,
        };
        if let Some(recovery) = &mut self.recovery {
            recovery.work_queue.moved(of, &id);
        }
        let (attempt_endpoint, at) = (endpoint.0.clone(), self.now.0);
        outgoing.records.push(Record::AttemptStarted {
            id,
            attempt: number,
            endpoint: attempt_endpoint,
            at,
        });
        outgoing.add(call, endpoint, address, attempt);
    }

    /// What survived its first verdict is accepted: its record, and its answer, which waits for the journal.
    fn accept_unacknowledged(&mut self) -> Vec<Effect> {
        let mut answers = Vec::new();
        for (_, id) in std::mem::take(&mut self.unacknowledged) {
            if let Some(pending) = self.pending.get_mut(&id)
                && let Origin::Client(_) = pending.message.from
            {
                pending.accepted = true;
                self.records.push(pending.taken(self.now));
                answers.push(Effect::Answer {
                    to: pending.message.from,
                    id,
                    answer: Answer::Accepted,
                });
            }
        }
        answers
    }

    /// Attempts of what is not accepted are nobody's after a restart.
    fn record_attempts(&mut self, mut sent: Vec<Record>) {
        sent.retain(|record| {
            self.pending
                .get(record.id())
                .is_some_and(|pending| pending.accepted)
        });
        self.records.append(&mut sent);
    }

    /// Asks for this turn's records to be kept, or lets its effects out at once where there are none.
    fn persist_records(&mut self) -> Vec<Effect> {
        if self.records.is_empty() {
            return std::mem::take(&mut self.deferred);
        }
        let records = std::mem::take(&mut self.records);
        self.unpersisted = records.iter().filter(|r| r.is_end()).cloned().collect();
        vec![Effect::Persist(records)]
    }

    /// The journal has taken this turn's records, or some of them: what depends on them goes out.
    pub(crate) fn on_persisted(&mut self, kept: Persisted) -> Vec<Effect> {
        let effects = std::mem::take(&mut self.deferred);
        let unpersisted = std::mem::take(&mut self.unpersisted);
        if kept == Persisted::All {
            return effects;
        }
        // An end that is not written down would be forgotten by the next process: it is asked for again.
        if kept == Persisted::Nothing {
            self.records.extend(unpersisted);
        }
        // The disk is full: what is new is refused, and no attempt goes out that a restart would not know of.
        let mut out = Vec::new();
        for effect in effects {
            match effect {
                Effect::Answer {
                    to,
                    id,
                    answer: Answer::Accepted,
                } => {
                    self.pending.remove(&id);
                    self.events.push(Event::Cancelled(MessageId(id.clone())));
                    let after = Some(self.set.max_retry_after);
                    out.push(Effect::Answer {
                        to,
                        id,
                        answer: Answer::Rejected { after },
                    });
                }
                Effect::Call { attempts, .. } => {
                    let ended = |a: Attempt| AttemptOutcome {
                        id: a.id,
                        attempt: a.number,
                        status: Status::NotSent,
                        over: false,
                        took: Duration::ZERO,
                        retry_after: None,
                        report: None,
                    };
                    let ends = attempts.into_iter().map(ended).collect();
                    self.on_attempts_finished(ends);
                }
                other => out.push(other),
            }
        }
        out
    }
}
