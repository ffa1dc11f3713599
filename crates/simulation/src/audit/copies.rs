//! Never two attempts of a message at once, none too many, and no repeat that its class forbids: none that the sender
//! makes, and none that it asks the client for by returning a message.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Class, DeliveryOutcome, Figures, FinalReport, Findings, Line, Rule, Violation, What};

#[derive(Debug, Default)]
struct Message {
    class: Option<usize>,
    attempts: u32,
    /// The connection on which an attempt is out, and the line that brought it.
    out: Option<(u64, String)>,
    /// The first attempt that may have been executed.
    executed: Option<(Duration, String)>,
    /// Its final report was heard: what is resent is the same one.
    reported: bool,
}

#[derive(Debug)]
pub(super) struct Copies {
    classes: Vec<Class>,
    messages: BTreeMap<String, Message>,
    /// Messages out on each open connection.
    on: BTreeMap<u64, Vec<String>>,
}

impl Copies {
    pub(super) fn new(classes: Vec<Class>) -> Copies {
        Copies {
            classes,
            messages: BTreeMap::new(),
            on: BTreeMap::new(),
        }
    }

    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Submitted { id, class, .. } | What::Posted { id, class, .. } => {
                self.messages.entry(id.clone()).or_default().class = Some(*class);
            }
            What::Called {
                connection,
                destination,
                ids,
                ..
            } => {
                for id in ids {
                    self.called(id, *connection, *destination, line, figures, findings);
                }
                self.on.insert(*connection, ids.clone());
            }
            What::Replied {
                connection,
                outcomes,
                ..
            } => {
                for (id, outcome) in outcomes {
                    self.settle(id, *connection, *outcome != DeliveryOutcome::Busy, line);
                }
                self.on.remove(connection);
            }
            What::Broke {
                connection,
                ids,
                executed,
                ..
            } => {
                for id in ids {
                    self.settle(id, *connection, *executed, line);
                }
                self.on.remove(connection);
            }
            // The sender gave the call up: it may be executed, or may have.
            What::Closed { connection } => {
                for id in self.on.remove(connection).unwrap_or_default() {
                    self.settle(&id, *connection, true, line);
                }
            }
            What::Reported { id, final_report } => {
                self.reported(id, *final_report, line, figures, findings)
            }
            _ => {}
        }
    }

    /// `returned` tells the client that handing the message in again after the wait does no harm.
    fn reported(
        &mut self,
        id: &str,
        final_report: FinalReport,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(message) = self.messages.get_mut(id) else {
            return;
        };
        let resent = std::mem::replace(&mut message.reported, true);
        let (FinalReport::Returned { after }, false) = (final_report, resent) else {
            return;
        };
        if let (Some((first, proof)), Some(class)) = (
            &message.executed,
            message.class.and_then(|c| self.classes.get(c)),
        ) {
            let wire = vec![proof.clone(), line.wire.clone()];
            let again = (line.at + after.unwrap_or_default()).saturating_sub(*first);
            let why = "returned as harmless to hand in again".to_owned();
            let violation = Violation {
                rule: Rule::Repeats,
                id: Some(id.into()),
                destination: None,
                at: line.at,
                why,
                wire,
            };
            judge_repeat(*class, again, violation, line.late, figures, findings);
        }
    }

    fn called(
        &mut self,
        id: &str,
        connection: u64,
        destination: u64,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let message = self.messages.entry(id.to_owned()).or_default();
        let violation = |rule, why: String, wire: Vec<String>| Violation {
            rule,
            id: Some(id.to_owned()),
            destination: Some(destination),
            at: line.at,
            why,
            wire,
        };
        message.attempts += 1;
        match &message.out {
            Some((_, first)) => {
                let wire = vec![first.clone(), line.wire.clone()];
                findings.broken(violation(
                    Rule::SecondCopy,
                    "a copy while another is out".into(),
                    wire,
                ));
            }
            None => findings.kept(Rule::SecondCopy),
        }
        if message.attempts > figures.attempts {
            let why = format!("attempt {}", message.attempts);
            findings.broken(violation(Rule::Attempts, why, vec![line.wire.clone()]));
        } else {
            findings.kept(Rule::Attempts);
        }
        let class = message.class.and_then(|c| self.classes.get(c).copied());
        if let (Some((first, proof)), Some(class)) = (&message.executed, class) {
            let wire = vec![proof.clone(), line.wire.clone()];
            let violation = violation(Rule::Repeats, "sent again".into(), wire);
            let again = line.at.saturating_sub(*first);
            judge_repeat(class, again, violation, line.late, figures, findings);
        }
        message.out = Some((connection, line.wire.clone()));
    }

    fn settle(&mut self, id: &str, connection: u64, executed: bool, line: &Line) {
        let Some(message) = self.messages.get_mut(id) else {
            return;
        };
        message.out.take_if(|(on, _)| *on == connection);
        if executed {
            // It can't have run before it came; the end is what the sender can know.
            message
                .executed
                .get_or_insert_with(|| (line.at, line.wire.clone()));
        }
    }
}

/// Judges a message that comes, or may come, to its destination `again` after it may have been executed there.
fn judge_repeat(
    class: Class,
    again: Duration,
    violation: Violation,
    late: Duration,
    figures: &Figures,
    findings: &mut Findings,
) {
    let notified = |why: String| Violation {
        why: format!("{}, {why}", violation.why),
        ..violation.clone()
    };
    match class {
        Class::Safe => findings.kept(Rule::Repeats),
        Class::Unsafe => findings.broken(notified(
            "though it may have run and must not be repeated".into(),
        )),
        Class::Keyed { window } => {
            let over = again
                .checked_sub(window + figures.slack)
                .filter(|o| !o.is_zero());
            let why = format!("{} ms after it may have run", again.as_millis());
            findings.judge(over, late, || notified(why), Rule::Repeats);
        }
    }
}
