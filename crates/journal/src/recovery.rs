//! Recovery: rebuilds the messages of an earlier process from a folder's records, and accounts for attempts whose
//! records damage may have destroyed.

mod collector;
mod conclude;
mod live_records;
mod possible_executions;
mod recovered;

use self::collector::Collector;
use crate::error::OpenError;
use crate::format::key::Key;
use crate::format::manifest::{self, DecodedManifest, Manifest};
use crate::format::record::MIN_ATTEMPT_FRAME_BYTES;
use crate::scan::{KeyRing, scan};
use crate::storage::Storage;

pub(crate) use self::possible_executions::PossibleExecutions;
pub use self::recovered::{FolderContents, LostMessage, Recovered};

/// Reads a folder, without changing it, and recovers the messages that an earlier process left. `operator_key` is the
/// operator's key, if there is one. `fresh_key` only seeds the hashes of ids in the absence of an operator's key.
///
/// # Errors
/// If a file can't be read, is in a later format or signed under another key, or the key file is damaged.
pub fn read_folder<S: Storage>(
    storage: &mut S,
    operator_key: Option<Key>,
    fresh_key: &Key,
) -> Result<FolderContents, OpenError> {
    let messages = count_accepted_records(storage, operator_key);
    let mut collector = Collector::new(operator_key.as_ref().unwrap_or(fresh_key), messages);
    let mut scan = scan(
        storage,
        operator_key,
        |location, record| collector.add(location, record),
        |_, _| {},
    )?;
    scan.damage.extend(collector.unreadable_messages(&scan));
    let Collector {
        mut index,
        mut live,
        mut possible_executions,
        ..
    } = collector;
    possible_executions::add_found(&mut possible_executions, &scan.damage, &mut index);
    live.sweep(&index);
    live.sort();
    let mut recovered = Recovered {
        damage: scan.damage.clone(),
        torn_write: scan.torn.clone(),
        foreign_files: scan.foreign.clone(),
        latest_ms: scan.latest_ms,
        counts: index.counts(),
        ..Recovered::default()
    };
    conclude::conclude(live, &scan, &possible_executions, &mut recovered);
    Ok(FolderContents {
        scan,
        recovered,
        index,
        possible_executions,
    })
}

/// The number of records of accepted messages in sealed segments according to the manifest, for which memory is
/// reserved. 0 if the manifest can't be read, which has no other effect.
fn count_accepted_records<S: Storage>(storage: &mut S, operator_key: Option<Key>) -> usize {
    let Ok(files) = storage.list() else { return 0 };
    let Ok(key_ring) = KeyRing::read(storage, operator_key, &files) else {
        return 0;
    };
    let Ok(bytes) = storage.read(manifest::FILE_NAME, 0, manifest::MAX_FILE_BYTES) else {
        return 0;
    };
    let DecodedManifest::Valid(manifest) = Manifest::decode(&bytes, key_ring.keys()) else {
        return 0;
    };
    // The size of the files bounds the number of records, should the manifest's counts be wrong.
    let possible: u64 = files.values().sum::<u64>() / MIN_ATTEMPT_FRAME_BYTES as u64;
    let accepted: u64 = manifest
        .segments
        .iter()
        .filter_map(|entry| entry.seal)
        .map(|seal| u64::from(seal.accepted))
        .sum();
    accepted.min(possible) as usize
}
