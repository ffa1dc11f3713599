//! The manifest lists the folder's segments. The set of segments changes only by replacing the manifest atomically.

use serde::{Deserialize, Serialize};

use crate::format::key::{Key, Mac, mac};
use crate::format::segment::{VERSION, is_newer_version};

pub(crate) const FILE_NAME: &str = "manifest";
/// Name of the next manifest while it is written; a rename then replaces the current one.
pub(crate) const NEXT_FILE_NAME: &str = "manifest.new";
/// Bytes of the file that are read; no valid manifest is longer.
pub(crate) const MAX_FILE_BYTES: usize = 2 * MAX_PAYLOAD_BYTES;

const MAGIC: &[u8; 8] = b"cranehmf";
const HEADER_BYTES: usize = 14;
const SIGNATURE_BYTES: usize = 16;
/// Upper bound on the payload's length; the number of segments in a folder keeps it far below.
const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

/// The list of segments, with the counters that must never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Manifest {
    /// Incremented each time that the manifest is replaced.
    pub(crate) epoch: u64,
    /// Sequence number of the next segment.
    pub(crate) next_sequence: u32,
    /// Lower bound on the log numbers of frames written after this manifest.
    pub(crate) next_lsn: u64,
    /// Ordered by sequence number.
    pub(crate) segments: Vec<ManifestEntry>,
}

/// The manifest's entry for a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ManifestEntry {
    pub(crate) sequence: u32,
    /// Lower than the log number of every frame in the segment; same as in its header.
    pub(crate) base_lsn: u64,
    /// Chained hash of the segment sealed before it, as in its header.
    pub(crate) previous_chain: Mac,
    /// `None` for the head segment.
    pub(crate) seal: Option<Seal>,
}

/// The final length, counts and hash of a sealed segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Seal {
    /// Bytes of the file, header included; anything after them is ignored.
    pub(crate) len: u32,
    /// Frames in the segment.
    pub(crate) frames: u32,
    /// Records of accepted messages in the segment.
    pub(crate) accepted: u32,
    /// Keyed hash of the previous segment's chained hash and of this segment's frames.
    pub(crate) chain: Mac,
}

/// Result of decoding the manifest file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum DecodedManifest {
    /// A manifest signed under one of the folder's keys.
    Valid(Manifest),
    /// Written in a later format than this program knows.
    NewerVersion(u16),
    /// Damaged, or signed under another key.
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

    /// Decodes the file, which may be signed under any of `keys`.
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
        // As with a segment's header, the signature is checked with the version that this program writes, so that a
        // damaged version is corrected.
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
