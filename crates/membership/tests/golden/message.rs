//! Decoded messages, with their encoding written independently of the crate's own.

use std::net::SocketAddr;

use cranehill_membership::digest::ShortHash;
use cranehill_membership::seal::MessageKind;
use cranehill_membership::{Identity, anti_entropy};
use foca::{Header, Member, Message};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A vote as encoded in SWIM's broadcasts. The crate's own type for it is private.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BroadcastVote {
    pub(crate) voter: ShortHash,
    pub(crate) number: u32,
    pub(crate) leaves: bool,
    pub(crate) down: Option<ShortHash>,
    pub(crate) payload: Vec<u8>,
}

/// The decoded message of a packet, by kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Content {
    Swim {
        header: Header<Identity>,
        updates: Vec<Member<Identity>>,
        votes: Vec<BroadcastVote>,
    },
    LearnedRequest {
        from: Identity,
        to: SocketAddr,
    },
    LearnedReply {
        from: Identity,
        to: SocketAddr,
        piece: Vec<u8>,
    },
    AntiEntropy {
        from: Identity,
        to: SocketAddr,
        message: anti_entropy::Message,
    },
}

fn to_postcard<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("a value in memory can be encoded")
}

fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> (T, &[u8]) {
    postcard::take_from_bytes(bytes).expect("golden bytes can be decoded")
}

fn has_updates(message: &Message<Identity>) -> bool {
    !matches!(
        message,
        Message::Announce | Message::TurnUndead | Message::Broadcast
    )
}

fn split_length(bytes: &[u8]) -> (usize, &[u8]) {
    let (length, rest) = bytes
        .split_first_chunk::<2>()
        .expect("a length has two bytes");
    (usize::from(u16::from_be_bytes(*length)), rest)
}

impl Content {
    pub(crate) fn kind(&self) -> MessageKind {
        match self {
            Content::Swim { .. } => MessageKind::Swim,
            Content::LearnedRequest { .. } => MessageKind::LearnedRequest,
            Content::LearnedReply { .. } => MessageKind::LearnedReply,
            Content::AntiEntropy { .. } => MessageKind::AntiEntropy,
        }
    }

    /// The message's name in the golden files. It must not change when types are renamed.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Content::Swim { header, .. } => swim_name(&header.message),
            Content::LearnedRequest { .. } => "learned-request",
            Content::LearnedReply { .. } => "learned-reply",
            Content::AntiEntropy { message, .. } => anti_entropy_name(message),
        }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        match self {
            Content::Swim {
                header,
                updates,
                votes,
            } => encode_swim(header, updates, votes),
            Content::LearnedRequest { from, to } => to_postcard(&(from, to)),
            Content::LearnedReply { from, to, piece } => {
                [to_postcard(&(from, to)), piece.clone()].concat()
            }
            Content::AntiEntropy { from, to, message } => {
                [to_postcard(&(from, to)), to_postcard(message)].concat()
            }
        }
    }

    pub(crate) fn decode(kind: MessageKind, bytes: &[u8]) -> Content {
        if kind == MessageKind::Swim {
            return decode_swim(bytes);
        }
        let ((from, to), body) = from_postcard::<(Identity, SocketAddr)>(bytes);
        match kind {
            MessageKind::LearnedRequest => Content::LearnedRequest { from, to },
            MessageKind::LearnedReply => Content::LearnedReply {
                from,
                to,
                piece: body.to_vec(),
            },
            _ => {
                let (message, rest) = from_postcard(body);
                assert!(
                    rest.is_empty(),
                    "an anti-entropy message ends with its packet"
                );
                Content::AntiEntropy { from, to, message }
            }
        }
    }
}

fn swim_name(message: &Message<Identity>) -> &'static str {
    match message {
        Message::Ping(_) => "swim-ping",
        Message::Ack(_) => "swim-ack",
        Message::PingReq { .. } => "swim-ping-request",
        Message::IndirectPing { .. } => "swim-indirect-ping",
        Message::IndirectAck { .. } => "swim-indirect-ack",
        Message::ForwardedAck { .. } => "swim-forwarded-ack",
        Message::Announce => "swim-announce",
        Message::Feed => "swim-feed",
        Message::Gossip => "swim-gossip",
        Message::Broadcast => "swim-broadcast",
        Message::TurnUndead => "swim-turn-undead",
    }
}

fn anti_entropy_name(message: &anti_entropy::Message) -> &'static str {
    match message {
        anti_entropy::Message::Compare { .. } => "exchange-compare",
        anti_entropy::Message::Differs { .. } => "exchange-differs",
        anti_entropy::Message::Entries(_) => "exchange-entries",
        anti_entropy::Message::WantSet { .. } => "exchange-want-set",
        anti_entropy::Message::SetPage { .. } => "exchange-set-page",
    }
}

fn encode_swim(
    header: &Header<Identity>,
    updates: &[Member<Identity>],
    votes: &[BroadcastVote],
) -> Vec<u8> {
    let mut bytes = to_postcard(header);
    if has_updates(&header.message) {
        bytes.extend((updates.len() as u16).to_be_bytes());
        updates
            .iter()
            .for_each(|member| bytes.extend(to_postcard(member)));
    }
    for vote in votes.iter().map(to_postcard) {
        bytes.extend((vote.len() as u16).to_be_bytes());
        bytes.extend(vote);
    }
    bytes
}

fn decode_swim(bytes: &[u8]) -> Content {
    let (header, mut rest) = from_postcard::<Header<Identity>>(bytes);
    let mut updates = Vec::new();
    if has_updates(&header.message) {
        let (count, mut after) = split_length(rest);
        for _ in 0..count {
            let member;
            (member, after) = from_postcard(after);
            updates.push(member);
        }
        rest = after;
    }
    let mut votes = Vec::new();
    while !rest.is_empty() {
        let (length, after) = split_length(rest);
        let (vote, after_vote) = after.split_at(length);
        let (vote, unread) = from_postcard(vote);
        assert!(unread.is_empty(), "a vote ends with its length");
        votes.push(vote);
        rest = after_vote;
    }
    Content::Swim {
        header,
        updates,
        votes,
    }
}
