//! The scheduler: reads events in and returns actions. Each decision is in the module that is named for it.

use crate::api::{Action, EndpointId, Event, OrderingKey, Settings, SettingsError, Time};
use crate::learned_state::LearnedState;
use crate::state::SchedulerState;

/// The scheduler of one sender: it holds messages and decides when and where each is sent.
#[derive(Debug)]
pub struct Scheduler {
    state: SchedulerState,
}

impl Scheduler {
    /// The scheduler of a sender that has just started and knows nothing but its settings. `seed` decides all random draws.
    ///
    /// # Errors
    ///
    /// Fails where a number in the settings that must be positive is zero, or there is no class.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Scheduler, SettingsError> {
        let state = SchedulerState::new(settings, seed, now)?;
        Ok(Scheduler { state })
    }

    /// Takes a batch of events that all happen at `now`, and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        let state = &mut self.state;
        let passed = now - state.now;
        state.advance_to(now);
        state.tenant_quotas.refill(&state.settings, passed);
        for event in events {
            state.on_event(event);
        }
        if state.discovery_polls.take_due(state.now) {
            state.actions.push(Action::Subscribe);
        }
        state.expire_unreachable();
        state.dispatch();
        state.shed_excess();
        state.schedule_wakeup();
        std::mem::take(&mut state.actions)
    }

    /// Messages that may be accepted before the pending one of least priority weight is ended for lack of capacity.
    pub fn capacity(&self) -> usize {
        self.state.capacity()
    }

    /// Size of the tables of endpoints and routes, free slots included.
    pub fn endpoint_count(&self) -> usize {
        self.state.endpoints.len().max(self.state.routes.len())
    }

    /// Routes that the next tick updates: its cost besides that of the pending messages.
    pub fn active_routes(&self) -> usize {
        self.state.routes.active_count()
    }
}

impl SchedulerState {
    fn on_event(&mut self, event: Event) {
        match event {
            Event::List { whole, entries } => self.on_endpoint_list(whole, entries),
            Event::ListFailed => {
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
            Event::SenderCount(senders) => self.settings.instances = senders.max(1),
            Event::Wake => self.on_timer(),
        }
    }
}

/// Ordering keys.
impl Scheduler {
    /// From now on an expired message holds its ordering key until its final report is acknowledged
    /// ([`Scheduler::report_answered`]). For callers whose final reports take time to arrive.
    pub fn confirm_reports(&mut self) {
        self.state.ordering.confirm_reports();
    }

    /// An earlier process of this sender has started the final report of a message with this key.
    pub fn await_report(&mut self, ordering_key: &OrderingKey) {
        self.state.ordering.await_report(ordering_key);
    }

    /// A final report of a message with this key was acknowledged, or was an immediate answer.
    pub fn report_answered(&mut self, ordering_key: &OrderingKey) {
        self.state.ordering.report_answered(ordering_key);
    }

    /// Pauses all ordering keys: attempts of an earlier process may still be executed.
    pub fn rest_keys(&mut self, now: Time) {
        let until = now + self.state.settings.rules.key_quiet;
        self.state.ordering.pause_all(until);
    }

    /// Number of ordering keys with any state.
    pub fn ordered_queues(&self) -> usize {
        self.state.ordering.len()
    }
}

/// Learned state.
impl Scheduler {
    /// What this sender has learned by its own calls.
    pub fn learned_state(&self) -> Vec<LearnedState> {
        self.state.learned_state()
    }

    /// Takes over learned state of the listed destinations, except where own calls have shown better, and spreads the first
    /// calls to each. Returns when the last of these may be sent.
    pub fn restore(&mut self, now: Time, learned_state: &[LearnedState]) -> Time {
        self.state.restore(now, learned_state)
    }

    /// Continues for another process of this sender that has stopped just now: none of its state is old, and no other sender
    /// does the same at this moment. Returns what concerns destinations that are not listed yet and must still be kept.
    pub fn inherit(&mut self, now: Time, learned_state: Vec<LearnedState>) -> Vec<LearnedState> {
        self.state.inherit(now, learned_state)
    }
}

/// Gates at the endpoints of evacuated zones, and at endpoints that operators attach again.
impl Scheduler {
    /// Evacuates a zone: nothing is sent to its endpoints, and a probe call that was admitted is not any more.
    pub fn bar(&mut self, zone: u32) {
        self.state.endpoints.close_zone(zone);
    }

    /// Evacuates the endpoints of a zone that were listed since [`Scheduler::bar`].
    pub fn bar_new(&mut self, zone: u32) {
        self.state.endpoints.close_new_in_zone(zone);
    }

    /// Starts the return to a zone: to all of its endpoints, or only to those listed since (`new`). Each begins with a random
    /// part of a call, so that senders that save up at one rate do not call at one moment.
    pub fn return_to(&mut self, zone: u32, new: bool) {
        self.state.begin_return(zone, new);
    }

    /// Admits one probe call to one endpoint of a zone: one for which a message waits, if there is any. `pick` chooses among
    /// several.
    pub fn probe(&mut self, now: Time, zone: u32, pick: u64) {
        self.state.admit_probe(now, zone, pick);
    }

    /// Admits, for the time since the last batch, this sender's quota of what a zone's endpoints may be sent on their return,
    /// which began at `since`.
    pub fn admit_returning(&mut self, now: Time, zone: u32, since: Time) {
        self.state.refill_zone(now, zone, since);
    }

    /// As [`Scheduler::admit_returning`], for an endpoint that operators attach again.
    pub fn admit_endpoint(&mut self, now: Time, id: &EndpointId, since: Time) {
        self.state.refill_endpoint(now, id, since);
    }

    /// Closes the gate of an endpoint that operators attach again; [`Scheduler::admit_endpoint`] admits its calls.
    pub fn bar_endpoint(&mut self, id: &EndpointId) {
        self.state.close_endpoint(id);
    }

    /// Closes the gates of all endpoints.
    pub fn bar_all(&mut self) {
        self.state.endpoints.close_all();
    }

    /// Removes all gates.
    pub fn unbar_all(&mut self) {
        self.state.endpoints.open_all();
    }

    /// Removes the gate of an endpoint.
    pub fn unbar_endpoint(&mut self, id: &EndpointId) {
        self.state.endpoints.open_endpoint(id);
    }

    /// Removes the gates of a zone: it is back in service.
    pub fn unbar(&mut self, zone: u32) {
        self.state.endpoints.open_zone(zone);
    }
}
