//! A priority queue of events by the time at which they are due.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Events ordered by due time; events with the same due time are in insertion order.
#[derive(Debug)]
pub struct TimerQueue<Time, Event> {
    entries: BinaryHeap<Reverse<Entry<Time, Event>>>,
    insertions: u64,
}

impl<Time: Copy + Ord, Event> Default for TimerQueue<Time, Event> {
    fn default() -> TimerQueue<Time, Event> {
        TimerQueue {
            entries: BinaryHeap::new(),
            insertions: 0,
        }
    }
}

impl<Time: Copy + Ord, Event> TimerQueue<Time, Event> {
    /// Adds an event that is due at `due`.
    pub fn push(&mut self, due: Time, event: Event) {
        self.insertions += 1;
        self.entries.push(Reverse(Entry {
            due,
            insertion_number: self.insertions,
            event,
        }));
    }

    /// The due time of the first event; `None` if the queue is empty.
    pub fn next_due(&self) -> Option<Time> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    /// Removes the first event and returns it with its due time, if it is due at `until` or earlier.
    pub fn pop_due(&mut self, until: Time) -> Option<(Time, Event)> {
        if self.next_due()? > until {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.due, entry.event))
    }
}

/// An event in the queue. Entries compare by due time and insertion number; the event itself is ignored.
#[derive(Debug)]
struct Entry<Time, Event> {
    due: Time,
    insertion_number: u64,
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
        (&self.due, self.insertion_number).cmp(&(&other.due, other.insertion_number))
    }
}
