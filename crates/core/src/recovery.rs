//! What an earlier process left, taken up again.

use std::collections::{BTreeMap, HashMap};

use cranehill_membership as membership;
use cranehill_recovery::{self as recovery, Recovery};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{self, Action, EndpointId, Event, OrderingKey};

use crate::effect::{Effect, Record};
use crate::ends::PendingReport;
use crate::message::{Message, Origin};
use crate::mutation::{self, Mutation};
use crate::pending::FirstRun;
use crate::reducer::Core;

/// A message that waits is handed over so many ticks before its last chance is over: the decisions end it then.
const LAST_CHANCE_TICKS: u32 = 3;

/// A message that an earlier process left open.
struct Waiting {
    id: String,
    destination: u64,
    /// When the decisions must have it.
    by: Time,
}

impl Core {
    pub(crate) fn on_recovered(&mut self, records: Vec<Record>) -> Vec<Effect> {
        if !records.is_empty() {
            // Attempts that were cut off with the earlier process may still run.
            self.scheduler.rest_keys(self.now);
        }
        // In the order in which they were accepted, by their place in it.
        let mut open: BTreeMap<usize, (Message, Time, Option<FirstRun>)> = BTreeMap::new();
        let mut endpoint_count: HashMap<String, usize> = HashMap::new();
        for (place, record) in records.into_iter().enumerate() {
            match record {
                Record::Accepted {
                    id,
                    class,
                    tenant,
                    destination,
                    key,
                    ordering_key,
                    deadline,
                    body,
                    ..
                } => {
                    let deadline = Time(deadline);
                    let left = deadline - self.now;
                    let (spent, envelope, from) = (0, None, Origin::Restored);
                    let message = Message {
                        id: id.clone(),
                        class,
                        tenant,
                        destination,
                        key,
                        ordering_key: ordering_key
                            .filter(|_| !mutation::is(Mutation::ForgetsOrder)),
                        body,
                        left,
                        spent,
                        envelope,
                        from,
                    };
                    if let Some(before) = endpoint_count.insert(id, place) {
                        open.remove(&before);
                    }
                    open.insert(place, (message, deadline, None));
                }
                Record::AttemptStarted {
                    id,
                    attempt,
                    endpoint,
                    at,
                } => {
                    let message = endpoint_count
                        .get(&id)
                        .and_then(|place| open.get_mut(place));
                    if let Some((message, _, possibly_executed)) = message {
                        message.spent = message.spent.max(attempt + 1);
                        possibly_executed.get_or_insert((Time(at), EndpointId(endpoint), attempt));
                    }
                }
                Record::AttemptFinished {
                    id,
                    attempt,
                    not_executed,
                } => {
                    let message = endpoint_count
                        .get(&id)
                        .and_then(|place| open.get_mut(place));
                    if let Some((.., possibly_executed)) = message {
                        possibly_executed
                            .take_if(|(.., number)| not_executed && *number == attempt);
                    }
                }
                Record::FinalReportDue {
                    id,
                    final_report,
                    ordering_key,
                } => {
                    endpoint_count.remove(&id).map(|place| open.remove(&place));
                    self.remember(&id);
                    self.final_report.insert(
                        id,
                        PendingReport {
                            final_report,
                            ordering_key,
                        },
                    );
                }
                Record::Completed { id, until } => {
                    endpoint_count.remove(&id).map(|place| open.remove(&place));
                    self.final_report.remove(&id);
                    // A clock that was far ahead must not have an id remembered for ever.
                    let until = Time(until).min(self.now + self.longest());
                    self.ended.note(&id, until, self.now);
                }
            }
        }
        self.hold_back_order();
        let mut ids = Vec::with_capacity(open.len());
        for (message, deadline, possibly_executed) in open.into_values() {
            let by = self.last_chance(message.class, deadline, possibly_executed.as_ref());
            ids.push(Waiting {
                id: message.id.clone(),
                destination: message.destination,
                by,
            });
            self.hold(message, deadline, possibly_executed);
        }
        self.order_by_key(&mut ids);
        for Waiting {
            id,
            destination,
            by,
        } in ids
        {
            self.set_hand_over_by(&id, by);
            match &mut self.recovery {
                Some(recovery) => recovery.work_queue.add(destination, by, id),
                None => self.await_room(id),
            }
        }
        self.take_up();
        self.hand_over_backlog();
        let report = |(id, report): (&String, &PendingReport)| {
            let final_report = report.final_report;
            Effect::SendFinalReport {
                id: id.clone(),
                final_report,
            }
        };
        self.final_report.iter().map(report).collect()
    }

    /// Reports of an earlier process that are still unanswered hold back what keeps its order with their messages.
    fn hold_back_order(&mut self) {
        for key in self
            .final_report
            .values()
            .filter_map(|report| report.ordering_key.as_ref())
        {
            self.scheduler.await_report(&OrderingKey(key.clone()));
        }
    }

    /// None of a key may be handed over later than one that was accepted after it.
    fn order_by_key(&self, waiting: &mut [Waiting]) {
        let mut earliest: HashMap<&str, Time> = HashMap::new();
        for Waiting { id, by, .. } in waiting.iter_mut().rev() {
            if let Some(key) = self.ordering_key_of(id) {
                let earliest = earliest.entry(key).or_insert(*by);
                *earliest = (*earliest).min(*by);
                *by = *earliest;
            }
        }
    }

    /// Until when a message may go out: to its deadline, or for a keyed one that may have been executed to the end of its window.
    pub(crate) fn last_chance(
        &self,
        class: usize,
        deadline: Time,
        first_run: Option<&FirstRun>,
    ) -> Time {
        let class = self
            .set
            .classes
            .get(class)
            .filter(|c| c.effect == api::Effect::Idempotent);
        let window_end = class
            .zip(first_run)
            .map(|(class, (at, ..))| *at + class.window);
        window_end.map_or(deadline, |end| end.min(deadline))
    }

    /// Comes back by steps: what is recalled, first calls and owed messages each within their bounds.
    pub fn recover(&mut self, settings: recovery::Settings) {
        self.recovery = Some(Recovery::new(settings, self.now));
    }

    /// How far this sender has come back, where it does so by steps.
    pub fn phase(&self) -> Option<recovery::Phase> {
        self.recovery.as_ref().map(Recovery::phase)
    }

    pub(crate) fn on_learned_state_restored(&mut self, bytes: &[u8]) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        match recovery::unpack(bytes) {
            Ok(learned_state) => {
                log::info!(chunks = learned_state.len(); "recovery: {} partners remembered", learned_state.len());
                recovery.restored(self.now, learned_state);
            }
            Err(why) => log::warn!("recovery: {why}; nothing of it is used"),
        }
    }

    /// What this sender knows of destinations, for the process that goes on in its place.
    pub fn learned_state(&self) -> Vec<u8> {
        recovery::pack(&self.scheduler.learned_state())
    }

    pub(crate) fn inherit_learned_state(&mut self, bytes: &[u8]) {
        match recovery::unpack(bytes) {
            Ok(learned_state) => self.inherited_state = learned_state,
            Err(why) => log::error!("hand-over: what was learnt: {why}"),
        }
    }

    /// A member asks for what we have learned, or tells what it has.
    pub(crate) fn on_learned_state_message(
        &mut self,
        announcement: &membership::Effect,
    ) -> Vec<Effect> {
        match announcement {
            membership::Effect::LearnedRequested { by } => {
                let chunks = recovery::encode(
                    &self.scheduler.learned_state(),
                    membership::MAX_LEARNED_PIECE,
                );
                self.on_fleet(membership::Input::SendLearned { to: *by, chunks })
            }
            membership::Effect::LearnedReceived { by, piece } => {
                let Some(recovery) = &mut self.recovery else {
                    return Vec::new();
                };
                match recovery::decode(piece) {
                    Ok(learned_state) => {
                        log::info!(event = "learned-state-received", by:%, chunks = learned_state.len();
                            "recovery: {by} told of {} partners", learned_state.len());
                        recovery.peer_replied(self.now, learned_state);
                    }
                    Err(why) => log::warn!("recovery: from {by}: {why}"),
                }
                vec![Effect::WakeAt(self.now)]
            }
            _ => Vec::new(),
        }
    }

    /// Takes up what is next of what is owed, where that goes by steps.
    pub(crate) fn take_up(&mut self) {
        let ids = self
            .recovery
            .as_mut()
            .map(|r| r.work_queue.release(self.now))
            .unwrap_or_default();
        for id in ids {
            self.await_room(id);
        }
    }

    /// Hands to the decisions what they have room for of what is taken up. Tells when to come again, where anything waits.
    pub(crate) fn hand_over_backlog(&mut self) -> Option<Time> {
        let margin = self.set.tick * LAST_CHANCE_TICKS;
        let transferred = self
            .events
            .iter()
            .filter(|event| matches!(event, Event::Accept(_)))
            .count();
        let room = self.scheduler.capacity().saturating_sub(transferred);
        let released = self.backlog.release(self.now, room, margin);
        released.iter().for_each(|id| self.hand_over(id));
        if released.is_empty() {
            self.backlog.due(margin)
        } else {
            Some(self.now)
        }
    }

    /// Has the decisions recall what they may, once they know the destinations that it is about: lists go before all else.
    pub(crate) fn restore(&mut self, events: Vec<Event>) -> (Vec<Action>, Vec<Event>) {
        // The list's part of a turn goes before the rest of it: with something withdrawn in between, a call could go out for it.
        // Such a turn is left whole, and the next one recalls.
        if events.iter().any(|e| matches!(e, Event::Cancelled(_))) {
            return (Vec::new(), events);
        }
        if !self.inherited_state.is_empty() {
            let (lists, rest) = split_lists(events);
            let actions = self.scheduler.handle(self.now, lists);
            self.inherited_state = self
                .scheduler
                .inherit(self.now, std::mem::take(&mut self.inherited_state));
            return (actions, rest);
        }
        let due = self.recovery.as_mut().and_then(|r| r.restore(self.now));
        let Some(learned_state) = due else {
            return (Vec::new(), events);
        };
        let (lists, rest) = split_lists(events);
        let actions = self.scheduler.handle(self.now, lists);
        let last = self.scheduler.restore(self.now, &learned_state);
        if let Some(recovery) = &mut self.recovery {
            recovery.spread(last);
        }
        (actions, rest)
    }

    /// At a turn's end: asks members, goes on with what is owed, writes down what is learned, and looks whether all is done.
    pub(crate) fn come_back(&mut self) -> Vec<Effect> {
        let now = self.now;
        let others = self
            .members()
            .is_some_and(|m| m.views().any(|v| v.state == membership::State::Alive));
        let Some(recovery) = &mut self.recovery else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        if recovery.asks(now, others) {
            effects.extend(self.on_fleet(membership::Input::RequestLearned));
        }
        let before = self.events.len();
        self.take_up();
        self.hand_over_backlog();
        let submitted = self.events.len() > before;
        let learned_state = self.scheduler.learned_state();
        let Some(recovery) = &mut self.recovery else {
            return effects;
        };
        if recovery.remembers(now, &learned_state) {
            effects.push(Effect::PersistLearnedState(recovery::pack(&learned_state)));
        }
        effects.extend(recovery.look(now).map(Effect::RecoveryComplete));
        let next = if submitted {
            Some(now)
        } else {
            recovery.due(now)
        };
        effects.extend(next.map(Effect::WakeAt));
        effects
    }
}

/// Lists, which go before all else, and the rest.
fn split_lists(events: Vec<Event>) -> (Vec<Event>, Vec<Event>) {
    events
        .into_iter()
        .partition(|e| matches!(e, Event::List { .. } | Event::SenderCount(_)))
}
