//! The packet format. Each packet is authenticated with the fleet's key and contains its time of sending; `replay.rs` accepts
//! each packet number once.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2 | `CM` |
//! | 1 | format version, 2 |
//! | 8 | time of sending, milliseconds since 1970 by Unix time, little-endian |
//! | 8 | packet number, counted up by one for each packet that a process sends, little-endian |
//! | 1 | message kind: 0 SWIM, 1 request for learned state, 2 reply with learned state, 3 anti-entropy |
//! | n | the message |
//! | 16 | the first half of the BLAKE3 keyed hash of all bytes before |

/// The key that authenticates the fleet's packets. Any process that has it can join the fleet.
pub type Key = [u8; 32];

/// The format version; any change to the encoding of packets or messages increments it. Members drop packets of other versions.
pub const FORMAT: u8 = 2;
const MAGIC: [u8; 3] = [b'C', b'M', FORMAT];
const SENT_AT_OFFSET: usize = MAGIC.len();
const NUMBER_OFFSET: usize = SENT_AT_OFFSET + size_of::<u64>();
const KIND_OFFSET: usize = NUMBER_OFFSET + size_of::<u64>();
const HEADER_BYTES: usize = KIND_OFFSET + 1;
const TAG_BYTES: usize = 16;
/// The maximum size of a packet in bytes, below the usual path MTU of 1500 to avoid IP fragmentation (RFC 8085, section 3.2).
pub const MAX_PACKET_BYTES: usize = 1400;
/// Bytes that [`seal`] adds to a message: the header and the authentication tag.
pub const OVERHEAD_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// The maximum size in bytes of the message in a packet.
pub(crate) const MAX_MESSAGE_BYTES: usize = MAX_PACKET_BYTES - OVERHEAD_BYTES;

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DropReason {
    /// Shorter than [`OVERHEAD_BYTES`], the header and tag of a packet.
    #[error("shorter than the {OVERHEAD_BYTES} bytes of a packet's header and tag")]
    TooShort,
    /// The first two bytes aren't `CM`: not a packet of this protocol.
    #[error("not a membership packet: its first two bytes aren't \"CM\"")]
    BadMagic,
    /// The authentication tag is wrong.
    #[error("the authentication tag is wrong: sealed with another key, or altered in transit")]
    WrongKey,
    /// The time of sending differs from this member's clock by more than [`crate::Settings::max_packet_age`].
    #[error("the time of sending is too far from this clock: delayed, replayed, or a wrong clock")]
    TimeOutOfRange,
    /// A packet with this number was accepted already, or the number is below the replay window.
    #[error("replayed: its number was accepted already or is below the replay window")]
    Replayed,
    /// A packet of a later incarnation of the sender was accepted already.
    #[error("from an earlier incarnation of its sender")]
    EarlierIncarnation,
    /// The format version isn't [`FORMAT`].
    #[error("the format version isn't {FORMAT}: from a member of another software version")]
    UnsupportedFormat,
    /// Longer than [`MAX_PACKET_BYTES`] bytes.
    #[error("longer than {MAX_PACKET_BYTES} bytes, the maximum of a packet")]
    TooLong,
    /// The packet would add more members than [`crate::member_table::MAX_MEMBERS`] allows.
    #[error("would exceed the maximum number of members in the member table")]
    TooManyMembers,
    /// Authenticated, but the message can't be decoded or has invalid values.
    #[error(
        "authenticated, but its message can't be decoded or has invalid values: another software version?"
    )]
    Malformed,
}

impl DropReason {
    /// The reason's name in the dropped-packet counters and in logs.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::TooShort => "short",
            DropReason::BadMagic => "foreign",
            DropReason::WrongKey => "wrong-key",
            DropReason::TimeOutOfRange => "old",
            DropReason::Replayed => "replayed",
            DropReason::EarlierIncarnation => "earlier-life",
            DropReason::UnsupportedFormat => "other-version",
            DropReason::TooLong => "too-long",
            DropReason::TooManyMembers => "too-many",
            DropReason::Malformed => "unreadable",
        }
    }
}

/// The kind of a packet's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A SWIM message, encoded by `foca`.
    Swim = 0,
    /// A request for the receiver's learned state of destinations.
    LearnedRequest = 1,
    /// A piece of the sender's learned state of destinations.
    LearnedReply = 2,
    /// A [`crate::anti_entropy::Message`].
    AntiEntropy = 3,
}

impl MessageKind {
    fn from_byte(byte: u8) -> Option<MessageKind> {
        match byte {
            0 => Some(MessageKind::Swim),
            1 => Some(MessageKind::LearnedRequest),
            2 => Some(MessageKind::LearnedReply),
            3 => Some(MessageKind::AntiEntropy),
            _ => None,
        }
    }
}

/// The contents of an authenticated packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedPacket<'a> {
    /// The sender's packet number, for replay protection.
    pub number: u64,
    /// How the message is encoded and handled.
    pub kind: MessageKind,
    /// The message, still encoded.
    pub message: &'a [u8],
}

fn authentication_tag(key: &Key, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, bytes);
    std::array::from_fn(|i| hash.as_bytes()[i])
}

/// Encodes and authenticates a packet. `sent_ms` is the time of sending in milliseconds since 1970; `number` is the sender's
/// packet number.
pub fn seal(key: &Key, sent_ms: u64, number: u64, kind: MessageKind, message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.len() + OVERHEAD_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&sent_ms.to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.push(kind as u8);
    bytes.extend_from_slice(message);
    let tag = authentication_tag(key, &bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Authenticates a packet and decodes its header. Fails if the packet isn't of this format or key, or if its time of sending
/// differs from `now_ms` by more than `max_age_ms` in either direction. Replay protection is up to the caller.
pub fn open<'a>(
    key: &Key,
    now_ms: u64,
    max_age_ms: u64,
    bytes: &'a [u8],
) -> Result<OpenedPacket<'a>, DropReason> {
    if bytes.len() < OVERHEAD_BYTES {
        return Err(DropReason::TooShort);
    }
    if bytes[..2] != MAGIC[..2] {
        return Err(DropReason::BadMagic);
    }
    if bytes[2] != FORMAT {
        return Err(DropReason::UnsupportedFormat);
    }
    let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    if !is_same_tag(tag, &authentication_tag(key, signed)) {
        return Err(DropReason::WrongKey);
    }
    if read_u64(signed, SENT_AT_OFFSET).abs_diff(now_ms) > max_age_ms {
        return Err(DropReason::TimeOutOfRange);
    }
    let kind = MessageKind::from_byte(signed[KIND_OFFSET]).ok_or(DropReason::Malformed)?;
    Ok(OpenedPacket {
        number: read_u64(signed, NUMBER_OFFSET),
        kind,
        message: &signed[HEADER_BYTES..],
    })
}

/// Compares tags in constant time, by means of the constant-time comparison of BLAKE3 hashes.
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
