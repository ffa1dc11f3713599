//! Endpoints: their condition in the endpoint list, and statistics of this sender's calls to each.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::{Index, IndexMut};
use std::time::Duration;

use crate::api::{Condition, EndpointId, Entry, Time};
use crate::health::backoff_pause;
use crate::indices::{EndpointIndex, RouteIndex};
use crate::slots::insert_reusing;

/// An endpoint of a destination.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: u32,
    pub(crate) condition: Condition,
    pub(crate) route: RouteIndex,
    /// Position in this sender's own random order of endpoints. If all senders had the same order and few calls in flight,
    /// all would call the same endpoint and leave the others idle.
    pub(crate) rank: u64,
    /// Failed calls and health checks since the last success.
    pub(crate) consecutive_failures: u32,
    /// Calls in flight.
    pub(crate) in_flight: u32,
    /// When a call was last answered, or when the endpoint was listed if none was.
    pub(crate) last_answer_at: Time,
    /// When a call was last sent.
    pub(crate) last_call_at: Option<Time>,
    /// Calls sent since the endpoint was listed.
    pub(crate) calls_sent: u32,
    /// Kind of the destination, as a position in `Settings::kinds`.
    pub(crate) kind: usize,
    pub(crate) listed_at: Time,
    /// How long the endpoint was idle before its latest call.
    pub(crate) idle_before_call: Duration,
    /// Tokens of the gate, one for each call: see [`crate::zones`]. `None` if the endpoint has no gate.
    pub(crate) gate_tokens: Option<f64>,
}

impl Endpoint {
    /// A newly listed endpoint. Its rank is a hash of its id and the sender's `seed`.
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
            last_answer_at: now,
            last_call_at: None,
            calls_sent: 0,
            kind: entry.kind,
            listed_at: now,
            idle_before_call: Duration::ZERO,
            gate_tokens: None,
        }
    }

    /// Whether the endpoint is listed for new calls, and its gate, if any, admits one.
    pub(crate) fn accepts_calls(&self) -> bool {
        self.condition == Condition::Ready && self.gate_tokens.is_none_or(|tokens| tokens >= 1.0)
    }

    /// Records a call that is sent to the endpoint now.
    pub(crate) fn record_call(&mut self, now: Time) {
        self.in_flight += 1;
        self.last_call_at = Some(now);
        self.calls_sent += 1;
        if let Some(tokens) = &mut self.gate_tokens {
            *tokens -= 1.0;
        }
    }

    /// How long the endpoint has been idle; zero before its first call.
    pub(crate) fn idle_time(&self, now: Time) -> Duration {
        self.last_call_at.map_or(Duration::ZERO, |last_call_at| {
            now - last_call_at.max(self.last_answer_at)
        })
    }

    /// Rank in the choice of an endpoint, 0 to 2: the sender's own zone is preferred to others. An endpoint whose gate admits a
    /// call is preferred to all, since the admitted probe call must go there.
    pub(crate) fn distance(&self, own_zone: u32) -> u8 {
        match self.gate_tokens {
            Some(tokens) if tokens >= 1.0 => 0,
            _ => 1 + u8::from(self.zone != own_zone),
        }
    }

    /// Whether the endpoint is ejected because of recent failures. An ejection ends some time after the last call, so that
    /// the endpoint is tried again even if others work.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        let pause = backoff_pause(self.consecutive_failures);
        self.consecutive_failures > 0
            && self
                .last_call_at
                .is_none_or(|last_call_at| now - last_call_at < pause)
    }
}

/// All endpoints by index. A free slot keeps its last endpoint until it is reused.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    free: Vec<usize>,
    by_id: BTreeMap<EndpointId, EndpointIndex>,
    /// Endpoints that were removed from the endpoint list but not yet deleted from this table.
    removed: BTreeMap<EndpointId, EndpointIndex>,
}

impl EndpointTable {
    /// Number of slots, in use or free.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// The index of an endpoint in the table.
    pub(crate) fn index_of(&self, id: &EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(id).copied()
    }

    /// Indices of all endpoints in the table, ordered by id.
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

    /// Applies an entry of the endpoint list to an endpoint; false if the endpoint is not in the table.
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

    /// Marks all endpoints as removed, before a whole endpoint list is applied.
    pub(crate) fn mark_all_removed(&mut self) {
        for endpoint in &mut self.slots {
            endpoint.condition = Condition::Removed;
        }
        self.removed = self.by_id.clone();
    }

    /// Deletes removed endpoints that have no call in flight and are not in `referenced`. Returns their indices.
    pub(crate) fn delete_removed(
        &mut self,
        referenced: &BTreeSet<EndpointIndex>,
    ) -> Vec<EndpointIndex> {
        let (kept, deleted): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.removed)
            .into_iter()
            .partition(|(_, index)| {
                self.slots[index.0].in_flight > 0 || referenced.contains(index)
            });
        self.removed = kept;
        for (id, index) in &deleted {
            self.by_id.remove(id);
            self.free.push(index.0);
        }
        deleted.into_values().collect()
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
