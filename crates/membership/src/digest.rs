//! Digests: what two members compare to find the buckets of entries in which their states differ.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::identity::Identity;

/// Buckets of a digest. At the planned 490 members each holds eight entries, so a single difference costs one small bucket.
pub const BUCKETS: usize = 64;

/// A bucket's sum as it is sent: the low four bytes, little-endian.
pub type BucketSum = [u8; 4];

/// The first eight bytes of a BLAKE3 hash. Two of a thousand hashed values collide with a probability of 3e-14.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortHash([u8; 8]);

impl ShortHash {
    /// The hash of the concatenated parts.
    pub fn of(parts: &[&[u8]]) -> ShortHash {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(part);
        }
        let hash = hasher.finalize();
        ShortHash(std::array::from_fn(|i| hash.as_bytes()[i]))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    pub(crate) fn as_u64(self) -> u64 {
        u64::from_le_bytes(self.0)
    }

    pub(crate) fn bucket(self) -> usize {
        (self.as_u64() % BUCKETS as u64) as usize
    }
}

/// The hash that stands for one incarnation of a member in votes, sets and digests.
pub fn identity_hash(member: &Identity) -> ShortHash {
    let address = address_bytes(member.at);
    ShortHash::of(&[&address, &member.incarnation.to_le_bytes()])
}

/// The bucket of all entries about an address.
pub(crate) fn bucket_of(address: SocketAddr) -> usize {
    ShortHash::of(&[&address_bytes(address)]).bucket()
}

fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let mut bytes = [0; 18];
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

/// A set of buckets. On the wire it is a 64-bit number in which bit k stands for bucket k.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSet(u64);

impl BucketSet {
    /// The set in which bit k stands for bucket k.
    pub const fn from_bits(bits: u64) -> BucketSet {
        BucketSet(bits)
    }

    /// Whether a bucket is in the set.
    pub const fn contains(self, bucket: usize) -> bool {
        self.0 >> bucket & 1 == 1
    }

    /// Whether no bucket is in the set.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Adds a bucket.
    pub const fn insert(&mut self, bucket: usize) {
        self.0 |= 1 << bucket;
    }
}

/// The sums of the hashes of all entries, by bucket. When an entry changes, one addition updates its bucket's sum.
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
    /// Adds an entry's hash to a bucket.
    pub fn add(&mut self, bucket: usize, entry: ShortHash) {
        let sum = &mut self.sums[bucket % BUCKETS];
        *sum = sum.wrapping_add(entry.as_u64());
    }

    /// Removes an entry's hash from a bucket.
    pub fn remove(&mut self, bucket: usize, entry: ShortHash) {
        let sum = &mut self.sums[bucket % BUCKETS];
        *sum = sum.wrapping_sub(entry.as_u64());
    }

    /// One hash over all sums.
    pub fn root(&self) -> ShortHash {
        let bytes: Vec<u8> = self.sums.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        ShortHash::of(&[&bytes])
    }

    /// The sums as they are sent.
    pub fn to_wire(&self) -> Vec<BucketSum> {
        self.sums
            .iter()
            .map(|sum| std::array::from_fn(|i| sum.to_le_bytes()[i]))
            .collect()
    }

    /// The buckets in which another member's sums differ from ours; `None` if there aren't [`BUCKETS`] sums.
    pub fn differing(&self, theirs: &[BucketSum]) -> Option<BucketSet> {
        if theirs.len() != BUCKETS {
            return None;
        }
        let mut differing = BucketSet::default();
        for (bucket, (our_sum, their_sum)) in self.to_wire().iter().zip(theirs).enumerate() {
            if our_sum != their_sum {
                differing.insert(bucket);
            }
        }
        Some(differing)
    }
}
