//! Fleets in virtual time: what each member concludes under crashes, partitions, loss and bad packets.

mod common;

use std::collections::BTreeSet;

use common::{KEY, Network, START, address, secs};
use cranehill_membership::seal::{Kind, seal};
use cranehill_membership::{DropReason, Input, MAX_LEARNED_PIECE, State};
use cranehill_scheduler::Time;

/// Guards the bound of SWIM: a crash is known to all within the probing of one round, the suspicion, and the gossip.
#[test]
fn crashed_member_is_down_in_every_view() {
    let mut network = Network::new(10, 1);
    network.run(secs(5.0));
    assert!(network.has_converged());
    network.members[3] = None;
    network.run(secs(15.0));
    for by in (0..10).filter(|&by| by != 3) {
        assert_eq!(network.state(3, by), Some(State::Down), "by {by}");
    }
    assert_eq!(network.down_changes(), 9, "nobody else is declared down");
}

/// Guards against a process that was stopped and takes its own silence for the others'.
#[test]
fn paused_process_rejoins_and_accuses_nobody() {
    let mut network = Network::new(5, 2);
    network.run(secs(5.0));
    let incarnation = network.members[4]
        .as_ref()
        .expect("it runs")
        .me()
        .incarnation;
    network.paused.insert(4);
    network.run(secs(14.0));
    let states: Vec<State> = network
        .changes
        .iter()
        .filter(|c| c.of == 4 && c.by == 0)
        .map(|c| c.state)
        .collect();
    assert_eq!(states, [State::Alive, State::Suspect, State::Down]);
    network.resume(4);
    network.run(secs(12.0));
    assert!(network.has_converged(), "{:?}", network.changes);
    assert!(
        network.members[4]
            .as_ref()
            .expect("it runs")
            .me()
            .incarnation
            > incarnation,
        "back under a higher generation"
    );
    assert!(
        network
            .changes
            .iter()
            .all(|c| c.state != State::Down || c.of == 4),
        "{:?}",
        network.changes
    );
}

/// Guards against false deaths under loss, and against a suspicion that its subject isn't notified of: 60 seeds of a minute.
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
                .map(|m| m.me().incarnation)
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
            "seed {seed}: whoever refutes a suspicion keeps its generation"
        );
    }
}

/// Guards the shared limits: neither side of a partition divides by fewer senders before the delay, and the views heal.
#[test]
fn partition_evicts_after_the_delay_and_on_the_majority_side_only() {
    let mut network = Network::new(5, 3);
    network.run(secs(5.0));
    network.split(&[0, 1], &[2, 3, 4]);
    network.run(secs(20.0));
    assert_eq!(
        (0..5).map(|i| network.share_divisor(i)).collect::<Vec<_>>(),
        [5; 5]
    );
    assert!((2..5).all(|by| network.state(0, by) == Some(State::Down)));
    network.run(secs(40.0));
    assert_eq!(
        (0..5).map(|i| network.share_divisor(i)).collect::<Vec<_>>(),
        [5, 5, 3, 3, 3]
    );
    network.blocked.clear();
    network.run(secs(15.0));
    assert!(network.has_converged(), "{:?}", network.changes);
    assert_eq!(
        (0..5).map(|i| network.share_divisor(i)).collect::<Vec<_>>(),
        [5; 5],
        "back at once"
    );
}

/// Guards against a majority of the few that a newcomer knows: alone with one other, it must not take the quotas of three.
#[test]
fn member_started_in_a_minority_partition_evicts_nobody() {
    let mut network = Network::new(5, 4);
    network.run(secs(5.0));
    network.split(&[0, 1], &[2, 3, 4]);
    network.members[1] = None;
    network.run(secs(2.0));
    network.start(1, network.now, KEY);
    network.run(secs(90.0));
    assert_eq!((network.share_divisor(0), network.share_divisor(1)), (5, 5));
}

/// Packets are lost in one direction only: others probe in its place, and nobody is declared down.
#[test]
fn one_way_partition_of_two_members_declares_nobody_down() {
    let mut network = Network::new(5, 5);
    network.run(secs(5.0));
    network.blocked.insert((1, 2));
    network.run(secs(60.0));
    assert_eq!(network.down_changes(), 0, "{:?}", network.changes);
}

/// Guards against accusations by a member that receives nothing: it can still send, and the others would believe it.
#[test]
fn member_that_receives_nothing_accuses_nobody() {
    let mut network = Network::new(5, 10);
    network.run(secs(5.0));
    network.blocked.extend((0..4).map(|from| (from, 4)));
    network.run(secs(12.0));
    assert!(
        network
            .changes
            .iter()
            .all(|c| c.state != State::Down || c.of == 4),
        "{:?}",
        network.changes
    );
    network.blocked.clear();
    network.run(secs(10.0));
    assert!(network.has_converged(), "{:?}", network.changes);
    // The last one left must find out all the same.
    (0..4).for_each(|i| network.members[i] = None);
    network.run(secs(45.0));
    assert!((0..4).all(|of| network.state(of, 4) == Some(State::Down)));
}

#[test]
fn leaving_member_is_seen_to_have_left_and_evicted_soon() {
    let mut network = Network::new(5, 6);
    network.run(secs(5.0));
    network.step(2, Input::Leave);
    network.run(secs(2.0));
    network.members[2] = None;
    for by in [0, 1, 3, 4] {
        assert_eq!(
            (network.state(2, by), network.share_divisor(by)),
            (Some(State::Left), 5),
            "by {by}"
        );
    }
    network.run(secs(8.0));
    assert!(
        [0, 1, 3, 4]
            .iter()
            .all(|&by| network.share_divisor(by) == 4)
    );
    network.start(2, network.now, KEY);
    network.run(secs(8.0));
    assert!(network.has_converged() && (0..5).all(|i| network.share_divisor(i) == 5));
}

/// Guards against incarnations that run backwards: a folder lost together with a clock set back by a day.
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
    network.step(0, Input::RequestLearned);
    network.run(secs(0.1));
    let asked: BTreeSet<usize> = network.learned.iter().map(|w| w.0).collect();
    assert_eq!(asked, BTreeSet::from([2, 3, 4]), "{:?}", network.learned);
    network.learned.clear();
    network.step(
        3,
        Input::SendLearned {
            to: address(0),
            chunks: vec![vec![1; MAX_LEARNED_PIECE], vec![2; 3]],
        },
    );
    network.run(secs(0.1));
    let mut received = network.learned.clone();
    received.sort_by_key(|w| w.2.len());
    assert_eq!(
        received,
        [
            (0, address(3), vec![2; 3]),
            (0, address(3), vec![1; MAX_LEARNED_PIECE])
        ]
    );
}

/// The newest payload of a member reaches all others, and is removed with the member.
#[test]
fn payload_reaches_all_members() {
    let mut network = Network::new(10, 12);
    network.run(secs(5.0));
    network.loss = 0.1;
    network.step(3, Input::SetPayload(vec![1]));
    network.step(3, Input::SetPayload(vec![2; 200]));
    network.run(secs(2.0));
    let payload = |network: &Network, by: usize| {
        let payloads = network.members[by].as_ref().expect("it runs").payloads();
        payloads
            .into_iter()
            .find(|(who, _)| *who == address(3))
            .map(|s| s.1)
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

/// Wrong keys, cut packets and replays are counted and change nothing.
#[test]
fn foreign_damaged_and_replayed_packets_are_dropped() {
    let mut network = Network::new(3, 8);
    network.run(secs(5.0));
    let (to, bytes) = network.last_sent.take().expect("something was sent");
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
    let reasons: Vec<DropReason> = network.dropped.iter().map(|r| r.1).collect();
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
        (Some(State::Down), None)
    );
    assert!(network.dropped.contains(&(2, DropReason::WrongKey)));
}

proptest::proptest! {
    /// Any packet, authenticated or not, is accepted or dropped, and the member continues.
    #[test]
    fn arbitrary_packets_do_not_stop_a_member(message: Vec<u8>, number: u64, cut in 0usize..64, kind in 0usize..4, signed: bool) {
        let mut network = Network::new(2, 9);
        network.run(secs(2.0));
        let sent = network.last_sent.take().map(|(_, bytes)| bytes).unwrap_or_default();
        // The beginning of a real message leads further in than noise does.
        let mut text = sent[20..sent.len().min(20 + cut)].to_vec();
        text.extend(message);
        let now = network.now.0 / 1_000_000;
        let kind = [Kind::Swim, Kind::LearnedRequest, Kind::LearnedReply, Kind::AntiEntropy][kind];
        let bytes = if signed { seal(&KEY, now, number, kind, &text) } else { text };
        network.step(0, Input::PacketReceived(bytes));
        network.step(1, Input::PacketReceived(sent));
        network.run(secs(3.0));
        proptest::prop_assert!(network.state(1, 0).is_some());
    }
}
