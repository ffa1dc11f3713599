//! File names and headers of segments.

use crate::format::key::{Key, Mac, mac};

const MAGIC: &[u8; 8] = b"cranehsg";
/// The format version that this program writes, of segments and of the manifest.
pub(crate) const VERSION: u16 = 1;
/// A version this far or further above [`VERSION`] is taken for damage, not for a later release.
pub(crate) const MAX_VERSIONS_AHEAD: u16 = 64;
pub(crate) const HEADER_BYTES: usize = 72;
/// Bytes at the start of the header that its signature covers. The signature is a MAC under a key of the folder.
const SIGNED_BYTES: usize = 56;

/// A segment's header, as `docs/journal-format.md` specifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) sequence: u32,
    /// Epoch of the first manifest that lists the segment.
    pub(crate) epoch: u64,
    /// Lower than the log number of every frame in the segment, and no lower than that of any frame in earlier segments.
    pub(crate) base_lsn: u64,
    /// Creation time, as Unix time in milliseconds.
    pub(crate) created_ms: u64,
    /// Chained hash of the segment sealed before this one.
    pub(crate) previous_chain: Mac,
}

/// Result of decoding the header of a segment file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecodedHeader {
    /// The signature is valid under one of the folder's keys.
    Valid {
        header: Header,
        /// Index of the key under which the header is signed.
        key_index: usize,
    },
    /// The magic number is right, but the signature is valid under none of the keys.
    Foreign,
    /// Written in a later format than this program knows.
    NewerVersion(u16),
    /// Shorter than a header, or without the magic number.
    Invalid,
}

/// The file name of the segment with this sequence number.
pub(crate) fn file_name(sequence: u32) -> String {
    format!("{sequence:08x}.seg")
}

/// The sequence number in a segment's file name; `None` for the name of any other file.
pub(crate) fn sequence_of(name: &str) -> Option<u32> {
    let digits = name.strip_suffix(".seg").filter(|d| d.len() == 8)?;
    u32::from_str_radix(digits, 16)
        .ok()
        .filter(|&sequence| file_name(sequence) == name)
}

/// Whether this is plausibly the version of a later release, rather than a damaged number.
pub(crate) fn is_newer_version(version: u16) -> bool {
    version > VERSION && version < VERSION + MAX_VERSIONS_AHEAD
}

impl Header {
    /// The header's bytes, signed under `key`.
    pub(crate) fn encode(&self, key: &Key) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        // Reserved.
        bytes.extend_from_slice(&[0, 0]);
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.extend_from_slice(&self.epoch.to_le_bytes());
        bytes.extend_from_slice(&self.base_lsn.to_le_bytes());
        bytes.extend_from_slice(&self.created_ms.to_le_bytes());
        bytes.extend_from_slice(&self.previous_chain);
        let signature = mac(key, &[&bytes]);
        bytes.extend_from_slice(&signature);
        bytes
    }

    /// Decodes the header at the start of a file, which may be signed under any of `keys`.
    pub(crate) fn decode(bytes: &[u8], keys: &[Key]) -> DecodedHeader {
        let Some(bytes) = bytes.get(..HEADER_BYTES).filter(|b| b.starts_with(MAGIC)) else {
            return DecodedHeader::Invalid;
        };
        let (signed, signature) = bytes.split_at(SIGNED_BYTES);
        let version = u16::from_le_bytes([signed[8], signed[9]]);
        // The signature is checked with the version that this program writes in place of the one read: if it is valid,
        // the version was damaged, and must not be mistaken for a later format.
        let mut corrected: [u8; SIGNED_BYTES] = std::array::from_fn(|i| signed[i]);
        corrected[8..10].copy_from_slice(&VERSION.to_le_bytes());
        let key_index = keys
            .iter()
            .position(|key| mac(key, &[&corrected]) == signature);
        if let Some(key_index) = key_index {
            let header = Header::from_signed(signed);
            return DecodedHeader::Valid { header, key_index };
        }
        // Bytes 10 and 11 are reserved and 0.
        if is_newer_version(version) && signed[10..12] == [0, 0] {
            return DecodedHeader::NewerVersion(version);
        }
        DecodedHeader::Foreign
    }

    fn from_signed(signed: &[u8]) -> Header {
        let field = |at: usize| -> [u8; 8] { std::array::from_fn(|i| signed[at + i]) };
        let mut previous_chain = Mac::default();
        previous_chain.copy_from_slice(&signed[40..56]);
        Header {
            sequence: u32::from_le_bytes([signed[12], signed[13], signed[14], signed[15]]),
            epoch: u64::from_le_bytes(field(16)),
            base_lsn: u64::from_le_bytes(field(24)),
            created_ms: u64::from_le_bytes(field(32)),
            previous_chain,
        }
    }
}

#[cfg(test)]
mod tests;
