//! The format of packets. Each packet is authenticated with the fleet's key, has its time of sending, and is accepted once
//! (`replay.rs`).
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `CM` |
//! | 1 | format, 2 |
//! | 8 | time of sending, milliseconds since 1970, little-endian |
//! | 8 | packet number, one more with each packet of a process, little-endian |
//! | 1 | kind: 0 SWIM, 1 a request for learned state, 2 its reply, 3 anti-entropy |
//! | n | the message |
//! | 16 | the first half of the BLAKE3 keyed hash of all bytes before |

/// The fleet's key: a process that has it is a member.
pub type Key = [u8; 32];

/// Grows with each change of the packets' contents; members ignore packets of other formats.
pub const FORMAT: u8 = 2;
const MAGIC: [u8; 3] = [b'C', b'M', FORMAT];
const SENT_AT: usize = MAGIC.len();
const NUMBER_AT: usize = SENT_AT + size_of::<u64>();
const KIND_AT: usize = NUMBER_AT + size_of::<u64>();
const HEADER_BYTES: usize = KIND_AT + 1;
const TAG_BYTES: usize = 16;
/// Bytes of a packet: no network in use fragments it (RFC 8085, section 3.2).
pub const MAX_PACKET: usize = 1400;
/// Bytes that sealing adds to a message.
pub const OVERHEAD: usize = HEADER_BYTES + TAG_BYTES;
/// Bytes of a message, so that it fits into a packet.
pub(crate) const MAX_MESSAGE: usize = MAX_PACKET - OVERHEAD;

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// Shorter than the frame of a packet.
    #[error("too short for a packet of the fleet")]
    Short,
    /// It doesn't begin like a packet of the fleet.
    #[error("not a packet of the fleet")]
    Foreign,
    /// Its authentication tag is wrong.
    #[error("authenticated with another key, or changed on its way")]
    WrongKey,
    /// Its time of sending differs too much from our clock.
    #[error("sent too long ago, or by a clock that differs too much")]
    Old,
    /// A packet of this number was accepted before, or the number is too old to know.
    #[error("accepted before")]
    Replayed,
    /// A packet of a later incarnation of its sender was accepted before.
    #[error("of an earlier incarnation of its sender")]
    EarlierIncarnation,
    /// It has another [`FORMAT`].
    #[error("of another format, so of a member of another version")]
    OtherVersion,
    /// Longer than [`MAX_PACKET`].
    #[error("longer than any packet of the fleet")]
    TooLong,
    /// It would exceed the bound on known members.
    #[error("of more members than the member table may hold")]
    TooMany,
    /// Authentic, but its message can't be decoded or has invalid values.
    #[error("authentic, but not readable: a member of another version?")]
    Unreadable,
}

impl DropReason {
    /// The reason's name in counters and logs.
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

/// The kind of a packet's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A message of SWIM, encoded by `foca`.
    Swim = 0,
    /// A request for learned state of destinations.
    LearnedRequest = 1,
    /// A piece of learned state.
    LearnedReply = 2,
    /// A message of [`crate::anti_entropy`].
    AntiEntropy = 3,
}

impl Kind {
    fn from_byte(byte: u8) -> Option<Kind> {
        match byte {
            0 => Some(Kind::Swim),
            1 => Some(Kind::LearnedRequest),
            2 => Some(Kind::LearnedReply),
            3 => Some(Kind::AntiEntropy),
            _ => None,
        }
    }
}

/// An opened packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The packet's number.
    pub number: u64,
    /// The kind of its message.
    pub kind: Kind,
    /// The encoded message.
    pub message: &'a [u8],
}

fn authentication_tag(key: &Key, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, bytes);
    std::array::from_fn(|i| hash.as_bytes()[i])
}

/// Encodes and authenticates a packet; `sent_ms` is in milliseconds since 1970.
pub fn seal(key: &Key, sent_ms: u64, number: u64, kind: Kind, message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.len() + OVERHEAD);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&sent_ms.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.push(kind as u8);
    bytes.extend_from_slice(message);
    let tag = authentication_tag(key, &bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Authenticates and decodes a packet. Its time of sending may differ from `now_ms` by `max_age_ms` in either direction.
pub fn open<'a>(
    key: &Key,
    now_ms: u64,
    max_age_ms: u64,
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
    let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    if !is_same_tag(tag, &authentication_tag(key, signed)) {
        return Err(DropReason::WrongKey);
    }
    if read_u64(signed, SENT_AT).abs_diff(now_ms) > max_age_ms {
        return Err(DropReason::Old);
    }
    let kind = Kind::from_byte(signed[KIND_AT]).ok_or(DropReason::Unreadable)?;
    Ok(Opened {
        number: read_u64(signed, NUMBER_AT),
        kind,
        message: &signed[HEADER_BYTES..],
    })
}

/// Compares tags in constant time, as BLAKE3 hashes are.
fn is_same_tag(theirs: &[u8], ours: &[u8; TAG_BYTES]) -> bool {
    let as_hash = |tag: &[u8]| {
        let mut bytes = [0; 32];
        bytes[..TAG_BYTES].copy_from_slice(tag);
        blake3::Hash::from_bytes(bytes)
    };
    as_hash(theirs) == as_hash(ours)
}

fn read_u64(bytes: &[u8], position: usize) -> u64 {
    u64::from_le_bytes(std::array::from_fn(|i| bytes[position + i]))
}
