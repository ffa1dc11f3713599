//! The folder's key, the file that stores it, and the keyed hashes and frame salts derived from it.

/// A 32-byte key for keyed hashes: given by an operator, or generated for the folder.
pub type Key = [u8; KEY_BYTES];
/// A keyed BLAKE3 hash, truncated to 16 bytes.
pub(crate) type Mac = [u8; 16];

/// Name of the file that stores the folder's own key.
pub(crate) const FILE_NAME: &str = "key";
const KEY_BYTES: usize = 32;
/// Copies of the key in its file, so that one damaged byte does not make the whole folder unreadable.
const COPIES: usize = 3;
/// Bytes of one copy: the key and its CRC-32.
const COPY_BYTES: usize = KEY_BYTES + 4;

/// The contents of the key file.
pub(crate) fn encode_file(key: &Key) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(COPIES * COPY_BYTES);
    for _ in 0..COPIES {
        bytes.extend_from_slice(key);
        bytes.extend_from_slice(&crc32fast::hash(key).to_le_bytes());
    }
    bytes
}

/// Decodes the key file: the first valid copy, or `None` if all are damaged.
pub(crate) fn decode_file(bytes: &[u8]) -> Option<Key> {
    bytes
        .chunks_exact(COPY_BYTES)
        .take(COPIES)
        .find_map(|copy| {
            let (key, checksum) = copy.split_at(KEY_BYTES);
            let valid = crc32fast::hash(key).to_le_bytes() == checksum;
            valid.then(|| key.try_into().ok()).flatten()
        })
}

/// The keyed hash of the concatenation of `parts`.
pub(crate) fn mac(key: &Key, parts: &[&[u8]]) -> Mac {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    finish_mac(&hasher)
}

/// The keyed hash of the bytes that `hasher` has consumed.
pub(crate) fn finish_mac(hasher: &blake3::Hasher) -> Mac {
    let mut mac = Mac::default();
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    mac
}

/// Secret, per-segment salt of frame checksums: neither bytes in a message's body nor a frame of another segment can be
/// mistaken for a frame of this segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Salt {
    /// Initial value of the payloads' CRC-32.
    pub(crate) checksum_seed: u32,
    /// XORed into the check of a frame's length.
    pub(crate) length_check: u8,
}

impl Salt {
    /// The salt of the segment with this sequence number.
    pub(crate) fn new(key: &Key, sequence: u32) -> Salt {
        let mac = mac(key, &[b"frame", &sequence.to_le_bytes()]);
        Salt {
            checksum_seed: u32::from_le_bytes([mac[0], mac[1], mac[2], mac[3]]),
            length_check: mac[4],
        }
    }
}

#[cfg(test)]
mod tests;
