//! From facts to what an earlier life left: the notices owed, with doubt where damage was found.

use std::sync::Arc;

use cranehill_core::{Closing, Record};
use serde_bytes::Bytes;
use smallvec::SmallVec;

use crate::error::OpenError;
use crate::fact::{Fact, Tag, unpack};
use crate::id::Id;
use crate::index::{Index, Joined, Place, State};
use crate::key::Key;
use crate::scan::{At, Scan, Stretch, Why, scan};
use crate::storage::Storage;

/// More attempts than any class allows: as good as all of them.
const ATTEMPTS_MOST: u32 = 64;
const NANOS: u64 = 1_000_000;

/// A notice whose own record is gone: known only by its attempts, and concluded as failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    pub id: String,
    /// Where an attempt of it stands.
    pub file: String,
    pub offset: u64,
}

/// What an earlier life left.
#[derive(Debug, Default)]
pub struct Recovered {
    /// For the reducer: remembered ends, closings, then open notices in the order in which they were taken on.
    pub records: Vec<Record>,
    pub damage: Vec<Stretch>,
    pub lost: Vec<Lost>,
    /// Open notices that count as possibly run because of damage.
    pub doubted: usize,
    /// A cut-off write at the end: file and bytes.
    pub torn: Option<(String, u64)>,
    /// Files signed under another key, left alone.
    pub foreign: Vec<String>,
    /// The latest time known to have been reached, in ms since 1970. The process's clock must start no earlier.
    pub latest: u64,
    /// Notices open, closing and remembered.
    pub counts: (u64, u64, u64),
    /// Carried over from the single file of earlier releases.
    pub carried_over: usize,
}

/// One doubt: see [`Fact::Doubt`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    pub before: u64,
    pub attempts: u32,
    pub until: u64,
    /// Where it is written down, once it is.
    pub place: Option<Place>,
}

/// What is put together of a notice that may be open.
#[derive(Debug, Default)]
struct Held {
    class: u32,
    station: u32,
    partner: u64,
    key: Option<Id>,
    deadline: u64,
    lasts: u32,
    body: Option<Arc<[u8]>>,
    attempts: SmallVec<[Try; 1]>,
    after: Option<u64>,
    /// Where its first attempt's record stands.
    at: Option<At>,
}

#[derive(Debug, Default)]
struct Try {
    number: u32,
    sent: Option<(String, u64)>,
    never_ran: Option<bool>,
}

impl Held {
    fn attempt(&mut self, number: u32) -> &mut Try {
        let at = match self.attempts.iter().position(|a| a.number == number) {
            Some(at) => at,
            None => {
                self.attempts.push(Try { number, ..Try::default() });
                self.attempts.len() - 1
            }
        };
        &mut self.attempts[at]
    }
}

/// A folder read and understood; nothing in it has been changed.
pub struct Reading {
    pub scan: Scan,
    pub index: Index,
    pub doubts: Vec<Doubt>,
    pub recovered: Recovered,
}

/// Reads the folder and puts together what is owed.
pub fn read<S: Storage>(storage: &mut S, given: Option<Key>, fresh: &Key) -> Result<Reading, OpenError> {
    let mut index = Index::new(given.as_ref().unwrap_or(fresh));
    let mut held: Vec<Held> = Vec::new();
    let mut written: Vec<Doubt> = Vec::new();
    let mut unreadable: Vec<(u64, At)> = Vec::new();
    let on_fact = |at: At, fact: Fact<'_>| {
        let place = Place { sequence: at.sequence, len: at.len };
        if let Fact::Doubt { before, attempts, until } = fact {
            match written.iter_mut().find(|d| d.before == before) {
                Some(known) => known.attempts = known.attempts.max(attempts),
                None => {
                    index.add_live(place);
                    written.push(Doubt { before, attempts, until, place: Some(place) });
                }
            }
            return;
        }
        let Some((packed, born)) = fact.subject() else { return };
        let Some(id) = Id::from_packed(packed) else { return };
        let until = if let Fact::Over { until, .. } = fact { until } else { 0 };
        let (slot, joined) = index.join(&id, born, fact.tag(), until, place);
        let slot = slot as usize;
        if held.len() <= slot {
            held.resize_with(slot + 1, Held::default);
        }
        let notice = &mut held[slot];
        match joined {
            Joined::Dead => return,
            Joined::NewLife => *notice = Held::default(),
            Joined::New => {}
        }
        match fact {
            Fact::Taken { class, station, partner, key, deadline, lasts, packed_from, body, .. } => {
                let Some(body) = unpack(packed_from, body) else {
                    unreadable.push((born, at));
                    return;
                };
                notice.class = class;
                notice.station = station;
                notice.partner = partner;
                notice.key = key.and_then(|k: &Bytes| Id::from_packed(k));
                (notice.deadline, notice.lasts) = (deadline, lasts);
                notice.body = Some(Arc::from(body.as_ref()));
            }
            Fact::Sent { attempt, endpoint, at: when, .. } => {
                notice.at.get_or_insert(at);
                notice.attempt(attempt).sent = Some((endpoint.to_owned(), when));
            }
            Fact::Back { attempt, never_ran, .. } => notice.attempt(attempt).never_ran = Some(never_ran),
            Fact::Closing { after, .. } => {
                *notice = Held { after, ..Held::default() };
            }
            Fact::Over { .. } => *notice = Held::default(),
            Fact::Doubt { .. } => {}
        }
    };
    let mut scan = scan(storage, given, on_fact, |_, _| {})?;
    for (born, at) in unreadable {
        scan.damage.push(Stretch {
            file: scan.segments.get(&at.sequence).map_or_else(String::new, |s| s.name.clone()),
            offset: at.offset,
            len: u64::from(at.len),
            before: born + 1,
            attempts: 0,
            taken: 1,
            why: Why::Damaged,
        });
    }
    let doubts = doubts(&scan, written);
    let recovered = put_together(&scan, &index, held, &doubts);
    Ok(Reading { scan, index, doubts, recovered })
}

/// What earlier lives wrote down, and what is found now. Damage that is still there when it is found again yields the
/// same number, and counts once.
fn doubts(scan: &Scan, written: Vec<Doubt>) -> Vec<Doubt> {
    let mut found: Vec<Doubt> = Vec::new();
    for stretch in scan.damage.iter().filter(|s| s.attempts > 0) {
        match found.iter_mut().find(|d| d.before == stretch.before) {
            Some(known) => known.attempts = known.attempts.saturating_add(stretch.attempts),
            None => found.push(Doubt {
                before: stretch.before,
                attempts: stretch.attempts,
                until: 0,
                place: None,
            }),
        }
    }
    let mut all = written;
    for new in found {
        match all.iter_mut().find(|d| d.before == new.before) {
            // More than was written down: written anew.
            Some(known) if known.attempts < new.attempts => {
                known.attempts = new.attempts;
                known.place = None;
            }
            Some(_) => {}
            None => all.push(new),
        }
    }
    all
}

fn put_together(scan: &Scan, index: &Index, mut held: Vec<Held>, doubts: &[Doubt]) -> Recovered {
    let mut out = Recovered {
        damage: scan.damage.clone(),
        torn: scan.torn.clone(),
        foreign: scan.foreign.clone(),
        latest: scan.latest,
        counts: index.counts(),
        ..Recovered::default()
    };
    held.resize_with(
        held.len().max(index.iter().map(|(s, _)| s as usize + 1).max().unwrap_or(0)),
        Held::default,
    );
    let (mut over, mut open) = (Vec::new(), Vec::new());
    for (slot, entry) in index.iter() {
        match &entry.state {
            State::Over { until, .. } => over.push((*until, slot)),
            State::Closing(_) => {
                let closing = match held[slot as usize].after {
                    Some(after_ms) => Closing::Returned { after_ms },
                    None => Closing::Failed,
                };
                out.records.push(Record::Closing { id: entry.id.text(), closing });
            }
            State::Open(_) => open.push((entry.born, slot)),
        }
    }
    over.sort_unstable();
    out.records.sort_by(|a, b| a.id().cmp(b.id()));
    let ended = over.into_iter().filter_map(|(until, slot)| {
        Some(Record::Over { id: index.entry(slot)?.id.text(), until: until.saturating_mul(NANOS) })
    });
    let closings = std::mem::take(&mut out.records);
    out.records = ended.chain(closings).collect();
    open.sort_unstable();
    for (born, slot) in open {
        let Some(entry) = index.entry(slot) else { continue };
        let notice = std::mem::take(&mut held[slot as usize]);
        let id = entry.id.text();
        let Some(body) = notice.body else {
            let (file, offset) = notice.at.map_or((String::new(), 0), |at| {
                (scan.segments.get(&at.sequence).map_or_else(String::new, |s| s.name.clone()), at.offset)
            });
            out.records.push(Record::Closing { id: id.clone(), closing: Closing::Failed });
            out.lost.push(Lost { id, file, offset });
            continue;
        };
        let at = notice.deadline.saturating_sub(u64::from(notice.lasts));
        out.records.push(Record::Taken {
            id: id.clone(),
            class: notice.class as usize,
            station: notice.station as usize,
            partner: notice.partner,
            key: notice.key.map(|k| k.text()),
            deadline: notice.deadline.saturating_mul(NANOS),
            at: at.saturating_mul(NANOS),
            body,
        });
        let mut attempts = notice.attempts;
        attempts.sort_unstable_by_key(|a| a.number);
        let used = attempts.last().map_or(0, |a| a.number.saturating_add(1));
        let doubted: u32 =
            doubts.iter().filter(|d| d.before > born).map(|d| d.attempts.min(ATTEMPTS_MOST)).sum();
        if doubted > 0 {
            out.doubted += 1;
            // Numbers that are missing below the last known one may be those that are in doubt.
            let missing: Vec<u32> = (0..used).filter(|n| !attempts.iter().any(|a| a.number == *n)).collect();
            let extra = doubted.min(ATTEMPTS_MOST).saturating_sub(missing.len() as u32);
            let beyond = (extra > 0).then(|| used.saturating_add(extra) - 1);
            // First, so that it counts as run from the earliest moment on at which it can have been; and under numbers
            // that no known end can speak for.
            for attempt in missing.first().copied().into_iter().chain(beyond) {
                let at = at.saturating_mul(NANOS);
                out.records.push(Record::Sent { id: id.clone(), attempt, endpoint: String::new(), at });
            }
        }
        for attempt in attempts {
            let number = attempt.number;
            // An end without its attempt: the attempt's record is gone, and it did go out.
            let (endpoint, when) = attempt.sent.unwrap_or((String::new(), at));
            let sent =
                Record::Sent { id: id.clone(), attempt: number, endpoint, at: when.saturating_mul(NANOS) };
            out.records.push(sent);
            if let Some(never_ran) = attempt.never_ran {
                out.records.push(Record::Back { id: id.clone(), attempt: number, never_ran });
            }
        }
    }
    out
}

/// The tag of a record, as the index knows it.
pub(crate) fn tag(record: &Record) -> Tag {
    match record {
        Record::Taken { .. } => Tag::Taken,
        Record::Sent { attempt, .. } => Tag::Sent(*attempt),
        Record::Back { attempt, .. } => Tag::Back(*attempt),
        Record::Closing { .. } => Tag::Closing,
        Record::Over { .. } => Tag::Over,
    }
}
