//! Scenarios: ticks with their records, generated from a seed.

use std::sync::Arc;

use cranehill_core::{FinalReport, Record};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::model::Model;
use super::{LIFETIME_MS, NANOS_PER_MS, START_MS};

/// Attempts after which a message is given its final report.
const MAX_ATTEMPTS: u32 = 6;

/// A pending message.
struct OpenMessage {
    id: String,
    attempts: u32,
    in_flight: bool,
}

/// Generates the records of a sender's ticks from a seed.
pub(crate) struct Scenario {
    rng: ChaCha8Rng,
    /// Unix time in milliseconds.
    pub(crate) now: u64,
    open: Vec<OpenMessage>,
    /// Ids whose final report is due.
    final_reports: Vec<String>,
    accepted: u32,
    max_body_bytes: usize,
    max_open: usize,
}

/// The ordering key of a message: about a third of all messages have one.
fn ordering_key(id: &str) -> Option<String> {
    let digit = id
        .bytes()
        .last()
        .filter(|digit| digit.is_ascii_digit() && digit % 2 == 0)?;
    Some(format!("account-{digit}"))
}

impl Scenario {
    pub(crate) fn new(seed: u64) -> Scenario {
        Scenario {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START_MS,
            open: Vec::new(),
            final_reports: Vec::new(),
            accepted: 0,
            max_body_bytes: 24,
            max_open: 8,
        }
    }

    /// Continues as a sender does that was started with these recovered records.
    pub(crate) fn resume(&mut self, records: &[Record]) {
        let mut model = Model::default();
        model.append(records);
        let messages = || model.messages.iter();
        self.open = messages()
            .filter(|(_, message)| message.is_open())
            .map(|(id, message)| OpenMessage {
                id: id.clone(),
                attempts: message.attempts(),
                in_flight: false,
            })
            .collect();
        self.final_reports = messages()
            .filter(|(_, m)| m.final_report.is_some() && m.completed_until.is_none())
            .map(|(id, _)| id.clone())
            .collect();
    }

    /// Advances the time and returns the records of the next tick.
    pub(crate) fn tick(&mut self) -> Vec<Record> {
        self.now += self.rng.random_range(1..200);
        let mut records = Vec::new();
        self.acknowledge_final_reports(&mut records);
        for message in std::mem::take(&mut self.open) {
            if message.in_flight {
                self.maybe_finish_attempt(message, &mut records);
            } else {
                self.start_attempt_or_expire(message, &mut records);
            }
        }
        for _ in 0..self.rng.random_range(0..3) {
            if self.open.len() >= self.max_open {
                break;
            }
            records.push(self.accept());
        }
        records
    }

    fn completed(&self, id: String) -> Record {
        let until = (self.now + LIFETIME_MS) * NANOS_PER_MS;
        Record::Completed {
            id,
            remembered_until: until,
        }
    }

    fn acknowledge_final_reports(&mut self, records: &mut Vec<Record>) {
        for id in std::mem::take(&mut self.final_reports) {
            if self.rng.random_bool(0.6) {
                records.push(self.completed(id));
            } else {
                self.final_reports.push(id);
            }
        }
    }

    fn maybe_finish_attempt(&mut self, message: OpenMessage, records: &mut Vec<Record>) {
        match self.rng.random_range(0..10) {
            0..3 => self.open.push(message),
            3..6 => records.push(self.completed(message.id)),
            draw => {
                records.push(Record::AttemptFinished {
                    id: message.id.clone(),
                    attempt: message.attempts - 1,
                    not_executed: draw < 8,
                });
                self.open.push(OpenMessage {
                    in_flight: false,
                    ..message
                });
            }
        }
    }

    fn start_attempt_or_expire(&mut self, message: OpenMessage, records: &mut Vec<Record>) {
        if message.attempts == MAX_ATTEMPTS || self.rng.random_bool(0.1) {
            let final_report = if self.rng.random_bool(0.5) {
                FinalReport::Returned { after_ms: 500 }
            } else {
                FinalReport::Failed
            };
            records.push(Record::FinalReportDue {
                id: message.id.clone(),
                final_report,
                ordering_key: ordering_key(&message.id),
            });
            self.final_reports.push(message.id);
            return;
        }
        records.push(Record::AttemptStarted {
            id: message.id.clone(),
            attempt: message.attempts,
            endpoint: format!("s-{:04x}", self.rng.random_range(0..9u32)),
            started_at: self.now * NANOS_PER_MS,
        });
        self.open.push(OpenMessage {
            attempts: message.attempts + 1,
            in_flight: true,
            ..message
        });
    }

    fn accept(&mut self) -> Record {
        let number = u64::from(self.accepted);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self.accepted += 1;
        let size = self.rng.random_range(0..=self.max_body_bytes);
        let body: Vec<u8> = (0..size).map(|_| self.rng.random_range(0..4)).collect();
        let record = Record::Accepted {
            id: id.clone(),
            class: 0,
            tenant: self.rng.random_range(0..3),
            destination: self.rng.random_range(0..30),
            idempotency_key: self
                .rng
                .random_bool(0.5)
                .then(|| format!("k-{}", self.accepted)),
            ordering_key: ordering_key(&id),
            deadline: (self.now + LIFETIME_MS) * NANOS_PER_MS,
            accepted_at: self.now * NANOS_PER_MS,
            body: Arc::from(body),
        };
        self.open.push(OpenMessage {
            id,
            attempts: 0,
            in_flight: false,
        });
        record
    }
}
