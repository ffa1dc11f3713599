//! A destination that comes back cold is not pushed over by those who saw it fail.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{DeliveryOutcome, Figures, Findings, Line, Rule, Violation, What};

/// A destination since its last outage.
#[derive(Debug)]
struct Back {
    since: Duration,
    capacity: f64,
    cold: f64,
    warm: Duration,
    item: f64,
    /// Senders that saw it fail in this outage.
    informed: BTreeSet<usize>,
    /// Calls since then: when, from whom, what they weigh, and what proves it.
    sent: VecDeque<(Duration, usize, f64, String)>,
    broken: bool,
}

#[derive(Debug, Default)]
pub(super) struct Returns {
    /// By destination and sender: when a call or connection there last failed or was refused.
    last_failure: BTreeMap<(u64, usize), Duration>,
    /// Calls that wait for their answer: the destination, by connection.
    unanswered: BTreeMap<u64, u64>,
    /// Senders that are ending, or gone: what they close tells nothing of a destination.
    ending: BTreeSet<usize>,
    back: BTreeMap<u64, Back>,
}

impl Returns {
    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Replied {
                destination,
                connection,
                outcomes,
                ..
            } => {
                self.unanswered.remove(connection);
                if outcomes
                    .iter()
                    .any(|(_, outcome)| *outcome != DeliveryOutcome::Done)
                {
                    self.note_failure(*destination, line);
                }
            }
            What::Broke {
                destination,
                connection,
                ..
            } => {
                self.unanswered.remove(connection);
                self.note_failure(*destination, line);
            }
            What::Called {
                destination,
                connection,
                ids,
                ..
            } => {
                self.unanswered.insert(*connection, *destination);
                self.called(*destination, ids.len(), line, figures, findings);
            }
            // The sender has given up a call that was not answered: a destination that is silent fails so.
            What::Closed { connection } => {
                let destination = self.unanswered.remove(connection);
                let ending = line
                    .sender
                    .is_none_or(|sender| self.ending.contains(&sender));
                if let Some(destination) = destination.filter(|_| !ending) {
                    self.note_failure(destination, line);
                }
            }
            What::Signalled | What::ProcessExited => self.ending.extend(line.sender),
            What::Ready => {
                line.sender.map(|sender| self.ending.remove(&sender));
            }
            What::Fell { destination } => {
                self.blame(*destination, "it fell", line, figures, findings)
            }
            What::Back {
                destination,
                since,
                down,
                capacity,
                cold,
                warm,
                item,
            } => {
                let back = Back {
                    since: *since,
                    capacity: *capacity,
                    cold: *cold,
                    warm: *warm,
                    item: *item,
                    informed: self.failed_since(*destination, since.saturating_sub(*down)),
                    sent: VecDeque::new(),
                    broken: false,
                };
                self.back.insert(*destination, back);
            }
            _ => {}
        }
    }

    fn note_failure(&mut self, destination: u64, line: &Line) {
        if let Some(sender) = line.sender {
            self.last_failure.insert((destination, sender), line.at);
        }
    }

    /// Senders that have seen a destination fail since `begin`.
    fn failed_since(&self, destination: u64, begin: Duration) -> BTreeSet<usize> {
        let of_destination = self
            .last_failure
            .range((destination, usize::MIN)..=(destination, usize::MAX));
        of_destination
            .filter(|(_, at)| **at >= begin)
            .map(|((_, sender), _)| *sender)
            .collect()
    }

    fn called(
        &mut self,
        destination: u64,
        messages: usize,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(sender) = line.sender else { return };
        let Some(back) = self.back.get_mut(&destination) else {
            return;
        };
        let since = line.at.saturating_sub(back.since);
        if line.at < back.since || since >= back.warm {
            return;
        }
        let weight = 1.0 + back.item * (messages as f64 - 1.0);
        back.sent
            .push_back((line.at, sender, weight, line.wire.clone()));
        while back
            .sent
            .front()
            .is_some_and(|(at, ..)| line.at.saturating_sub(*at) >= figures.fall)
        {
            back.sent.pop_front();
        }
        let share = (back.cold
            + (1.0 - back.cold) * since.as_secs_f64() / back.warm.as_secs_f64().max(1e-9))
        .min(1.0);
        let expected = figures.multiple * share * back.capacity * figures.fall.as_secs_f64();
        let budget = expected + figures.chance * expected.sqrt() + figures.chance;
        let total: f64 = back.sent.iter().map(|s| s.2).sum();
        if total <= budget {
            findings.kept(Rule::Return);
            return;
        }
        let why = format!("it could take {budget:.1}");
        self.blame(destination, &why, line, figures, findings);
    }

    /// The rule is broken if most of what pushed the destination over came from senders that had been told of its outage.
    fn blame(
        &mut self,
        destination: u64,
        why: &str,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(back) = self.back.get_mut(&destination).filter(|back| !back.broken) else {
            return;
        };
        let total: f64 = back.sent.iter().map(|s| s.2).sum();
        let theirs: f64 = back
            .sent
            .iter()
            .filter(|s| back.informed.contains(&s.1))
            .map(|s| s.2)
            .sum();
        if theirs <= total * figures.share {
            return;
        }
        back.broken = true;
        findings.broken(Violation {
            rule: Rule::Return,
            id: None,
            destination: Some(destination),
            at: line.at,
            why: format!(
                "{total:.1} calls in {:.1} s, {theirs:.1} of them from senders that saw it fail; {why}",
                figures.fall.as_secs_f64()
            ),
            wire: back.sent.iter().rev().take(8).map(|s| s.3.clone()).collect(),
        });
    }

    pub(super) fn close(&mut self, _figures: &Figures, _findings: &mut Findings) {
        self.back.clear();
    }
}
