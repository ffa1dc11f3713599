//! [`Recovery`]: the state of a sender from its start until full service.

use std::time::Duration;

use cranehill_scheduler::{LearnedState, Time};

use crate::learned_state_cache::{LearnedStateCache, MaxAges, RouteKey};
use crate::work_queue::WorkQueue;

/// Minimum time between two wake-ups of the sender while it is recovering.
const MIN_WAKEUP_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of the recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum ages at which learned state is used.
    pub bounds: MaxAges,
    /// Interval at which learned state is requested from other members until one replies.
    pub request_interval: Duration,
    /// Time from the start after which the recovery continues without a reply from other members.
    pub peer_timeout: Duration,
    /// Interval at which learned state is persisted.
    pub persist_interval: Duration,
}

/// The phase of a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The sender is recovering.
    Recovering {
        /// When the sender started.
        since: Time,
    },
    /// The sender is in full service.
    Full {
        /// How long the recovery took.
        recovery_duration: Duration,
        /// When the recovery was complete.
        since: Time,
    },
}

/// A route that is blocked until the end of a retry-after time.
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

/// The recovery of one sender process.
#[derive(Debug)]
pub struct Recovery {
    settings: Settings,
    phase: Phase,
    cache: LearnedStateCache,
    /// Recovered messages, which an earlier process accepted.
    pub work_queue: WorkQueue,
    /// Whether the cache or the endpoint list has changed since learned state was last restored.
    restore_pending: bool,
    /// When learned state is next requested from other members.
    next_request: Time,
    peer_replied: bool,
    /// End of the period over which the scheduler spreads the first calls to destinations.
    first_calls_until: Time,
    /// When learned state is next persisted, unless a newly blocked route requires it earlier.
    next_persist: Time,
    /// The blocked routes as of the last time that learned state was persisted.
    persisted_blocks: Vec<BlockedRoute>,
}

impl Recovery {
    /// Creates the recovery of a sender that starts at `now`.
    pub fn new(settings: Settings, now: Time) -> Recovery {
        Recovery {
            settings,
            phase: Phase::Recovering { since: now },
            cache: LearnedStateCache::new(settings.bounds),
            work_queue: WorkQueue::new(now),
            restore_pending: true,
            next_request: now,
            peer_replied: false,
            first_calls_until: now,
            next_persist: now,
            persisted_blocks: Vec::new(),
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When the sender started; `None` once it is in full service.
    fn recovering_since(&self) -> Option<Time> {
        match self.phase {
            Phase::Recovering { since } => Some(since),
            Phase::Full { .. } => None,
        }
    }

    /// Handles learned state that an earlier process of this sender persisted.
    pub fn on_persisted_state(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        self.cache.merge(now, learned_state);
        self.restore_pending = true;
    }

    /// Handles learned state that another member sent in its reply.
    pub fn on_peer_reply(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        self.peer_replied = true;
        self.cache.merge(now, learned_state);
        self.restore_pending = true;
    }

    /// Handles a change of the endpoint list: new destinations have their learned state restored and first calls
    /// spread.
    pub fn on_endpoints_changed(&mut self) {
        self.restore_pending = true;
    }

    /// Returns the learned state that the scheduler must restore now; `None` if neither learned state nor the
    /// endpoint list has changed since the last call, or in full service.
    pub fn take_state_to_restore(&mut self, now: Time) -> Option<Vec<LearnedState>> {
        self.recovering_since()?;
        std::mem::take(&mut self.restore_pending).then(|| self.cache.usable(now))
    }

    /// Records that the scheduler spreads first calls until `until`, after restoring learned state.
    pub fn spread_first_calls_until(&mut self, until: Time) {
        self.first_calls_until = self.first_calls_until.max(until);
    }

    /// Whether to request learned state from other members now; `has_peers` is whether there are live ones. If true,
    /// the next request is due after [`Settings::request_interval`].
    pub fn should_ask_peers(&mut self, now: Time, has_peers: bool) -> bool {
        let Some(since) = self.recovering_since() else {
            return false;
        };
        let has_timed_out = now - since >= self.settings.peer_timeout;
        if self.peer_replied || !has_peers || now < self.next_request || has_timed_out {
            return false;
        }
        self.next_request = now + self.settings.request_interval;
        true
    }

    /// Enters full service if the recovery is complete, and then returns its duration. Returns `None` while recovering
    /// and in all later calls.
    pub fn check_complete(&mut self, now: Time) -> Option<Duration> {
        let since = self.recovering_since()?;
        let recovery_duration = now - since;
        let is_waiting_for_peers =
            !self.peer_replied && recovery_duration < self.settings.peer_timeout;
        if is_waiting_for_peers
            || self.restore_pending
            || now < self.first_calls_until
            || self.work_queue.waiting() > 0
        {
            return None;
        }
        self.phase = Phase::Full {
            recovery_duration,
            since: now,
        };
        Some(recovery_duration)
    }

    /// When the next step of the recovery is due; `None` in full service.
    pub fn next_wakeup(&self, now: Time) -> Option<Time> {
        let since = self.recovering_since()?;
        let peers_timeout_at = since + self.settings.peer_timeout;
        let next_step = if self.peer_replied || now >= peers_timeout_at {
            self.first_calls_until
        } else {
            self.next_request.max(now).min(peers_timeout_at)
        };
        let next_release = self.work_queue.next_release().unwrap_or(next_step);
        Some(next_step.min(next_release).max(now + MIN_WAKEUP_INTERVAL))
    }

    /// Whether to persist learned state now: at regular intervals, and at once if a route is newly blocked. If true,
    /// the caller must persist it.
    pub fn should_persist(&mut self, now: Time, learned_state: &[LearnedState]) -> bool {
        let blocks: Vec<BlockedRoute> = learned_state.iter().filter_map(BlockedRoute::of).collect();
        let has_new_block = blocks
            .iter()
            .any(|block| !self.persisted_blocks.contains(block));
        if !has_new_block && now < self.next_persist {
            return false;
        }
        self.next_persist = now + self.settings.persist_interval;
        self.persisted_blocks = blocks;
        true
    }
}
