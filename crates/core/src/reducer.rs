//! [`Core`]: the whole state of a sender. Inputs change it only through [`Core::step`].

use std::time::Duration;

use cranehill_membership::{self as membership, Members};
use cranehill_recovery::{self as recovery, Phase};
use cranehill_scheduler::api::{
    AcceptedMessage, Action, DestinationId, EndpointId, Entry, Event, MessageId, Settings,
};
use cranehill_scheduler::{Scheduler, SettingsError, Time};
use cranehill_zone_failover as zone_failover;

use crate::detachments::Detachments;
use crate::effect::{Effect, Record};
use crate::endpoints::{DetachRequest, Endpoints};
use crate::fleet::Fleet;
use crate::input::{AttemptOutcome, Input, Persisted};
use crate::invariant::Violations;
use crate::message::{Answer, Listing, Message};
use crate::messages::{Messages, RestoredMessage, WaitingAnswer};
use crate::mutation::{self, Mutation};
use crate::outbox::Outbox;
use crate::outgoing_calls::OutgoingCalls;
use crate::pending_message::{InFlightAttempt, SendRequest, Verdict};

/// The whole state of a sender.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    now: Time,
    scheduler: Scheduler,
    /// Events for the scheduler, which handles them at the end of the tick.
    events: Vec<Event>,
    messages: Messages,
    endpoints: Endpoints,
    fleet: Fleet,
    outbox: Outbox,
    /// The process is shutting down: no new attempts are started.
    stopping: bool,
    /// A hand-over to a new process is in progress: no new attempts are started.
    quiesced: bool,
    /// Number of violations of each invariant since the start of the process.
    pub violations: Violations,
}

impl Core {
    /// Creates a sender without messages and endpoints. `seed` initializes the scheduler's random draws.
    ///
    /// # Errors
    ///
    /// Fails if the scheduler rejects the settings; the error names the setting.
    pub fn new(mut settings: Settings, seed: u64, now: Time) -> Result<Core, SettingsError> {
        mutation::apply_to_settings(&mut settings);
        let mut scheduler = Scheduler::new(settings.clone(), seed, now)?;
        scheduler.require_report_acknowledgements();
        Ok(Core {
            now,
            scheduler,
            events: Vec::new(),
            messages: Messages::new(&settings),
            endpoints: Endpoints::new(settings.rules.warm_up),
            fleet: Fleet::default(),
            outbox: Outbox::default(),
            stopping: false,
            quiesced: false,
            violations: Violations::default(),
            settings,
        })
    }

    /// Joins the fleet as a member. [`membership::Input::TimerFired`] must be passed in at once, to start the protocol.
    /// `seed` initializes the random draws of the membership protocol.
    pub fn join(&mut self, settings: membership::Settings, seed: u64) {
        self.fleet.join(self.now, settings, seed);
    }

    /// Enables zone failover: the members decide together which zones to evacuate and when to return to them.
    pub fn manage_zones(&mut self, settings: zone_failover::Settings) {
        self.fleet.manage_zones(settings);
        self.update_zone_endpoint_counts();
    }

    /// Starts the recovery after a restart: learned state is restored, and first calls and recovered messages are
    /// spread over time.
    pub fn start_recovery(&mut self, settings: recovery::Settings) {
        self.fleet.recovery.enable(self.now, settings);
    }

    /// Restores the detachments of an earlier process, from the state file.
    pub fn restore_detachments(&mut self, before: Detachments) {
        for entry in self.endpoints.restore_detachments(self.now, before) {
            self.push_entry(entry);
        }
    }

    /// The fleet's members as known to this sender; `None` before [`Core::join`].
    pub fn members(&self) -> Option<&Members> {
        self.fleet.members()
    }

    /// The state of each zone; `None` before [`Core::manage_zones`].
    pub fn zone_states(&self) -> Option<Vec<(u32, zone_failover::State)>> {
        self.fleet.zone_states()
    }

    /// The phase of the recovery; `None` before [`Core::start_recovery`].
    pub fn recovery_phase(&self) -> Option<Phase> {
        self.fleet.recovery.phase()
    }

    /// The learned state of this sender in the format of the state file, for the new process in a hand-over.
    pub fn learned_state(&self) -> Vec<u8> {
        recovery::encode_state_file(&self.scheduler.learned_state())
    }

    /// Whether the destination has a listed endpoint, or lost its last one less than ten minutes ago: all of its
    /// endpoints may be being replaced.
    pub fn is_known_destination(&self, destination: u64) -> bool {
        self.endpoints
            .list()
            .is_known_destination(DestinationId(destination))
    }

    /// Number of endpoints in the endpoint list or in the scheduler, whichever is larger.
    pub fn endpoint_count(&self) -> usize {
        let listed = self.endpoints.list().len();
        listed.max(self.scheduler.endpoint_table_len())
    }

    /// The sum of the sizes of all pending messages' bodies, in bytes.
    pub fn pending_body_bytes(&self) -> usize {
        self.messages.pending_body_bytes()
    }

    /// Number of attempts in flight.
    pub fn in_flight_count(&self) -> usize {
        self.messages.in_flight_count()
    }

    /// Number of pending messages, and number of final reports that the platform has not acknowledged.
    pub fn pending_and_report_counts(&self) -> (usize, usize) {
        (self.messages.pending_count(), self.messages.report_count())
    }

    /// Applies one input. Returns the resulting effects, which the caller must carry out in this order. If `now` is
    /// before the time of an earlier step, the earlier time is used.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        match input {
            Input::Submitted(message) => return self.on_submitted(message),
            Input::Cancelled(id) => self.on_cancelled(MessageId(id)),
            Input::EndpointsChanged { whole, list } => {
                return self.on_endpoints_changed(whole, list);
            }
            Input::AttemptsFinished(outcomes) => return self.on_attempts_finished(outcomes),
            Input::HealthChecked { endpoint, status } => {
                self.events.push(Event::HealthChecked { endpoint, status });
            }
            Input::TimerFired => self.events.push(Event::TimerFired),
            Input::TickEnded => return self.on_tick_ended(),
            Input::Persisted(persisted) => return self.on_persisted(persisted),
            Input::FinalReportsAcknowledged(ids) => self.on_final_reports_acknowledged(ids),
            Input::Recovered(records) => return self.on_recovered(records),
            Input::LearnedStateRestored(bytes) => self.fleet.recovery.on_restored(self.now, &bytes),
            Input::LearnedStateInherited(bytes) => self.fleet.recovery.on_inherited(&bytes),
            Input::Fleet(input) => return self.on_fleet(input),
            Input::Quiesced(quiesced) => self.on_quiesced(quiesced),
            Input::Detach {
                connection,
                endpoint,
                attach,
            } => {
                return self.on_detach(DetachRequest {
                    connection,
                    endpoint: EndpointId(endpoint),
                    attach,
                });
            }
            Input::Stopping => return self.on_stopping(),
            Input::Ending { retry_after } => return self.on_ending(retry_after),
        }
        Vec::new()
    }

    fn on_submitted(&mut self, message: Message) -> Vec<Effect> {
        let id = MessageId(message.id.clone());
        if let Some(answer) = self.messages.answer_to_repeat(&id, message.origin) {
            return vec![Effect::Answer {
                to: message.origin,
                id: message.id,
                answer,
            }];
        }
        let accepted = self.messages.submit(self.now, message);
        self.push_messages(accepted);
        Vec::new()
    }

    fn on_cancelled(&mut self, id: MessageId) {
        if self.messages.cancel(&id) {
            self.events.push(Event::Cancelled(id));
        }
    }

    fn on_endpoints_changed(&mut self, replaces_all: bool, mut list: Vec<Listing>) -> Vec<Effect> {
        let replaces_all = mutation::apply_to_endpoint_list(replaces_all, &mut list);
        let update = self.endpoints.update(self.now, replaces_all, list);
        let entries = update.entries;
        self.events.push(Event::EndpointList {
            replaces_all,
            entries,
        });
        self.update_zone_endpoint_counts();
        self.fleet.recovery.on_endpoints_changed();
        update.effects
    }

    fn update_zone_endpoint_counts(&mut self) {
        let endpoints = self.endpoints.list().zones();
        self.fleet.set_zone_endpoint_counts(endpoints);
    }

    fn on_attempts_finished(&mut self, outcomes: Vec<AttemptOutcome>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for mut outcome in outcomes {
            mutation::apply_to_outcome(&mut outcome);
            effects.extend(self.on_attempt_finished(outcome));
        }
        effects
    }

    fn on_attempt_finished(&mut self, outcome: AttemptOutcome) -> Option<Effect> {
        let finished = self
            .messages
            .finish_attempt(self.now, &outcome, &mut self.outbox);
        let Some(finished) = finished else {
            // The message was cancelled while in flight; the scheduler still needs the outcome for its route.
            self.events.push(outcome.into_event(true));
            return None;
        };
        let violations = &mut self.violations;
        must_hold!(
            violations.unknown_message,
            finished.in_flight.is_some(),
            "attempt of message {} finished, expected one in flight",
            outcome.id
        );
        if let Some(InFlightAttempt { endpoint, .. }) = &finished.in_flight {
            let zone = self.endpoints.list().zone(endpoint);
            self.fleet
                .record_attempt(self.now, zone, endpoint, outcome.status);
        }
        // Calls that are not written yet would reach the destination within the retry-after time.
        let has_retry_after = outcome.retry_after.is_some();
        self.events.push(outcome.into_event(finished.completed));
        has_retry_after.then(|| self.endpoints.cancel_unwritten(finished.destination))
    }

    /// Ends a message that the scheduler has rejected or failed.
    fn end_undelivered(&mut self, id: &MessageId, verdict: Verdict) {
        let ended = self
            .messages
            .end(self.now, id.clone(), verdict, &mut self.outbox);
        let Some(ended) = ended else {
            return;
        };
        self.fleet.recovery.on_sent_or_ended(ended.destination, id);
        if let Some(key) = ended.released_key {
            self.scheduler.report_acknowledged(&key);
        }
    }

    fn on_final_reports_acknowledged(&mut self, ids: Vec<String>) {
        for id in ids.into_iter().map(MessageId) {
            let released_key = self
                .messages
                .acknowledge_report(self.now, id, &mut self.outbox);
            if let Some(key) = released_key {
                self.scheduler.report_acknowledged(&key);
            }
        }
    }

    fn on_fleet(&mut self, input: membership::Input) -> Vec<Effect> {
        self.fleet
            .step(self.now, input, &self.scheduler, &mut self.events)
    }

    fn on_quiesced(&mut self, quiesced: bool) {
        self.quiesced = quiesced;
        if !quiesced {
            self.scheduler.open_all_gates();
        }
    }

    fn on_detach(&mut self, request: DetachRequest) -> Vec<Effect> {
        let result = self
            .endpoints
            .detach(self.now, request, &mut self.scheduler);
        if let Some(entry) = result.entry {
            self.push_entry(entry);
        }
        result.effects
    }

    /// Adds an event for the scheduler about one changed endpoint.
    fn push_entry(&mut self, entry: Entry) {
        self.events.push(Event::EndpointList {
            replaces_all: false,
            entries: vec![entry],
        });
    }

    fn on_stopping(&mut self) -> Vec<Effect> {
        if mutation::is_enabled(Mutation::LeaksAtStop) {
            return vec![self.messages.forget_pending(self.now)];
        }
        self.stopping = true;
        Vec::new()
    }

    fn on_ending(&mut self, retry_after: Duration) -> Vec<Effect> {
        let classes = &self.settings.classes;
        let answers = self.messages.end_waiting(self.now, retry_after, classes);
        let ids = answers.iter().map(|answer| answer.id.clone());
        self.events.extend(ids.map(Event::Cancelled));
        answers
            .into_iter()
            .map(WaitingAnswer::into_effect)
            .collect()
    }

    /// Hands messages over to the scheduler.
    fn push_messages(&mut self, messages: Vec<AcceptedMessage>) {
        self.events.extend(messages.into_iter().map(Event::Accept));
    }

    fn on_recovered(&mut self, records: Vec<Record>) -> Vec<Effect> {
        if !records.is_empty() {
            // Attempts that were in flight when the earlier process ended may still be executed: ordering keys stay
            // blocked for a while before a next attempt.
            self.scheduler.pause_ordering_keys(self.now);
        }
        let classes = &self.settings.classes;
        let restored = self.messages.restore(self.now, records, classes);
        for key in self.messages.blocked_ordering_keys() {
            self.scheduler.block_until_report_acknowledged(key);
        }
        for message in restored {
            self.queue_restored_message(message);
        }
        self.release_work_queue();
        self.hand_over_backlog();
        self.messages.resend_reports()
    }

    /// Adds a recovered message to the work queue of the recovery, or to the backlog if recovery is not enabled.
    fn queue_restored_message(&mut self, message: RestoredMessage) {
        let RestoredMessage {
            id,
            destination,
            hand_over_by,
        } = message;
        let recovery = &mut self.fleet.recovery;
        if !recovery.enqueue(destination, hand_over_by, &id) {
            self.messages.add_to_backlog(id);
        }
    }

    /// Moves the messages that the work queue releases now to the backlog.
    fn release_work_queue(&mut self) {
        for id in self.fleet.recovery.release(self.now) {
            self.messages.add_to_backlog(id);
        }
    }

    /// Hands over as many messages of the backlog as the scheduler has capacity for. Returns when to try again; `None`
    /// if the backlog is empty.
    fn hand_over_backlog(&mut self) -> Option<Time> {
        let events = self.events.iter();
        let handed_over_count = events.filter(|e| matches!(e, Event::Accept(_))).count();
        let capacity = self.scheduler.capacity().saturating_sub(handed_over_count);
        let release = self.messages.release_backlog(self.now, capacity);
        self.push_messages(release.messages);
        release.next
    }

    /// Ends a tick: the scheduler handles the tick's events, and its actions become records and effects.
    fn on_tick_ended(&mut self) -> Vec<Effect> {
        let mut events = std::mem::take(&mut self.events);
        self.messages.refresh(self.now, &mut events);
        let zone_effects = self
            .fleet
            .update_zones(self.now, &mut self.scheduler, &mut self.events);
        self.endpoints
            .admit_warming_up(self.now, &mut self.scheduler);
        let actions = self.run_scheduler(events);
        let mut calls = self.apply_actions(actions);
        // The answer precedes the call: a client must not see a delivery before the acceptance of its message.
        let outbox = &mut self.outbox;
        let mut effects = self.messages.accept_unacknowledged(self.now, outbox);
        self.messages.record_attempts(calls.take_records(), outbox);
        effects.extend(self.outbox.take_deferred());
        effects.extend(calls.into_effects());
        effects.extend(zone_effects);
        effects.extend(self.hand_over_backlog().map(Effect::WakeAt));
        effects.extend(self.continue_recovery());
        self.outbox.flush(effects)
    }

    fn run_scheduler(&mut self, events: Vec<Event>) -> Vec<Action> {
        if self.quiesced {
            self.scheduler.close_all_gates();
        }
        let recovery = &mut self.fleet.recovery;
        let restored = recovery.restore(self.now, &mut self.scheduler, events);
        let mut actions = restored.actions;
        actions.extend(self.scheduler.handle(self.now, restored.remaining));
        let active_routes = self.scheduler.active_route_count();
        log::trace!(active_routes; "tick: {active_routes} active routes");
        actions
    }

    fn apply_actions(&mut self, actions: Vec<Action>) -> OutgoingCalls {
        let mut calls = OutgoingCalls::default();
        let now = self.now;
        for action in actions {
            match action {
                Action::Send { .. } if self.stopping => {}
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                    call,
                    write_timeout,
                } => {
                    let request = SendRequest {
                        id,
                        endpoint,
                        call,
                        until: now + timeout,
                        write_by: write_timeout.map(|within| now + within),
                    };
                    self.start_attempt(request, &mut calls);
                }
                Action::Reject { id, retry_after } => {
                    self.end_undelivered(&id, Verdict::Rejected { retry_after });
                }
                Action::Fail(id) => self.end_undelivered(&id, Verdict::Failed),
                Action::Timer(after) => self.outbox.defer(Effect::WakeAt(now + after)),
                Action::CloseIdle(endpoint) => self.outbox.defer(Effect::CloseIdle(endpoint)),
                Action::CheckHealth(endpoint) => {
                    let check = self.endpoints.check_health(endpoint);
                    self.outbox.defer_all(check);
                }
                // Discovery is watched continuously, for all destinations.
                Action::PollEndpointList => {}
            }
        }
        calls
    }

    fn start_attempt(&mut self, request: SendRequest, calls: &mut OutgoingCalls) {
        let SendRequest { id, endpoint, .. } = &request;
        let violations = &mut self.violations;
        let Some(pending) = self.messages.pending_mut(id) else {
            must_hold!(
                violations.unknown_message,
                false,
                "attempt started for message {id}, which is not pending"
            );
            return;
        };
        must_hold!(
            violations.second_copy,
            !pending.is_in_flight(),
            "attempt started for message {id}, which has another attempt in flight"
        );
        let Some(address) = self.endpoints.list().address(endpoint) else {
            must_hold!(
                violations.unlisted_endpoint,
                false,
                "attempt of message {id} started to endpoint {endpoint}, which is not listed"
            );
            return;
        };
        let attempt = pending.start_attempt(self.now, &request);
        let recovery = &mut self.fleet.recovery;
        recovery.on_sent_or_ended(pending.destination(), id);
        calls.add(self.now, request, address.to_owned(), attempt);
    }

    /// Called at the end of a tick. If recovery is enabled: requests learned state from other members, releases
    /// messages of the work queue, persists learned state, and checks whether the recovery is complete.
    fn continue_recovery(&mut self) -> Vec<Effect> {
        if !self.fleet.recovery.is_enabled() {
            return Vec::new();
        }
        let mut effects =
            self.fleet
                .request_learned_state(self.now, &self.scheduler, &mut self.events);
        let events_before = self.events.len();
        self.release_work_queue();
        self.hand_over_backlog();
        let has_handed_over = self.events.len() > events_before;
        let recovery = &mut self.fleet.recovery;
        effects.extend(recovery.end_tick(self.now, &self.scheduler, has_handed_over));
        effects
    }

    /// Handles the result of the journal's write. Returns the deferred effects; if not all records were written,
    /// without the effects that need their record.
    fn on_persisted(&mut self, persisted: Persisted) -> Vec<Effect> {
        let effects = self.outbox.on_persisted(persisted);
        if persisted == Persisted::All {
            return effects;
        }
        effects
            .into_iter()
            .filter_map(|effect| self.cancel_unrecorded(effect))
            .collect()
    }

    /// Replaces an effect whose record may be missing from the journal: an acceptance becomes a rejection, and calls
    /// are not sent, as the message or attempt would be unknown after a restart. Other effects are returned unchanged.
    fn cancel_unrecorded(&mut self, effect: Effect) -> Option<Effect> {
        match effect {
            Effect::Answer {
                to,
                id,
                answer: Answer::Accepted,
            } => {
                let id = MessageId(id);
                self.messages.cancel(&id);
                self.events.push(Event::Cancelled(id.clone()));
                let answer = Answer::Rejected {
                    retry_after: Some(self.settings.max_retry_after),
                };
                Some(Effect::Answer {
                    to,
                    id: id.0,
                    answer,
                })
            }
            Effect::Call { attempts, .. } => {
                let not_sent = attempts.into_iter().map(AttemptOutcome::not_sent);
                self.on_attempts_finished(not_sent.collect());
                None
            }
            other => Some(other),
        }
    }
}
