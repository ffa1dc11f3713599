//! One endpoint of a simulated destination: its workers, and the queue of calls that wait for a worker.

use std::time::Duration;

use crate::fault::{Fault, State};

/// An endpoint of a simulated destination.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) faults: Vec<Fault>,
    /// Number of established connections.
    pub(super) connections: usize,
    /// Time from which each worker is free.
    workers: Vec<Duration>,
    /// Start of each call that waits for a worker.
    queued_starts: Vec<Duration>,
}

impl Endpoint {
    /// Creates an idle endpoint with at least one worker.
    pub(super) fn new(faults: Vec<Fault>, workers: usize) -> Endpoint {
        Endpoint {
            faults,
            connections: 0,
            workers: vec![Duration::ZERO; workers.max(1)],
            queued_starts: Vec::new(),
        }
    }

    /// The combined effect of the faults that are active at `now`.
    pub(super) fn state(&self, now: Duration) -> State {
        State::of(&self.faults, now)
    }

    /// Assigns a call that takes `work` to the worker that is free first, and returns the time of its completion. Returns
    /// `None` if the call would have to wait and `max_queued` calls wait already.
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
