//! Log lines that a flood of events must not turn into a flood of lines.

use std::time::Duration;

use cranehill_scheduler::Time;

/// At most one line an interval, with the number of events since the last one.
#[derive(Debug)]
pub(crate) struct ThrottledLog {
    interval: Duration,
    next_line: Time,
    events: u64,
}

impl ThrottledLog {
    /// The first event's line is written at once.
    pub(crate) fn new(interval: Duration, now: Time) -> ThrottledLog {
        ThrottledLog {
            interval,
            next_line: now,
            events: 0,
        }
    }

    /// Counts an event. If a line may be written now, the number of events that it stands for.
    pub(crate) fn record(&mut self, now: Time) -> Option<u64> {
        self.events += 1;
        if now < self.next_line {
            return None;
        }
        self.next_line = now + self.interval;
        Some(std::mem::take(&mut self.events))
    }
}

#[cfg(test)]
mod tests;
