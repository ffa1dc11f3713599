//! Never two attempts of a notice at once, none too many, and no repeat that its class forbids.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Breach, Class, Fate, Figures, Findings, Line, Rule, What};

#[derive(Debug, Default)]
struct Notice {
    class: Option<usize>,
    attempts: u32,
    /// The connection on which an attempt is out, and the line that brought it.
    out: Option<(u64, String)>,
    /// The first attempt that may have run.
    ran: Option<(Duration, String)>,
}

#[derive(Debug)]
pub(super) struct Copies {
    classes: Vec<Class>,
    notices: BTreeMap<String, Notice>,
    /// Notices out on each open connection.
    on: BTreeMap<u64, Vec<String>>,
}

impl Copies {
    pub(super) fn new(classes: Vec<Class>) -> Copies {
        Copies { classes, notices: BTreeMap::new(), on: BTreeMap::new() }
    }

    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Handed { id, class, .. } | What::Posted { id, class, .. } => {
                self.notices.entry(id.clone()).or_default().class = Some(*class);
            }
            What::Called { connection, partner, ids, .. } => {
                for id in ids {
                    self.called(id, *connection, *partner, line, figures, findings);
                }
                self.on.insert(*connection, ids.clone());
            }
            What::Replied { connection, fates, .. } => {
                for (id, fate) in fates {
                    self.settle(id, *connection, *fate != Fate::Busy, line);
                }
                self.on.remove(connection);
            }
            What::Broke { connection, ids, ran, .. } => {
                for id in ids {
                    self.settle(id, *connection, *ran, line);
                }
                self.on.remove(connection);
            }
            // The sender gave the call up: it may run, or may have.
            What::Closed { connection } => {
                for id in self.on.remove(connection).unwrap_or_default() {
                    self.settle(&id, *connection, true, line);
                }
            }
            _ => {}
        }
    }

    fn called(
        &mut self,
        id: &str,
        connection: u64,
        partner: u64,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let notice = self.notices.entry(id.to_owned()).or_default();
        let breach = |rule, why: String, wire: Vec<String>| Breach {
            rule,
            id: Some(id.to_owned()),
            partner: Some(partner),
            at: line.at,
            why,
            wire,
        };
        notice.attempts += 1;
        match &notice.out {
            Some((_, first)) => {
                let wire = vec![first.clone(), line.wire.clone()];
                findings.broken(breach(Rule::SecondCopy, "a copy while another is out".into(), wire));
            }
            None => findings.kept(Rule::SecondCopy),
        }
        if notice.attempts > figures.attempts {
            let why = format!("attempt {}", notice.attempts);
            findings.broken(breach(Rule::Attempts, why, vec![line.wire.clone()]));
        } else {
            findings.kept(Rule::Attempts);
        }
        let class = notice.class.and_then(|c| self.classes.get(c).copied());
        if let (Some((first, proof)), Some(class)) = (&notice.ran, class) {
            let wire = vec![proof.clone(), line.wire.clone()];
            let passed = line.at.saturating_sub(*first);
            match class {
                Class::Safe => findings.kept(Rule::Repeats),
                Class::Unsafe => {
                    let why = "sent again, though it may have run and must not be repeated".into();
                    findings.broken(breach(Rule::Repeats, why, wire));
                }
                Class::Keyed { window } => {
                    let over = passed.checked_sub(window + figures.slack).filter(|o| !o.is_zero());
                    let why = format!("sent again {} ms after it may have run", passed.as_millis());
                    findings.judge(over, line.late, || breach(Rule::Repeats, why, wire), Rule::Repeats);
                }
            }
        }
        notice.out = Some((connection, line.wire.clone()));
    }

    fn settle(&mut self, id: &str, connection: u64, ran: bool, line: &Line) {
        let Some(notice) = self.notices.get_mut(id) else { return };
        notice.out.take_if(|(on, _)| *on == connection);
        if ran {
            // It can't have run before it came; the end is what the sender can know.
            notice.ran.get_or_insert_with(|| (line.at, line.wire.clone()));
        }
    }
}
