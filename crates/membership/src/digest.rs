//! Digests: sums of entry hashes by bucket. Two members compare them to find the buckets in which their states differ.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::identity::Identity;

/// The number of buckets of a digest. In a fleet of 490 members, the size that the protocol is designed for, a bucket has about
/// eight entries, so for a single difference few entries must be sent.
pub const BUCKETS: usize = 64;

/// The encoding of a bucket's sum in messages: its low four bytes, little-endian.
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

/// The hash of a member's address and incarnation, which identifies that incarnation in votes, sets of down members and digests.
pub fn identity_hash(member: &Identity) -> ShortHash {
    let address = address_bytes(member.address);
    ShortHash::of(&[&address, &member.incarnation.to_le_bytes()])
}

/// The bucket of an address's entry, the same for all its incarnations.
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

/// A set of bucket numbers, encoded in messages as a 64-bit integer in which bit k is set if bucket k is in the set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSet(u64);

impl BucketSet {
    /// The set that contains bucket k if bit k of `bits` is set.
    pub const fn from_bits(bits: u64) -> BucketSet {
        BucketSet(bits)
    }

    /// Whether a bucket is in the set. `bucket` must be less than [`BUCKETS`].
    pub const fn contains(self, bucket: usize) -> bool {
        self.0 >> bucket & 1 == 1
    }

    /// Whether no bucket is in the set.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Adds a bucket, which must be less than [`BUCKETS`].
    pub const fn insert(&mut self, bucket: usize) {
        self.0 |= 1 << bucket;
    }
}

/// The wrapping sums of the hashes of all entries, by bucket. An entry is added, removed or replaced without visiting the
/// others.
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
    /// Adds an entry's hash to the sum of a bucket.
    pub fn add(&mut self, bucket: usize, entry: ShortHash) {
        let sum = &mut self.sums[bucket % BUCKETS];
        *sum = sum.wrapping_add(entry.as_u64());
    }

    /// Subtracts an entry's hash from the sum of a bucket.
    pub fn remove(&mut self, bucket: usize, entry: ShortHash) {
        let sum = &mut self.sums[bucket % BUCKETS];
        *sum = sum.wrapping_sub(entry.as_u64());
    }

    /// The hash of all sums. Members whose digests have the same root consider their states equal, and don't compare the buckets.
    pub fn root(&self) -> ShortHash {
        let bytes: Vec<u8> = self.sums.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        ShortHash::of(&[&bytes])
    }

    /// The encoding of the sums in messages, by bucket.
    pub fn to_wire(&self) -> Vec<BucketSum> {
        self.sums
            .iter()
            .map(|sum| std::array::from_fn(|i| sum.to_le_bytes()[i]))
            .collect()
    }

    /// The buckets in which another member's sums differ from these; `None` if `theirs` doesn't have [`BUCKETS`] sums.
    pub fn differing_buckets(&self, theirs: &[BucketSum]) -> Option<BucketSet> {
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
