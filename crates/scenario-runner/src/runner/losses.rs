//! Messages that a sender loses with its state folder or a part of its journal, and that clients submit again.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::scenario::Effect;

use super::state::Runner;
use crate::journal_damage::Damage;

/// A lost message is submitted again after this.
const RETRY_AFTER_LOSS: Duration = Duration::from_secs(1);

impl Runner<'_> {
    /// Damages a sender's journal at a place that the seed draws.
    pub(super) fn damage_journal(&mut self, sender: usize) {
        match self.senders[sender]
            .process
            .damage_journal(&mut self.damage_rng)
        {
            Ok(Some(Damage {
                lost,
                segment,
                at,
                size,
            })) => {
                let count = lost.len();
                let line =
                    format!("{segment} cut at {at} of {size} bytes, {count} messages lost with it");
                self.lose_messages(sender, Some(lost), &line);
            }
            Ok(None) => {}
            // The lost messages are not known, so all of them count as lost.
            Err(e) => self.lose_messages(sender, None, &format!("its journal can't be read: {e}")),
        }
    }

    /// A sender loses all its messages, or `only` these. Clients submit them again, to a sender that runs, unless a
    /// message may have been executed and must not be executed twice.
    pub(super) fn lose_messages(
        &mut self,
        sender: usize,
        only: Option<BTreeSet<String>>,
        why: &str,
    ) {
        let is_lost = |id: &str| only.as_ref().is_none_or(|only| only.contains(id));
        let held = self
            .pending
            .iter()
            .filter(|(id, by)| **by == sender && is_lost(id));
        let lost: Vec<String> = held.map(|(id, _)| id.clone()).collect();
        self.pending.retain(|id, by| *by != sender || !is_lost(id));
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

    /// Those of the messages that may be executed again. Classes are not distinguished: if the scenario has an unsafe one, no message that
    /// has been called is repeated.
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

    /// All messages of which an attempt has been made.
    fn called_messages(&self) -> BTreeSet<&str> {
        let calls = self.log.lines.iter().filter_map(|line| match &line.event {
            AuditEvent::Called { ids, .. } => Some(ids),
            _ => None,
        });
        calls.flatten().map(String::as_str).collect()
    }
}
