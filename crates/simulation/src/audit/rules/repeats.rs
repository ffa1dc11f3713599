//! [`Rule::Repeats`]: no possibly executed message is repeated against the rules of its class, neither by the sender itself
//! nor by a client to which the sender returned it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::audit::calls::CallsInFlight;
use crate::audit::findings::{Findings, Violation, excess};
use crate::audit::limits::Class;
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{AuditEvent, AuditRecord, FinalReport};
use crate::audit::rule::Rule;

/// The first attempt that was possibly executed.
#[derive(Clone, Debug)]
struct Execution {
    /// End of the attempt. The sender cannot know the time of the execution itself.
    at: Duration,
    wire: String,
}

#[derive(Debug, Default)]
struct Message {
    class: Option<usize>,
    first_execution: Option<Execution>,
    /// A final report was sent; later ones are resent copies.
    reported: bool,
}

/// A repeat by the sender, or by the client to which it returned the message.
#[derive(Debug)]
struct Repeat<'a> {
    id: &'a str,
    destination: Option<u64>,
    class: Class,
    first_execution: &'a Execution,
    /// Earliest time at which the repeat reaches the destination.
    at: Duration,
    description: &'static str,
}

/// Checks [`Rule::Repeats`].
#[derive(Debug)]
pub(super) struct Repeats {
    classes: Vec<Class>,
    messages: BTreeMap<String, Message>,
    calls: CallsInFlight,
}

impl RuleAuditor for Repeats {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        match &record.event {
            AuditEvent::Submitted { id, class, .. } | AuditEvent::Posted { id, class, .. } => {
                self.messages.entry(id.clone()).or_default().class = Some(*class);
            }
            AuditEvent::Called {
                destination, ids, ..
            } => {
                for id in ids {
                    self.called(id, *destination, observed, findings);
                }
            }
            AuditEvent::Reported { id, final_report } => {
                self.reported(id, *final_report, observed, findings);
            }
            _ => {}
        }
        let Some(ended) = self.calls.observe(&record.event) else {
            return;
        };
        for attempt in ended.attempts {
            if attempt.possibly_executed {
                self.executed(&attempt.id, record);
            }
        }
    }
}

impl Repeats {
    pub(super) fn new(classes: Vec<Class>) -> Repeats {
        Repeats {
            classes,
            messages: BTreeMap::new(),
            calls: CallsInFlight::default(),
        }
    }

    fn called(
        &mut self,
        id: &str,
        destination: u64,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let message = self.messages.entry(id.to_owned()).or_default();
        let class = message.class.and_then(|c| self.classes.get(c));
        if let (Some(first_execution), Some(class)) = (&message.first_execution, class) {
            let repeat = Repeat {
                id,
                destination: Some(destination),
                class: *class,
                first_execution,
                at: observed.record.at,
                description: "sent again",
            };
            judge(&repeat, observed, findings);
        }
    }

    /// A final report `returned` allows the client to submit the message again after the stated wait.
    fn reported(
        &mut self,
        id: &str,
        final_report: FinalReport,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let Some(message) = self.messages.get_mut(id) else {
            return;
        };
        let resent = std::mem::replace(&mut message.reported, true);
        let FinalReport::Returned { after } = final_report else {
            return;
        };
        if resent {
            return;
        }
        let class = message.class.and_then(|c| self.classes.get(c));
        if let (Some(first_execution), Some(class)) = (&message.first_execution, class) {
            let repeat = Repeat {
                id,
                destination: None,
                class: *class,
                first_execution,
                at: observed.record.at + after.unwrap_or_default(),
                description: "returned for resubmission",
            };
            judge(&repeat, observed, findings);
        }
    }

    fn executed(&mut self, id: &str, record: &AuditRecord) {
        if let Some(message) = self.messages.get_mut(id) {
            message.first_execution.get_or_insert_with(|| Execution {
                at: record.at,
                wire: record.wire.clone(),
            });
        }
    }
}

fn judge(repeat: &Repeat<'_>, observed: &Observation<'_>, findings: &mut Findings) {
    let record = observed.record;
    let violation = |reason: &str| Violation {
        rule: Rule::Repeats,
        id: Some(repeat.id.to_owned()),
        destination: repeat.destination,
        at: record.at,
        why: format!("{}, {reason}", repeat.description),
        wire: vec![repeat.first_execution.wire.clone(), record.wire.clone()],
    };
    match repeat.class {
        Class::Safe => findings.kept(Rule::Repeats),
        Class::Unsafe => {
            findings.broken(violation(
                "although it was possibly executed and its class forbids repeats",
            ));
        }
        Class::Keyed { window } => {
            let elapsed = repeat.at.saturating_sub(repeat.first_execution.at);
            let beyond_window = excess(elapsed, window + observed.limits.socket_slack);
            let reason = format!("{} ms after it was possibly executed", elapsed.as_millis());
            let violation = || violation(&reason);
            findings.judge(
                Rule::Repeats,
                beyond_window,
                record.recording_delay,
                violation,
            );
        }
    }
}
