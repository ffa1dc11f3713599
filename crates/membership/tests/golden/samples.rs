//! Sample messages, one of each kind, as values.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cranehill_membership::anti_entropy::{
    Entries, Message as AntiEntropyMessage, VoteEntry, WantedBuckets,
};
use cranehill_membership::digest::{BUCKETS, BucketSet, ShortHash, identity_hash};
use cranehill_membership::down_sets::{DownSets, SetPage};
use cranehill_membership::member_entry::MemberEntry;
use cranehill_membership::{Identity, Key, seal};
use foca::{Header, Member, Message, State};

use super::message::{BroadcastVote, Content};

pub(crate) const KEY: Key = [7; 32];
/// The time of sending of all samples, in milliseconds since 1970.
pub(crate) const SENT_MS: u64 = 1_700_000_001_000;
/// The incarnation of the members in the samples, except the IPv6 one.
const INCARNATION: u64 = 1_700_000_000_000;
const FIRST_PORT: u16 = 7000;

pub(crate) fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + member as u16))
}

pub(crate) fn member_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

pub(crate) fn identity(member: usize) -> Identity {
    Identity {
        address: address(member),
        incarnation: INCARNATION,
        name: format!("n{member}"),
    }
}

/// An identity with an IPv6 address, the maximum port and incarnation, and a name that isn't ASCII.
pub(crate) fn identity_v6() -> Identity {
    let at = "[2001:db8::7]:65535".parse().expect("an address");
    Identity {
        address: at,
        incarnation: u64::MAX,
        name: "Kranichhügel".to_owned(),
    }
}

pub(crate) fn hash(member: usize) -> ShortHash {
    identity_hash(&identity(member))
}

/// The set of down members that the samples refer to: n3 and the IPv6 member.
pub(crate) fn down_set() -> BTreeSet<ShortHash> {
    BTreeSet::from([hash(3), identity_hash(&identity_v6())])
}

fn swim(message: Message<Identity>) -> Content {
    let header = Header {
        src: identity(1),
        src_incarnation: 2,
        dst: identity(0),
        message,
    };
    Content::Swim {
        header,
        updates: Vec::new(),
        votes: Vec::new(),
    }
}

fn swim_with(
    message: Message<Identity>,
    updates: Vec<Member<Identity>>,
    votes: Vec<BroadcastVote>,
) -> Content {
    let header = Header {
        src: identity(1),
        src_incarnation: 300,
        dst: identity(0),
        message,
    };
    Content::Swim {
        header,
        updates,
        votes,
    }
}

fn updates() -> Vec<Member<Identity>> {
    vec![
        Member::new(identity(2), 1, State::Alive),
        Member::new(identity(3), 0, State::Suspect),
        Member::new(identity_v6(), u16::MAX, State::Down),
    ]
}

fn vote(voter: usize) -> BroadcastVote {
    let payload = format!("payload of n{voter}").into_bytes();
    BroadcastVote {
        voter: hash(voter),
        number: 1,
        leaves: false,
        down: None,
        payload,
    }
}

fn votes() -> Vec<BroadcastVote> {
    let down = Some(DownSets::hash_of(&down_set()));
    vec![
        BroadcastVote {
            number: 300,
            down,
            ..vote(1)
        },
        vote(2),
    ]
}

fn leaving_vote() -> BroadcastVote {
    BroadcastVote {
        number: 9,
        leaves: true,
        payload: Vec::new(),
        ..vote(1)
    }
}

fn swim_samples() -> Vec<(&'static str, Content)> {
    let (other, probe_number) = (identity(2), 200);
    let leave = vec![Member::new(identity(1), 0, State::Down)];
    vec![
        ("swim-ping", swim(Message::Ping(1))),
        ("swim-ack", swim(Message::Ack(255))),
        (
            "swim-ping-request",
            swim(Message::PingReq {
                target: other.clone(),
                probe_number,
            }),
        ),
        (
            "swim-indirect-ping",
            swim(Message::IndirectPing {
                origin: other.clone(),
                probe_number,
            }),
        ),
        (
            "swim-indirect-ack",
            swim(Message::IndirectAck {
                target: other.clone(),
                probe_number,
            }),
        ),
        (
            "swim-forwarded-ack",
            swim(Message::ForwardedAck {
                origin: other,
                probe_number,
            }),
        ),
        ("swim-announce", swim(Message::Announce)),
        ("swim-feed", swim_with(Message::Feed, updates(), Vec::new())),
        (
            "swim-gossip",
            swim_with(Message::Gossip, updates(), votes()),
        ),
        (
            "swim-gossip of a leave",
            swim_with(Message::Gossip, leave, vec![leaving_vote()]),
        ),
        (
            "swim-broadcast",
            swim_with(Message::Broadcast, Vec::new(), votes()),
        ),
        ("swim-turn-undead", swim(Message::TurnUndead)),
    ]
}

/// Entries of members in each state, and of a vote with and one without a set of down members.
pub(crate) fn entries() -> Entries {
    let member_entry = |member, swim_incarnation, state, down_seconds| MemberEntry {
        member,
        swim_incarnation,
        state,
        down_seconds,
    };
    let vote = |voter, number, leaves, set, payload: &[u8]| VoteEntry {
        voter: hash(voter),
        number,
        leaves,
        set,
        payload: payload.to_vec(),
    };
    Entries {
        members: vec![
            member_entry(identity(1), 300, 0, 0),
            member_entry(identity(2), 0, 1, 0),
            member_entry(identity(3), 0, 2, 30),
            member_entry(identity_v6(), u16::MAX, 2, u16::MAX),
        ],
        votes: vec![
            vote(1, 5, false, 1, b"payload of n1"),
            vote(2, u32::MAX, true, 0, b""),
        ],
        sets: vec![DownSets::hash_of(&down_set())],
        wanted: WantedBuckets {
            members: BucketSet::from_bits(1),
            votes: BucketSet::from_bits(u64::MAX),
        },
    }
}

fn anti_entropy_messages() -> Vec<AntiEntropyMessage> {
    let set = DownSets::hash_of(&down_set());
    let sums = |first: u8| {
        (0..BUCKETS as u8)
            .map(|bucket| [first, bucket, 0, 255])
            .collect()
    };
    vec![
        AntiEntropyMessage::Compare {
            members: hash(1),
            votes: hash(2),
        },
        AntiEntropyMessage::Differs {
            members: sums(1),
            votes: sums(2),
        },
        AntiEntropyMessage::Entries(entries()),
        AntiEntropyMessage::WantSet { set, offset: 128 },
        AntiEntropyMessage::SetPage(SetPage {
            set,
            total: 2,
            offset: 0,
            members: down_set().into_iter().collect(),
        }),
    ]
}

/// All samples with their names. They are sent by n1 to n0.
pub(crate) fn all() -> Vec<(&'static str, Content)> {
    let (from, to) = (identity(1), address(0));
    let anti_entropy = |message| Content::AntiEntropy {
        from: from.clone(),
        to,
        message,
    };
    let mut samples = swim_samples();
    samples.push((
        "learned-request",
        Content::LearnedRequest {
            from: from.clone(),
            to,
        },
    ));
    let piece = b"a piece of learned state".to_vec();
    samples.push((
        "learned-reply",
        Content::LearnedReply {
            from: from.clone(),
            to,
            piece,
        },
    ));
    samples.extend(
        anti_entropy_messages()
            .into_iter()
            .map(anti_entropy)
            .map(|content| (content.name(), content)),
    );
    samples
}

/// The packet number of a sample, by its index. It takes three bytes, so that an error in byte order is detected.
pub(crate) fn packet_number(index: usize) -> u64 {
    0x1_0000 + index as u64
}

pub(crate) fn sealed(index: usize, content: &Content) -> Vec<u8> {
    seal::seal(
        &KEY,
        SENT_MS,
        packet_number(index),
        content.kind(),
        &content.encode(),
    )
}
