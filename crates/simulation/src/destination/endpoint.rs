//! One endpoint: its workers, and the calls that wait for one.

use std::time::Duration;

use crate::fault::{Fault, State};

/// An endpoint of a simulated destination.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) faults: Vec<Fault>,
    /// Connections that are up.
    pub(super) connections: usize,
    /// When each of its workers is free.
    workers: Vec<Duration>,
    /// When each call that waits for a worker starts.
    queued_starts: Vec<Duration>,
}

impl Endpoint {
    /// An idle endpoint with these faults and this many workers, at least one.
    pub(super) fn new(faults: Vec<Fault>, workers: usize) -> Endpoint {
        Endpoint {
            faults,
            connections: 0,
            workers: vec![Duration::ZERO; workers.max(1)],
            queued_starts: Vec::new(),
        }
    }

    /// The faults that are on, combined.
    pub(super) fn state(&self, now: Duration) -> State {
        State::of(&self.faults, now)
    }

    /// Assigns a call to the first free worker and returns when it is done; `None` if more than `max_queued` would wait.
    pub(super) fn assign(
        &mut self,
        now: Duration,
        work: Duration,
        max_queued: usize,
    ) -> Option<Duration> {
        self.queued_starts.retain(|&start| start > now);
        let free_at = self.workers.iter_mut().min_by_key(|free_at| **free_at)?;
        let start = (*free_at).max(now);
        if start > now {
            if self.queued_starts.len() >= max_queued {
                return None;
            }
            self.queued_starts.push(start);
        }
        *free_at = start.saturating_add(work);
        Some(*free_at)
    }
}
