//! Messages of one key go one at a time, in the order in which one sender took them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Answer, DeliveryOutcome, Figures, Findings, Line, Rule, Violation, What};

/// A message that keeps its order.
#[derive(Debug)]
struct Message {
    sender: usize,
    key: String,
    /// Place among all that were submitted.
    place: u64,
    /// The sender said that it has it; until then it may not.
    accepted: bool,
    /// Delivered, refused, or reported as ended.
    over: bool,
    in_flight: bool,
}

#[derive(Debug, Default)]
pub(super) struct Order {
    submitted: u64,
    messages: BTreeMap<String, Message>,
    /// Messages in flight on each open connection.
    in_flight: BTreeMap<u64, Vec<String>>,
    /// By sender and key: when an attempt ended that may still run, and of which message.
    broken_off: BTreeMap<(usize, String), (Duration, String)>,
}

impl Order {
    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Submitted {
                id,
                ordering_key: Some(key),
                ..
            } => self.submitted(id, key, line),
            What::Answered { id, answer } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.accepted = *answer == Answer::Accepted;
                    message.over |= *answer != Answer::Accepted;
                }
            }
            // Whether the sender has it is not known: it holds nobody up, and nobody is held against it.
            What::Dropped { id } | What::Abandoned { id } => drop(self.messages.remove(id)),
            What::Called {
                connection,
                ids,
                destination,
                ..
            } => {
                ids.iter()
                    .for_each(|id| self.called(id, *destination, line, figures, findings));
                self.in_flight.insert(*connection, ids.clone());
            }
            What::Replied {
                connection,
                outcomes,
                ..
            } => {
                self.in_flight.remove(connection);
                outcomes
                    .iter()
                    .for_each(|(id, outcome)| self.settled(id, *outcome == DeliveryOutcome::Done));
            }
            What::Broke { connection, .. } | What::Closed { connection } => {
                for id in self.in_flight.remove(connection).unwrap_or_default() {
                    self.settled(&id, false);
                    self.note_rest(id, line);
                }
            }
            What::Reported { id, .. } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.over = true;
                }
            }
            What::Lost { only } => self.lost(line.sender, only.as_deref()),
            _ => {}
        }
    }

    fn submitted(&mut self, id: &str, key: &str, line: &Line) {
        let Some(sender) = line.sender else { return };
        self.messages
            .retain(|_, message| !message.over || message.in_flight);
        self.submitted += 1;
        let (place, key) = (self.submitted, key.to_owned());
        let message = Message {
            sender,
            key,
            place,
            accepted: false,
            over: false,
            in_flight: false,
        };
        self.messages.insert(id.to_owned(), message);
    }

    fn settled(&mut self, id: &str, delivered: bool) {
        if let Some(message) = self.messages.get_mut(id) {
            message.in_flight = false;
            message.over |= delivered;
        }
    }

    fn note_rest(&mut self, id: String, line: &Line) {
        if let Some(message) = self.messages.get(&id) {
            self.broken_off
                .insert((message.sender, message.key.clone()), (line.at, id));
        }
    }

    fn lost(&mut self, sender: Option<usize>, only: Option<&[String]>) {
        self.messages.retain(|id, message| {
            Some(message.sender) != sender || only.is_some_and(|only| !only.contains(id))
        });
    }

    fn called(
        &mut self,
        id: &str,
        destination: u64,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(message) = self.messages.get(id) else {
            return;
        };
        let line_of_key = || {
            let same = |(_, other): &(&String, &Message)| {
                other.sender == message.sender
                    && other.key == message.key
                    && other.place != message.place
            };
            self.messages.iter().filter(same)
        };
        let violation = |why: String| Violation {
            rule: Rule::Order,
            id: Some(id.to_owned()),
            destination: Some(destination),
            at: line.at,
            why,
            wire: vec![line.wire.clone()],
        };
        let key = &message.key;
        if let Some((other, _)) = line_of_key().find(|(_, other)| other.in_flight) {
            findings.broken(violation(format!(
                "{other} of the same key {key} is in flight"
            )));
        } else if let Some((other, _)) =
            line_of_key().find(|(_, o)| o.place < message.place && o.accepted && !o.over)
        {
            findings.broken(violation(format!(
                "{other} of the same key {key} was submitted before it"
            )));
        } else {
            self.judge_rest(id, message, line, figures, findings, violation);
        }
        if let Some(message) = self.messages.get_mut(id) {
            message.in_flight = true;
        }
    }

    /// After an attempt that may still run the key rests for others.
    fn judge_rest(
        &self,
        id: &str,
        message: &Message,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
        violation: impl Fn(String) -> Violation,
    ) {
        let rests = self.broken_off.get(&(message.sender, message.key.clone()));
        let Some((since, _)) = rests.filter(|(_, by)| by != id) else {
            return findings.kept(Rule::Order);
        };
        let rested = line.at.saturating_sub(*since);
        let over = figures
            .key_rest
            .checked_sub(rested + figures.slack)
            .filter(|short| !short.is_zero());
        let why = format!("its key rested for {} ms", rested.as_millis());
        findings.judge(over, line.late, || violation(why), Rule::Order);
    }
}
