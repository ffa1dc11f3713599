//! A queue of timers, ordered by time. The caller provides the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scheduler::Time;

/// Scheduled timers. Those with the same time fire in the order in which they were scheduled.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    queue: BTreeMap<(Time, u64), T>,
    /// The number of timers scheduled so far, which orders timers with the same time.
    scheduled: u64,
    /// The wake-up requested of the caller, unless it has fired.
    wakeup: Option<Time>,
}

impl<T> Timers<T> {
    pub(crate) fn new() -> Timers<T> {
        Timers {
            queue: BTreeMap::new(),
            scheduled: 0,
            wakeup: None,
        }
    }

    pub(crate) fn schedule(&mut self, at: Time, timer: T) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), timer);
    }

    /// The time of the earliest timer; `None` if no timer is scheduled.
    pub(crate) fn next_at(&self) -> Option<Time> {
        self.queue.first_key_value().map(|(&(at, _), _)| at)
    }

    /// Removes and returns the earliest timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<T> {
        let earliest = self.queue.first_entry()?;
        let is_due = earliest.key().0 <= now;
        is_due.then(|| earliest.remove())
    }

    pub(crate) fn postpone_all(&mut self, by: Duration) {
        let queue = std::mem::take(&mut self.queue);
        let postponed = queue
            .into_iter()
            .map(|((at, order), timer)| ((at + by, order), timer));
        self.queue = postponed.collect();
    }

    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }

    /// Records that the requested wake-up has fired. The next one must be requested again even if it is for the same time.
    pub(crate) fn wakeup_fired(&mut self) {
        self.wakeup = None;
    }

    /// The wake-up to request of the caller; `None` if it is already requested or if no timer is scheduled.
    pub(crate) fn changed_wakeup(&mut self) -> Option<Time> {
        let next = self.next_at();
        if next == self.wakeup {
            return None;
        }
        self.wakeup = next;
        next
    }
}
