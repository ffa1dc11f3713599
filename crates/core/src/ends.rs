//! Ends: of attempts, and of messages.

use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{DestinationId, Event, MessageId, OrderingKey, Outcome, Status};

use crate::effect::{Effect, Record};
use crate::input::AttemptOutcome;
use crate::message::{Answer, FinalReport};
use crate::mutation::{self, Mutation};
use crate::reducer::Core;
use crate::zones::note_zone;

/// A final report that the platform has yet to answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingReport {
    pub(crate) final_report: FinalReport,
    /// Nothing else goes within it until then.
    pub(crate) ordering_key: Option<String>,
}

impl Core {
    pub(crate) fn on_attempts_finished(&mut self, ends: Vec<AttemptOutcome>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for mut end in ends {
            if mutation::is(Mutation::IgnoresWaits) {
                end.retry_after = None;
            }
            let failed = matches!(
                end.status,
                Status::NoConnection | Status::TimedOut | Status::Overloaded | Status::Reset
            );
            let tries_on = mutation::is(Mutation::SeventhAttempt) && end.status == Status::Error;
            if mutation::is(Mutation::FloodsCold) && failed || tries_on {
                end.status = Status::NotSent;
            }
            let retry_after = end.retry_after;
            let Some(pending) = self.pending.get_mut(&end.id) else {
                // Withdrawn while out: the decisions still hear how it ended.
                self.events.push(outcome(end, true));
                continue;
            };
            let out = pending.out.take_if(|(number, _)| *number == end.attempt);
            must_hold!(
                self.unknown_message,
                out.is_some(),
                "an end for {} that was not out",
                end.id
            );
            let destination = DestinationId(pending.message.destination);
            if let (Some(zones), Some((_, endpoint))) = (&mut self.zones, &out) {
                note_zone(zones, &self.list, self.now, endpoint, end.status);
            }
            let not_executed = end.status.not_executed();
            pending
                .possibly_executed
                .take_if(|(.., number)| not_executed && *number == end.attempt);
            pending.recipient_removed |= end.status == Status::RecipientRemoved;
            let over = end.over || end.status == Status::Served;
            let (id, attempt) = (end.id.clone(), end.attempt);
            if over {
                let pending = self.pending.remove(&id);
                if let Some(pending) = pending.filter(|h| !h.accepted) {
                    let answer = if end.status == Status::Served {
                        Answer::Delivered
                    } else {
                        Answer::Failed
                    };
                    self.deferred.push(Effect::Answer {
                        to: pending.message.from,
                        id,
                        answer,
                    });
                } else {
                    let until = self.remember(&id).0;
                    self.records.push(Record::Completed { id, until });
                }
            } else if pending.accepted {
                self.records.push(Record::AttemptFinished {
                    id,
                    attempt,
                    not_executed,
                });
            }
            self.events.push(outcome(end, over));
            // A call still on its way to its connection would arrive inside the wait.
            if retry_after.is_some() {
                let endpoints = self.list.of_destination(destination).cloned().collect();
                effects.push(Effect::CancelUnwritten { endpoints });
            }
        }
        effects
    }

    /// A message that keeps its order is over for good: the next one of its key may go.
    pub(crate) fn end_order(&mut self, ordering_key: Option<&str>) {
        if let Some(key) = ordering_key {
            self.scheduler.report_answered(&OrderingKey(key.to_owned()));
        }
    }

    /// Remembers an id that has ended for as long as a message lasts, and tells until when.
    pub(crate) fn remember(&mut self, id: &str) -> Time {
        let until = self.now + self.longest();
        self.ended.note(id, until, self.now);
        until
    }

    pub(crate) fn on_final(&mut self, id: String, after: Option<Duration>, harmless: bool) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.unacknowledged.remove(&(pending.sequence, id.clone()));
        if let Some(recovery) = &mut self.recovery {
            recovery.work_queue.moved(pending.message.destination, &id);
        }
        if pending.accepted {
            let after_ms = after.map_or(0, |a| a.as_millis() as u64);
            let final_report = if harmless {
                FinalReport::Returned { after_ms }
            } else {
                FinalReport::Failed
            };
            let ordering_key = pending.message.ordering_key;
            self.final_report.insert(
                id.clone(),
                PendingReport {
                    final_report,
                    ordering_key: ordering_key.clone(),
                },
            );
            self.remember(&id);
            self.records.push(Record::FinalReportDue {
                id: id.clone(),
                final_report,
                ordering_key,
            });
            self.deferred
                .push(Effect::SendFinalReport { id, final_report });
            return;
        }
        let answer = match harmless {
            true if pending.recipient_removed => Answer::RecipientRemoved,
            true if pending.deadline <= self.now + self.set.tick * 2 => Answer::Expired,
            true => Answer::Rejected { after },
            false => Answer::Failed,
        };
        // Its answer is its end.
        if pending.message.ordering_key.is_some() {
            self.end_order(pending.message.ordering_key.as_deref());
            self.deferred.push(Effect::WakeAt(self.now));
        }
        self.deferred.push(Effect::Answer {
            to: pending.message.from,
            id,
            answer,
        });
    }
}

fn outcome(end: AttemptOutcome, over: bool) -> Event {
    Event::Outcome(Outcome {
        id: MessageId(end.id),
        attempt: end.attempt,
        status: end.status,
        completed: over,
        took: end.took,
        wait: end.retry_after,
        report: end.report,
    })
}
