//! [`Outbox`]: records for the journal, and the effects that wait until these are written.

use cranehill_scheduler::api::MessageId;

use crate::effect::{Effect, Record};
use crate::input::Persisted;
use crate::message::{Answer, Origin};

/// The records of this tick, and the effects that depend on them.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    records: Vec<Record>,
    /// Records of the last [`Effect::Persist`] for which [`Record::is_end_record`] is true. If the journal has no
    /// space for them, they are written with the next tick.
    unpersisted: Vec<Record>,
    /// Effects that wait until the journal has the records.
    deferred: Vec<Effect>,
}

impl Outbox {
    /// Adds a record to those of this tick.
    pub(crate) fn record(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Defers an effect until the journal has the records of this tick.
    pub(crate) fn defer(&mut self, effect: Effect) {
        self.deferred.push(effect);
    }

    /// Defers several effects until the journal has the records of this tick.
    pub(crate) fn defer_all(&mut self, effects: impl IntoIterator<Item = Effect>) {
        self.deferred.extend(effects);
    }

    /// Defers the answer about a message until the journal has the records of this tick.
    pub(crate) fn defer_answer(&mut self, to: Origin, id: MessageId, answer: Answer) {
        self.defer(Effect::Answer {
            to,
            id: id.0,
            answer,
        });
    }

    /// Removes and returns the effects deferred so far.
    pub(crate) fn take_deferred(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.deferred)
    }

    /// Ends the tick, with all of its effects. If the tick has records, returns only the request to persist them and
    /// defers the effects; otherwise returns the effects.
    pub(crate) fn flush(&mut self, effects: Vec<Effect>) -> Vec<Effect> {
        if self.records.is_empty() {
            return effects;
        }
        self.deferred = effects;
        let records = std::mem::take(&mut self.records);
        self.unpersisted = records
            .iter()
            .filter(|r| r.is_end_record())
            .cloned()
            .collect();
        vec![Effect::Persist(records)]
    }

    /// Handles the result of the journal's write. Returns the deferred effects.
    pub(crate) fn on_persisted(&mut self, persisted: Persisted) -> Vec<Effect> {
        let unpersisted = std::mem::take(&mut self.unpersisted);
        // If the end of an attempt or message were never written, the next process would treat it as unfinished.
        if persisted == Persisted::Nothing {
            self.records.extend(unpersisted);
        }
        self.take_deferred()
    }
}
