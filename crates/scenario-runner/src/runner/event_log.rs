//! The recorded events of a run, each with the time at which it was noticed and an upper bound on the delay until then.

use std::time::Duration;

use cranehill_simulation::audit::{AuditEvent, AuditRecord};

/// Upper bound on the length of an event's text, in characters; the rest is dropped.
const MAX_WIRE_CHARS: usize = 120;

/// All events in the order in which they were noticed, for the auditor.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    /// The recorded events.
    pub records: Vec<AuditRecord>,
    /// Upper bound on the delay with which the event that is being handled was noticed.
    pub current_lateness: Duration,
    /// Delays with which events were noticed so far, in no particular order.
    lateness_samples: Vec<Duration>,
}

/// The delays with which the event loop noticed events.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lateness {
    pub max: Duration,
    /// 99 of 100 delays are at most this.
    pub p99: Duration,
}

impl EventLog {
    /// Records an event that is noticed at `now`. `wire` is its evidence: bytes from the wire, or a sentence. Control
    /// characters are removed from it.
    pub(super) fn record(
        &mut self,
        now: Duration,
        sender: Option<usize>,
        event: AuditEvent,
        wire: &str,
    ) {
        let wire: String = wire
            .chars()
            .filter(|c| !c.is_control())
            .take(MAX_WIRE_CHARS)
            .collect();
        self.records.push(AuditRecord {
            at: now,
            recording_delay: self.current_lateness,
            sender,
            event,
            wire,
        });
    }

    /// Sets the delay of the event that is handled next, and adds it to those that [`lateness`](EventLog::lateness) evaluates.
    pub(super) fn set_current_lateness(&mut self, lateness: Duration) {
        self.current_lateness = lateness;
        self.add_lateness(lateness);
    }

    /// Adds a delay to those that [`lateness`](EventLog::lateness) evaluates.
    pub(super) fn add_lateness(&mut self, lateness: Duration) {
        self.lateness_samples.push(lateness);
    }

    /// Removes all events and delays, which are from before the start of the scenario.
    pub(super) fn clear(&mut self) {
        self.records.clear();
        self.lateness_samples.clear();
    }

    /// Maximum and 99th percentile of all delays so far; zero if there are none.
    pub(super) fn lateness(&mut self) -> Lateness {
        self.lateness_samples.sort_unstable();
        Lateness {
            max: self.lateness_samples.last().copied().unwrap_or_default(),
            p99: self
                .lateness_samples
                .get(self.lateness_samples.len() * 99 / 100)
                .copied()
                .unwrap_or_default(),
        }
    }
}
