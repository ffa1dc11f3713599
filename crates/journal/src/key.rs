//! The folder's key and what is derived from it.

/// The key of keyed hashes, from an operator's file or drawn for the folder.
pub type Key = [u8; 32];
/// A keyed hash, cut.
pub type Mac = [u8; 16];

/// Copies of the key in its file: one flipped byte must not take the whole folder.
const COPIES: usize = 3;
const COPY: usize = 36;

/// The contents of the file `key`.
pub fn write_key(key: &Key) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(COPIES * COPY);
    for _ in 0..COPIES {
        bytes.extend_from_slice(key);
        bytes.extend_from_slice(&crc32fast::hash(key).to_le_bytes());
    }
    bytes
}

/// The key from its file, from whichever copy is good.
pub fn read_key(bytes: &[u8]) -> Option<Key> {
    bytes.chunks_exact(COPY).take(COPIES).find_map(|copy| {
        let (key, sum) = copy.split_at(32);
        let good = crc32fast::hash(key).to_le_bytes() == sum;
        good.then(|| key.try_into().ok()).flatten()
    })
}

/// The keyed hash of `parts`, one after the other.
pub fn mac(key: &Key, parts: &[&[u8]]) -> Mac {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    cut(&hasher)
}

/// The first bytes of a keyed hash.
pub fn cut(hasher: &blake3::Hasher) -> Mac {
    let mut mac = Mac::default();
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    mac
}

/// What makes the checksums of one segment's frames its own: bytes inside a message's body can't pass for a frame,
/// nor can a frame of another segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Salt {
    pub sum: u32,
    pub check: u8,
}

impl Salt {
    pub fn new(key: &Key, sequence: u32) -> Salt {
        let mac = mac(key, &[b"frame", &sequence.to_le_bytes()]);
        Salt {
            sum: u32::from_le_bytes([mac[0], mac[1], mac[2], mac[3]]),
            check: mac[4],
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The key is what every segment is read by: damage in one copy must not lose them all.
    #[test]
    fn one_good_copy_of_the_key_is_enough() {
        let key: Key = std::array::from_fn(|i| i as u8 * 7);
        let whole = write_key(&key);
        assert_eq!(read_key(&whole), Some(key));
        for at in 0..whole.len() {
            let mut bytes = whole.clone();
            bytes[at] ^= 0x10;
            assert_eq!(read_key(&bytes), Some(key), "byte {at}");
        }
        assert_eq!(read_key(&whole[..COPY]), Some(key));
        assert_eq!(read_key(&whole[..COPY - 1]), None);
    }
}
