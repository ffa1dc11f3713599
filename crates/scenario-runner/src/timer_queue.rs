//! Events in the order of their times.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events by time, and by insertion among those of one time.
#[derive(Debug)]
pub struct TimerQueue<Time, Event> {
    entries: BinaryHeap<Reverse<Entry<Time, Event>>>,
    inserted: u64,
}

impl<Time: Copy + Ord, Event> Default for TimerQueue<Time, Event> {
    fn default() -> TimerQueue<Time, Event> {
        TimerQueue {
            entries: BinaryHeap::new(),
            inserted: 0,
        }
    }
}

impl<Time: Copy + Ord, Event> TimerQueue<Time, Event> {
    /// Adds an event.
    pub fn push(&mut self, due: Time, event: Event) {
        self.inserted += 1;
        self.entries.push(Reverse(Entry {
            due,
            number: self.inserted,
            event,
        }));
    }

    /// The time of the first event.
    pub fn next_due(&self) -> Option<Time> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    /// The first event, with its time, if that is `until` at the latest.
    pub fn pop_due(&mut self, until: Time) -> Option<(Time, Event)> {
        if self.next_due()? > until {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.due, entry.event))
    }
}

/// Ordered by time and insertion alone.
#[derive(Debug)]
struct Entry<Time, Event> {
    due: Time,
    number: u64,
    event: Event,
}

impl<Time: Ord, Event> PartialEq for Entry<Time, Event> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<Time: Ord, Event> Eq for Entry<Time, Event> {}

impl<Time: Ord, Event> PartialOrd for Entry<Time, Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Time: Ord, Event> Ord for Entry<Time, Event> {
    fn cmp(&self, other: &Self) -> Ordering {
        (&self.due, self.number).cmp(&(&other.due, other.number))
    }
}
