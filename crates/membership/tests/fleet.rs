//! Small simulated fleets in virtual time: member states and quota divisors under crashes, partitions, packet loss and invalid
//! packets.

mod common;

use std::collections::BTreeSet;

use common::{KEY, Network, START, address, secs};
use cranehill_membership::seal::{MessageKind, seal};
use cranehill_membership::{DropReason, Input, MAX_LEARNED_PIECE_BYTES, MemberState};
use cranehill_scheduler::Time;

/// Guards against a crash that some member doesn't detect: 15 s suffice for a probe, the suspicion timeout and gossip.
#[test]
fn crashed_member_is_down_in_every_view() {
    let mut network = Network::new(10, 1);
    network.run(secs(5.0));
    assert!(network.has_converged());
    network.members[3] = None;
    network.run(secs(15.0));
    for by in (0..10).filter(|&by| by != 3) {
        assert_eq!(network.state(3, by), Some(MemberState::Down), "by {by}");
    }
    assert_eq!(network.down_changes(), 9, "nobody else is declared down");
}

/// Guards against a resumed process that declares the others down: during its own pause it received no answers to probes.
#[test]
fn paused_process_rejoins_and_declares_nobody_down() {
    let mut network = Network::new(5, 2);
    network.run(secs(5.0));
    let incarnation = network.members[4]
        .as_ref()
        .expect("the member is running")
        .identity()
        .incarnation;
    network.paused.insert(4);
    network.run(secs(14.0));
    let states: Vec<MemberState> = network
        .changes
        .iter()
        .filter(|change| change.of == 4 && change.by == 0)
        .map(|change| change.state)
        .collect();
    assert_eq!(
        states,
        [MemberState::Alive, MemberState::Suspect, MemberState::Down]
    );
    network.resume(4);
    network.run(secs(12.0));
    assert!(network.has_converged(), "{:?}", network.changes);
    assert!(
        network.members[4]
            .as_ref()
            .expect("the member is running")
            .identity()
            .incarnation
            > incarnation,
        "rejoined with a higher incarnation"
    );
    assert!(
        network
            .changes
            .iter()
            .all(|change| change.state != MemberState::Down || change.of == 4),
        "{:?}",
        network.changes
    );
}

/// Guards against members declared down because of packet loss, and against suspects that aren't notified and so can't refute.
/// Runs 60 seeds for a minute each.
#[test]
fn ten_percent_packet_loss_declares_nobody_down() {
    for seed in 100..160 {
        let mut network = Network::new(5, seed);
        network.run(secs(5.0));
        let incarnations = |network: &Network| -> Vec<u64> {
            network
                .members
                .iter()
                .flatten()
                .map(|member| member.identity().incarnation)
                .collect()
        };
        let before = incarnations(&network);
        network.loss = 0.1;
        network.run(secs(60.0));
        assert_eq!(
            network.down_changes(),
            0,
            "seed {seed}: {:?}",
            network.changes
        );
        assert_eq!(
            incarnations(&network),
            before,
            "seed {seed}: a member that refutes a suspicion keeps its incarnation"
        );
    }
}

/// Guards against exceeded shared limits: before the eviction delay neither side of a partition may divide by fewer senders,
/// and after it the majority side only. After the partition all views converge again.
#[test]
fn only_the_majority_side_of_a_partition_evicts_after_the_eviction_delay() {
    let mut network = Network::new(5, 3);
    network.run(secs(5.0));
    network.split(&[0, 1], &[2, 3, 4]);
    network.run(secs(20.0));
    assert_eq!(
        (0..5).map(|i| network.quota_divisor(i)).collect::<Vec<_>>(),
        [5; 5]
    );
    assert!((2..5).all(|by| network.state(0, by) == Some(MemberState::Down)));
    network.run(secs(40.0));
    assert_eq!(
        (0..5).map(|i| network.quota_divisor(i)).collect::<Vec<_>>(),
        [5, 5, 3, 3, 3]
    );
    network.blocked.clear();
    network.run(secs(15.0));
    assert!(network.has_converged(), "{:?}", network.changes);
    assert_eq!(
        (0..5).map(|i| network.quota_divisor(i)).collect::<Vec<_>>(),
        [5; 5],
        "the evicted members count again once they are back"
    );
}

/// Guards against a majority among the few members that a restarted one knows: with one other on the minority side, it must not
/// evict the three on the majority side.
#[test]
fn member_started_in_a_minority_partition_evicts_nobody() {
    let mut network = Network::new(5, 4);
    network.run(secs(5.0));
    network.split(&[0, 1], &[2, 3, 4]);
    network.members[1] = None;
    network.run(secs(2.0));
    network.start(1, network.now, KEY);
    network.run(secs(90.0));
    assert_eq!((network.quota_divisor(0), network.quota_divisor(1)), (5, 5));
}

/// Guards against a member declared down because one other can't reach it: indirect probes still succeed.
#[test]
fn one_way_partition_of_two_members_declares_nobody_down() {
    let mut network = Network::new(5, 5);
    network.run(secs(5.0));
    network.blocked.insert((1, 2));
    network.run(secs(60.0));
    assert_eq!(network.down_changes(), 0, "{:?}", network.changes);
}

/// Guards against wrong suspicions by a member that can send but not receive: the others would accept them.
#[test]
fn member_that_receives_nothing_declares_nobody_down() {
    let mut network = Network::new(5, 10);
    network.run(secs(5.0));
    network.blocked.extend((0..4).map(|from| (from, 4)));
    network.run(secs(12.0));
    assert!(
        network
            .changes
            .iter()
            .all(|change| change.state != MemberState::Down || change.of == 4),
        "{:?}",
        network.changes
    );
    network.blocked.clear();
    network.run(secs(10.0));
    assert!(network.has_converged(), "{:?}", network.changes);
    // The only running member must still detect that the others have crashed.
    (0..4).for_each(|i| network.members[i] = None);
    network.run(secs(45.0));
    assert!((0..4).all(|of| network.state(of, 4) == Some(MemberState::Down)));
}

#[test]
fn leaving_member_is_reported_as_left_and_evicted_early() {
    let mut network = Network::new(5, 6);
    network.run(secs(5.0));
    network.step(2, Input::Leave);
    network.run(secs(2.0));
    network.members[2] = None;
    for by in [0, 1, 3, 4] {
        assert_eq!(
            (network.state(2, by), network.quota_divisor(by)),
            (Some(MemberState::Left), 5),
            "by {by}"
        );
    }
    network.run(secs(8.0));
    assert!(
        [0, 1, 3, 4]
            .iter()
            .all(|&by| network.quota_divisor(by) == 4)
    );
    network.start(2, network.now, KEY);
    network.run(secs(8.0));
    assert!(network.has_converged() && (0..5).all(|i| network.quota_divisor(i) == 5));
}

/// Guards against a restarted member whose packets are ignored because its incarnation is lower than before: its state folder was
/// lost and its clock set back by a day.
#[test]
fn member_restarted_with_an_older_clock_rejoins() {
    let mut network = Network::new(4, 7);
    network.run(secs(5.0));
    network.members[3] = None;
    network.run(secs(20.0));
    network.start(3, Time(START.0 - 86_400_000_000_000), KEY);
    network.run(secs(20.0));
    assert!(network.has_converged(), "{:?}", network.changes);
}

#[test]
fn members_request_learned_state_from_live_members() {
    let mut network = Network::new(5, 11);
    network.run(secs(5.0));
    network.members[1] = None;
    network.run(secs(15.0));
    network.step(0, Input::RequestLearnedState);
    network.run(secs(0.1));
    let requested: BTreeSet<usize> = network.learned.iter().map(|learned| learned.0).collect();
    assert_eq!(
        requested,
        BTreeSet::from([2, 3, 4]),
        "{:?}",
        network.learned
    );
    network.learned.clear();
    network.step(
        3,
        Input::SendLearnedState {
            to: address(0),
            chunks: vec![vec![1; MAX_LEARNED_PIECE_BYTES], vec![2; 3]],
        },
    );
    network.run(secs(0.1));
    let mut received = network.learned.clone();
    received.sort_by_key(|learned| learned.2.len());
    assert_eq!(
        received,
        [
            (0, address(3), vec![2; 3]),
            (0, address(3), vec![1; MAX_LEARNED_PIECE_BYTES])
        ]
    );
}

/// The newest payload of a member reaches all others under packet loss, and is removed when the member is down.
#[test]
fn payload_reaches_all_members() {
    let mut network = Network::new(10, 12);
    network.run(secs(5.0));
    network.loss = 0.1;
    network.step(3, Input::SetPayload(vec![1]));
    network.step(3, Input::SetPayload(vec![2; 200]));
    network.run(secs(2.0));
    let payload = |network: &Network, by: usize| {
        let payloads = network.members[by]
            .as_ref()
            .expect("the member is running")
            .payloads();
        payloads
            .into_iter()
            .find(|(sender, _)| *sender == address(3))
            .map(|payload| payload.1)
    };
    for by in (0..10).filter(|&by| by != 3) {
        assert_eq!(payload(&network, by), Some(vec![2; 200]), "by {by}");
    }
    network.members[3] = None;
    network.run(secs(20.0));
    assert!(
        (0..10)
            .filter(|&by| by != 3)
            .all(|by| payload(&network, by).is_none())
    );
}

/// Guards against invalid packets that are accepted: replayed, truncated, foreign and outdated ones, and those with another key.
#[test]
fn foreign_damaged_and_replayed_packets_are_dropped() {
    let mut network = Network::new(3, 8);
    network.run(secs(5.0));
    let (to, bytes) = network.last_sent.take().expect("a packet was sent");
    network.run(secs(1.0));
    network.dropped.clear();
    network.step(to, Input::PacketReceived(bytes.clone()));
    network.step(to, Input::PacketReceived(bytes[..bytes.len() - 1].to_vec()));
    network.step(to, Input::PacketReceived(bytes[..10].to_vec()));
    network.step(
        to,
        Input::PacketReceived(b"GET / HTTP/1.1\r\nHost: somewhere.example\r\n\r\n".to_vec()),
    );
    network.run(secs(10.0));
    network.step(to, Input::PacketReceived(bytes));
    let reasons: Vec<DropReason> = network.dropped.iter().map(|dropped| dropped.1).collect();
    assert_eq!(
        reasons,
        [
            DropReason::Replayed,
            DropReason::WrongKey,
            DropReason::TooShort,
            DropReason::BadMagic,
            DropReason::TimeOutOfRange
        ]
    );
    network.start(2, network.now, [8; 32]);
    network.run(secs(20.0));
    assert_eq!(
        (network.state(2, 0), network.state(0, 2)),
        (Some(MemberState::Down), None)
    );
    assert!(network.dropped.contains(&(2, DropReason::WrongKey)));
}

proptest::proptest! {
    /// Guards against packets that make a member panic: arbitrary ones, authenticated or not, some with a valid beginning.
    #[test]
    fn arbitrary_packets_do_not_stop_a_member(message: Vec<u8>, number: u64, valid_len in 0usize..64, kind in 0usize..4, signed: bool) {
        let mut network = Network::new(2, 9);
        network.run(secs(2.0));
        let sent = network.last_sent.take().map(|(_, bytes)| bytes).unwrap_or_default();
        // With the beginning of a valid message, more of the decoding is reached than with arbitrary bytes only.
        let mut packet_body = sent[20..sent.len().min(20 + valid_len)].to_vec();
        packet_body.extend(message);
        let now = network.now.0 / 1_000_000;
        let kind = [MessageKind::Swim, MessageKind::LearnedRequest, MessageKind::LearnedReply, MessageKind::AntiEntropy][kind];
        let bytes = if signed { seal(&KEY, now, number, kind, &packet_body) } else { packet_body };
        network.step(0, Input::PacketReceived(bytes));
        network.step(1, Input::PacketReceived(sent));
        network.run(secs(3.0));
        proptest::prop_assert!(network.state(1, 0).is_some());
    }
}
