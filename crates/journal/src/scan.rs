//! Reads a folder without changing it: which segments there are, the facts in them, and what can't be read.
//!
//! Used by recovery and by the tools alike, so that what `verify` names is what a start would find.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::OpenError;
use crate::fact::{self, JournalRecord, MIN_ATTEMPT_FRAME_BYTES};
use crate::frame::{self, DecodedFrame};
use crate::key::{Key, Mac, Salt, mac, read_key};
use crate::manifest::{self, DecodedManifest, Manifest, Seal};
use crate::segment::{self, DecodedHeader, HEADER_BYTES, Header, VERSION};
use crate::storage::Storage;

pub const KEY: &str = "key";

/// The keys under which a folder's files may be signed: an operator's, then the folder's own.
#[derive(Clone, Debug, Default)]
pub struct KeyRing(pub Vec<Key>);

/// One segment as it was found.
#[derive(Clone, Debug)]
pub struct ScannedSegment {
    pub sequence: u32,
    pub name: String,
    pub header: Option<Header>,
    /// Place in the ring of the key that it is signed under.
    pub key: usize,
    pub base: u64,
    /// Chained hash of the one sealed before it.
    pub before: Mac,
    /// Bytes up to its seal, or to the end of its last whole frame.
    pub len: u64,
    /// Size of the file.
    pub size: u64,
    pub frames: u32,
    pub taken: u32,
    pub seal: Option<Seal>,
    /// Chained hash of what was found.
    pub chain: Mac,
    /// Lowest and highest log number in it.
    pub first: u64,
    pub last: u64,
}

/// What can't be read, or may be missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRange {
    pub file: String,
    pub offset: u64,
    pub len: u64,
    /// Messages born from this log number on are not concerned.
    pub before: u64,
    /// Attempts of one message that it may have held.
    pub attempts: u32,
    /// Messages accepted that it may have held, at most.
    pub taken: u32,
    pub why: DamageCause,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamageCause {
    /// Bytes that are no frame.
    Damaged,
    /// The file is shorter than when it was sealed.
    Short,
    /// Frames are good, but are not those that were sealed: an older or altered copy.
    Altered,
    /// The manifest lists it, and it is not there.
    Missing,
    /// The manifest can't be read: nobody knows what is missing.
    Unlisted,
}

/// What a folder holds.
#[derive(Debug, Default)]
pub struct Scan {
    pub ring: KeyRing,
    /// The manifest, if it can be believed.
    pub manifest: Option<Manifest>,
    /// There is a file of that name that can't be believed.
    pub manifest_bad: bool,
    pub segments: BTreeMap<u32, ScannedSegment>,
    pub damage: Vec<DamagedRange>,
    /// A write that was cut off at the end of the head: file and bytes. Nothing in it had been promised.
    pub torn: Option<(String, u64)>,
    /// Left behind by a kill: to be removed. All that is live in them is elsewhere.
    pub strays: Vec<String>,
    /// Signed under none of the keys; left alone.
    pub foreign: Vec<String>,
    pub next_sequence: u32,
    pub next_lsn: u64,
    /// The latest Unix time, in ms, at which something is known to have been written.
    pub latest: u64,
    pub files: BTreeMap<String, u64>,
}

/// Where a fact stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    pub sequence: u32,
    pub offset: u64,
    /// Of its whole frame.
    pub len: u32,
    pub lsn: u64,
}

/// Reads the folder's keys: `given` is an operator's. `None` if there is none at all yet.
pub fn ring<S: Storage>(
    storage: &mut S,
    given: Option<Key>,
    files: &BTreeMap<String, u64>,
) -> Result<KeyRing, OpenError> {
    let mut ring: Vec<Key> = given.into_iter().collect();
    if files.contains_key(KEY) {
        let bytes = storage.read(KEY, 0, 4096).map_err(OpenError::io(KEY))?;
        match read_key(&bytes) {
            Some(key) => ring.push(key),
            // A kill while it was first written: nothing has been signed under it.
            None if files
                .keys()
                .all(|f| segment::sequence(f).is_none() && f != manifest::NAME) => {}
            None if given.is_some() => {}
            None => return Err(OpenError::KeyLost),
        }
    }
    Ok(KeyRing(ring))
}

/// Reads everything; `on_fact` hears of every fact, segment by segment in their order.
pub fn scan<S: Storage>(
    storage: &mut S,
    given: Option<Key>,
    mut on_fact: impl FnMut(RecordLocation, JournalRecord<'_>),
    mut progress: impl FnMut(u64, u64),
) -> Result<Scan, OpenError> {
    let files = storage.list().map_err(OpenError::io("the folder"))?;
    let ring = ring(storage, given, &files)?;
    let mut scan = Scan {
        ring,
        next_sequence: 1,
        next_lsn: 1,
        files,
        ..Scan::default()
    };
    scan.read_manifest(storage)?;
    let headers = scan.read_headers(storage)?;
    scan.choose(headers)?;
    scan.missing();
    let total: u64 = scan.segments.values().map(|s| s.size).sum();
    let mut done = 0;
    let sequences: Vec<u32> = scan.segments.keys().copied().collect();
    for sequence in sequences {
        progress(done, total);
        let Some(size) = scan.segments.get(&sequence).map(|s| s.size) else {
            continue;
        };
        scan.read_segment(storage, sequence, &mut on_fact)?;
        done += size;
    }
    progress(total, total);
    if scan.manifest.is_none() && (scan.manifest_bad || !scan.segments.is_empty()) {
        scan.unlisted();
    }
    // Nothing born from here on can be concerned.
    let next = scan.next_lsn;
    scan.damage
        .iter_mut()
        .for_each(|d| d.before = d.before.min(next));
    Ok(scan)
}

impl Scan {
    fn read_manifest<S: Storage>(&mut self, storage: &mut S) -> Result<(), OpenError> {
        if !self.files.contains_key(manifest::NAME) {
            return Ok(());
        }
        let bytes = storage
            .read(manifest::NAME, 0, 2 * 1024 * 1024)
            .map_err(OpenError::io(manifest::NAME))?;
        match Manifest::read(&bytes, &self.ring.0) {
            DecodedManifest::Good(manifest) => self.manifest = Some(manifest),
            DecodedManifest::Newer(version) => return Err(newer(manifest::NAME, version)),
            DecodedManifest::Bad => self.manifest_bad = true,
        }
        Ok(())
    }

    fn read_headers<S: Storage>(
        &self,
        storage: &mut S,
    ) -> Result<BTreeMap<String, DecodedHeader>, OpenError> {
        let mut headers = BTreeMap::new();
        for name in self.files.keys().filter(|n| segment::sequence(n).is_some()) {
            let bytes = storage
                .read(name, 0, HEADER_BYTES)
                .map_err(OpenError::io(name))?;
            let opening = Header::read(&bytes, &self.ring.0);
            if let DecodedHeader::Newer(version) = opening {
                return Err(newer(name, version));
            }
            headers.insert(name.clone(), opening);
        }
        let ours = |o: &DecodedHeader| matches!(o, DecodedHeader::Good(..));
        if self.manifest.is_none() && !headers.is_empty() && !headers.values().any(ours) {
            // One headerless file is what a kill leaves of the very first start.
            let begun = headers.values().all(|o| *o == DecodedHeader::Bad) && !self.manifest_bad;
            let short = headers
                .keys()
                .all(|n| self.files.get(n).is_some_and(|&s| s < HEADER_BYTES as u64));
            if !(begun && short) {
                return Err(OpenError::WrongKey);
            }
        }
        Ok(headers)
    }

    /// Decides which files are segments of ours, which are left over and which are somebody else's.
    fn choose(&mut self, headers: BTreeMap<String, DecodedHeader>) -> Result<(), OpenError> {
        // A manifest older than a segment with something in it was put back, or is not of this folder's last life.
        let epoch = self.manifest.as_ref().map(|m| m.epoch);
        let listed: BTreeSet<u32> = self
            .manifest
            .iter()
            .flat_map(|m| m.segments.iter().map(|s| s.sequence))
            .collect();
        let has_frames = |name: &String| {
            self.files
                .get(name)
                .is_some_and(|&s| s > HEADER_BYTES as u64)
        };
        let stale = headers.iter().any(|(name, opening)| {
            matches!(opening, DecodedHeader::Good(h, _)
                if !listed.contains(&h.sequence) && epoch.is_some_and(|e| h.epoch > e) && has_frames(name))
        });
        if stale {
            self.manifest = None;
            self.manifest_bad = true;
        }
        // The name decides where the header is damaged, else the header: files may have been swapped.
        type Signed = Option<(Header, usize)>;
        let mut by_name: Vec<(&String, u32, Signed)> = Vec::new();
        for (name, opening) in &headers {
            match *opening {
                DecodedHeader::Good(header, key) => {
                    by_name.push((name, header.sequence, Some((header, key))))
                }
                _ => {
                    let sequence = segment::sequence(name).unwrap_or_default();
                    if listed.contains(&sequence) && self.manifest.is_some() {
                        by_name.push((name, sequence, None));
                    } else if self
                        .files
                        .get(name)
                        .is_some_and(|&s| s <= HEADER_BYTES as u64)
                    {
                        self.strays.push(name.clone());
                    } else if *opening == DecodedHeader::Foreign || self.manifest.is_some() {
                        self.foreign.push(name.clone());
                    } else {
                        // No manifest to say whether it is ours; its frames will, by their salt.
                        by_name.push((name, sequence, None));
                    }
                }
            }
        }
        for (name, sequence, header) in by_name {
            let size = self.files.get(name).copied().unwrap_or(0);
            let listing = self
                .manifest
                .iter()
                .flat_map(|m| &m.segments)
                .find(|s| s.sequence == sequence);
            if self.manifest.is_some() && listing.is_none() {
                self.strays.push(name.clone());
                continue;
            }
            let base = header
                .map(|h| h.0.base)
                .or(listing.map(|l| l.base))
                .unwrap_or(0);
            let found = ScannedSegment {
                sequence,
                name: name.clone(),
                header: header.map(|h| h.0),
                key: header.map_or(0, |h| h.1),
                base,
                before: header
                    .map(|h| h.0.before)
                    .or(listing.map(|l| l.before))
                    .unwrap_or_default(),
                len: HEADER_BYTES as u64,
                size,
                frames: 0,
                taken: 0,
                seal: listing.and_then(|l| l.seal),
                chain: Mac::default(),
                first: 0,
                last: base,
            };
            // Of two copies the one under its right name, and with a header, is the one.
            let better = |old: &ScannedSegment| {
                found.header.is_some() && segment::name(sequence) == *name
                    || old.header.is_none() && found.header.is_some()
            };
            match self.segments.get(&sequence) {
                Some(old) if !better(old) => self.foreign.push(name.clone()),
                Some(old) => {
                    self.foreign.push(old.name.clone());
                    self.segments.insert(sequence, found);
                }
                None => {
                    self.segments.insert(sequence, found);
                }
            }
        }
        let manifest = self.manifest.as_ref();
        let highest = self
            .files
            .keys()
            .filter_map(|n| segment::sequence(n))
            .chain(listed)
            .max();
        self.next_sequence = highest
            .map_or(1, |h| h + 1)
            .max(manifest.map_or(1, |m| m.next_sequence));
        self.next_lsn = manifest.map_or(1, |m| m.next_lsn.max(1));
        for segment in self.segments.values() {
            self.next_lsn = self.next_lsn.max(segment.base + 1);
            self.latest = self.latest.max(segment.header.map_or(0, |h| h.created));
        }
        Ok(())
    }

    /// The lowest log number that a message born after `sequence` was finished can have.
    fn base_after(&self, sequence: u32) -> u64 {
        let listed = self
            .manifest
            .iter()
            .flat_map(|m| m.segments.iter().map(|s| (s.sequence, s.base)));
        let found = self.segments.values().map(|s| (s.sequence, s.base));
        let next = listed
            .chain(found)
            .filter(|&(s, base)| s > sequence && base > 0)
            .min();
        next.map_or(u64::MAX, |(_, base)| base + 1)
    }

    fn missing(&mut self) {
        let Some(manifest) = self.manifest.clone() else {
            return;
        };
        for listed in manifest
            .segments
            .iter()
            .filter(|l| !self.segments.contains_key(&l.sequence))
        {
            let held = listed.seal.map_or(u64::MAX / 2, |s| u64::from(s.len));
            // The head of a first start that was killed before anything was written.
            if listed.seal.is_some_and(|s| s.frames == 0) {
                continue;
            }
            self.damage.push(DamagedRange {
                file: segment::name(listed.sequence),
                offset: 0,
                len: listed.seal.map_or(0, |s| u64::from(s.len)),
                before: self.base_after(listed.sequence),
                attempts: attempts_in(held),
                taken: listed.seal.map_or(u32::MAX, |s| s.taken),
                why: DamageCause::Missing,
            });
        }
    }

    fn read_segment<S: Storage>(
        &mut self,
        storage: &mut S,
        sequence: u32,
        on_fact: &mut impl FnMut(RecordLocation, JournalRecord<'_>),
    ) -> Result<(), OpenError> {
        let is_head = !self.segments.range(sequence + 1..).any(|_| true);
        let before = self.base_after(sequence);
        let Some(found) = self.segments.get_mut(&sequence) else {
            return Ok(());
        };
        let name = found.name.clone();
        let sealed = found.seal.map(|s| u64::from(s.len));
        let bytes = storage
            .read(
                &name,
                0,
                sealed.unwrap_or(found.size).min(found.size) as usize,
            )
            .map_err(OpenError::io(&name))?;
        if found.header.is_none() {
            // Its signature can't tell under which key it is: its first frame can.
            let reads = |key: &Key| {
                matches!(
                    frame::read(Salt::new(key, sequence), &bytes, HEADER_BYTES),
                    DecodedFrame::Frame(_)
                )
            };
            found.key = self.ring.0.iter().position(reads).unwrap_or(0);
        }
        let key = self.ring.0.get(found.key).copied().unwrap_or_default();
        let salt = Salt::new(&key, sequence);
        let mut damage = Vec::new();
        let mut at = HEADER_BYTES.min(bytes.len());
        let mut torn = None;
        // Facts carried over have later log numbers than those around them had; frames in one file only grow.
        while at < bytes.len() {
            let damaged_range = |len: usize, before: u64, attempts: u32, taken: u32| DamagedRange {
                file: name.clone(),
                offset: at as u64,
                len: len as u64,
                before,
                attempts,
                taken,
                why: DamageCause::Damaged,
            };
            match frame::read(salt, &bytes, at) {
                DecodedFrame::Frame(payload) => {
                    let len = frame::HEADER_BYTES + payload.len();
                    match fact::read(payload) {
                        Some((lsn, fact)) => {
                            let place = RecordLocation {
                                sequence,
                                offset: at as u64,
                                len: len as u32,
                                lsn,
                            };
                            found.frames += 1;
                            found.taken += u32::from(fact.taken().is_some());
                            found.first = if found.first == 0 { lsn } else { found.first };
                            found.last = found.last.max(lsn);
                            self.latest = self.latest.max(time_of(&fact));
                            on_fact(place, fact);
                        }
                        // Written whole, and yet not ours to understand.
                        None => damage.push(damaged_range(len, before, 1, 1)),
                    }
                    at += len;
                }
                DecodedFrame::Cut if is_head && found.seal.is_none() => {
                    torn = Some((bytes.len() - at) as u64);
                    break;
                }
                DecodedFrame::Cut | DecodedFrame::Bad => {
                    let next = frame::next_good(salt, &bytes, at);
                    let len = next.unwrap_or(bytes.len()) - at;
                    let upper = next.and_then(|n| match frame::read(salt, &bytes, n) {
                        DecodedFrame::Frame(payload) => fact::read(payload).map(|(lsn, _)| lsn),
                        _ => None,
                    });
                    // A good head says that it was one frame.
                    let one = next.is_some_and(|n| frame::spans(salt, &bytes, at) == Some(n));
                    let (attempts, taken) = if one {
                        (1, 1)
                    } else {
                        (attempts_in(len as u64), attempts_in(len as u64))
                    };
                    damage.push(damaged_range(len, upper.unwrap_or(before), attempts, taken));
                    at += len;
                }
            }
        }
        found.len = (bytes.len() as u64) - torn.unwrap_or(0);
        if let Some(seal) = found.seal {
            let short = u64::from(seal.len).saturating_sub(bytes.len() as u64);
            if short > 0 {
                damage.push(DamagedRange {
                    file: name.clone(),
                    offset: bytes.len() as u64,
                    len: short,
                    before,
                    attempts: attempts_in(short),
                    taken: seal.taken.saturating_sub(found.taken),
                    why: DamageCause::Short,
                });
            }
        }
        let chain = mac(
            &key,
            &[
                &found.before,
                &bytes[HEADER_BYTES.min(bytes.len())..found.len as usize],
            ],
        );
        found.chain = chain;
        // All frames good, and yet not what was sealed: an older copy, or one with a header of another file.
        if found.seal.is_some_and(|s| s.chain != chain) && damage.is_empty() {
            damage.push(DamagedRange {
                file: name.clone(),
                offset: 0,
                len: found.size,
                before,
                attempts: attempts_in(found.size),
                taken: found
                    .seal
                    .map_or(0, |s| s.taken.saturating_sub(found.taken)),
                why: DamageCause::Altered,
            });
        }
        let last = found.last;
        // Log numbers that a damaged stretch took are not given out again.
        let lost: u64 = damage
            .iter()
            .map(|d| d.len / MIN_ATTEMPT_FRAME_BYTES as u64 + 1)
            .sum();
        self.next_lsn = self.next_lsn.max(last + 1 + lost);
        self.damage.extend(damage);
        if let Some(bytes) = torn {
            self.torn = Some((name, bytes));
        }
        Ok(())
    }

    /// Without a manifest nobody knows what is missing, but at a first start that was killed before its first
    /// manifest: that has nothing but headers of segments begun before any frame was written.
    fn unlisted(&mut self) {
        let first = |s: &ScannedSegment| s.frames == 0 && s.header.is_some_and(|h| h.base == 0);
        if !self.manifest_bad && self.segments.values().all(first) {
            return;
        }
        let before = self.next_lsn;
        self.damage.push(DamagedRange {
            file: manifest::NAME.to_owned(),
            offset: 0,
            len: self.files.get(manifest::NAME).copied().unwrap_or(0),
            before,
            attempts: attempts_in(u64::MAX),
            taken: u32::MAX,
            why: DamageCause::Unlisted,
        });
    }
}

/// How many attempts of one message fit in so many bytes. More than any class allows means all.
fn attempts_in(bytes: u64) -> u32 {
    (bytes.div_ceil(MIN_ATTEMPT_FRAME_BYTES as u64)).clamp(1, 32) as u32
}

fn newer(file: &str, version: u16) -> OpenError {
    OpenError::Newer {
        file: file.to_owned(),
        version,
        known: VERSION,
    }
}

/// The Unix time in ms that a fact proves to have been reached.
fn time_of(fact: &JournalRecord<'_>) -> u64 {
    match *fact {
        JournalRecord::Accepted(taken) | JournalRecord::AcceptedInOrder { taken, .. } => {
            taken.deadline.saturating_sub(u64::from(taken.lifetime_ms))
        }
        JournalRecord::AttemptStarted { at, .. } => at,
        _ => 0,
    }
}
