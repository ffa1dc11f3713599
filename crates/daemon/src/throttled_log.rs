//! Rate limiting of log lines about frequent events.

use std::time::Duration;

use cranehill_scheduler::Time;

/// Limits a log line to one per interval, and counts the events since the last line.
#[derive(Debug)]
pub(crate) struct ThrottledLog {
    interval: Duration,
    next_line: Time,
    events: u64,
}

impl ThrottledLog {
    /// Creates a limit that lets the first event's line be written immediately.
    pub(crate) fn new(interval: Duration, now: Time) -> ThrottledLog {
        ThrottledLog {
            interval,
            next_line: now,
            events: 0,
        }
    }

    /// Counts an event. If a line may be written now, returns the number of events since the last line, this one included.
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
