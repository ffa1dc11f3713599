//! A journal's start: reads what is there, changes nothing until all is read, and begins a new segment.

use cranehill_core::{FinalReport, Record};

use crate::error::OpenError;
use crate::fact::{self, JournalRecord};
use crate::frame;
use crate::index::StoredFrame;
use crate::journal::{Journal, Options, SealedSegment};
use crate::key::{Salt, write_key};
use crate::legacy;
use crate::manifest::{self, ManifestEntry, Seal};
use crate::recover::{FolderContents, Recovered, read};
use crate::scan::{DamageCause, KEY};
use crate::segment::HEADER_BYTES;
use crate::storage::Storage;

/// Records of the old ledger that are written at once.
const CARRY_OVER: usize = 256;
const NANOS_PER_MS: u64 = 1_000_000;

impl<S: Storage> Journal<S> {
    /// Opens the folder, with what is owed by it. `now` in ms since 1970.
    pub fn open(
        mut storage: S,
        options: &Options,
        now: u64,
    ) -> Result<(Journal<S>, Recovered), OpenError> {
        let FolderContents {
            scan,
            index,
            mut possible_executions,
            mut recovered,
        } = read(&mut storage, options.key, &options.fresh_key)?;
        let legacy = legacy::read(&mut storage, &scan.files)?;
        // Everything has been read: from here on files change.
        let own = scan.ring.0.first().copied();
        let key = own.unwrap_or(options.fresh_key);
        if own.is_none() {
            // A copy that a kill cut short was of no use yet.
            storage.remove(KEY).map_err(OpenError::io(KEY))?;
            storage
                .append(KEY, &write_key(&key))
                .map_err(OpenError::io(KEY))?;
        }
        storage
            .remove(manifest::NEXT)
            .map_err(OpenError::io(manifest::NEXT))?;
        for name in &scan.strays {
            storage.remove(name).map_err(OpenError::io(name))?;
        }
        let mut journal = Journal::begin(storage, options, key, index);
        journal.epoch = scan.manifest.as_ref().map_or(0, |m| m.epoch);
        for found in scan.segments.values() {
            journal.epoch = journal.epoch.max(found.header.map_or(0, |h| h.epoch));
            let as_found = Seal {
                len: found.len as u32,
                frames: found.frames,
                taken: found.taken,
                chain: found.chain,
            };
            let listed = ManifestEntry {
                sequence: found.sequence,
                base: found.base,
                before: found.before,
                seal: Some(found.seal.unwrap_or(as_found)),
            };
            let signed = scan.ring.0.get(found.key).copied().unwrap_or(key);
            let sealed = SealedSegment {
                name: found.name.clone(),
                salt: Salt::new(&signed, found.sequence),
                listed,
                len: found.len.max(HEADER_BYTES as u64),
                damaged: scan.damage.iter().any(|d| d.file == found.name) || found.header.is_none(),
            };
            journal.sealed.insert(found.sequence, sealed);
        }
        if let Some(manifest) = &scan.manifest {
            let missing = |l: &&ManifestEntry| !scan.segments.contains_key(&l.sequence);
            journal.missing = manifest.segments.iter().filter(missing).copied().collect();
        }
        journal.next_sequence = scan.next_sequence;
        journal.next_lsn = scan.next_lsn;
        // A doubt concerns messages that are open now: where there are none, nothing is in doubt.
        let deadline = |r: &Record| {
            if let Record::Accepted { deadline, .. } = r {
                Some(deadline / NANOS_PER_MS)
            } else {
                None
            }
        };
        let latest = recovered.records.iter().filter_map(deadline).max();
        if latest.is_none() {
            possible_executions.retain(|d| d.place.is_some());
            journal.missing.clear();
        }
        // Those whose time is out already are still to be concluded by this life.
        let until = latest.unwrap_or(0).max(now);
        possible_executions
            .iter_mut()
            .for_each(|d| d.until = d.until.max(until));
        journal.possible_executions = possible_executions;
        for lost in &recovered.lost {
            journal.pending.push(Record::FinalReportDue {
                id: lost.id.clone(),
                final_report: FinalReport::Failed,
                ordering_key: None,
            });
        }
        journal.first_head(
            now,
            scan.damage.iter().any(|d| d.why == DamageCause::Unlisted),
        );
        let missed = !journal.missing.is_empty();
        journal.write_pending(now);
        if missed && journal.missing.is_empty() && journal.write_manifest(None, None, None).is_err()
        {
            log::warn!("journal: a missing segment stays listed, and will be told of again");
        }
        if let Some(old) = legacy {
            journal.carry_over(now, old, &mut recovered)?;
        }
        // An end whose time is out is there only because older facts still are.
        recovered.records.retain(
            |r| !matches!(r, Record::Completed { until, .. } if until / NANOS_PER_MS <= now),
        );
        recovered.counts = journal.index.counts();
        Ok((journal, recovered))
    }

    /// The first segment of this life. If there is no room the journal starts without one, and tries at each turn.
    fn first_head(&mut self, now: u64, unlisted: bool) {
        // A doubt that hangs on the lack of a manifest must be on disk before there is one again.
        let possible_executions: Vec<_> = self
            .possible_executions
            .iter()
            .filter(|d| unlisted && d.place.is_none())
            .copied()
            .collect();
        let mut lens = Vec::new();
        let rolled = self.roll_with(now, |salt, lsn| {
            let mut bytes = Vec::new();
            for d in &possible_executions {
                let at = bytes.len();
                let fact = JournalRecord::PossiblyExecuted {
                    before: d.before,
                    attempts: d.attempts,
                    until: d.until,
                };
                frame::write(salt, &mut bytes, |b| fact::write(*lsn, &fact, b));
                lens.push((bytes.len() - at) as u32);
                *lsn += 1;
            }
            bytes
        });
        match rolled {
            Ok(()) => {
                let sequence = self.head.as_ref().map_or(0, |h| h.sequence);
                for (written, len) in possible_executions.iter().zip(lens) {
                    let place = StoredFrame { sequence, len };
                    if let Some(doubt) = self
                        .possible_executions
                        .iter_mut()
                        .find(|d| d.before == written.before)
                    {
                        doubt.place = Some(place);
                        self.index.add_live(place);
                    }
                }
            }
            Err(e) => log::error!(
                "journal: no new segment can be begun, all is refused until it can: {e}"
            ),
        }
    }

    fn write_pending(&mut self, now: u64) {
        if let Err(e) = self.append(now, &[]) {
            log::error!("journal: what recovery concluded is not written yet: {e}");
        }
    }

    /// The single file of earlier releases: its records become facts, and it goes.
    fn carry_over(
        &mut self,
        now: u64,
        mut old: legacy::LegacyLedger,
        recovered: &mut Recovered,
    ) -> Result<(), OpenError> {
        // The old file did not say until when an id that ended is remembered: from now on for as long as a message may
        // last.
        let until = now
            .saturating_mul(NANOS_PER_MS)
            .saturating_add(legacy::COMPLETED);
        for record in &mut old.records {
            if let Record::Completed {
                until: completed, ..
            } = record
            {
                *completed = until;
            }
        }
        for chunk in old.records.chunks(CARRY_OVER) {
            if self.append(now, chunk).is_err() {
                let needed = old.records.iter().map(|r| 96 + r.id().len() as u64).sum();
                return Err(OpenError::NoRoom { needed });
            }
        }
        for name in legacy::NAMES {
            self.storage.remove(name).map_err(OpenError::io(name))?;
        }
        // What it comes to is read as from any other folder.
        let FolderContents {
            recovered: again, ..
        } = read(&mut self.storage, Some(self.key), &self.key)?;
        let before = std::mem::replace(recovered, again);
        recovered.damage = before.damage;
        recovered.damage.extend(old.damage);
        recovered.lost.extend(before.lost);
        recovered.carried_over = old.records.len();
        Ok(())
    }
}
