//! Compares the packets of this crate byte for byte with recorded ones, since members of different versions must be able to decode
//! each other's packets.
//!
//! `golden/messages.txt` has one encoded message of each kind, `golden/packets.txt` the same messages as sealed packets, and
//! `golden/hashes.txt` the hashes and digests that messages contain. `golden/trace.txt` has every packet of a small fleet in
//! virtual time, `golden/events.txt` the events that its members reported. No test writes these files. Changed bytes require a new
//! [`seal::FORMAT`]; a changed trace is also right after a change of behaviour that keeps all encodings.
//!
//! Sealing uses no randomness: its inputs are the key, the time of sending and the packet number, all fixed in these tests. SWIM's
//! broadcast message is encoded, decoded and received in these tests, but the crate never sends it, so it isn't in the trace.

#[path = "golden/fixture.rs"]
mod fixture;
#[path = "golden/message.rs"]
mod message;
#[path = "golden/reactions.rs"]
mod reactions;
#[path = "golden/samples.rs"]
mod samples;
#[path = "golden/trace.rs"]
mod trace;

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_membership::digest::{Digest, ShortHash, identity_hash};
use cranehill_membership::down_sets::DownSets;
use cranehill_membership::member_table::MemberTable;
use cranehill_membership::vote::{Vote, Votes};
use cranehill_membership::{
    DropReason, Identity, Input, Key, MemberState, MemberView, Members, anti_entropy, seal,
};
use cranehill_scheduler::Time;
use fixture::{Entry, assert_matches_file, assert_matches_text, bytes_of, load};
use message::Content;
use reactions::REACTIONS;
use samples::{KEY, SENT_MS, identity, identity_v6};
use trace::{START, content_of, describe, settings, views_of};

const MESSAGES: &str = "messages.txt";
const PACKETS: &str = "packets.txt";
const HASHES: &str = "hashes.txt";
const TRACE: &str = "trace.txt";
const EVENTS: &str = "events.txt";
/// The maximum difference, in milliseconds, between a packet's time of sending and the time at which these tests open it.
const MAX_AGE_MS: u64 = 5_000;

fn identities() -> [(&'static str, Identity); 3] {
    let unknown = Identity::unknown(samples::address(1));
    [
        ("identity-v4", identity(1)),
        ("identity-v6", identity_v6()),
        ("identity-unknown", unknown),
    ]
}

#[test]
fn messages_encode_to_golden_bytes() {
    let encode =
        |(name, identity)| Entry::new(name, postcard::to_stdvec(&identity).expect("an identity"));
    let mut messages: Vec<Entry> = identities().into_iter().map(encode).collect();
    messages.extend(
        samples::all()
            .iter()
            .map(|(name, content)| Entry::new(*name, content.encode())),
    );
    assert_matches_file(MESSAGES, &messages);
}

#[test]
fn golden_messages_decode_to_known_values() {
    let golden = load(MESSAGES);
    for (name, expected) in identities() {
        let decoded: Identity =
            postcard::from_bytes(&bytes_of(&golden, name)).expect("an identity");
        assert_eq!(decoded, expected, "{name}");
    }
    for (name, expected) in samples::all() {
        assert_eq!(
            Content::decode(expected.kind(), &bytes_of(&golden, name)),
            expected,
            "{name}"
        );
    }
}

#[test]
fn packets_seal_to_golden_bytes() {
    let samples = samples::all();
    let seal = |(index, (name, content)): (usize, &(&str, Content))| {
        Entry::new(*name, samples::sealed(index, content))
    };
    let packets: Vec<Entry> = samples.iter().enumerate().map(seal).collect();
    assert_matches_file(PACKETS, &packets);
}

#[test]
fn golden_packets_open_under_the_fleet_key_only() {
    const OTHER_KEY: Key = [8; 32];
    let golden = load(PACKETS);
    for (index, (name, expected)) in samples::all().into_iter().enumerate() {
        let bytes = bytes_of(&golden, name);
        let opened = seal::open(&KEY, SENT_MS + MAX_AGE_MS, MAX_AGE_MS, &bytes).expect(name);
        assert_eq!(opened.number, samples::packet_number(index), "{name}");
        assert_eq!(opened.kind, expected.kind(), "{name}");
        assert_eq!(
            Content::decode(opened.kind, opened.message),
            expected,
            "{name}"
        );
        let open = |key, now| seal::open(key, now, MAX_AGE_MS, &bytes).map(|opened| opened.number);
        assert_eq!(
            open(&OTHER_KEY, SENT_MS),
            Err(DropReason::WrongKey),
            "{name}"
        );
        assert_eq!(
            open(&KEY, SENT_MS + MAX_AGE_MS + 1),
            Err(DropReason::TimeOutOfRange),
            "{name}"
        );
        assert_eq!(
            open(&KEY, SENT_MS - MAX_AGE_MS - 1),
            Err(DropReason::TimeOutOfRange),
            "{name}"
        );
    }
}

/// The packets and events of n0 after one received packet, then its views. It knows no other member before.
fn reaction(packet: Vec<u8>) -> Vec<String> {
    let mut member = Members::new(settings(0), 1, START);
    let effects = member.step(Time(SENT_MS * 1_000_000), Input::PacketReceived(packet));
    let mut lines: Vec<String> = effects.iter().filter_map(describe).collect();
    lines.extend(views_of(&member));
    lines
}

#[test]
fn member_reacts_to_golden_packets() {
    let golden = load(PACKETS);
    for (name, expected) in REACTIONS {
        assert_eq!(reaction(bytes_of(&golden, name)), expected, "{name}");
    }
}

#[test]
fn every_golden_packet_has_an_expected_reaction() {
    let with_reaction: Vec<&str> = REACTIONS.iter().map(|(name, _)| *name).collect();
    let recorded: Vec<String> = load(PACKETS).into_iter().map(|entry| entry.name).collect();
    assert_eq!(with_reaction, recorded);
}

/// The digest over members in different states, and the digest over votes of different forms.
fn digests() -> [(&'static str, Digest); 2] {
    let (mut table, mut votes) = (MemberTable::default(), Votes::default());
    let members = [
        (identity(1), MemberState::Alive),
        (identity(2), MemberState::Suspect),
        (identity_v6(), MemberState::Down),
    ];
    for (index, (member, state)) in members.into_iter().enumerate() {
        let view = MemberView {
            member,
            swim_incarnation: index as u16,
            state,
            since: START,
        };
        table.update(START, view, Duration::from_secs(index as u64));
    }
    let down = Some(DownSets::hash_of(&samples::down_set()));
    votes.insert(
        samples::hash(1),
        Vote {
            number: 300,
            leaves: false,
            down,
            payload: b"payload".to_vec(),
        },
    );
    votes.insert(
        samples::hash(2),
        Vote {
            number: 1,
            leaves: true,
            down: None,
            payload: Vec::new(),
        },
    );
    [
        ("members", table.digest().clone()),
        ("votes", votes.digest().clone()),
    ]
}

#[test]
fn hashes_and_digests_match_golden_bytes() {
    let bytes_of_hash = |hash: ShortHash| postcard::to_stdvec(&hash).expect("a hash");
    let hash = |(name, identity)| {
        Entry::new(
            format!("hash {name}"),
            bytes_of_hash(identity_hash(&identity)),
        )
    };
    let mut entries: Vec<Entry> = identities().into_iter().map(hash).collect();
    entries.push(Entry::new(
        "hash down-set",
        bytes_of_hash(DownSets::hash_of(&samples::down_set())),
    ));
    for (name, digest) in digests() {
        entries.push(Entry::new(
            format!("digest-root {name}"),
            bytes_of_hash(digest.root()),
        ));
        entries.push(Entry::new(
            format!("digest-sums {name}"),
            digest.to_wire().concat(),
        ));
    }
    assert_matches_file(HASHES, &entries);
}

#[test]
fn fleet_sends_the_golden_trace() {
    assert_matches_file(TRACE, &trace::run_trace().packets);
}

#[test]
fn fleet_reports_the_golden_events() {
    let fleet = trace::run_trace();
    assert_matches_text(EVENTS, &fleet.events);
    let n0_expected = [
        "n1 127.0.0.1:7001 1700000000001 alive 0 [payload of n1]",
        "n2 127.0.0.1:7002 1700000000001 left 0 []",
        "n3 127.0.0.1:7003 1700000000001 alive 0 []",
    ];
    assert_eq!(views_of(fleet.member(0)), n0_expected);
    let n3_expected = [
        "n0 127.0.0.1:7000 1700000000001 alive 0 [payload of n0]",
        "n1 127.0.0.1:7001 1700000000001 alive 0 [payload of n1]",
        "n2 127.0.0.1:7002 1700000000001 left 0 []",
    ];
    assert_eq!(views_of(fleet.member(3)), n3_expected);
}

#[test]
fn golden_trace_has_every_kind_that_is_sent() {
    let sent: BTreeSet<&str> = load(TRACE)
        .iter()
        .map(|entry| content_of(&entry.bytes).name())
        .collect();
    let mut kinds: BTreeSet<&str> = samples::all()
        .iter()
        .map(|(_, content)| content.name())
        .collect();
    assert!(kinds.remove("swim-broadcast"), "the crate doesn't send it");
    assert_eq!(sent, kinds);
}

/// Which fields of a vote are set.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VoteForm {
    leaves: bool,
    has_down_set: bool,
    has_payload: bool,
}

const PAYLOAD: VoteForm = VoteForm {
    leaves: false,
    has_down_set: false,
    has_payload: true,
};
const DOWN_SET: VoteForm = VoteForm {
    leaves: false,
    has_down_set: true,
    has_payload: false,
};
const DOWN_SET_AND_PAYLOAD: VoteForm = VoteForm {
    has_payload: true,
    ..DOWN_SET
};
const LEAVE: VoteForm = VoteForm {
    leaves: true,
    ..DOWN_SET
};

/// Guards against a golden trace without some form of vote. Changes of a payload and leaves are broadcast; votes on down members
/// are sent by anti-entropy only, which never sends a payload that all members have by broadcast.
#[test]
fn golden_trace_has_every_form_of_vote() {
    let (mut broadcast, mut by_anti_entropy) = (BTreeSet::new(), BTreeSet::new());
    for entry in load(TRACE) {
        match content_of(&entry.bytes) {
            Content::Swim { votes, .. } => broadcast.extend(votes.iter().map(|vote| VoteForm {
                leaves: vote.leaves,
                has_down_set: vote.down.is_some(),
                has_payload: !vote.payload.is_empty(),
            })),
            Content::AntiEntropy {
                message: anti_entropy::Message::Entries(entries),
                ..
            } => {
                by_anti_entropy.extend(entries.votes.iter().map(|vote| VoteForm {
                    leaves: vote.leaves,
                    has_down_set: vote.set != 0,
                    has_payload: !vote.payload.is_empty(),
                }));
            }
            _ => {}
        }
    }
    assert_eq!(
        broadcast,
        BTreeSet::from([PAYLOAD, DOWN_SET_AND_PAYLOAD, LEAVE])
    );
    assert_eq!(
        by_anti_entropy,
        BTreeSet::from([DOWN_SET, DOWN_SET_AND_PAYLOAD, LEAVE])
    );
}
