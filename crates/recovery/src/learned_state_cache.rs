//! What was learned of destinations before, by ourselves or by others: the youngest of each, and only while it is young enough.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scheduler::{LearnedState, Time};

/// How old a piece may be before no decision rests on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub window: Duration,
    pub limit: Duration,
    pub state: Duration,
    /// How far in the future a piece may lie: clocks differ.
    pub ahead: Duration,
}

/// The longest wait that is believed; the wire takes no longer one.
const WAIT_MOST: Duration = Duration::from_secs(86_400);
/// Destinations and routes remembered, at most.
const KEPT_MOST: usize = 4096;

/// See the module's text.
#[derive(Clone, Debug)]
pub struct LearnedStateCache {
    bounds: Bounds,
    kept: BTreeMap<(u64, Option<String>), LearnedState>,
}

fn finite(value: Option<f64>, least: f64) -> Option<f64> {
    value.filter(|v| !v.is_nan() && *v > least)
}

impl LearnedStateCache {
    pub fn new(bounds: Bounds) -> LearnedStateCache {
        LearnedStateCache {
            bounds,
            kept: BTreeMap::new(),
        }
    }

    /// Takes pieces in: of two the younger counts, of two waits the one that ends later.
    pub fn note(&mut self, now: Time, learned_state: Vec<LearnedState>) {
        for mut piece in learned_state {
            if piece.at > now + self.bounds.ahead {
                continue;
            }
            piece.window = finite(piece.window, 0.0);
            piece.limit = finite(piece.limit, 0.0);
            piece.blocked_until = piece.blocked_until.filter(|t| *t <= now + WAIT_MOST);
            let key = (piece.destination, piece.route_id.clone());
            let Some(known) = self.kept.get_mut(&key) else {
                if self.kept.len() < KEPT_MOST {
                    self.kept.insert(key, piece);
                }
                continue;
            };
            let wait = known.blocked_until.max(piece.blocked_until);
            if piece.at > known.at {
                *known = piece;
            }
            known.blocked_until = wait;
        }
    }

    /// What may be used now; each piece without what is too old in it.
    pub fn usable(&self, now: Time) -> Vec<LearnedState> {
        let mut all = Vec::new();
        for piece in self.kept.values() {
            let age = now - piece.at;
            let young = |bound: Duration| age <= bound;
            let mut piece = piece.clone();
            piece.window = piece.window.filter(|_| young(self.bounds.window));
            piece.limit = piece.limit.filter(|_| young(self.bounds.limit));
            piece.state = piece.state.filter(|_| young(self.bounds.state));
            piece.blocked_until = piece.blocked_until.filter(|t| *t > now);
            if piece.window.is_some()
                || piece.limit.is_some()
                || piece.state.is_some()
                || piece.blocked_until.is_some()
            {
                all.push(piece);
            }
        }
        all
    }
}
