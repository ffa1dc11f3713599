//! Compaction in slices: each turn carries a bounded number of bytes of the emptiest segment over to the head; when
//! all that is live in it has been, the manifest is replaced, and then the file goes.

use crate::fact::{self, JournalRecord};
use crate::frame::{self, DecodedFrame};
use crate::id::PackedId;
use crate::index::StoredFrame;
use crate::journal::Journal;
use crate::segment::HEADER_BYTES;
use crate::storage::Storage;

/// Bytes read in one step: a step of this size takes some tens of microseconds.
const SLICE_BYTES: usize = 16 * 1024;
/// Of ends that are due, so many are forgotten in one step.
const MAX_EXPIRED_PER_STEP: usize = 256;
/// More segments than these are made fewer, even if none is empty: each takes a place in the manifest.
const MAX_SEGMENTS: usize = 48;
/// A doubt is kept for so long after the last message that it concerns.
const DOUBT_GRACE: u64 = 60_000;

/// The segment being carried over.
#[derive(Debug)]
pub(crate) struct Relocation {
    sequence: u32,
    offset: u64,
    /// One for each frame of a message passed so far: what goes with the file.
    slots: Vec<u32>,
}

/// Out of the manifest; its file is still to go.
#[derive(Debug)]
pub(crate) struct ObsoleteSegment {
    sequence: u32,
    name: String,
    slots: Vec<u32>,
}

/// What one step did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CompactionStep {
    /// Bytes read, and written to the head.
    pub read: u64,
    pub carried: u64,
    /// Segments that went.
    pub removed: u32,
    /// It could not go on, for want of room or because a file operation failed. Tried again next time.
    pub stuck: bool,
}

impl<S: Storage> Journal<S> {
    /// Whether [`Journal::compact`] has something to do by now, even if nothing is appended.
    pub fn wants_compaction(&self, now: u64) -> bool {
        self.relocation.is_some()
            || !self.obsolete.is_empty()
            || self.index.has_expired(now)
            || self.victim().is_some()
    }

    /// One bounded step of upkeep, to be taken once a turn. `now` in ms since 1970.
    pub fn compact(&mut self, now: u64) -> CompactionStep {
        let mut step = CompactionStep::default();
        self.index.expire(now, MAX_EXPIRED_PER_STEP);
        self.remove_obsolete(&mut step);
        if self.relocation.is_none() {
            self.relocation = self.victim().map(|sequence| Relocation {
                sequence,
                offset: HEADER_BYTES as u64,
                slots: Vec::new(),
            });
        }
        let Some(relocation) = self.relocation.take() else {
            return step;
        };
        // Above two thirds the need is greater than the wish for short turns.
        let slice = if self.storage.room() < self.disk / 3 {
            SLICE_BYTES * 2
        } else {
            SLICE_BYTES
        };
        self.relocation = self.carry(now, relocation, slice, &mut step);
        step
    }

    /// The segment that is worth carrying over most.
    fn victim(&self) -> Option<u32> {
        let candidates = || {
            self.sealed
                .iter()
                .filter(|(s, _)| !self.obsolete.iter().any(|d| d.sequence == **s))
        };
        let lively = |sequence: u32, len: u64| (self.index.live(sequence) * 1000) / len.max(1);
        if let Some((&sequence, _)) = candidates().find(|(s, _)| self.index.live(**s) == 0) {
            return Some(sequence);
        }
        // What was found damaged goes once its doubt is written down.
        if self.possible_executions.iter().all(|d| d.place.is_some())
            && let Some((&sequence, _)) = candidates().find(|(_, i)| i.damaged)
        {
            return Some(sequence);
        }
        let many = self.sealed.len() > MAX_SEGMENTS;
        let used: u64 = self.sealed.values().map(|s| s.len).sum();
        if !many && used < self.disk / 3 {
            return None;
        }
        let (&sequence, info) = candidates().min_by_key(|(s, i)| (lively(**s, i.len), i.len))?;
        // Little is won by moving what is nearly full.
        (many || lively(sequence, info.len) < 875).then_some(sequence)
    }

    fn remove_obsolete(&mut self, step: &mut CompactionStep) {
        for obsolete in std::mem::take(&mut self.obsolete) {
            if self.storage.remove(&obsolete.name).is_err() {
                step.stuck = true;
                self.obsolete.push(obsolete);
                continue;
            }
            // Only now are its frames gone: an end may be forgotten only when nothing could bring its message back.
            self.index.removed(obsolete.sequence, &obsolete.slots);
            self.stats.removed += 1;
            step.removed += 1;
        }
    }

    fn carry(
        &mut self,
        now: u64,
        mut relocation: Relocation,
        slice: usize,
        step: &mut CompactionStep,
    ) -> Option<Relocation> {
        let (name, salt, len) = {
            let info = self.sealed.get(&relocation.sequence)?;
            (info.name.clone(), info.salt, info.len)
        };
        let left = len.saturating_sub(relocation.offset) as usize;
        let mut bytes = match self.storage.read(&name, relocation.offset, slice.min(left)) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::warn!(segment = name.as_str(), offset = relocation.offset; "journal: can't read: {e}");
                step.stuck = true;
                return Some(relocation);
            }
        };
        // A frame larger than a slice, or damage: all that is left is looked at.
        if bytes.len() < left && !matches!(frame::read(salt, &bytes, 0), DecodedFrame::Frame(_)) {
            bytes = self
                .storage
                .read(&name, relocation.offset, left)
                .unwrap_or(bytes);
        }
        step.read += bytes.len() as u64;
        if left > 0 && bytes.is_empty() {
            // Shorter than it was sealed: recovery has dealt with that, or nobody can.
            return self.finish(now, relocation, step);
        }
        // What is live is found first, since a frame's salt depends on the segment that it is written to.
        let mut live: Vec<(std::ops::Range<usize>, u32)> = Vec::new();
        let (mut at, mut slots, mut most) = (0, Vec::new(), 0u64);
        while at < bytes.len() && (at < slice || live.is_empty()) {
            match frame::read(salt, &bytes, at) {
                DecodedFrame::Frame(payload) => {
                    let end = at + frame::HEADER_BYTES + payload.len();
                    if let Some((_, fact)) = fact::read(payload) {
                        let doubt = self.possible_executions.iter().position(|d| {
                            matches!(fact, JournalRecord::PossiblyExecuted { before, .. } if d.before == before
                                && d.place.is_some_and(|p| p.sequence == relocation.sequence))
                        });
                        let slot = fact
                            .subject()
                            .and_then(|(id, _)| self.index.slot(&PackedId::from_packed(id)?));
                        if let (Some(slot), Some((_, accepted_lsn))) = (slot, fact.subject()) {
                            if !matches!(fact, JournalRecord::Completed { .. }) {
                                slots.push(slot);
                            }
                            if self.index.is_live(
                                slot,
                                accepted_lsn,
                                fact.tag(),
                                relocation.sequence,
                            ) {
                                live.push((at + frame::HEADER_BYTES..end, slot));
                                most += (end - at + 16) as u64;
                            }
                        } else if let Some(doubt) = doubt {
                            live.push((at + frame::HEADER_BYTES..end, doubt as u32));
                            most += (end - at + 16) as u64;
                        }
                    }
                    at = end;
                }
                DecodedFrame::Cut if bytes.len() < left => break,
                DecodedFrame::Cut | DecodedFrame::Bad => {
                    at = frame::next_good(salt, &bytes, at).unwrap_or(bytes.len())
                }
            }
        }
        if !live.is_empty() {
            if self.storage.room() < most + 1024 {
                step.stuck = true;
                return Some(relocation);
            }
            match self.write_again(now, &relocation, &bytes, &live, most) {
                Ok(carried) => step.carried += carried,
                Err(e) => {
                    log::debug!(segment = name.as_str(); "journal: not carried over: {e}");
                    step.stuck = true;
                    return Some(relocation);
                }
            }
        }
        relocation.slots.append(&mut slots);
        relocation.offset += at as u64;
        if relocation.offset >= len {
            self.finish(now, relocation, step)
        } else {
            Some(relocation)
        }
    }

    fn write_again(
        &mut self,
        now: u64,
        relocation: &Relocation,
        bytes: &[u8],
        live: &[(std::ops::Range<usize>, u32)],
        most: u64,
    ) -> std::io::Result<u64> {
        let salt = self.ready_head(now, most)?;
        let (mut out, mut moved, mut taken) = (Vec::new(), Vec::new(), 0);
        let first = self.next_lsn;
        let mut lsn = first;
        for (range, slot) in live {
            let Some((_, mut fact)) = bytes.get(range.clone()).and_then(fact::read) else {
                continue;
            };
            if let JournalRecord::PossiblyExecuted { until, .. } = &mut fact {
                // A later life may have taken up again what it concerns, and knows better.
                *until = self
                    .possible_executions
                    .get(*slot as usize)
                    .map_or(*until, |d| d.until.max(*until));
                if until.saturating_add(DOUBT_GRACE) < now {
                    // All that it concerned has ended.
                    moved.push((fact, *slot, 0));
                    continue;
                }
            }
            let at = out.len();
            frame::write(salt, &mut out, |b| fact::write(lsn, &fact, b));
            lsn += 1;
            taken += u32::from(fact.taken().is_some());
            moved.push((fact, *slot, (out.len() - at) as u32));
        }
        let sequence = if out.is_empty() {
            0
        } else {
            self.put(&out, (lsn - first) as u32, taken)?
        };
        self.next_lsn = lsn;
        let mut past = Vec::new();
        for (fact, slot, len) in moved {
            let place = StoredFrame { sequence, len };
            match fact {
                JournalRecord::PossiblyExecuted { before, .. } => {
                    let Some(doubt) = self.possible_executions.get_mut(slot as usize) else {
                        continue;
                    };
                    if let Some(old) = doubt.place {
                        self.index.drop_live(old);
                    }
                    if len == 0 {
                        past.push(before);
                    } else {
                        doubt.place = Some(place);
                        self.index.add_live(place);
                    }
                }
                _ => self
                    .index
                    .moved(slot, fact.tag(), relocation.sequence, place),
            }
        }
        self.possible_executions
            .retain(|d| !past.contains(&d.before));
        self.stats.carried += out.len() as u64;
        Ok(out.len() as u64)
    }

    /// All that was live has been carried over: the switch, and then the file goes.
    fn finish(
        &mut self,
        _now: u64,
        relocation: Relocation,
        step: &mut CompactionStep,
    ) -> Option<Relocation> {
        if self
            .write_manifest(None, None, Some(relocation.sequence))
            .is_err()
        {
            step.stuck = true;
            return Some(relocation);
        }
        if let Some(info) = self.sealed.remove(&relocation.sequence) {
            self.obsolete.push(ObsoleteSegment {
                sequence: relocation.sequence,
                name: info.name,
                slots: relocation.slots,
            });
        }
        self.remove_obsolete(step);
        None
    }
}
