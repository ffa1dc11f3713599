//! The record of a run: each event with the time at which it was noticed and how late that may have been.

use std::time::Duration;

use cranehill_simulation::audit::{AuditEvent, AuditRecord};

/// Characters of a line's text that are kept.
const MAX_WIRE_CHARS: usize = 120;

/// All events in order, for the auditor.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    pub lines: Vec<AuditRecord>,
    /// How late the event that is being handled may have been noticed.
    pub late: Duration,
    lateness: Vec<Duration>,
}

/// How late the loop noticed events.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lateness {
    pub most: Duration,
    /// 99 of 100 events were noticed within this.
    pub usual: Duration,
}

impl EventLog {
    /// Records an event that is noticed now.
    pub(super) fn record(
        &mut self,
        now: Duration,
        sender: Option<usize>,
        what: AuditEvent,
        wire: &str,
    ) {
        let wire: String = wire
            .chars()
            .filter(|c| !c.is_control())
            .take(MAX_WIRE_CHARS)
            .collect();
        self.lines.push(AuditRecord {
            at: now,
            recording_delay: self.late,
            sender,
            event: what,
            wire,
        });
    }

    /// The event that is handled next is late by this much.
    pub(super) fn set_late(&mut self, late: Duration) {
        self.late = late;
        self.note_lateness(late);
    }

    /// Counts one more measured lateness.
    pub(super) fn note_lateness(&mut self, late: Duration) {
        self.lateness.push(late);
    }

    /// Removes all events from before the scenario began.
    pub(super) fn clear(&mut self) {
        self.lines.clear();
        self.lateness.clear();
    }

    /// The lateness of all events so far.
    pub(super) fn lateness(&mut self) -> Lateness {
        self.lateness.sort_unstable();
        Lateness {
            most: self.lateness.last().copied().unwrap_or_default(),
            usual: self
                .lateness
                .get(self.lateness.len() * 99 / 100)
                .copied()
                .unwrap_or_default(),
        }
    }
}
