//! [`Backlog`]: messages of an earlier process that wait until the decisions have room for them.
//!
//! The decisions end what exceeds the settings' bound on held messages. A process that finds more than that in its journal hands
//! over what there is room for, and the rest as room appears: first what can go out for the shortest time, and among these what was
//! accepted first.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_scheduler::Time;

/// See the module's text.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// By last chance, and by the place among all that were accepted.
    waiting: BTreeSet<(Time, u64, String)>,
}

impl Backlog {
    /// Adds a message that may go out until `last_chance`, or that must be handed over by then for the sake of one behind it.
    pub(crate) fn add(&mut self, last_chance: Time, sequence: u64, id: String) {
        self.waiting.insert((last_chance, sequence, id));
    }

    /// Takes out as many messages as there is room for, and those whose last chance is over in less than `margin` whatever the
    /// room: their end has to be reported in time.
    pub(crate) fn release(&mut self, now: Time, room: usize, margin: Duration) -> Vec<String> {
        let mut released = Vec::new();
        while let Some((last_chance, ..)) = self.waiting.first() {
            if released.len() >= room && *last_chance > now + margin {
                break;
            }
            released.extend(self.waiting.pop_first().map(|(.., id)| id));
        }
        released
    }

    /// When the next one must be handed over whatever the room.
    pub(crate) fn due(&self, margin: Duration) -> Option<Time> {
        let (last_chance, ..) = self.waiting.first()?;
        Some(Time(last_chance.0.saturating_sub(margin.as_nanos() as u64)))
    }
}
