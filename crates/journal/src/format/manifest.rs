//! The manifest: which segments there are. Replacing it is the one step by which the set changes.

use serde::{Deserialize, Serialize};

use crate::format::key::{Key, Mac, mac};
use crate::format::segment::{VERSION, is_newer_version};

pub(crate) const FILE_NAME: &str = "manifest";
/// The next manifest while it is written; it replaces the other one by a rename.
pub(crate) const NEXT_FILE_NAME: &str = "manifest.new";
/// Bytes of the file that are read: more than any manifest has.
pub(crate) const MAX_FILE_BYTES: usize = 2 * MAX_PAYLOAD_BYTES;

const MAGIC: &[u8; 8] = b"cranehmf";
const HEADER_BYTES: usize = 14;
const SIGNATURE_BYTES: usize = 16;
/// No folder has segments enough for a longer one.
const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

/// The list of segments, with the counters that must not go back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Manifest {
    /// Grows with every change.
    pub(crate) epoch: u64,
    pub(crate) next_sequence: u32,
    /// No frame written later has a lower log number.
    pub(crate) next_lsn: u64,
    /// By sequence number.
    pub(crate) segments: Vec<ManifestEntry>,
}

/// A segment as the manifest lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ManifestEntry {
    pub(crate) sequence: u32,
    /// As in the segment's header.
    pub(crate) base_lsn: u64,
    /// Chained hash of the one sealed before it, as in its header.
    pub(crate) previous_chain: Mac,
    /// `None` for the head.
    pub(crate) seal: Option<Seal>,
}

/// How a segment was when it was finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Seal {
    /// Bytes of the file that count.
    pub(crate) len: u32,
    pub(crate) frames: u32,
    /// Records of accepted messages in it.
    pub(crate) accepted: u32,
    /// Its chained hash.
    pub(crate) chain: Mac,
}

/// What the manifest's file holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DecodedManifest {
    /// A manifest of this folder.
    Valid(Manifest),
    /// Of a later format than this program knows.
    NewerVersion(u16),
    /// Damaged, or not of this folder.
    Invalid,
}

impl Manifest {
    /// The file's bytes, signed under `key`.
    pub(crate) fn encode(&self, key: &Key) -> Vec<u8> {
        let payload = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len() + SIGNATURE_BYTES);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&payload);
        let signature = mac(key, &[&bytes]);
        bytes.extend_from_slice(&signature);
        bytes
    }

    /// Reads the file, which may be signed under any of `keys`.
    pub(crate) fn decode(bytes: &[u8], keys: &[Key]) -> DecodedManifest {
        let header = bytes.get(..HEADER_BYTES).filter(|b| b.starts_with(MAGIC));
        let Some(header) = header else {
            return DecodedManifest::Invalid;
        };
        let version = u16::from_le_bytes([header[8], header[9]]);
        let payload_len =
            u32::from_le_bytes([header[10], header[11], header[12], header[13]]) as usize;
        let signed_len = bytes
            .len()
            .saturating_sub(SIGNATURE_BYTES)
            .max(HEADER_BYTES);
        let (signed, signature) = bytes.split_at(signed_len);
        let whole = payload_len <= MAX_PAYLOAD_BYTES && signed.len() == HEADER_BYTES + payload_len;
        // As with a segment's header, a damaged version is put right.
        let parts = [&signed[..8], &VERSION.to_le_bytes(), &signed[10..]];
        if whole && keys.iter().any(|key| mac(key, &parts) == signature) {
            return postcard::from_bytes(&signed[HEADER_BYTES..])
                .map_or(DecodedManifest::Invalid, DecodedManifest::Valid);
        }
        if is_newer_version(version) {
            return DecodedManifest::NewerVersion(version);
        }
        DecodedManifest::Invalid
    }
}

#[cfg(test)]
mod tests;
