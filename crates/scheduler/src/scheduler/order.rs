//! Messages that share a key go one at a time, in the order taken. Here is what holds a key's line back: the message at its
//! head, a rest after an attempt that may still run, and final reports that nobody has answered yet.

use super::*;

impl Scheduler {
    /// From now on a message that is given up keeps its key until its report is answered ([`Scheduler::report_answered`]). For
    /// callers whose final answers take time to arrive.
    pub fn confirm_reports(&mut self) {
        self.confirms_reports = true;
    }

    /// The final report of a message with this key is under way, from an earlier process of this sender.
    pub fn await_report(&mut self, ordering_key: &OrderingKey) {
        self.ordered_queues
            .entry(ordering_key.clone())
            .or_default()
            .reports += 1;
    }

    /// A final report about a message with this key has been answered, or was an immediate answer.
    pub fn report_answered(&mut self, ordering_key: &OrderingKey) {
        if let Some(line) = self.ordered_queues.get_mut(ordering_key) {
            line.reports = line.reports.saturating_sub(1);
        }
    }

    /// Attempts of an earlier process may still run: all keys rest.
    pub fn rest_keys(&mut self, now: Time) {
        self.keys_rest_until = now + self.settings.rules.key_quiet;
    }

    /// Keys that anything is known of.
    pub fn ordered_queues(&self) -> usize {
        self.ordered_queues.len()
    }

    /// Whether the message is the head of its key's line, with no report under way and after any rest.
    pub(super) fn in_turn(&self, number: u64, message: &Message) -> bool {
        let Some(line) = message
            .ordering_key
            .as_ref()
            .and_then(|k| self.ordered_queues.get(k))
        else {
            return true;
        };
        let rested = self.now >= line.rest_until || line.rest_by == number;
        let rested = rested && self.now >= self.keys_rest_until;
        line.reports == 0 && rested && line.line.front() == Some(&number)
    }

    /// A message is about to be given up.
    pub(super) fn hold_for_report(&mut self, number: u64) {
        let ordering_key = self
            .messages
            .get(&number)
            .and_then(|m| m.ordering_key.clone());
        if let Some(ordering_key) = ordering_key.filter(|_| self.confirms_reports) {
            self.await_report(&ordering_key);
        }
    }

    /// Forgets keys that nothing waits for.
    pub(super) fn forget_keys(&mut self) {
        let now = self.now;
        self.ordered_queues
            .retain(|_, line| !line.line.is_empty() || line.rest_until > now || line.reports > 0);
    }
}
