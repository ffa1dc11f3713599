//! One end for every message that was accepted, in time; and an answer for every request.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Answer, DeliveryOutcome, Figures, FinalReport, Findings, Line, Rule, Violation, What};

#[derive(Debug, Default)]
struct TrackedMessage {
    sender: Option<usize>,
    submitted: Duration,
    submitted_late: Duration,
    submitted_wire: String,
    duration: Duration,
    taken: Option<Duration>,
    /// Over Web Push, where the answer is the end.
    posted: bool,
    answered: bool,
    /// The first 200 that was written for it.
    delivered: Option<(Duration, String)>,
    final_report: Option<(FinalReport, String)>,
    /// The sender that took it on is gone for good with all that it held.
    lost: bool,
}

#[derive(Debug, Default)]
pub(super) struct Ends {
    messages: BTreeMap<String, TrackedMessage>,
    /// By sender: from when until when no end is overdue.
    excused: BTreeMap<usize, Vec<(Duration, Option<Duration>)>>,
}

impl Ends {
    pub(super) fn hear(&mut self, line: &Line, figures: &Figures, findings: &mut Findings) {
        match &line.what {
            What::Submitted { id, duration, .. } => {
                let message = self.messages.entry(id.clone()).or_default();
                message.sender = line.sender;
                (message.submitted, message.submitted_late, message.duration) =
                    (line.at, line.late, *duration);
                message.submitted_wire = line.wire.clone();
            }
            What::Posted { id, duration, .. } => {
                let message = self.messages.entry(id.clone()).or_default();
                message.sender = line.sender;
                (message.submitted, message.submitted_late, message.duration) =
                    (line.at, line.late, *duration);
                message.submitted_wire = line.wire.clone();
                (message.posted, message.taken) = (true, Some(line.at));
            }
            What::Answered { id, answer } => {
                let Some(message) = self.messages.get_mut(id) else {
                    return;
                };
                message.answered = true;
                if message.posted {
                    return self.post_answered(id, answer, line, figures, findings);
                }
                let over = line
                    .at
                    .saturating_sub(message.submitted)
                    .checked_sub(figures.patience);
                let over = over.filter(|o| !o.is_zero());
                let late = line.late + message.submitted_late;
                let wire = vec![message.submitted_wire.clone(), line.wire.clone()];
                let why = format!(
                    "answered after {} ms",
                    line.at.saturating_sub(message.submitted).as_millis()
                );
                findings.judge(
                    over,
                    late,
                    || violation(Rule::Answers, id, line.at, why, wire),
                    Rule::Answers,
                );
                if *answer == Answer::Accepted {
                    message.taken.get_or_insert(line.at);
                }
            }
            What::Dropped { id } => {
                let excused = line.sender.is_some_and(|s| self.is_excused(s, line.at));
                let Some(message) = self.messages.get_mut(id).filter(|n| !n.answered) else {
                    return;
                };
                // Whoever posted knows that nothing more will come.
                message.answered = message.posted;
                if excused {
                    return;
                }
                let wire = vec![message.submitted_wire.clone(), line.wire.clone()];
                findings.broken(violation(
                    Rule::Answers,
                    id,
                    line.at,
                    "closed without an answer".into(),
                    wire,
                ));
            }
            What::Abandoned { id } => {
                let excused = line.sender.is_some_and(|s| self.is_excused(s, line.at));
                let Some(message) = self.messages.get(id).filter(|n| !n.answered && !excused)
                else {
                    return;
                };
                let wire = vec![message.submitted_wire.clone(), line.wire.clone()];
                let why = format!("no answer in {} ms", figures.patience.as_millis());
                // How much later it would have come nobody knows: a rig that was late itself is no proof.
                let late = line.late + message.submitted_late;
                findings.judge(
                    Some(figures.slack),
                    late,
                    || violation(Rule::Answers, id, line.at, why, wire),
                    Rule::Answers,
                );
            }
            What::Replied { outcomes, .. } => {
                for (id, _) in outcomes
                    .iter()
                    .filter(|(_, outcome)| *outcome == DeliveryOutcome::Done)
                {
                    if let Some(message) = self.messages.get_mut(id) {
                        message
                            .delivered
                            .get_or_insert_with(|| (line.at, line.wire.clone()));
                    }
                }
            }
            What::Reported { id, final_report } => {
                self.reported(id, *final_report, line, figures, findings)
            }
            What::Signalled | What::ProcessExited => {
                if let Some(sender) = line.sender {
                    let spans = self.excused.entry(sender).or_default();
                    if spans.last().is_none_or(|(_, end)| end.is_some()) {
                        spans.push((line.at, None));
                    }
                }
            }
            What::Lost { only: None } => {
                let of = self
                    .messages
                    .values_mut()
                    .filter(|n| n.sender == line.sender);
                of.for_each(|n| n.lost = true);
            }
            What::Lost { only: Some(ids) } => {
                for id in ids {
                    self.messages.entry(id.clone()).or_default().lost = true;
                }
            }
            What::Ready => {
                if let Some((_, end)) = line
                    .sender
                    .and_then(|s| self.excused.get_mut(&s)?.last_mut())
                {
                    end.get_or_insert(line.at + figures.restart);
                }
            }
            _ => {}
        }
    }

    fn reported(
        &mut self,
        id: &str,
        final_report: FinalReport,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(message) = self.messages.get_mut(id) else {
            let why = "a report of a message that nobody submitted".into();
            findings.broken(violation(
                Rule::OneEnd,
                id,
                line.at,
                why,
                vec![line.wire.clone()],
            ));
            return;
        };
        let kind = |c: &FinalReport| matches!(c, FinalReport::Returned { .. });
        match &message.final_report {
            // The same report again is no second end: it is resent until it is answered.
            Some((first, _)) if kind(first) == kind(&final_report) => {}
            Some((_, wire)) => {
                let wire = vec![wire.clone(), line.wire.clone()];
                findings.broken(violation(
                    Rule::OneEnd,
                    id,
                    line.at,
                    "reported with two ends".into(),
                    wire,
                ));
            }
            // What was delivered may still be reported, if the 200 never reached the sender; whether as
            // `returned` is a matter of its class, and so of the rule on repeats.
            None => message.final_report = Some((final_report, line.wire.clone())),
        }
        if !message.answered {
            message.answered = true;
        }
        self.in_time(id, line, figures, findings);
    }

    /// The one answer to a post: true to what the push service wrote, and in time.
    fn post_answered(
        &self,
        id: &str,
        answer: &Answer,
        line: &Line,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let Some(message) = self.messages.get(id) else {
            return;
        };
        let wire = |proof: Option<&String>| {
            let mut wire = vec![message.submitted_wire.clone(), line.wire.clone()];
            wire.extend(proof.cloned());
            wire
        };
        match (answer, &message.delivered) {
            (Answer::Delivered | Answer::Accepted, None) => {
                let why = "answered as delivered, and no push service took it".into();
                findings.broken(violation(Rule::OneEnd, id, line.at, why, wire(None)));
            }
            (Answer::Rejected { .. } | Answer::Error, Some((_, proof))) => {
                let why = "answered as never run, and it had been delivered".into();
                findings.broken(violation(Rule::OneEnd, id, line.at, why, wire(Some(proof))));
            }
            _ => findings.kept(Rule::Answers),
        }
        let due = message.submitted + message.duration + figures.overdue;
        let over = line.at.checked_sub(due).filter(|o| !o.is_zero());
        let why = format!(
            "answered {} ms after its time",
            over.unwrap_or_default().as_millis()
        );
        let late = line.late + message.submitted_late;
        findings.judge(
            over,
            late,
            || violation(Rule::InTime, id, line.at, why, wire(None)),
            Rule::InTime,
        );
    }

    fn in_time(&self, id: &str, line: &Line, figures: &Figures, findings: &mut Findings) {
        let Some(message) = self.messages.get(id) else {
            return;
        };
        let due = message.submitted + message.duration + figures.overdue;
        if message
            .sender
            .is_some_and(|s| self.is_excused_since(s, due, line.at))
            || message.delivered.is_some()
        {
            return;
        }
        let over = line.at.checked_sub(due).filter(|o| !o.is_zero());
        let why = format!(
            "its end came {} ms after its time",
            over.unwrap_or_default().as_millis()
        );
        let wire = vec![message.submitted_wire.clone(), line.wire.clone()];
        findings.judge(
            over,
            line.late + message.submitted_late,
            || violation(Rule::InTime, id, line.at, why, wire),
            Rule::InTime,
        );
    }

    fn is_excused(&self, sender: usize, at: Duration) -> bool {
        let spans = self.excused.get(&sender);
        spans.is_some_and(|s| {
            s.iter()
                .any(|(from, to)| *from <= at && to.is_none_or(|to| at <= to))
        })
    }

    /// Whether the sender was excused when the end fell due, and has been until `at` or nearly.
    fn is_excused_since(&self, sender: usize, due: Duration, at: Duration) -> bool {
        let spans = self.excused.get(&sender);
        spans.is_some_and(|s| {
            s.iter()
                .any(|(from, to)| *from <= due && to.is_none_or(|to| at <= to))
        })
    }

    /// The day is over: whatever was accepted and has no end is lost.
    pub(super) fn close(
        &mut self,
        end: Duration,
        late: Duration,
        figures: &Figures,
        findings: &mut Findings,
    ) {
        let messages = std::mem::take(&mut self.messages);
        for (id, message) in &messages {
            let Some(taken) = message.taken.filter(|_| !message.lost) else {
                continue;
            };
            let ended = if message.posted {
                message.answered
            } else {
                message.delivered.is_some() || message.final_report.is_some()
            };
            if ended {
                findings.kept(Rule::OneEnd);
                continue;
            }
            let due = message.submitted + message.duration + figures.overdue;
            // A day that ends before its time says nothing about it.
            let over = end.checked_sub(due).filter(|o| !o.is_zero());
            let what = if message.posted { "posted" } else { "accepted" };
            let lacks = if message.posted {
                "never answered"
            } else {
                "neither delivered nor reported"
            };
            let why = format!("{what} at {:.3} s, and {lacks}", taken.as_secs_f64());
            let wire = vec![message.submitted_wire.clone()];
            if over.is_some() {
                findings.judge(
                    over,
                    late,
                    || violation(Rule::OneEnd, id, end, why, wire),
                    Rule::OneEnd,
                );
            }
        }
    }
}

fn violation(rule: Rule, id: &str, at: Duration, why: String, wire: Vec<String>) -> Violation {
    Violation {
        rule,
        id: Some(id.to_owned()),
        destination: None,
        at,
        why,
        wire,
    }
}
