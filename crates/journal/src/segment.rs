//! Segments: their names and headers.

use crate::key::{Key, Mac, mac};

pub const MAGIC: &[u8; 8] = b"cranehsg";
/// The newest format that is understood, of segments and of the manifest.
pub const VERSION: u16 = 1;
pub const HEADER_BYTES: usize = 72;
const SIGNED: usize = 56;

/// What a segment says of itself. See `docs/journal-format.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub sequence: u32,
    /// The manifest's by which it is listed first.
    pub epoch: u64,
    /// Lower than the log number of every frame in it, not lower than any before it.
    pub base: u64,
    /// Unix time in milliseconds.
    pub created: u64,
    /// Chained hash of the segment sealed before it.
    pub before: Mac,
}

/// What the first bytes of a file are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodedHeader {
    /// Of this folder: signed under the key with this place in the ring.
    Good(Header, usize),
    /// Signed under none of the keys.
    Foreign,
    /// Of a later format than this program knows.
    Newer(u16),
    /// Too short, or not even the magic is right.
    Bad,
}

pub fn name(sequence: u32) -> String {
    format!("{sequence:08x}.seg")
}

/// The sequence number by a file's name, if it is a segment's.
pub fn sequence(name: &str) -> Option<u32> {
    let digits = name.strip_suffix(".seg").filter(|d| d.len() == 8)?;
    u32::from_str_radix(digits, 16)
        .ok()
        .filter(|&s| self::name(s) == name)
}

impl Header {
    pub fn write(&self, key: &Key) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&[0, 0]);
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.extend_from_slice(&self.epoch.to_le_bytes());
        bytes.extend_from_slice(&self.base.to_le_bytes());
        bytes.extend_from_slice(&self.created.to_le_bytes());
        bytes.extend_from_slice(&self.before);
        let signature = mac(key, &[&bytes]);
        bytes.extend_from_slice(&signature);
        bytes
    }

    /// Reads the first bytes of a file under a ring of keys.
    pub fn read(bytes: &[u8], ring: &[Key]) -> DecodedHeader {
        let Some(bytes) = bytes.get(..HEADER_BYTES).filter(|b| b.starts_with(MAGIC)) else {
            return DecodedHeader::Bad;
        };
        let (signed, signature) = bytes.split_at(SIGNED);
        let field = |at: usize| -> [u8; 8] { std::array::from_fn(|i| signed[at + i]) };
        let version = u16::from_le_bytes([signed[8], signed[9]]);
        let signs = |signed: &[u8]| ring.iter().position(|key| mac(key, &[signed]) == signature);
        // A bit flipped in the version of one of ours must not pass for a later format: with the version put right
        // the signature is right too.
        let mut righted: [u8; SIGNED] = std::array::from_fn(|i| signed[i]);
        righted[8..10].copy_from_slice(&VERSION.to_le_bytes());
        let Some(place) = signs(&righted) else {
            let later = version > VERSION && version < VERSION + 64 && signed[10..12] == [0, 0];
            return if later {
                DecodedHeader::Newer(version)
            } else {
                DecodedHeader::Foreign
            };
        };
        let mut before = Mac::default();
        before.copy_from_slice(&signed[40..56]);
        let sequence = u32::from_le_bytes([signed[12], signed[13], signed[14], signed[15]]);
        let header = Header {
            sequence,
            epoch: u64::from_le_bytes(field(16)),
            base: u64::from_le_bytes(field(24)),
            created: u64::from_le_bytes(field(32)),
            before,
        };
        DecodedHeader::Good(header, place)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: Header = Header {
        sequence: 42,
        epoch: 7,
        base: 1000,
        created: 1_764_590_000_000,
        before: [3; 16],
    };

    #[test]
    fn a_header_is_known_by_its_key_and_any_changed_byte() {
        let (ours, other) = ([1; 32], [2; 32]);
        let bytes = HEAD.write(&ours);
        assert_eq!(bytes.len(), HEADER_BYTES);
        assert_eq!(
            Header::read(&bytes, &[other, ours]),
            DecodedHeader::Good(HEAD, 1)
        );
        assert_eq!(Header::read(&bytes, &[other]), DecodedHeader::Foreign);
        for at in 0..HEADER_BYTES {
            let mut bytes = bytes.clone();
            bytes[at] ^= 0x40;
            let found = Header::read(&bytes, &[ours]);
            // A damaged version of ours is no later format.
            let righted = at == 8 || at == 9;
            assert_eq!(
                matches!(found, DecodedHeader::Good(HEAD, 0)),
                righted,
                "byte {at}"
            );
            assert!(!matches!(found, DecodedHeader::Newer(_)), "byte {at}");
            assert_eq!(Header::read(&bytes[..at], &[ours]), DecodedHeader::Bad);
        }
    }

    #[test]
    fn a_later_format_is_known_as_such() {
        let key = [1; 32];
        let mut bytes = HEAD.write(&key);
        bytes[8] = 2;
        bytes[60] ^= 1;
        assert_eq!(Header::read(&bytes, &[key]), DecodedHeader::Newer(2));
    }

    #[test]
    fn names_are_sequence_numbers_and_nothing_else_is() {
        assert_eq!(
            (name(42).as_str(), sequence("0000002a.seg")),
            ("0000002a.seg", Some(42))
        );
        for other in [
            "2a.seg",
            "0000002A.seg",
            "0000002a.seg.bak",
            "+000002a.seg",
            "manifest",
        ] {
            assert_eq!(sequence(other), None, "{other}");
        }
    }
}
