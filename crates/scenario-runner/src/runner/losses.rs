//! Loss of a sender's messages with its state folder or a part of its journal, and their resubmission by clients.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::scenario::Effect;

use super::state::Runner;
use crate::journal_damage::Damage;

/// How long after a loss clients submit the lost messages again.
const RETRY_AFTER_LOSS: Duration = Duration::from_secs(1);

impl Runner<'_> {
    /// Damages a sender's journal at a random place, and records the messages that are lost with it.
    pub(super) fn damage_journal(&mut self, sender: usize) {
        match self.senders[sender]
            .process
            .damage_journal(&mut self.damage_rng)
        {
            Ok(Some(Damage {
                lost,
                segment,
                new_size,
                size,
            })) => {
                let count = lost.len();
                let text = format!(
                    "{segment} damaged: {size} bytes before, {new_size} after; {count} messages lost"
                );
                self.lose_messages(sender, Some(lost), &text);
            }
            Ok(None) => {}
            // It is unknown which messages are lost, so all count as lost.
            Err(e) => self.lose_messages(
                sender,
                None,
                &format!("journal can't be read or written, all messages count as lost: {e}"),
            ),
        }
    }

    /// Records that a sender has lost all its messages, or `only` these. Clients submit them again to a running sender, except those
    /// that were possibly executed and must not be executed twice.
    pub(super) fn lose_messages(
        &mut self,
        sender: usize,
        only: Option<BTreeSet<String>>,
        why: &str,
    ) {
        let is_lost = |id: &str| only.as_ref().is_none_or(|only| only.contains(id));
        let lost_entries = self
            .pending
            .iter()
            .filter(|(id, owner)| **owner == sender && is_lost(id));
        let lost: Vec<String> = lost_entries.map(|(id, _)| id.clone()).collect();
        self.pending
            .retain(|id, owner| *owner != sender || !is_lost(id));
        let resubmitted = self.repeatable(lost);
        let event = AuditEvent::Lost {
            only: only.map(|ids| ids.into_iter().collect()),
        };
        self.record(Some(sender), event, why);
        let now = self.now();
        for id in &resubmitted {
            self.clients.closed(now, id, Some(RETRY_AFTER_LOSS));
        }
        self.schedule_arrival();
    }

    /// The messages that may be executed again. If the scenario has an unsafe class, these are the messages without an attempt, whatever
    /// their own class; otherwise all.
    fn repeatable(&self, mut ids: Vec<String>) -> Vec<String> {
        if self
            .scenario
            .classes
            .iter()
            .any(|class| class.effect == Effect::Unsafe)
        {
            let called = self.called_messages();
            ids.retain(|id| !called.contains(id.as_str()));
        }
        ids
    }

    /// Ids of all messages that a destination has received in a call.
    fn called_messages(&self) -> BTreeSet<&str> {
        let calls = self
            .log
            .records
            .iter()
            .filter_map(|record| match &record.event {
                AuditEvent::Called { ids, .. } => Some(ids),
                _ => None,
            });
        calls.flatten().map(String::as_str).collect()
    }
}
