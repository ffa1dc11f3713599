//! Endpoints: their listed condition, and what this sender's own calls have shown of each.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::{Index, IndexMut};
use std::time::Duration;

use crate::api::{Condition, EndpointId, Entry, Time};
use crate::health::backoff_pause;
use crate::indices::{EndpointIndex, RouteIndex};
use crate::slots::insert_reusing;

/// One endpoint of a destination.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: u32,
    pub(crate) condition: Condition,
    /// Index of its route.
    pub(crate) route: RouteIndex,
    /// Its position in this sender's own random order. With an order that all senders share, each having one call in
    /// flight, all would use the same endpoint of several and leave the others idle.
    pub(crate) rank: u64,
    /// Failed calls since the last one served.
    pub(crate) consecutive_failures: u32,
    /// Calls in flight.
    pub(crate) in_flight: u32,
    pub(crate) last_answer: Time,
    pub(crate) last_used: Option<Time>,
    /// Calls sent since it was first listed.
    pub(crate) calls_sent: u32,
    /// Position of its destination's kind in the settings.
    pub(crate) kind: usize,
    pub(crate) listed_at: Time,
    /// How long it had been idle when its latest call was sent.
    pub(crate) idle_before_call: Duration,
    /// Calls that its gate admits while its zone is evacuated, or it is attached again; none where there is no gate.
    pub(crate) gate_tokens: Option<f64>,
}

impl Endpoint {
    /// A newly listed endpoint. The sender's `seed` decides, with the id, its rank.
    pub(crate) fn new(entry: Entry, route: RouteIndex, now: Time, seed: u64) -> Endpoint {
        let mut hasher = DefaultHasher::new();
        (seed, &entry.endpoint).hash(&mut hasher);
        Endpoint {
            id: entry.endpoint,
            zone: entry.zone,
            condition: entry.condition,
            route,
            rank: hasher.finish(),
            consecutive_failures: 0,
            in_flight: 0,
            last_answer: now,
            last_used: None,
            calls_sent: 0,
            kind: entry.kind,
            listed_at: now,
            idle_before_call: Duration::ZERO,
            gate_tokens: None,
        }
    }

    /// Whether it is listed for new work and its gate, if it has one, admits a call.
    pub(crate) fn accepts_calls(&self) -> bool {
        self.condition == Condition::Ready && self.gate_tokens.is_none_or(|tokens| tokens >= 1.0)
    }

    /// Records a call sent to it.
    pub(crate) fn record_call(&mut self, now: Time) {
        self.in_flight += 1;
        self.last_used = Some(now);
        self.calls_sent += 1;
        if let Some(tokens) = &mut self.gate_tokens {
            *tokens -= 1.0;
        }
    }

    /// How long it has been idle; zero before its first call.
    pub(crate) fn idle_time(&self, now: Time) -> Duration {
        self.last_used.map_or(Duration::ZERO, |last_used| {
            now - last_used.max(self.last_answer)
        })
    }

    /// Distance for the choice among endpoints: one in the sender's own zone is nearer than others. Nearest is one whose
    /// gate admits a call, since a probe call is meant for no other.
    pub(crate) fn distance(&self, own_zone: u32) -> u8 {
        match self.gate_tokens {
            Some(tokens) if tokens >= 1.0 => 0,
            _ => 1 + u8::from(self.zone != own_zone),
        }
    }

    /// Whether recent failures speak against it. They age, so that it is tried now and then although others would do;
    /// else it would be ejected for good.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        let pause = backoff_pause(self.consecutive_failures);
        self.consecutive_failures > 0
            && self
                .last_used
                .is_none_or(|last_used| now - last_used < pause)
    }
}

/// All endpoints by index. Freed slots keep their last endpoint until they are reused.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    free: Vec<usize>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
    /// Endpoints that were removed from the list and are not forgotten yet.
    removed: BTreeMap<EndpointId, EndpointIndex>,
}

impl EndpointTable {
    /// Slots in use or free.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// The index of an endpoint that is not forgotten.
    pub(crate) fn index_of(&self, id: &EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(id).copied()
    }

    /// Indices of all endpoints that are not forgotten, by id.
    pub(crate) fn indices(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.by_id.values().copied()
    }

    /// All slots, free ones included.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.slots.iter_mut()
    }

    /// Adds an endpoint and returns its index.
    pub(crate) fn insert(&mut self, endpoint: Endpoint) -> EndpointIndex {
        let id = endpoint.id.clone();
        let index = EndpointIndex(insert_reusing(&mut self.slots, &mut self.free, endpoint));
        self.by_id.insert(id, index);
        index
    }

    /// Applies an entry to an endpoint that is known; false if it is not.
    pub(crate) fn update(&mut self, entry: &Entry) -> bool {
        let Some(&index) = self.by_id.get(&entry.endpoint) else {
            return false;
        };
        let endpoint = &mut self.slots[index.0];
        endpoint.condition = entry.condition;
        endpoint.zone = entry.zone;
        match entry.condition {
            Condition::Removed => {
                self.removed.insert(entry.endpoint.clone(), index);
            }
            Condition::Ready | Condition::Draining => {
                self.removed.remove(&entry.endpoint);
            }
        }
        true
    }

    /// Marks all endpoints as removed, before a whole list is applied.
    pub(crate) fn mark_all_removed(&mut self) {
        for endpoint in &mut self.slots {
            endpoint.condition = Condition::Removed;
        }
        self.removed = self.by_id.clone();
    }

    /// Forgets removed endpoints with no call in flight, but for those in `referenced`; returns the indices.
    pub(crate) fn forget_removed(
        &mut self,
        referenced: &BTreeSet<EndpointIndex>,
    ) -> Vec<EndpointIndex> {
        let (kept, forgotten): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.removed)
            .into_iter()
            .partition(|(_, index)| {
                self.slots[index.0].in_flight > 0 || referenced.contains(index)
            });
        self.removed = kept;
        for (id, index) in &forgotten {
            self.by_id.remove(id);
            self.free.push(index.0);
        }
        forgotten.into_values().collect()
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;
    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.slots[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.slots[index.0]
    }
}
