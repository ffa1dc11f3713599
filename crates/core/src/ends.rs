//! Ends: of attempts, and of messages.

use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{DestinationId, Event, Key, MessageId, Outcome, Status};

use crate::breakage::{self, Breakage};
use crate::effect::{Effect, Record};
use crate::input::AttemptEnd;
use crate::message::{Answer, Closing};
use crate::reducer::Core;
use crate::zones::note_zone;

/// A final report that the platform has yet to answer.
#[derive(Clone, Debug)]
pub(crate) struct PendingReport {
    pub(crate) closing: Closing,
    /// Nothing else goes within it until then.
    pub(crate) order_key: Option<String>,
}

impl Core {
    pub(crate) fn on_ended(&mut self, ends: Vec<AttemptEnd>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for mut end in ends {
            if breakage::is(Breakage::IgnoresWaits) {
                end.told_wait = None;
            }
            let failed = matches!(
                end.status,
                Status::NoConnection | Status::TimedOut | Status::Refused | Status::Reset
            );
            let tries_on = breakage::is(Breakage::SeventhAttempt) && end.status == Status::Error;
            if breakage::is(Breakage::FloodsCold) && failed || tries_on {
                end.status = Status::NotSent;
            }
            let told = end.told_wait;
            let Some(held) = self.held.get_mut(&end.id) else {
                // Withdrawn while out: the decisions still hear how it ended.
                self.events.push(outcome(end, true));
                continue;
            };
            let out = held.out.take_if(|(number, _)| *number == end.attempt);
            must_hold!(
                self.unknown_message,
                out.is_some(),
                "an end for {} that was not out",
                end.id
            );
            let destination = DestinationId(held.message.destination);
            if let (Some(zones), Some((_, endpoint))) = (&mut self.zones, &out) {
                note_zone(zones, &self.list, self.now, endpoint, end.status);
            }
            let never_ran = end.status.never_ran();
            held.maybe_ran
                .take_if(|(.., number)| never_ran && *number == end.attempt);
            held.gone |= end.status == Status::Gone;
            let over = end.over || end.status == Status::Served;
            let (id, attempt) = (end.id.clone(), end.attempt);
            if over {
                let held = self.held.remove(&id);
                if let Some(held) = held.filter(|h| !h.taken_on) {
                    let answer = if end.status == Status::Served {
                        Answer::Delivered
                    } else {
                        Answer::Failed
                    };
                    self.deferred.push(Effect::Answer {
                        to: held.message.from,
                        id,
                        answer,
                    });
                } else {
                    let until = self.remember(&id).0;
                    self.records.push(Record::Over { id, until });
                }
            } else if held.taken_on {
                self.records.push(Record::Back {
                    id,
                    attempt,
                    never_ran,
                });
            }
            self.events.push(outcome(end, over));
            // A call still on its way to its connection would arrive inside the wait.
            if told.is_some() {
                let endpoints = self.list.of_destination(destination).cloned().collect();
                effects.push(Effect::HoldBack { endpoints });
            }
        }
        effects
    }

    /// A message that keeps its order is over for good: the next one of its key may go.
    pub(crate) fn end_order(&mut self, order_key: Option<&str>) {
        if let Some(key) = order_key {
            self.sender.report_answered(&Key(key.to_owned()));
        }
    }

    /// Remembers an id that has ended for as long as a message lasts, and tells until when.
    pub(crate) fn remember(&mut self, id: &str) -> Time {
        let until = self.now + self.longest();
        self.ended.note(id, until, self.now);
        until
    }

    pub(crate) fn on_final(&mut self, id: String, after: Option<Duration>, harmless: bool) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        self.fresh.remove(&(held.sequence, id.clone()));
        if let Some(recovery) = &mut self.recovery {
            recovery.owed.moved(held.message.destination, &id);
        }
        if held.taken_on {
            let after_ms = after.map_or(0, |a| a.as_millis() as u64);
            let closing = if harmless {
                Closing::Returned { after_ms }
            } else {
                Closing::Failed
            };
            let order_key = held.message.order_key;
            self.closing.insert(
                id.clone(),
                PendingReport {
                    closing,
                    order_key: order_key.clone(),
                },
            );
            self.remember(&id);
            self.records.push(Record::Closing {
                id: id.clone(),
                closing,
                order_key,
            });
            self.deferred.push(Effect::Report { id, closing });
            return;
        }
        let answer = match harmless {
            true if held.gone => Answer::Gone,
            true if held.deadline <= self.now + self.set.tick * 2 => Answer::GivenUp,
            true => Answer::Refused { after },
            false => Answer::Failed,
        };
        // Its answer is its end.
        if held.message.order_key.is_some() {
            self.end_order(held.message.order_key.as_deref());
            self.deferred.push(Effect::WakeAt(self.now));
        }
        self.deferred.push(Effect::Answer {
            to: held.message.from,
            id,
            answer,
        });
    }
}

fn outcome(end: AttemptEnd, over: bool) -> Event {
    Event::Outcome(Outcome {
        id: MessageId(end.id),
        attempt: end.attempt,
        status: end.status,
        over,
        took: end.took,
        wait: end.told_wait,
        report: end.report,
    })
}
