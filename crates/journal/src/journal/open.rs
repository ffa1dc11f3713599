//! Opening: reads what is there, changes nothing until all is read, and begins a new segment.

use cranehill_core::{FinalReport, Record};

use super::rotation::ManifestChange;
use super::segments::SealedSegment;
use super::state::Journal;
use crate::error::OpenError;
use crate::format::key::{self, Key, Salt};
use crate::format::manifest::{self, ManifestEntry, Seal};
use crate::format::segment::HEADER_BYTES;
use crate::legacy_ledger;
use crate::options::Options;
use crate::recovery::{FolderContents, LostMessage, PossibleExecutions, Recovered, read_folder};
use crate::scan::{DamageCause, Scan, ScannedSegment};
use crate::storage::Storage;
use crate::time::millis;

impl<S: Storage> Journal<S> {
    /// Opens the folder; returns the messages that an earlier process left in it too. `now` is Unix time in
    /// milliseconds.
    ///
    /// # Errors
    /// If the folder is of a later format or under another key, or a file operation fails.
    pub fn open(
        mut storage: S,
        options: &Options,
        now: u64,
    ) -> Result<(Journal<S>, Recovered), OpenError> {
        let FolderContents {
            scan,
            index,
            possible_executions,
            mut recovered,
        } = read_folder(&mut storage, options.key, &options.fresh_key)?;
        let ledger = legacy_ledger::read(&mut storage, &scan.files)?;
        // Everything has been read: from here on files change.
        let key = prepare_files(&mut storage, &scan, &options.fresh_key)?;
        let mut journal = Journal::new(storage, options, key, index);
        journal.adopt_segments(&scan);
        journal.adopt_possible_executions(possible_executions, &recovered.records, now);
        journal.concluded = recovered.lost.iter().map(failed_report).collect();
        let manifest_unusable = scan
            .damage
            .iter()
            .any(|range| range.cause == DamageCause::Unlisted);
        journal.begin_first_segment(now, manifest_unusable);
        journal.persist_conclusions(now);
        if let Some(ledger) = ledger {
            journal.migrate(now, ledger, &mut recovered)?;
        }
        // A completed message whose time is over is on disk only because older records of it are.
        recovered.records.retain(
            |record| !matches!(record, Record::Completed { until, .. } if millis(*until) <= now),
        );
        recovered.counts = journal.index.counts();
        Ok((journal, recovered))
    }

    /// Takes over the segments that were found, sealed as they are, and the counters.
    fn adopt_segments(&mut self, scan: &Scan) {
        self.epoch = scan.manifest.as_ref().map_or(0, |manifest| manifest.epoch);
        for found in scan.segments.values() {
            let epoch = found.header.map_or(0, |header| header.epoch);
            self.epoch = self.epoch.max(epoch);
            let key = scan.key_ring.get(found.key_index).unwrap_or(self.key);
            let sealed = SealedSegment {
                name: found.name.clone(),
                salt: Salt::new(&key, found.sequence),
                entry: sealed_entry(found),
                len: found.len.max(HEADER_BYTES as u64),
                damaged: found.header.is_none()
                    || scan.damage.iter().any(|range| range.file == found.name),
            };
            self.sealed.insert(found.sequence, sealed);
        }
        self.missing = scan
            .manifest
            .iter()
            .flat_map(|manifest| &manifest.segments)
            .filter(|entry| !scan.segments.contains_key(&entry.sequence))
            .copied()
            .collect();
        self.next_sequence = scan.next_sequence;
        self.next_lsn = scan.next_lsn;
    }

    /// Takes over what damage may hide. It affects messages that are pending now: without any there is nothing to
    /// record.
    fn adopt_possible_executions(
        &mut self,
        mut possible_executions: Vec<PossibleExecutions>,
        records: &[Record],
        now_ms: u64,
    ) {
        let latest_deadline_ms = records.iter().filter_map(deadline_ms).max();
        if latest_deadline_ms.is_none() {
            possible_executions.retain(|possible| possible.frame.is_some());
            self.missing.clear();
        }
        // Messages whose deadline has passed already are still to be concluded by this process.
        let until_ms = latest_deadline_ms.unwrap_or(0).max(now_ms);
        for possible in &mut possible_executions {
            possible.until_ms = possible.until_ms.max(until_ms);
        }
        self.possible_executions = possible_executions;
    }

    /// Begins the first segment of this process. If there is no room the journal starts without one, and tries again
    /// at each batch.
    fn begin_first_segment(&mut self, now_ms: u64, manifest_unusable: bool) {
        // What the lack of a manifest may hide must be on disk before there is one again.
        let first: Vec<PossibleExecutions> = self
            .possible_executions
            .iter()
            .filter(|possible| manifest_unusable && possible.frame.is_none())
            .copied()
            .collect();
        let frames = match self.rotate(now_ms, &first) {
            Ok(frames) => frames,
            Err(e) => {
                log::error!(
                    "journal: no new segment can be begun, messages are rejected until it can: {e}"
                );
                return;
            }
        };
        for (written, frame) in first.iter().zip(frames) {
            let mut all = self.possible_executions.iter_mut();
            let possible = all.find(|p| p.accepted_before == written.accepted_before);
            if let Some(possible) = possible {
                possible.frame = Some(frame);
                self.index.add_live(frame);
            }
        }
    }

    /// Writes what recovery concluded, and then a manifest without the missing segments.
    fn persist_conclusions(&mut self, now_ms: u64) {
        let had_missing = !self.missing.is_empty();
        if let Err(e) = self.append(now_ms, &[]) {
            log::error!("journal: the conclusions of recovery are not written yet: {e}");
        }
        if had_missing
            && self.missing.is_empty()
            && self.write_manifest(ManifestChange::None).is_err()
        {
            log::warn!("journal: a missing segment stays listed, and will be reported again");
        }
    }
}

/// Writes the folder's key if it has none, and removes what a kill left behind; returns the key for new segments.
fn prepare_files<S: Storage>(
    storage: &mut S,
    scan: &Scan,
    fresh_key: &Key,
) -> Result<Key, OpenError> {
    let existing = scan.key_ring.preferred();
    if existing.is_none() {
        // A file that a kill cut short was of no use yet.
        storage
            .remove(key::FILE_NAME)
            .map_err(OpenError::io(key::FILE_NAME))?;
        storage
            .append(key::FILE_NAME, &key::encode_file(fresh_key))
            .map_err(OpenError::io(key::FILE_NAME))?;
    }
    storage
        .remove(manifest::NEXT_FILE_NAME)
        .map_err(OpenError::io(manifest::NEXT_FILE_NAME))?;
    for name in &scan.leftovers {
        storage.remove(name).map_err(OpenError::io(name))?;
    }
    Ok(existing.unwrap_or(*fresh_key))
}

/// How the manifest is to list a segment that was found.
fn sealed_entry(found: &ScannedSegment) -> ManifestEntry {
    let seal = found.seal.unwrap_or(Seal {
        len: found.len as u32,
        frames: found.frames,
        accepted: found.accepted,
        chain: found.chain,
    });
    ManifestEntry {
        sequence: found.sequence,
        base_lsn: found.base_lsn,
        previous_chain: found.previous_chain,
        seal: Some(seal),
    }
}

fn deadline_ms(record: &Record) -> Option<u64> {
    match record {
        Record::Accepted { deadline, .. } => Some(millis(*deadline)),
        _ => None,
    }
}

/// The final report of a message whose own record is lost.
fn failed_report(lost: &LostMessage) -> Record {
    Record::FinalReportDue {
        id: lost.id.clone(),
        final_report: FinalReport::Failed,
        ordering_key: None,
    }
}
