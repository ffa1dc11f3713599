//! The key ring: the keys under which a folder's files may be signed.

use std::collections::BTreeMap;

use crate::error::OpenError;
use crate::format::frame::{self, DecodedFrame};
use crate::format::key::{self, Key, Salt};
use crate::format::{manifest, segment};
use crate::storage::Storage;

/// Bytes of the key file that are read; a valid one is shorter.
const MAX_KEY_FILE_BYTES: usize = 4096;

/// The keys under which a folder's files may be signed: the operator's first, if there is one, then the folder's own.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyRing(Vec<Key>);

impl KeyRing {
    /// Reads the folder's key file and adds the operator's key. The ring is empty if there is no key yet.
    pub(crate) fn read<S: Storage>(
        storage: &mut S,
        operator_key: Option<Key>,
        files: &BTreeMap<String, u64>,
    ) -> Result<KeyRing, OpenError> {
        let mut keys: Vec<Key> = operator_key.into_iter().collect();
        if !files.contains_key(key::FILE_NAME) {
            return Ok(KeyRing(keys));
        }
        let bytes = storage
            .read(key::FILE_NAME, 0, MAX_KEY_FILE_BYTES)
            .map_err(OpenError::io(key::FILE_NAME))?;
        // If the process was killed while it wrote the key file, no file has been signed under the key.
        let nothing_signed = !files
            .keys()
            .any(|name| segment::sequence_of(name).is_some() || name == manifest::FILE_NAME);
        match key::decode_file(&bytes) {
            Some(key) => keys.push(key),
            None if nothing_signed || operator_key.is_some() => {}
            None => return Err(OpenError::KeyLost),
        }
        Ok(KeyRing(keys))
    }

    /// All keys, in order of preference.
    pub(crate) fn keys(&self) -> &[Key] {
        &self.0
    }

    /// The key with this index.
    pub(crate) fn get(&self, index: usize) -> Option<Key> {
        self.0.get(index).copied()
    }

    /// The key under which new files are to be signed, if there is one.
    pub(crate) fn preferred(&self) -> Option<Key> {
        self.get(0)
    }

    /// The index of the key under which the first frame of a segment is valid. It identifies the key of a segment whose
    /// header is damaged.
    pub(super) fn index_by_first_frame(&self, sequence: u32, bytes: &[u8]) -> Option<usize> {
        self.0.iter().position(|key| {
            let salt = Salt::new(key, sequence);
            let first = frame::decode(salt, bytes, segment::HEADER_BYTES);
            matches!(first, DecodedFrame::Valid(_))
        })
    }
}
