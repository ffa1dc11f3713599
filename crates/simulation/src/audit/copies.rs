//! Never two attempts of a notice at once, none too many, and no repeat that its class forbids: none that the sender
//! makes, and none that it asks the client for by returning a notice.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Breach, Class, Closing, Fate, Figures, Findings, Line, Rule, What};

#[derive(Debug, Default)]
struct Notice {
    class: Option<usize>,
    attempts: u32,
    /// The connection on which an attempt is out, and the line that brought it.
    out: Option<(u64, String)>,
    /// The first attempt that may have run.
    ran: Option<(Duration, String)>,
    /// Its closing report was heard: what is resent is the same one.
    reported: bool,
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
        Copies {
            classes,
            notices: BTreeMap::new(),
            on: BTreeMap::new(),
        }
    }

    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Handed { id, class, .. } | What::Posted { id, class, .. } => {
                self.notices.entry(id.clone()).or_default().class = Some(*class);
            }
            What::Called {
                connection,
                partner,
                ids,
                ..
            } => {
                for id in ids {
                    self.called(id, *connection, *partner, line, figures, findings);
                }
                self.on.insert(*connection, ids.clone());
            }
            What::Replied {
                connection, fates, ..
            } => {
                for (id, fate) in fates {
                    self.settle(id, *connection, *fate != Fate::Busy, line);
                }
                self.on.remove(connection);
            }
            What::Broke {
                connection,
                ids,
                ran,
                ..
            } => {
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
            What::Reported { id, closing } => self.reported(id, *closing, line, figures, findings),
            _ => {}
        }
    }

    /// `returned` tells the client that handing the notice in again after the wait does no harm.
    fn reported(
        &mut self,
        id: &str,
        closing: Closing,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(notice) = self.notices.get_mut(id) else {
            return;
        };
        let resent = std::mem::replace(&mut notice.reported, true);
        let (Closing::Returned { after }, false) = (closing, resent) else {
            return;
        };
        if let (Some((first, proof)), Some(class)) =
            (&notice.ran, notice.class.and_then(|c| self.classes.get(c)))
        {
            let wire = vec![proof.clone(), line.wire.clone()];
            let again = (line.at + after.unwrap_or_default()).saturating_sub(*first);
            let why = "returned as harmless to hand in again".to_owned();
            let breach = Breach {
                rule: Rule::Repeats,
                id: Some(id.into()),
                partner: None,
                at: line.at,
                why,
                wire,
            };
            judge_repeat(*class, again, breach, line.late, figures, findings);
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
                findings.broken(breach(
                    Rule::SecondCopy,
                    "a copy while another is out".into(),
                    wire,
                ));
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
            let breach = breach(Rule::Repeats, "sent again".into(), wire);
            let again = line.at.saturating_sub(*first);
            judge_repeat(class, again, breach, line.late, figures, findings);
        }
        notice.out = Some((connection, line.wire.clone()));
    }

    fn settle(&mut self, id: &str, connection: u64, ran: bool, line: &Line) {
        let Some(notice) = self.notices.get_mut(id) else {
            return;
        };
        notice.out.take_if(|(on, _)| *on == connection);
        if ran {
            // It can't have run before it came; the end is what the sender can know.
            notice
                .ran
                .get_or_insert_with(|| (line.at, line.wire.clone()));
        }
    }
}

/// Judges a notice that comes, or may come, to its partner `again` after it may have run there.
fn judge_repeat(
    class: Class,
    again: Duration,
    breach: Breach,
    late: Duration,
    figures: &Figures,
    findings: &mut Findings,
) {
    let told = |why: String| Breach {
        why: format!("{}, {why}", breach.why),
        ..breach.clone()
    };
    match class {
        Class::Safe => findings.kept(Rule::Repeats),
        Class::Unsafe => findings.broken(told(
            "though it may have run and must not be repeated".into(),
        )),
        Class::Keyed { window } => {
            let over = again
                .checked_sub(window + figures.slack)
                .filter(|o| !o.is_zero());
            let why = format!("{} ms after it may have run", again.as_millis());
            findings.judge(over, late, || told(why), Rule::Repeats);
        }
    }
}
