//! [`Core`]: all state, and the one place where it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_membership::{self as membership, Members};
use cranehill_recovery::Recovery;
use cranehill_scheduler::api::{DestinationId, Event, MessageId, Settings};
use cranehill_scheduler::{LearnedState, Scheduler, SettingsError, Time};
use cranehill_zone_failover::Zones;

use crate::backlog::Backlog;
use crate::detach::Detached;
use crate::effect::{Effect, Record};
use crate::ended::Ended;
use crate::ends::PendingReport;
use crate::input::Input;
use crate::list::EndpointList;
use crate::message::{Answer, Message, Origin};
use crate::mutation::{self, Mutation};
use crate::order::PendingOrder;
use crate::pending::PendingMessage;

/// What must hold, counted where it does not. Debug builds stop instead.
#[derive(Debug, Default, Clone, Copy)]
pub struct Violations {
    pub second_copy: u64,
    pub unknown_message: u64,
    pub unlisted_endpoint: u64,
}

#[derive(Debug)]
pub struct Core {
    pub(crate) scheduler: Scheduler,
    pub(crate) set: Settings,
    pub(crate) now: Time,
    pub(crate) pending: BTreeMap<String, PendingMessage>,
    pub(crate) final_report: BTreeMap<String, PendingReport>,
    pub(crate) list: EndpointList,
    /// Messages accepted that have ended.
    pub(crate) ended: Ended,
    pub(crate) events: Vec<Event>,
    pub(crate) records: Vec<Record>,
    /// Ends that the journal had no room for: they go into its next turn again.
    pub(crate) unpersisted: Vec<Record>,
    pub(crate) deferred: Vec<Effect>,
    /// Submitted this turn and not answered yet, in the order in which they came.
    pub(crate) unacknowledged: BTreeSet<(u64, String)>,
    /// Messages held so far.
    pub(crate) sequence: u64,
    pub(crate) stopping: bool,
    /// The other senders, where this one takes part in the fleet.
    pub(crate) members: Option<Members>,
    /// What an earlier process left, and the decisions have no room for yet.
    pub(crate) backlog: Backlog,
    /// What waits to be handed to the decisions and keeps an order.
    pub(crate) pending_order: PendingOrder,
    /// The way back to full service, where it goes by steps.
    pub(crate) recovery: Option<Recovery>,
    /// Zones as the fleet sees them, where it leaves and returns together.
    pub(crate) zones: Option<Zones>,
    pub(crate) detached: Detached,
    /// No new attempts: another process is about to take over.
    pub(crate) quiet: bool,
    /// What the process before this one knew, until the list has what it is about.
    pub(crate) inherited_state: Vec<LearnedState>,
    /// The version of the members' payloads that was looked at last.
    pub(crate) payloads_version: u64,
    pub violations: Violations,
}

impl Core {
    pub fn new(mut set: Settings, seed: u64, now: Time) -> Result<Core, SettingsError> {
        if mutation::is(Mutation::RepeatsUnsafe) {
            set.classes
                .iter_mut()
                .for_each(|c| c.effect = cranehill_scheduler::api::Effect::Safe);
        }
        if mutation::is(Mutation::SeventhAttempt) {
            set.attempts_cap = 9;
        }
        let mut scheduler = Scheduler::new(set.clone(), seed, now)?;
        scheduler.confirm_reports();
        Ok(Core {
            scheduler,
            set,
            now,
            pending: BTreeMap::new(),
            final_report: BTreeMap::new(),
            list: EndpointList::default(),
            ended: Ended::default(),
            events: Vec::new(),
            records: Vec::new(),
            unpersisted: Vec::new(),
            deferred: Vec::new(),
            unacknowledged: BTreeSet::new(),
            sequence: 0,
            stopping: false,
            members: None,
            backlog: Backlog::default(),
            pending_order: PendingOrder::default(),
            recovery: None,
            zones: None,
            detached: Detached::default(),
            quiet: false,
            inherited_state: Vec::new(),
            payloads_version: 0,
            violations: Violations::default(),
        })
    }

    /// Takes part in the fleet; `membership::Input::TimerFired` is to come at once.
    pub fn join(&mut self, settings: membership::Settings, seed: u64) {
        self.members = Some(Members::new(settings, seed, self.now));
    }

    /// The other senders as this one sees them.
    pub fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// Takes one input in and tells what to do.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        match input {
            Input::Submitted(message) => self.on_submitted(message),
            Input::Cancelled(id) => {
                if let Some(pending) = self.pending.remove(&id) {
                    self.unacknowledged.remove(&(pending.sequence, id.clone()));
                    self.events.push(Event::Cancelled(MessageId(id)));
                }
                Vec::new()
            }
            Input::EndpointsChanged { whole, list } => self.on_endpoints_changed(whole, list),
            Input::AttemptsFinished(ends) => self.on_attempts_finished(ends),
            Input::HealthChecked { endpoint, status } => {
                self.events.push(Event::HealthChecked { endpoint, status });
                Vec::new()
            }
            Input::TimerFired => {
                self.events.push(Event::Wake);
                Vec::new()
            }
            Input::TickEnded => self.on_tick_ended(),
            Input::Persisted(kept) => self.on_persisted(kept),
            Input::FinalReportsAcknowledged(ids) => {
                for id in ids {
                    if let Some(report) = self.final_report.remove(&id) {
                        self.end_order(report.ordering_key.as_deref());
                        let until = self.remember(&id);
                        self.records.push(Record::Completed { id, until: until.0 });
                    }
                }
                Vec::new()
            }
            Input::Recovered(records) => self.on_recovered(records),
            Input::LearnedStateRestored(bytes) => {
                self.on_learned_state_restored(&bytes);
                Vec::new()
            }
            Input::Fleet(input) => self.on_fleet(input),
            Input::Quiesced(quiet) => {
                self.quiet = quiet;
                if !quiet {
                    self.scheduler.unbar_all();
                }
                Vec::new()
            }
            Input::LearnedStateInherited(bytes) => {
                self.inherit_learned_state(&bytes);
                Vec::new()
            }
            Input::Detach { by, endpoint, back } => self.on_detach(by, endpoint, back),
            Input::Stopping => {
                if mutation::is(Mutation::LeaksAtStop) {
                    let now = self.now.0;
                    let over = |id: &String| Record::Completed {
                        id: id.clone(),
                        until: now,
                    };
                    return vec![Effect::Persist(self.pending.keys().map(over).collect())];
                }
                self.stopping = true;
                Vec::new()
            }
        }
    }

    pub(crate) fn on_fleet(&mut self, input: membership::Input) -> Vec<Effect> {
        let Some(members) = &mut self.members else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for effect in members.step(self.now, input) {
            match effect {
                membership::Effect::LearnedRequested { .. }
                | membership::Effect::LearnedReceived { .. } => {
                    effects.extend(self.on_learned_state_message(&effect));
                }
                membership::Effect::ShareDivisor(senders) => {
                    self.events.push(Event::SenderCount(senders));
                    effects.push(Effect::Fleet(effect));
                }
                other => effects.push(Effect::Fleet(other)),
            }
        }
        if self.zones.is_some() {
            let version = self.members.as_ref().map_or(0, Members::payloads_version);
            // What members say of zones is looked at with the next turn.
            if self.payloads_version != version {
                self.payloads_version = version;
                effects.push(Effect::WakeAt(self.now));
            }
        }
        effects
    }

    /// Whether the directory lists this destination, or did until lately: all of its endpoints may be in the middle
    /// of being replaced.
    pub fn knows(&self, destination: u64) -> bool {
        self.list.knows(DestinationId(destination))
    }

    /// Endpoints that are kept, here and by the decisions.
    pub fn endpoints(&self) -> usize {
        self.list.len().max(self.scheduler.endpoint_count())
    }

    /// Calls out just now.
    pub fn attempts_out(&self) -> usize {
        self.pending.values().filter(|h| h.out.is_some()).count()
    }

    /// Messages held, and final reports that the platform has yet to take.
    pub fn outstanding(&self) -> (usize, usize) {
        (self.pending.len(), self.final_report.len())
    }

    fn on_submitted(&mut self, message: Message) -> Vec<Effect> {
        // The same id again is the same message: a client resends what it could not know we had read.
        if let Some(pending) = self.pending.get(&message.id) {
            if pending.accepted {
                let (to, id) = (message.from, message.id);
                return vec![Effect::Answer {
                    to,
                    id,
                    answer: Answer::Accepted,
                }];
            }
            let refused = Answer::Rejected {
                after: Some(Duration::from_millis(100)),
            };
            return vec![Effect::Answer {
                to: message.from,
                id: message.id,
                answer: refused,
            }];
        }
        // So is one that has ended, for as long as a message lasts: nothing goes out twice under one id, nor to
        // where somebody else under that id would have it go.
        if self.ended.contains(&message.id) && matches!(message.from, Origin::Client(_)) {
            return vec![Effect::Answer {
                to: message.from,
                id: message.id,
                answer: Answer::Accepted,
            }];
        }
        let deadline = self.now + message.left;
        let id = message.id.clone();
        let sequence = self.hold(message, deadline, None);
        self.unacknowledged.insert((sequence, id.clone()));
        self.hand_over(&id);
        Vec::new()
    }

    /// How long a returning endpoint is cold.
    pub(crate) fn cold(&self) -> Duration {
        self.set.rules.cold
    }

    /// How long a message lasts at most.
    pub(crate) fn longest(&self) -> Duration {
        self.set
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or_default()
    }
}
