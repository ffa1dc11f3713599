//! Packets as they travel. Each is signed under the fleet's key, says when it was sent, and is accepted once.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2 | `CM` |
//! | 1 | format, 2 |
//! | 8 | sent at, milliseconds since 1970, little-endian |
//! | 8 | number, one more with each packet of a process, little-endian |
//! | 1 | kind: 0 SWIM, 1 a request for what is learned, 2 its reply, 3 an exchange of state |
//! | n | the message |
//! | 16 | the first half of the BLAKE3 keyed hash of all that stands before |

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Key;

/// Grows with each change of what packets say; members of different formats don't hear each other.
pub const FORMAT: u8 = 2;
const MAGIC: [u8; 3] = [b'C', b'M', FORMAT];
const HEADER_BYTES: usize = MAGIC.len() + 17;
const TAG: usize = 16;
/// Bytes of a packet, at most: no network in use splits it (RFC 8085, section 3.2).
pub const MAX_PACKET: usize = 1400;
/// What sealing adds to a message.
pub const OVERHEAD: usize = HEADER_BYTES + TAG;
/// Numbers below the highest seen of which it is known whether they came (as in RFC 6347, section 4.1.2.6).
const REPLAY_WINDOW: u64 = 64;
/// Senders whose numbers are kept, at most.
const MAX_MEMBERS: usize = 4096;

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    #[error("too short for a packet of the fleet")]
    Short,
    #[error("not a packet of the fleet")]
    Foreign,
    #[error("signed under another key, or changed on its way")]
    WrongKey,
    #[error("sent too long ago, or by a clock that differs too much")]
    Old,
    #[error("accepted before")]
    Replayed,
    #[error("of an earlier generation of its sender")]
    EarlierIncarnation,
    #[error("of another format, so of a member of another version")]
    OtherVersion,
    #[error("longer than any packet of the fleet")]
    TooLong,
    #[error("of more members than are kept")]
    TooMany,
    #[error("signed well, but not readable: a member of another version?")]
    Unreadable,
}

impl DropReason {
    /// Its label in counters and logs.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::Short => "short",
            DropReason::Foreign => "foreign",
            DropReason::WrongKey => "wrong-key",
            DropReason::Old => "old",
            DropReason::Replayed => "replayed",
            DropReason::EarlierIncarnation => "earlier-life",
            DropReason::OtherVersion => "other-version",
            DropReason::TooLong => "too-long",
            DropReason::TooMany => "too-many",
            DropReason::Unreadable => "unreadable",
        }
    }
}

/// What a packet is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Swim,
    /// Asks a member for what it has learned of destinations.
    LearnedRequest,
    /// Tells it.
    LearnedReply,
    /// Part of an exchange of state ([`crate::anti_entropy`]).
    AntiEntropy,
}

impl Kind {
    fn of(byte: u8) -> Option<Kind> {
        [
            Kind::Swim,
            Kind::LearnedRequest,
            Kind::LearnedReply,
            Kind::AntiEntropy,
        ]
        .into_iter()
        .find(|k| *k as u8 == byte)
    }
}

/// An opened packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    pub number: u64,
    pub kind: Kind,
    pub message: &'a [u8],
}

fn tag(key: &Key, bytes: &[u8]) -> [u8; TAG] {
    let hash = blake3::keyed_hash(key, bytes);
    std::array::from_fn(|i| hash.as_bytes()[i])
}

/// Signs a message.
pub fn seal(key: &Key, sent_ms: u64, number: u64, kind: Kind, message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.len() + OVERHEAD);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&sent_ms.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.push(kind as u8);
    bytes.extend_from_slice(message);
    let tag = tag(key, &bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Checks a packet; `late_ms` is how far its time of sending may lie from `now_ms`, in either direction.
pub fn open<'a>(
    key: &Key,
    now_ms: u64,
    late_ms: u64,
    bytes: &'a [u8],
) -> Result<Opened<'a>, DropReason> {
    if bytes.len() < OVERHEAD {
        return Err(DropReason::Short);
    }
    if bytes[..2] != MAGIC[..2] {
        return Err(DropReason::Foreign);
    }
    if bytes[2] != FORMAT {
        return Err(DropReason::OtherVersion);
    }
    let (signed, theirs) = bytes.split_at(bytes.len() - TAG);
    // Compared as hashes, which takes the same time wherever they differ.
    let mut full = [0; 32];
    full[..TAG].copy_from_slice(theirs);
    let mut ours = [0; 32];
    ours[..TAG].copy_from_slice(&tag(key, signed));
    if blake3::Hash::from_bytes(full) != blake3::Hash::from_bytes(ours) {
        return Err(DropReason::WrongKey);
    }
    let number = |at: usize| u64::from_le_bytes(std::array::from_fn(|i| signed[at + i]));
    if number(MAGIC.len()).abs_diff(now_ms) > late_ms {
        return Err(DropReason::Old);
    }
    let kind = Kind::of(signed[HEADER_BYTES - 1]).ok_or(DropReason::Unreadable)?;
    Ok(Opened {
        number: number(MAGIC.len() + 8),
        kind,
        message: &signed[HEADER_BYTES..],
    })
}

#[derive(Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    /// Bit k: the number `highest - k` has come.
    came: u64,
}

/// Which packets have been accepted, by their senders' addresses.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    windows: BTreeMap<SocketAddr, Window>,
}

impl ReplayFilter {
    /// Accepts a packet, once.
    pub fn accept(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        number: u64,
    ) -> Result<(), DropReason> {
        // Addresses are bounded by who has the key; this bounds them all the same.
        if !self.windows.contains_key(&from) && self.windows.len() >= MAX_MEMBERS {
            self.windows.pop_first();
        }
        let fresh = Window {
            incarnation,
            highest: number,
            came: 0,
        };
        let window = self.windows.entry(from).or_insert(fresh);
        if incarnation < window.incarnation {
            return Err(DropReason::EarlierIncarnation);
        }
        if incarnation > window.incarnation {
            *window = Window {
                incarnation,
                highest: number,
                came: 0,
            };
        }
        if number > window.highest {
            let ahead = number - window.highest;
            window.came = if ahead < REPLAY_WINDOW {
                window.came << ahead
            } else {
                0
            };
            window.highest = number;
        }
        let behind = window.highest - number;
        if behind >= REPLAY_WINDOW || window.came & (1 << behind) != 0 {
            return Err(DropReason::Replayed);
        }
        window.came |= 1 << behind;
        Ok(())
    }
}
