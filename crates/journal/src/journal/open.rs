//! Opening a journal: reads the whole folder before it changes any file, and then begins a new segment.

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
    /// Opens the folder; returns the journal and the messages that an earlier process left in it. `now` is Unix time in
    /// milliseconds.
    ///
    /// # Errors
    /// If a file is in a later format or signed under another key, the key file is damaged, a ledger to migrate does
    /// not fit, or a file operation fails.
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
        } = read_folder(&mut storage, options.operator_key, &options.fresh_key)?;
        let ledger = legacy_ledger::read(&mut storage, &scan.files)?;
        // The folder has been read completely; files are changed only after this point.
        let key = prepare_files(&mut storage, &scan, &options.fresh_key)?;
        let mut journal = Journal::new(storage, options, key, index);
        journal.add_scanned_segments(&scan);
        journal.add_possible_executions(possible_executions, &recovered.records, now);
        journal.recovery_records = recovered
            .lost_messages
            .iter()
            .map(failed_final_report)
            .collect();
        let manifest_unusable = scan
            .damage
            .iter()
            .any(|range| range.cause == DamageCause::Unlisted);
        journal.begin_first_segment(now, manifest_unusable);
        journal.persist_recovery_records(now);
        if let Some(ledger) = ledger {
            journal.migrate(now, ledger, &mut recovered)?;
        }
        // An expired completion is on disk only because other records of its message are.
        recovered.records.retain(
            |record| !matches!(record, Record::Completed { remembered_until, .. } if millis(*remembered_until) <= now),
        );
        recovered.counts = journal.index.counts();
        Ok((journal, recovered))
    }

    /// Adds the segments that the scan found, as sealed segments, and continues their counters.
    fn add_scanned_segments(&mut self, scan: &Scan) {
        self.epoch = scan.manifest.as_ref().map_or(0, |manifest| manifest.epoch);
        for scanned in scan.segments.values() {
            let epoch = scanned.header.map_or(0, |header| header.epoch);
            self.epoch = self.epoch.max(epoch);
            let key = scan.key_ring.get(scanned.key_index).unwrap_or(self.key);
            let sealed = SealedSegment {
                name: scanned.name.clone(),
                salt: Salt::new(&key, scanned.sequence),
                entry: sealed_entry(scanned),
                len: scanned.len.max(HEADER_BYTES as u64),
                damaged: scanned.header.is_none()
                    || scan.damage.iter().any(|range| range.file == scanned.name),
            };
            self.sealed.insert(scanned.sequence, sealed);
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

    /// Adds the possible executions. They affect pending messages only: without any, none needs to be recorded.
    fn add_possible_executions(
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
        // Messages whose deadline has passed are still pending until this process ends them.
        let until_ms = latest_deadline_ms.unwrap_or(0).max(now_ms);
        for possible in &mut possible_executions {
            possible.until_ms = possible.until_ms.max(until_ms);
        }
        self.possible_executions = possible_executions;
    }

    /// Begins the first segment of this process. If that fails, for lack of room or otherwise, the journal starts
    /// without a head and retries with each batch.
    fn begin_first_segment(&mut self, now_ms: u64, manifest_unusable: bool) {
        // If the manifest can't be used, the possible executions that follow from it must be on disk before a new
        // manifest replaces it.
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
                    "journal: can't create a segment, messages are rejected until one can be created: {e}"
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

    /// Writes the records that recovery added, and then a manifest that no longer lists the missing segments.
    fn persist_recovery_records(&mut self, now_ms: u64) {
        let had_missing = !self.missing.is_empty();
        if let Err(e) = self.append(now_ms, &[]) {
            log::error!(
                "journal: can't write the records added by recovery, retrying with the next batch: {e}"
            );
        }
        if had_missing
            && self.missing.is_empty()
            && self.write_manifest(ManifestChange::None).is_err()
        {
            log::warn!(
                "journal: can't replace the manifest, the missing segments will be reported again at the next start"
            );
        }
    }
}

/// Writes a key file if the folder has no key, and removes files left by a killed process; returns the key for new
/// segments.
fn prepare_files<S: Storage>(
    storage: &mut S,
    scan: &Scan,
    fresh_key: &Key,
) -> Result<Key, OpenError> {
    let existing = scan.key_ring.preferred();
    if existing.is_none() {
        // A key file that a killed process wrote in part has signed nothing, and is replaced.
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

/// The manifest entry of a scanned segment, which is sealed with its readable contents if it was not sealed yet.
fn sealed_entry(scanned: &ScannedSegment) -> ManifestEntry {
    let seal = scanned.seal.unwrap_or(Seal {
        len: scanned.len as u32,
        frames: scanned.frames,
        accepted: scanned.accepted,
        chain: scanned.chain,
    });
    ManifestEntry {
        sequence: scanned.sequence,
        base_lsn: scanned.base_lsn,
        previous_chain: scanned.previous_chain,
        seal: Some(seal),
    }
}

fn deadline_ms(record: &Record) -> Option<u64> {
    match record {
        Record::Accepted { deadline, .. } => Some(millis(*deadline)),
        _ => None,
    }
}

/// The final report, as failed, of a message whose record of acceptance is lost.
fn failed_final_report(lost: &LostMessage) -> Record {
    Record::FinalReportDue {
        id: lost.id.clone(),
        final_report: FinalReport::Failed,
        ordering_key: None,
    }
}
