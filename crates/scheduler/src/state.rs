//! The scheduler's state. Each component owns its fields; decisions that need several components are methods of
//! [`SchedulerState`] in the modules that make them.

use std::collections::BTreeMap;

use crate::api::{Action, Settings, SettingsError, Time};
use crate::calls::Call;
use crate::discovery_polls::DiscoveryPolls;
use crate::endpoints::EndpointTable;
use crate::idle_connections::IdleConnections;
use crate::indices::{CallNumber, MessageNumber};
use crate::messages::MessageTable;
use crate::ordering::OrderedQueues;
use crate::routes::RouteTable;
use crate::tenant_quotas::TenantQuotas;

/// The smallest random factor, see [`SchedulerState::jitter`].
const MIN_JITTER: f64 = 0.75;
/// Width of the range of random factors.
const JITTER_RANGE: f64 = 0.5;

/// All state of one scheduler.
#[derive(Debug)]
pub(crate) struct SchedulerState {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Time,
    /// Actions that the current batch has produced so far.
    pub(crate) actions: Vec<Action>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) routes: RouteTable,
    pub(crate) messages: MessageTable,
    pub(crate) ordering: OrderedQueues,
    /// Calls in flight by number.
    pub(crate) calls: BTreeMap<CallNumber, Call>,
    pub(crate) tenant_quotas: TenantQuotas,
    pub(crate) idle_connections: IdleConnections,
    pub(crate) discovery_polls: DiscoveryPolls,
    pub(crate) next_wakeup: Option<Time>,
    /// The last number assigned to a message or call.
    last_number: u64,
}

impl SchedulerState {
    /// The state of a sender that has just started.
    ///
    /// # Errors
    ///
    /// See [`Scheduler::new`](crate::Scheduler::new).
    pub(crate) fn new(
        settings: Settings,
        seed: u64,
        now: Time,
    ) -> Result<SchedulerState, SettingsError> {
        let counts = [settings.instances, settings.slots, settings.max_attempts];
        if counts.contains(&0) || settings.max_pending == 0 || settings.classes.is_empty() {
            return Err(SettingsError(
                "expected instances, slots, max_attempts and max_pending above zero, and at least one class",
            ));
        }
        Ok(SchedulerState {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now,
            actions: Vec::new(),
            endpoints: EndpointTable::default(),
            routes: RouteTable::default(),
            messages: MessageTable::default(),
            ordering: OrderedQueues::new(now),
            calls: BTreeMap::new(),
            tenant_quotas: TenantQuotas::new(&settings),
            idle_connections: IdleConnections::new(&settings, now),
            discovery_polls: DiscoveryPolls::new(&settings, now),
            next_wakeup: None,
            last_number: 0,
            settings,
        })
    }

    /// Advances the current time to `now`; an earlier `now` is ignored.
    pub(crate) fn advance_to(&mut self, now: Time) {
        self.now = self.now.max(now);
    }

    /// A number for a new message.
    pub(crate) fn next_message_number(&mut self) -> MessageNumber {
        MessageNumber(self.next_number())
    }

    /// A number for a new call.
    pub(crate) fn next_call_number(&mut self) -> CallNumber {
        CallNumber(self.next_number())
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A random factor from [`MIN_JITTER`] to `MIN_JITTER + JITTER_RANGE`, so that senders affected by the same event do not act
    /// at the same moment.
    pub(crate) fn jitter(&mut self) -> f64 {
        MIN_JITTER + JITTER_RANGE * self.rng.f64()
    }

    /// Completes a message, so that it gets no further attempt. While an attempt is in flight, the message stays at its
    /// position in its ordering key's queue.
    pub(crate) fn complete_message(&mut self, number: MessageNumber) {
        let Some(message) = self.messages.complete(number) else {
            return;
        };
        if let Some(key) = &message.ordering_key {
            self.ordering.remove(key, number);
        }
    }
}
