//! From a folder's records to what an earlier process left: its messages, with attempts that damage may hide.

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

/// Reads the folder and concludes what an earlier process left. `given` is an operator's key; `fresh_key` is used to
/// hash ids if there is none, and may be any.
///
/// # Errors
/// If a file can't be read, or the folder is of a later format or under another key.
pub fn read_folder<S: Storage>(
    storage: &mut S,
    given: Option<Key>,
    fresh_key: &Key,
) -> Result<FolderContents, OpenError> {
    let messages = expected_messages(storage, given);
    let mut collector = Collector::new(given.as_ref().unwrap_or(fresh_key), messages);
    let mut scan = scan(
        storage,
        given,
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
        torn: scan.torn.clone(),
        foreign: scan.foreign.clone(),
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

/// Records of accepted messages in sealed segments, by the manifest: how much memory to reserve. 0 if it can't be
/// read; the records are found all the same.
fn expected_messages<S: Storage>(storage: &mut S, given: Option<Key>) -> usize {
    let Ok(files) = storage.list() else { return 0 };
    let Ok(key_ring) = KeyRing::read(storage, given, &files) else {
        return 0;
    };
    let Ok(bytes) = storage.read(manifest::FILE_NAME, 0, manifest::MAX_FILE_BYTES) else {
        return 0;
    };
    let DecodedManifest::Valid(manifest) = Manifest::decode(&bytes, key_ring.keys()) else {
        return 0;
    };
    // Each takes some tens of bytes on disk: there can't be more than that, whatever the manifest says.
    let possible: u64 = files.values().sum::<u64>() / MIN_ATTEMPT_FRAME_BYTES as u64;
    let accepted: u64 = manifest
        .segments
        .iter()
        .filter_map(|entry| entry.seal)
        .map(|seal| u64::from(seal.accepted))
        .sum();
    accepted.min(possible) as usize
}
