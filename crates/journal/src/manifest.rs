//! The manifest: which segments there are. Replacing it is the one step by which the set changes.

use serde::{Deserialize, Serialize};

use crate::key::{Key, Mac, mac};
use crate::segment::VERSION;

pub const NAME: &str = "manifest";
pub const NEXT: &str = "manifest.new";
const MAGIC: &[u8; 8] = b"cranehmf";
const HEAD: usize = 14;
const SIGNATURE: usize = 16;
/// No folder has so many segments.
const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Grows with every change.
    pub epoch: u64,
    pub next_sequence: u32,
    /// No frame written later has a lower log number.
    pub next_lsn: u64,
    /// By sequence number.
    pub segments: Vec<ManifestEntry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestEntry {
    pub sequence: u32,
    pub base: u64,
    /// Chained hash of the one sealed before it, as in its header.
    pub before: Mac,
    /// `None` for the head.
    pub seal: Option<Seal>,
}

/// How a segment was when it was finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    pub len: u32,
    pub frames: u32,
    /// Messages accepted that it holds.
    pub taken: u32,
    /// Its chained hash.
    pub chain: Mac,
}

/// What the file `manifest` is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodedManifest {
    Good(Manifest),
    Newer(u16),
    Bad,
}

impl Manifest {
    pub fn write(&self, key: &Key) -> Vec<u8> {
        let payload = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEAD + payload.len() + SIGNATURE);
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&payload);
        let signature = mac(key, &[&bytes]);
        bytes.extend_from_slice(&signature);
        bytes
    }

    pub fn read(bytes: &[u8], ring: &[Key]) -> DecodedManifest {
        let Some(head) = bytes.get(..HEAD).filter(|b| b.starts_with(MAGIC)) else {
            return DecodedManifest::Bad;
        };
        let version = u16::from_le_bytes([head[8], head[9]]);
        let later = version > VERSION && version < VERSION + 64;
        let size = u32::from_le_bytes([head[10], head[11], head[12], head[13]]) as usize;
        let (signed, signature) = bytes.split_at(bytes.len().saturating_sub(SIGNATURE).max(HEAD));
        let whole = size <= MAX_PAYLOAD_BYTES && signed.len() == HEAD + size;
        // As with a segment's header, a damaged version is put right.
        let parts = [&signed[..8], &VERSION.to_le_bytes(), &signed[10..]];
        if !whole || !ring.iter().any(|key| mac(key, &parts) == signature) {
            return if later {
                DecodedManifest::Newer(version)
            } else {
                DecodedManifest::Bad
            };
        }
        postcard::from_bytes(&signed[HEAD..]).map_or(DecodedManifest::Bad, DecodedManifest::Good)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_read_as_written_and_no_changed_byte_passes() {
        let key = [9; 32];
        let seal = Seal {
            len: 5000,
            frames: 40,
            taken: 12,
            chain: [7; 16],
        };
        let manifest = Manifest {
            epoch: 3,
            next_sequence: 6,
            next_lsn: 900,
            segments: vec![
                ManifestEntry {
                    sequence: 4,
                    base: 100,
                    before: [1; 16],
                    seal: Some(seal),
                },
                ManifestEntry {
                    sequence: 5,
                    base: 800,
                    before: [7; 16],
                    seal: None,
                },
            ],
        };
        let bytes = manifest.write(&key);
        assert_eq!(
            Manifest::read(&bytes, &[[1; 32], key]),
            DecodedManifest::Good(manifest.clone())
        );
        assert_eq!(Manifest::read(&bytes, &[[1; 32]]), DecodedManifest::Bad);
        for at in 0..bytes.len() {
            assert_eq!(
                Manifest::read(&bytes[..at], &[key]),
                DecodedManifest::Bad,
                "cut at {at}"
            );
            let mut bytes = bytes.clone();
            bytes[at] ^= 0x80;
            let righted = if at == 8 || at == 9 {
                DecodedManifest::Good(manifest.clone())
            } else {
                DecodedManifest::Bad
            };
            assert_eq!(Manifest::read(&bytes, &[key]), righted, "byte {at}");
        }
        let mut newer = bytes;
        newer[8] = 2;
        newer[20] ^= 1;
        assert_eq!(Manifest::read(&newer, &[key]), DecodedManifest::Newer(2));
    }
}
