//! What destinations asked for: drains, Retry-After waits, and connections that had been idle too long.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Figures, Findings, Line, Listed, Rule, Violation, What};

#[derive(Debug, Default)]
pub(super) struct DestinationRules {
    /// By sender and endpoint: since when it has been told that this endpoint drains or is gone.
    leaving: BTreeMap<(usize, usize), (Duration, Duration, String)>,
    /// By sender and destination: when the wait was told, until when it lasts, and what proves it.
    waits: BTreeMap<(usize, u64), (Duration, Duration, Duration, String)>,
    /// Connections on which more came than an answer, and what proves it.
    spoilt: BTreeMap<u64, String>,
    /// By connection: when something last passed on it.
    used: BTreeMap<u64, (Duration, Duration)>,
}

impl DestinationRules {
    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Notified {
                endpoint, listed, ..
            } => {
                let Some(sender) = line.sender else { return };
                match listed {
                    Listed::Up => {
                        self.leaving.remove(&(sender, *endpoint));
                    }
                    Listed::Draining | Listed::Removed => {
                        self.leaving.entry((sender, *endpoint)).or_insert_with(|| {
                            // A sender that obeys makes no call, so the telling is the case.
                            findings.kept(Rule::Drains);
                            (line.at, line.late, line.wire.clone())
                        });
                    }
                }
            }
            What::Opened { connection, .. } => {
                self.used.insert(*connection, (line.at, line.late));
            }
            What::Closed { connection } | What::Broke { connection, .. } => {
                self.used.remove(connection);
                self.spoilt.remove(connection);
            }
            What::Begun {
                connection,
                endpoint,
                destination,
            } => {
                self.begun(
                    *connection,
                    *endpoint,
                    *destination,
                    line,
                    figures,
                    findings,
                );
            }
            What::Called {
                connection,
                destination,
                ..
            } => {
                self.used.insert(*connection, (line.at, line.late));
                self.called(*destination, line, figures, findings);
            }
            What::Replied {
                connection,
                destination,
                wait,
                spoilt,
                ..
            } => {
                if *spoilt {
                    self.spoilt.insert(*connection, line.wire.clone());
                }
                self.used.insert(*connection, (line.at, line.late));
                if let (Some(sender), Some(wait)) = (line.sender, wait) {
                    let until = line.at + *wait;
                    let known = self.waits.get(&(sender, *destination));
                    if known.is_none_or(|k| k.1 < until) {
                        self.waits.insert(
                            (sender, *destination),
                            (line.at, until, line.late, line.wire.clone()),
                        );
                    }
                }
            }
            // A restart ends a wait.
            What::ProcessExited => {
                if let Some(sender) = line.sender {
                    self.waits.retain(|(s, _), _| *s != sender);
                }
            }
            _ => {}
        }
    }

    fn begun(
        &mut self,
        connection: u64,
        endpoint: usize,
        destination: u64,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let violation = |rule, why: String, wire: Vec<String>| Violation {
            rule,
            id: None,
            destination: Some(destination),
            at: line.at,
            why,
            wire,
        };
        if let Some((notified, late, proof)) =
            line.sender.and_then(|s| self.leaving.get(&(s, endpoint)))
        {
            let passed = line.at.saturating_sub(*notified);
            let over = passed.checked_sub(figures.drain).filter(|o| !o.is_zero());
            let why = format!(
                "a call begun {} ms after endpoint {endpoint} was notified as draining",
                passed.as_millis()
            );
            let wire = vec![proof.clone(), line.wire.clone()];
            findings.judge(
                over,
                line.late + *late,
                || violation(Rule::Drains, why, wire),
                Rule::Drains,
            );
        }
        if let Some(proof) = self.spoilt.get(&connection) {
            let wire = vec![proof.clone(), line.wire.clone()];
            findings.broken(violation(
                Rule::Idle,
                "a call on a connection with more behind its last answer".into(),
                wire,
            ));
        }
        if let Some((used, late)) = self.used.get(&connection) {
            let idle = line.at.saturating_sub(*used);
            let over = idle.checked_sub(figures.idle).filter(|o| !o.is_zero());
            let why = format!(
                "a call on a connection that was idle for {} ms",
                idle.as_millis()
            );
            let wire = vec![line.wire.clone()];
            findings.judge(
                over,
                line.late + *late,
                || violation(Rule::Idle, why, wire),
                Rule::Idle,
            );
        }
    }

    /// A call counts when its last byte has come.
    fn called(
        &mut self,
        destination: u64,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(sender) = line.sender else { return };
        let Some((notified, until, late, proof)) = self.waits.get(&(sender, destination)) else {
            return;
        };
        if line.at >= *until {
            findings.kept(Rule::Waits);
            self.waits.remove(&(sender, destination));
            return;
        }
        let passed = line.at.saturating_sub(*notified);
        if passed <= figures.wait_grace {
            return;
        }
        // Broken by as much as it came after the grace, and by as much as it came before the end.
        let over = (passed - figures.wait_grace).min(*until - line.at);
        let why = format!(
            "a call {} ms after a Retry-After of {} ms",
            passed.as_millis(),
            (*until - *notified).as_millis()
        );
        let violation = || Violation {
            rule: Rule::Waits,
            id: None,
            destination: Some(destination),
            at: line.at,
            why,
            wire: vec![proof.clone(), line.wire.clone()],
        };
        findings.judge(Some(over), line.late + *late, violation, Rule::Waits);
    }
}
