//! A partner that comes back cold is not pushed over by those who saw it fail.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{Breach, Fate, Figures, Findings, Line, Rule, What};

/// A partner since its last outage.
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
    /// By partner and sender: when a call or connection there last failed or was refused.
    last_failure: BTreeMap<(u64, usize), Duration>,
    /// Calls that wait for their answer: the partner, by connection.
    unanswered: BTreeMap<u64, u64>,
    /// Senders that are ending, or gone: what they close tells nothing of a partner.
    ending: BTreeSet<usize>,
    back: BTreeMap<u64, Back>,
}

impl Returns {
    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Replied {
                partner,
                connection,
                fates,
                ..
            } => {
                self.unanswered.remove(connection);
                if fates.iter().any(|(_, fate)| *fate != Fate::Done) {
                    self.note_failure(*partner, line);
                }
            }
            What::Broke {
                partner,
                connection,
                ..
            } => {
                self.unanswered.remove(connection);
                self.note_failure(*partner, line);
            }
            What::Called {
                partner,
                connection,
                ids,
                ..
            } => {
                self.unanswered.insert(*connection, *partner);
                self.called(*partner, ids.len(), line, figures, findings);
            }
            // The sender has given up a call that was not answered: a partner that is silent fails so.
            What::Closed { connection } => {
                let partner = self.unanswered.remove(connection);
                let ending = line
                    .sender
                    .is_none_or(|sender| self.ending.contains(&sender));
                if let Some(partner) = partner.filter(|_| !ending) {
                    self.note_failure(partner, line);
                }
            }
            What::Signalled | What::Gone => self.ending.extend(line.sender),
            What::Ready => {
                line.sender.map(|sender| self.ending.remove(&sender));
            }
            What::Fell { partner } => self.blame(*partner, "it fell", line, figures, findings),
            What::Back {
                partner,
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
                    informed: self.failed_since(*partner, since.saturating_sub(*down)),
                    sent: VecDeque::new(),
                    broken: false,
                };
                self.back.insert(*partner, back);
            }
            _ => {}
        }
    }

    fn note_failure(&mut self, partner: u64, line: &Line) {
        if let Some(sender) = line.sender {
            self.last_failure.insert((partner, sender), line.at);
        }
    }

    /// Senders that have seen a partner fail since `begin`.
    fn failed_since(&self, partner: u64, begin: Duration) -> BTreeSet<usize> {
        let of_partner = self
            .last_failure
            .range((partner, usize::MIN)..=(partner, usize::MAX));
        of_partner
            .filter(|(_, at)| **at >= begin)
            .map(|((_, sender), _)| *sender)
            .collect()
    }

    fn called(
        &mut self,
        partner: u64,
        messages: usize,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(sender) = line.sender else { return };
        let Some(back) = self.back.get_mut(&partner) else {
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
        self.blame(partner, &why, line, figures, findings);
    }

    /// The rule is broken if most of what pushed the partner over came from senders that had been told of its outage.
    fn blame(
        &mut self,
        partner: u64,
        why: &str,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(back) = self.back.get_mut(&partner).filter(|back| !back.broken) else {
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
        findings.broken(Breach {
            rule: Rule::Return,
            id: None,
            partner: Some(partner),
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
