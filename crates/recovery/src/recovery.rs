//! [`Recovery`]: the way from a start to full service.

use std::time::Duration;

use cranehill_scheduler::{LearnedState, Time};

use crate::learned_state_cache::{Bounds, LearnedStateCache};
use crate::work_queue::WorkQueue;

/// How a sender comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    pub bounds: Bounds,
    /// Members are asked so often what they have learned.
    pub ask: Duration,
    /// Without an answer it goes on alone after that.
    pub alone: Duration,
    /// What is learned is written down so often.
    pub remember: Duration,
}

/// Where a sender stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Recovering {
        since: Time,
    },
    Full {
        /// How long it took.
        took: Duration,
        since: Time,
    },
}

/// See the module's text.
#[derive(Debug)]
pub struct Recovery {
    set: Settings,
    phase: Phase,
    pub cache: LearnedStateCache,
    pub work_queue: WorkQueue,
    /// Something new in the memory, or new destinations: the decisions should recall.
    restore: bool,
    ask_at: Time,
    peer_replied: bool,
    /// When the first calls' spread is over.
    spread_until: Time,
    remember_at: Time,
    /// The waits that were written down.
    waits: Vec<(u64, Option<String>, Time)>,
}

impl Recovery {
    pub fn new(set: Settings, now: Time) -> Recovery {
        Recovery {
            set,
            phase: Phase::Recovering { since: now },
            cache: LearnedStateCache::new(set.bounds),
            work_queue: WorkQueue::new(now),
            restore: true,
            ask_at: now,
            peer_replied: false,
            spread_until: now,
            remember_at: now,
            waits: Vec::new(),
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn is_recovering(&self) -> bool {
        matches!(self.phase, Phase::Recovering { .. })
    }

    /// What our own earlier process left.
    pub fn restored(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        self.cache.note(now, learned_state);
        self.restore = true;
    }

    /// What a member told.
    pub fn peer_replied(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        self.peer_replied = true;
        self.cache.note(now, learned_state);
        self.restore = true;
    }

    /// The list changed: there may be destinations whose first calls are to be spread.
    pub fn listed(&mut self) {
        self.restore = true;
    }

    /// What the decisions should recall now, if anything.
    pub fn restore(&mut self, now: Time) -> Option<Vec<LearnedState>> {
        (self.is_recovering() && std::mem::take(&mut self.restore)).then(|| self.cache.usable(now))
    }

    /// The last first call may go then.
    pub fn spread(&mut self, until: Time) {
        self.spread_until = self.spread_until.max(until);
    }

    /// Whether members should be asked now; `others` is whether there are any.
    pub fn asks(&mut self, now: Time, others: bool) -> bool {
        let Phase::Recovering { since } = self.phase else {
            return false;
        };
        if self.peer_replied || !others || now < self.ask_at || now - since >= self.set.alone {
            return false;
        }
        self.ask_at = now + self.set.ask;
        true
    }

    /// Looks whether all is done; the time that it took, once.
    pub fn look(&mut self, now: Time) -> Option<Duration> {
        let Phase::Recovering { since } = self.phase else {
            return None;
        };
        let heard = self.peer_replied || now - since >= self.set.alone;
        if !heard || self.restore || now < self.spread_until || self.work_queue.waiting() > 0 {
            return None;
        }
        let took = now - since;
        self.phase = Phase::Full { took, since: now };
        Some(took)
    }

    /// When to look again, while recovering.
    pub fn due(&self, now: Time) -> Option<Time> {
        let Phase::Recovering { since } = self.phase else {
            return None;
        };
        let alone = since + self.set.alone;
        let next = if self.peer_replied || now >= alone {
            self.spread_until
        } else {
            self.ask_at.max(now).min(alone)
        };
        let next = self
            .work_queue
            .due()
            .map_or(next, |work_queue| next.min(work_queue));
        Some(next.max(now + Duration::from_millis(20)))
    }

    /// Whether what is learned should be written down now: at its time, and at once when a wait was told.
    pub fn remembers(&mut self, now: Time, learned_state: &[LearnedState]) -> bool {
        let waits: Vec<_> = learned_state
            .iter()
            .filter_map(|l| Some((l.destination, l.route_id.clone(), l.blocked_until?)))
            .collect();
        let fresh = waits.iter().any(|w| !self.waits.contains(w));
        if !fresh && now < self.remember_at {
            return false;
        }
        self.remember_at = now + self.set.remember;
        self.waits = waits;
        true
    }
}
