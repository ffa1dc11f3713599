//! Digests: what two members compare to find where their states differ.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Identity;

/// Buckets of a digest. At the planned 490 members each holds eight entries, so a single difference costs one small bucket.
pub const BUCKETS: usize = 64;

/// The first eight bytes of a BLAKE3 hash. Two of a thousand things share one by a chance of 3e-14.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortHash([u8; 8]);

impl ShortHash {
    pub fn of(parts: &[&[u8]]) -> ShortHash {
        let mut hasher = blake3::Hasher::new();
        parts.iter().for_each(|part| {
            hasher.update(part);
        });
        let hash = hasher.finalize();
        ShortHash(std::array::from_fn(|i| hash.as_bytes()[i]))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    pub(crate) fn number(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

/// Names one incarnation of a member.
pub fn identity_hash(member: &Identity) -> ShortHash {
    let address = address_bytes(member.at);
    ShortHash::of(&[&address, &member.incarnation.to_le_bytes()])
}

/// The bucket of all entries about an address.
pub(crate) fn bucket_of(address: SocketAddr) -> usize {
    (ShortHash::of(&[&address_bytes(address)]).number() % BUCKETS as u64) as usize
}

fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        std::net::IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

/// The sums of the hashes of all entries, by bucket. A sum changes with one addition when an entry does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    sums: [u64; BUCKETS],
}

impl Default for Digest {
    fn default() -> Digest {
        Digest { sums: [0; BUCKETS] }
    }
}

impl Digest {
    pub fn add(&mut self, bucket: usize, entry: ShortHash) {
        self.sums[bucket % BUCKETS] = self.sums[bucket % BUCKETS].wrapping_add(entry.number());
    }

    pub fn remove(&mut self, bucket: usize, entry: ShortHash) {
        self.sums[bucket % BUCKETS] = self.sums[bucket % BUCKETS].wrapping_sub(entry.number());
    }

    /// One hash for all of it.
    pub fn root(&self) -> ShortHash {
        let bytes: Vec<u8> = self.sums.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        ShortHash::of(&[&bytes])
    }

    /// The sums as they travel, cut to four bytes each.
    pub fn to_wire(&self) -> Vec<[u8; 4]> {
        self.sums
            .iter()
            .map(|sum| std::array::from_fn(|i| sum.to_le_bytes()[i]))
            .collect()
    }

    /// Bit k: bucket k differs. `None` if it isn't a digest of ours.
    pub fn differing(&self, wire: &[[u8; 4]]) -> Option<u64> {
        let differs =
            |(i, (ours, theirs)): (usize, (&[u8; 4], &[u8; 4]))| u64::from(ours != theirs) << i;
        (wire.len() == BUCKETS).then(|| {
            self.to_wire()
                .iter()
                .zip(wire)
                .enumerate()
                .map(differs)
                .sum()
        })
    }
}
