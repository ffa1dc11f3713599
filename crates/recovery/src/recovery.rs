//! [`Recovery`]: the way from a start to full service.

use std::time::Duration;

use cranehill_scheduler::{LearnedState, Time};

use crate::learned_state_cache::{Bounds, LearnedStateCache, RouteKey};
use crate::work_queue::WorkQueue;

/// While recovering, the sender wakes no more often than this.
const MIN_WAKEUP_INTERVAL: Duration = Duration::from_millis(20);

/// How a sender recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Until which age learned state is used.
    pub bounds: Bounds,
    /// How often other members are asked for their learned state until one replies.
    pub ask: Duration,
    /// Without a reply, recovery continues after this time.
    pub alone: Duration,
    /// How often learned state is persisted.
    pub remember: Duration,
}

/// The phase of a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Recovering.
    Recovering {
        /// When the sender started.
        since: Time,
    },
    /// In full service.
    Full {
        /// How long the recovery took.
        took: Duration,
        /// When it was complete.
        since: Time,
    },
}

/// A route that is blocked by a `Retry-After` time.
#[derive(Debug, PartialEq, Eq)]
struct BlockedRoute {
    route: RouteKey,
    until: Time,
}

impl BlockedRoute {
    fn of(learned_state: &LearnedState) -> Option<BlockedRoute> {
        Some(BlockedRoute {
            route: RouteKey::of(learned_state),
            until: learned_state.blocked_until?,
        })
    }
}

/// The state of a recovery.
#[derive(Debug)]
pub struct Recovery {
    settings: Settings,
    phase: Phase,
    cache: LearnedStateCache,
    /// Messages that an earlier process accepted.
    pub work_queue: WorkQueue,
    /// The cache or the list of destinations has changed since learned state was last restored.
    restore_pending: bool,
    next_request: Time,
    peer_replied: bool,
    /// When the last of the first calls may be sent.
    last_first_call: Time,
    next_persist: Time,
    /// The blocked routes that were persisted last.
    persisted_blocks: Vec<BlockedRoute>,
}

impl Recovery {
    /// The recovery of a sender that starts now.
    pub fn new(settings: Settings, now: Time) -> Recovery {
        Recovery {
            settings,
            phase: Phase::Recovering { since: now },
            cache: LearnedStateCache::new(settings.bounds),
            work_queue: WorkQueue::new(now),
            restore_pending: true,
            next_request: now,
            peer_replied: false,
            last_first_call: now,
            next_persist: now,
            persisted_blocks: Vec::new(),
        }
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When the sender started, while it is recovering.
    fn recovering_since(&self) -> Option<Time> {
        match self.phase {
            Phase::Recovering { since } => Some(since),
            Phase::Full { .. } => None,
        }
    }

    /// An earlier process of this sender persisted this learned state.
    pub fn on_persisted_state(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        self.cache.merge(now, learned_state);
        self.restore_pending = true;
    }

    /// Another member replied with its learned state.
    pub fn on_peer_reply(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        self.peer_replied = true;
        self.cache.merge(now, learned_state);
        self.restore_pending = true;
    }

    /// The endpoint list has changed: there may be new destinations, whose first calls are spread.
    pub fn on_endpoints_changed(&mut self) {
        self.restore_pending = true;
    }

    /// The learned state that the scheduler should restore now, if that is due.
    pub fn take_state_to_restore(&mut self, now: Time) -> Option<Vec<LearnedState>> {
        self.recovering_since()?;
        std::mem::take(&mut self.restore_pending).then(|| self.cache.usable(now))
    }

    /// The scheduler has restored learned state, and spreads first calls until then.
    pub fn spread_first_calls_until(&mut self, until: Time) {
        self.last_first_call = self.last_first_call.max(until);
    }

    /// Whether other members should be asked now; `has_peers` is whether there are any.
    pub fn should_ask_peers(&mut self, now: Time, has_peers: bool) -> bool {
        let Some(since) = self.recovering_since() else {
            return false;
        };
        let goes_alone = now - since >= self.settings.alone;
        if self.peer_replied || !has_peers || now < self.next_request || goes_alone {
            return false;
        }
        self.next_request = now + self.settings.ask;
        true
    }

    /// Checks whether the recovery is complete. Returns the time that it took, once.
    pub fn check_complete(&mut self, now: Time) -> Option<Duration> {
        let since = self.recovering_since()?;
        let took = now - since;
        let waits_for_peers = !self.peer_replied && took < self.settings.alone;
        if waits_for_peers
            || self.restore_pending
            || now < self.last_first_call
            || self.work_queue.waiting() > 0
        {
            return None;
        }
        self.phase = Phase::Full { took, since: now };
        Some(took)
    }

    /// When to go on, while recovering.
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        let since = self.recovering_since()?;
        let goes_alone_at = since + self.settings.alone;
        let next_step = if self.peer_replied || now >= goes_alone_at {
            self.last_first_call
        } else {
            self.next_request.max(now).min(goes_alone_at)
        };
        let next_release = self.work_queue.next_release().unwrap_or(next_step);
        Some(next_step.min(next_release).max(now + MIN_WAKEUP_INTERVAL))
    }

    /// Whether learned state should be persisted now: that is due regularly, and at once when a route is newly blocked.
    pub fn should_persist(&mut self, now: Time, learned_state: &[LearnedState]) -> bool {
        let blocks: Vec<BlockedRoute> = learned_state.iter().filter_map(BlockedRoute::of).collect();
        let has_new_block = blocks
            .iter()
            .any(|block| !self.persisted_blocks.contains(block));
        if !has_new_block && now < self.next_persist {
            return false;
        }
        self.next_persist = now + self.settings.remember;
        self.persisted_blocks = blocks;
        true
    }
}
