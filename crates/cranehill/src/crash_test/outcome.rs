//! The outcome of a crash test, and the rules that it is checked against.

use super::delivery_log::{CLASSES, DeliveryLog, UNSAFE_CLASS};
use super::settings::MAX_ATTEMPTS;

/// Largest number of ids that a line shows.
const MAX_SHOWN_IDS: usize = 5;

/// Counts, and the ids of the messages for which a rule was violated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Processes that were killed.
    pub kills: u32,
    /// Bytes of the journal that were changed.
    pub flips: u32,
    /// Messages that the sender answered with `+OK`, by class: safe, keyed, unsafe.
    pub accepted: [u32; 3],
    /// Submissions that the sender answered with an error.
    pub rejected: u32,
    /// Accepted messages that were delivered.
    pub delivered: u32,
    /// Accepted messages with a final report.
    pub reported: u32,
    /// Messages that were accepted, but neither delivered nor reported.
    pub lost: Vec<String>,
    /// Messages of class `unsafe` that were sent again after a possibly executed attempt.
    pub repeated: Vec<String>,
    /// Messages reported with two different states, or `unsafe` ones reported as not executed although possibly executed.
    pub conflicting_reports: Vec<String>,
    /// Messages with more attempts than the configuration allows.
    pub excess_attempts: Vec<String>,
    /// Lines about damage in the senders' logs.
    pub damage_lines: u32,
}

impl Outcome {
    /// Whether no rule is violated. Each changed byte may lose one message: the one whose record it hits.
    pub fn holds(&self) -> bool {
        self.lost.len() <= self.flips as usize
            && self.repeated.is_empty()
            && self.conflicting_reports.is_empty()
            && self.excess_attempts.is_empty()
    }

    /// The lines of the printed report.
    pub fn lines(&self) -> Vec<String> {
        let accepted: Vec<String> = CLASSES
            .iter()
            .zip(self.accepted)
            .map(|(class, count)| format!("{count} {class}"))
            .collect();
        let accepted = accepted.join(", ");
        let mut lines = vec![
            format!(
                "{} kills, {} flipped bytes, {} log lines about damage",
                self.kills, self.flips, self.damage_lines
            ),
            format!("accepted: {accepted}; rejected: {}", self.rejected),
            format!("delivered {}, reported {}", self.delivered, self.reported),
        ];
        for (what, ids) in [
            ("lost", &self.lost),
            ("repeated although unsafe", &self.repeated),
            (
                "with contradicting final reports",
                &self.conflicting_reports,
            ),
            ("sent more than six times", &self.excess_attempts),
        ] {
            let shown: Vec<&str> = ids.iter().take(MAX_SHOWN_IDS).map(String::as_str).collect();
            let line = format!("{what}: {} {}", ids.len(), shown.join(" "));
            lines.push(line.trim_end().to_owned());
        }
        lines
    }

    /// Adds the counts and the rule violations that the log shows.
    pub(super) fn audit(&mut self, delivery_log: &DeliveryLog) {
        self.rejected = delivery_log.rejected;
        for (id, record) in &delivery_log.messages {
            if record.accepted {
                self.accepted[record.class] += 1;
                self.delivered += u32::from(record.delivered);
                self.reported += u32::from(!record.reports.is_empty());
            }
            if record.is_outstanding() {
                self.lost.push(id.clone());
            }
            let is_unsafe = record.class == UNSAFE_CLASS;
            if is_unsafe && record.repeated {
                self.repeated.push(id.clone());
            }
            // A report `returned` states that the message was not executed.
            let returned_after_execution =
                is_unsafe && record.executions > 0 && record.reports.contains("returned");
            if record.reports.len() > 1 || returned_after_execution {
                self.conflicting_reports.push(id.clone());
            }
            if record.attempts > MAX_ATTEMPTS {
                self.excess_attempts.push(id.clone());
            }
        }
    }
}
