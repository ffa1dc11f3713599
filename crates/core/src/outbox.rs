//! [`Outbox`]: records for the journal, and the effects that wait until it has them.

use cranehill_scheduler::api::MessageId;

use crate::effect::{Effect, Record};
use crate::input::Persisted;
use crate::message::{Answer, Origin};

/// Records of this tick, and what depends on them.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    records: Vec<Record>,
    /// Records of finished work that are with the journal. What it has no space for is written with the next tick.
    unpersisted: Vec<Record>,
    /// Effects that wait for the journal.
    deferred: Vec<Effect>,
}

impl Outbox {
    /// Adds a record to those of this tick.
    pub(crate) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Holds an effect back until the journal has the records of this tick.
    pub(crate) fn defer(&mut self, effect: Effect) {
        self.deferred.push(effect);
    }

    /// Holds several effects back until the journal has the records of this tick.
    pub(crate) fn defer_all(&mut self, effects: impl IntoIterator<Item = Effect>) {
        self.deferred.extend(effects);
    }

    /// Holds the answer about a message back until the journal has the records of this tick.
    pub(crate) fn defer_answer(&mut self, to: Origin, id: MessageId, answer: Answer) {
        self.defer(Effect::Answer {
            to,
            id: id.0,
            answer,
        });
    }

    /// Removes and returns the effects held back so far.
    pub(crate) fn take_deferred(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.deferred)
    }

    /// Ends the tick, with all of its effects: asks for its records to be persisted, or returns the effects at once where
    /// there is nothing to persist.
    pub(crate) fn flush(&mut self, effects: Vec<Effect>) -> Vec<Effect> {
        if self.records.is_empty() {
            return effects;
        }
        self.deferred = effects;
        let records = std::mem::take(&mut self.records);
        self.unpersisted = records.iter().filter(|r| r.is_end()).cloned().collect();
        vec![Effect::Persist(records)]
    }

    /// The journal has written the records, or some of them. Returns the effects that waited for them.
    pub(crate) fn on_persisted(&mut self, persisted: Persisted) -> Vec<Effect> {
        let unpersisted = std::mem::take(&mut self.unpersisted);
        // The next process would not know of an end that is not written: it is written with the next tick.
        if persisted == Persisted::Nothing {
            self.records.extend(unpersisted);
        }
        self.take_deferred()
    }
}
