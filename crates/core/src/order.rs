//! [`PendingOrder`]: messages of an earlier process that keep an order and wait to be handed to the decisions.
//!
//! The decisions send messages of one key in the order in which they get them. What a restart finds is handed over by deadline and
//! as there is room ([`crate::backlog`]), so that a later message of a key may be due before an earlier one: then all that
//! were accepted before it are handed over first.

use std::collections::{BTreeMap, VecDeque};

/// See the module's text.
#[derive(Debug, Default)]
pub(crate) struct PendingOrder {
    /// Ids by key, in the order in which they were accepted.
    lines: BTreeMap<String, VecDeque<String>>,
}

impl PendingOrder {
    /// Adds a message behind all others of its key.
    pub(crate) fn add(&mut self, key: &str, id: String) {
        self.lines.entry(key.to_owned()).or_default().push_back(id);
    }

    /// Takes out a message and those of its key before it, in their order; nothing if it is out already.
    pub(crate) fn take_through(&mut self, key: &str, id: &str) -> Vec<String> {
        let Some(line) = self.lines.get_mut(key) else {
            return Vec::new();
        };
        let Some(place) = line.iter().position(|waiting| waiting == id) else {
            return Vec::new();
        };
        let taken = line.drain(..=place).collect();
        if line.is_empty() {
            self.lines.remove(key);
        }
        taken
    }
}
