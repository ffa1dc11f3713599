//! A plain model of what is owed, and seeded days of records to play against it.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

use cranehill_core::{FinalReport, Record};
use cranehill_journal::{Journal, Memory, Options, Recovered, Storage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const KEY: [u8; 32] = [0x5a; 32];
pub const MS: u64 = 1_000_000;
pub const START: u64 = 1_764_590_000_000;
/// How long a message lasts here.
pub const DURATION: u64 = 2_000;

/// Small segments: a day has many switches.
pub fn options(disk: u64) -> Options {
    Options {
        disk,
        key: None,
        fresh_key: KEY,
        segment: Some(1024),
    }
}

pub fn open(files: Memory, now: u64) -> (Journal<Memory>, Recovered) {
    let options = options(files.disk);
    Journal::open(files, &options, now).expect("the folder opens")
}

/// So many steps of upkeep.
pub fn compact<S: Storage>(journal: &mut Journal<S>, steps: u32, now: u64) {
    for _ in 0..steps {
        journal.compact(now);
    }
}

/// A folder that outlives the journal that is opened on it, also if that fails.
#[derive(Clone)]
pub struct Shared(pub Rc<RefCell<Memory>>);

impl Shared {
    pub fn new(files: Memory) -> Shared {
        Shared(Rc::new(RefCell::new(files)))
    }
}

impl Storage for Shared {
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.borrow_mut().append(name, bytes)
    }
    fn read(&mut self, name: &str, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.borrow_mut().read(name, offset, len)
    }
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.0.borrow_mut().truncate(name, size)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.borrow_mut().rename(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.borrow_mut().remove(name)
    }
    fn list(&mut self) -> io::Result<BTreeMap<String, u64>> {
        self.0.borrow_mut().list()
    }
    fn room(&mut self) -> u64 {
        self.0.borrow_mut().room()
    }
}

/// One message, as plainly as can be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    pub order: usize,
    pub taken: Option<Record>,
    pub sent: BTreeMap<u32, Record>,
    pub back: BTreeMap<u32, bool>,
    pub final_report: Option<Record>,
    pub over: Option<u64>,
}

impl Reservation {
    pub fn open(&self) -> bool {
        self.taken.is_some() && self.final_report.is_none() && self.over.is_none()
    }

    pub fn attempts(&self) -> u32 {
        self.sent
            .keys()
            .chain(self.back.keys())
            .max()
            .map_or(0, |n| n + 1)
    }

    pub fn may_have_run(&self) -> bool {
        self.sent.keys().any(|n| self.back.get(n) != Some(&true))
    }
}

/// Half of all messages keep an order.
fn ordering_key(id: &str) -> Option<String> {
    let digit = id
        .bytes()
        .last()
        .filter(|digit| digit.is_ascii_digit() && digit % 2 == 0)?;
    Some(format!("account-{digit}"))
}

/// The reference: everything ever said, in the order in which it was said.
#[derive(Clone, Debug, Default)]
pub struct Model {
    pub messages: BTreeMap<String, Reservation>,
}

impl Model {
    pub fn take(&mut self, records: &[Record]) {
        for record in records {
            let order = self.messages.len();
            let reserved_bytes = self
                .messages
                .entry(record.id().to_owned())
                .or_insert_with(|| Reservation {
                    order,
                    ..Reservation::default()
                });
            match record {
                Record::Accepted { .. } => reserved_bytes.taken = Some(record.clone()),
                Record::AttemptStarted { attempt, .. } => {
                    reserved_bytes.sent.insert(*attempt, record.clone());
                }
                Record::AttemptFinished {
                    attempt,
                    not_executed,
                    ..
                } => {
                    reserved_bytes.back.insert(*attempt, *not_executed);
                }
                Record::FinalReportDue { .. } => reserved_bytes.final_report = Some(record.clone()),
                Record::Completed { until, .. } => reserved_bytes.over = Some(*until),
            }
        }
    }

    /// What a recovery at `now` must tell of open messages and of reports that are due.
    pub fn reserved_bytes(&self) -> Vec<Record> {
        let mut final_report: Vec<(&String, &Reservation)> = self
            .messages
            .iter()
            .filter(|(_, o)| o.over.is_none())
            .collect();
        final_report.sort_by_key(|(_, o)| o.order);
        let mut records: Vec<Record> = final_report
            .iter()
            .filter_map(|(_, o)| o.final_report.clone())
            .collect();
        let mut open: Vec<(&String, &Reservation)> =
            self.messages.iter().filter(|(_, o)| o.open()).collect();
        open.sort_by_key(|(_, o)| o.order);
        for (id, reserved_bytes) in open {
            records.extend(reserved_bytes.taken.clone());
            for (&attempt, sent) in &reserved_bytes.sent {
                records.push(sent.clone());
                let back = |&not_executed: &bool| Record::AttemptFinished {
                    id: id.clone(),
                    attempt,
                    not_executed,
                };
                records.extend(reserved_bytes.back.get(&attempt).map(back));
            }
        }
        records
    }

    /// Whether a recovery without damage tells exactly this. An end whose time is out may be remembered or not.
    pub fn agrees(&self, found: &Recovered, now: u64) -> Result<(), String> {
        let (ends, reserved_bytes): (Vec<&Record>, Vec<&Record>) = found
            .records
            .iter()
            .partition(|r| matches!(r, Record::Completed { .. }));
        let expected = self.reserved_bytes();
        if !reserved_bytes.iter().copied().eq(expected.iter()) {
            return Err(format!(
                "owed: found {reserved_bytes:?}\nexpected {expected:?}"
            ));
        }
        let ends: BTreeMap<&str, &Record> = ends.into_iter().map(|r| (r.id(), r)).collect();
        for (id, reserved_bytes) in &self.messages {
            match (reserved_bytes.over, ends.get(id.as_str())) {
                (Some(until), None) if until > now * MS => {
                    return Err(format!("{id} is not remembered"));
                }
                (None, Some(_)) => return Err(format!("{id} is remembered, and has not ended")),
                _ => {}
            }
        }
        Ok(())
    }
}

/// A day of turns, drawn from a seed.
pub struct Scenario {
    pub rng: ChaCha8Rng,
    pub now: u64,
    /// Open messages: id, attempts used, one out.
    open: Vec<(String, u32, bool)>,
    final_report: Vec<String>,
    count: u32,
    /// Bytes of a body at most.
    pub body: usize,
    /// Open messages at most.
    pub most: usize,
}

impl Scenario {
    pub fn new(seed: u64) -> Scenario {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Scenario {
            rng,
            now: START,
            open: Vec::new(),
            final_report: Vec::new(),
            count: 0,
            body: 24,
            most: 8,
        }
    }

    /// Goes on as a sender does that was started with these.
    pub fn resume(&mut self, records: &[Record]) {
        let mut model = Model::default();
        model.take(records);
        let messages = || model.messages.iter();
        self.open = messages()
            .filter(|(_, o)| o.open())
            .map(|(id, o)| (id.clone(), o.attempts(), false))
            .collect();
        self.final_report = messages()
            .filter(|(_, o)| o.final_report.is_some() && o.over.is_none())
            .map(|(id, _)| id.clone())
            .collect();
    }

    /// The next turn's records.
    pub fn turn(&mut self) -> Vec<Record> {
        self.now += self.rng.random_range(1..200);
        let (now, mut records) = (self.now, Vec::new());
        let until = (now + DURATION) * MS;
        for id in std::mem::take(&mut self.final_report) {
            if self.rng.random_bool(0.6) {
                records.push(Record::Completed { id, until });
            } else {
                self.final_report.push(id);
            }
        }
        for (id, attempts, out) in std::mem::take(&mut self.open) {
            if out {
                match self.rng.random_range(0..10) {
                    0..3 => self.open.push((id, attempts, true)),
                    3..6 => records.push(Record::Completed { id, until }),
                    draw => {
                        let not_executed = draw < 8;
                        records.push(Record::AttemptFinished {
                            id: id.clone(),
                            attempt: attempts - 1,
                            not_executed,
                        });
                        self.open.push((id, attempts, false));
                    }
                }
            } else if attempts == 6 || self.rng.random_bool(0.1) {
                let returned = self.rng.random_bool(0.5);
                let final_report = if returned {
                    FinalReport::Returned { after_ms: 500 }
                } else {
                    FinalReport::Failed
                };
                records.push(Record::FinalReportDue {
                    id: id.clone(),
                    final_report,
                    ordering_key: ordering_key(&id),
                });
                self.final_report.push(id);
            } else {
                let endpoint = format!("s-{:04x}", self.rng.random_range(0..9u32));
                records.push(Record::AttemptStarted {
                    id: id.clone(),
                    attempt: attempts,
                    endpoint,
                    at: now * MS,
                });
                self.open.push((id, attempts + 1, true));
            }
        }
        for _ in 0..self.rng.random_range(0..3) {
            if self.open.len() >= self.most {
                break;
            }
            let id = format!(
                "{:016x}",
                u64::from(self.count).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            );
            self.count += 1;
            let size = self.rng.random_range(0..=self.body);
            let body: Vec<u8> = (0..size).map(|_| self.rng.random_range(0..4)).collect();
            records.push(Record::Accepted {
                id: id.clone(),
                class: 0,
                tenant: self.rng.random_range(0..3),
                destination: self.rng.random_range(0..30),
                key: self
                    .rng
                    .random_bool(0.5)
                    .then(|| format!("k-{}", self.count)),
                ordering_key: ordering_key(&id),
                deadline: (now + DURATION) * MS,
                at: now * MS,
                body: Arc::from(body),
            });
            self.open.push((id, 0, false));
        }
        records
    }
}
