//! The scheduler's public methods: process events and return actions. The decisions themselves are in the other modules.

use crate::api::{Action, EndpointId, Event, OrderingKey, Settings, SettingsError, Time};
use crate::learned_state::LearnedState;
use crate::state::SchedulerState;

/// The scheduler of one sender: it holds the pending messages and decides when and to which endpoint each is sent.
#[derive(Debug)]
pub struct Scheduler {
    state: SchedulerState,
}

impl Scheduler {
    /// Creates a scheduler without messages, endpoints or learned state. `seed` initializes the random number generator.
    ///
    /// # Errors
    ///
    /// Fails if [`Settings::instances`], `slots`, `max_attempts` or `max_pending` is zero, or `classes` is empty.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Scheduler, SettingsError> {
        let state = SchedulerState::new(settings, seed, now)?;
        Ok(Scheduler { state })
    }

    /// Processes a batch of events that all happen at `now`, and returns the actions to carry out, in order. Time never moves
    /// back: an earlier `now` than in the previous batch counts as that one.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        let state = &mut self.state;
        let passed = now - state.now;
        state.advance_to(now);
        state.tenant_quotas.refill(&state.settings, passed);
        for event in events {
            state.on_event(event);
        }
        if state.discovery_polls.take_due(state.now) {
            state.actions.push(Action::PollEndpointList);
        }
        state.expire_unreachable();
        state.dispatch();
        state.shed_excess();
        state.schedule_wakeup();
        std::mem::take(&mut state.actions)
    }

    /// Number of messages that can be accepted before load is shed: beyond it the pending messages with the lowest priority
    /// weight are rejected or failed.
    pub fn capacity(&self) -> usize {
        self.state.capacity()
    }

    /// Length of the endpoint table or the route table, whichever is longer, including slots free for reuse.
    pub fn endpoint_table_len(&self) -> usize {
        self.state.endpoints.len().max(self.state.routes.len())
    }

    /// Number of routes that the next tick updates. The cost of a tick grows with it and with the pending messages.
    pub fn active_route_count(&self) -> usize {
        self.state.routes.active_count()
    }
}

impl SchedulerState {
    fn on_event(&mut self, event: Event) {
        match event {
            Event::EndpointList {
                replaces_all,
                entries,
            } => self.on_endpoint_list(replaces_all, entries),
            Event::EndpointListFailed => {
                let jitter = self.jitter();
                self.discovery_polls
                    .record_failure(&self.settings, self.now, jitter);
            }
            Event::Accept(accepted) => self.on_accept(accepted),
            Event::Outcome(outcome) => self.on_outcome(&outcome),
            Event::Cancelled(id) => {
                if let Some(number) = self.messages.number_of(&id) {
                    self.complete_message(number);
                }
            }
            Event::HealthChecked { endpoint, status } => {
                if let Some(index) = self.endpoints.index_of(&endpoint) {
                    self.record_health_signal(index, status);
                }
            }
            Event::QuotaDivisor(senders) => self.settings.instances = senders.max(1),
            Event::TimerFired => self.on_timer(),
        }
    }
}

/// Methods for ordering keys.
impl Scheduler {
    /// From now on, after a message expires, no message with its ordering key is sent until its final report is acknowledged
    /// ([`Scheduler::report_acknowledged`]). For callers that send final reports asynchronously.
    pub fn require_report_acknowledgements(&mut self) {
        self.state.ordering.confirm_reports();
    }

    /// Blocks an ordering key until [`Scheduler::report_acknowledged`] is called: an earlier process of this sender has started
    /// a final report of a message with this key.
    pub fn block_until_report_acknowledged(&mut self, ordering_key: &OrderingKey) {
        self.state.ordering.await_report(ordering_key);
    }

    /// Records that a final report of a message with this key was acknowledged, or that the client got the final answer
    /// directly.
    pub fn report_acknowledged(&mut self, ordering_key: &OrderingKey) {
        self.state.ordering.report_answered(ordering_key);
    }

    /// Pauses all ordering keys for [`Rules::ordering_pause`](crate::api::Rules::ordering_pause), since attempts of an earlier
    /// process may still be executed.
    pub fn pause_ordering_keys(&mut self, now: Time) {
        let until = now + self.state.settings.rules.ordering_pause;
        self.state.ordering.pause_all(until);
    }

    /// Number of ordering keys with queued messages, an unfinished pause or unacknowledged final reports.
    pub fn ordering_key_count(&self) -> usize {
        self.state.ordering.len()
    }
}

/// Methods for learned state.
impl Scheduler {
    /// Learned state of the routes that this process has called, and of those with a Retry-After wait.
    pub fn learned_state(&self) -> Vec<LearnedState> {
        self.state.learned_state()
    }

    /// Restores learned state of the listed destinations and spreads the first calls to each over time. Routes that this
    /// process has already called keep their own state, but Retry-After waits apply to them too. Returns the latest time at
    /// which one of the spread first calls may be sent.
    pub fn restore(&mut self, now: Time, learned_state: &[LearnedState]) -> Time {
        self.state.restore(now, learned_state)
    }

    /// Restores the state handed over by another process of this sender that has just stopped. The state is current and only
    /// this sender restarts, so first calls are not spread. Returns the Retry-After waits of destinations that are not listed
    /// yet; the caller must keep them.
    pub fn restore_handed_over(
        &mut self,
        now: Time,
        learned_state: Vec<LearnedState>,
    ) -> Vec<LearnedState> {
        self.state.restore_handed_over(now, learned_state)
    }
}

/// Methods for gates: token buckets in front of the endpoints of evacuated zones and of reattached endpoints.
impl Scheduler {
    /// Evacuates a zone: closes the gates of its endpoints, so that no call is sent to them. Revokes a probe call that was
    /// admitted but not sent.
    pub fn evacuate_zone(&mut self, zone: u32) {
        self.state.endpoints.close_zone(zone);
    }

    /// Closes the gates of the endpoints of an evacuated zone that were listed after [`Scheduler::evacuate_zone`].
    pub fn evacuate_new_endpoints(&mut self, zone: u32) {
        self.state.endpoints.close_new_in_zone(zone);
    }

    /// Starts the recovery ramp of a zone: for all of its endpoints, or with `only_new` for those without a gate, which were
    /// listed after the ramp began. Each gate starts with a random fraction of a token, so that senders that refill at the same
    /// rate do not call at the same moment.
    pub fn start_recovery_ramp(&mut self, zone: u32, only_new: bool) {
        self.state.start_recovery_ramp(zone, only_new);
    }

    /// Admits one probe call to one endpoint of an evacuated zone, preferably one that a pending message can be sent to. `pick`,
    /// modulo the number of candidates, selects the endpoint.
    pub fn admit_probe_call(&mut self, now: Time, zone: u32, pick: u64) {
        self.state.admit_probe(now, zone, pick);
    }

    /// Refills the gates of a zone during its recovery ramp, which began at `since`: adds this sender's quota for the time
    /// since the last batch.
    pub fn refill_zone_gates(&mut self, now: Time, zone: u32, since: Time) {
        self.state.refill_zone(now, zone, since);
    }

    /// As [`Scheduler::refill_zone_gates`], for one endpoint that operators reattached at `since`.
    pub fn refill_endpoint_gate(&mut self, now: Time, id: &EndpointId, since: Time) {
        self.state.refill_endpoint(now, id, since);
    }

    /// Closes the gate of an endpoint that operators reattach; a random part of the senders may send one call immediately.
    /// [`Scheduler::refill_endpoint_gate`] then refills the gate.
    pub fn close_endpoint_gate(&mut self, id: &EndpointId) {
        self.state.close_endpoint(id);
    }

    /// Closes the gates of all endpoints.
    pub fn close_all_gates(&mut self) {
        self.state.endpoints.close_all();
    }

    /// Removes all gates.
    pub fn open_all_gates(&mut self) {
        self.state.endpoints.open_all();
    }

    /// Removes the gate of an endpoint.
    pub fn open_endpoint_gate(&mut self, id: &EndpointId) {
        self.state.endpoints.open_endpoint(id);
    }

    /// Removes the gates of a zone that is in service again.
    pub fn open_zone_gates(&mut self, zone: u32) {
        self.state.endpoints.open_zone(zone);
    }
}
