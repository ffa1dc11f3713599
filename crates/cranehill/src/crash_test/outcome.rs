//! The outcome of a crash test, and the rules that it is judged by.

use super::delivery_log::{CLASSES, DeliveryLog, UNSAFE_CLASS};
use super::settings::MAX_ATTEMPTS;

/// Ids that a line shows of a list.
const MAX_SHOWN_IDS: usize = 5;

/// What was counted, and the messages on which a rule was broken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Processes that were killed.
    pub kills: u32,
    /// Bytes of the journal that were changed.
    pub flips: u32,
    /// Messages answered `+OK`, by class: safe, keyed, unsafe.
    pub accepted: [u32; 3],
    /// Messages that were not accepted.
    pub rejected: u32,
    /// Accepted messages that were delivered.
    pub delivered: u32,
    /// Accepted messages with a final report.
    pub reported: u32,
    /// Accepted, but neither delivered nor reported.
    pub lost: Vec<String>,
    /// Of class `unsafe`, sent again after an attempt that may have been executed.
    pub repeated: Vec<String>,
    /// Reported with two different states, or as not executed though they may have been.
    pub conflicting_reports: Vec<String>,
    /// With more attempts than the settings allow.
    pub excess_attempts: Vec<String>,
    /// Lines of the senders' logs on damage.
    pub damage_lines: u32,
}

impl Outcome {
    /// Whether no rule is broken. A flip may lose one message: the one whose record it hits.
    pub fn holds(&self) -> bool {
        self.lost.len() <= self.flips as usize
            && self.repeated.is_empty()
            && self.conflicting_reports.is_empty()
            && self.excess_attempts.is_empty()
    }

    /// The outcome as text.
    pub fn lines(&self) -> Vec<String> {
        let accepted: Vec<String> = CLASSES
            .iter()
            .zip(self.accepted)
            .map(|(class, count)| format!("{count} {class}"))
            .collect();
        let accepted = accepted.join(", ");
        let mut lines = vec![
            format!(
                "{} kills, {} flipped bytes, {} log lines of damage",
                self.kills, self.flips, self.damage_lines
            ),
            format!("accepted: {accepted}; rejected: {}", self.rejected),
            format!("delivered {}, reported {}", self.delivered, self.reported),
        ];
        for (what, ids) in [
            ("lost", &self.lost),
            ("unsafe and repeated", &self.repeated),
            ("with a second end", &self.conflicting_reports),
            ("sent more than six times", &self.excess_attempts),
        ] {
            let shown: Vec<&str> = ids.iter().take(MAX_SHOWN_IDS).map(String::as_str).collect();
            let line = format!("{what}: {} {}", ids.len(), shown.join(" "));
            lines.push(line.trim_end().to_owned());
        }
        lines
    }

    /// Adds what the log shows.
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
            // `returned` states to the tenant that the message was not executed.
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
