//! Golden files of encoded learned state, in the state file and in packets between members, as written by earlier
//! builds.

#[path = "common/golden_file.rs"]
mod golden_file;

use cranehill_recovery::{decode_chunk, decode_state_file, encode_chunks, encode_state_file};
use cranehill_scheduler::{LearnedState, ObservedHealth, Time};

const STATE_FILE: &str = "learned-state.bin";
const EMPTY_STATE_FILE: &str = "learned-state-empty.bin";
const PACKETS: [&str; 2] = ["learned-state-packet-1.bin", "learned-state-packet-2.bin"];
/// Two of the four records fit into a packet.
const PACKET_LIMIT: usize = 100;

fn at(seconds: u64) -> Time {
    Time((1_700_000_000 + seconds) * 1_000_000_000)
}

/// Learned state with each variant, and each optional field both present and absent.
fn learned_state() -> Vec<LearnedState> {
    let serving = LearnedState {
        destination: 7,
        route_id: None,
        at: at(0),
        window: Some(3.5),
        limit: Some(12.25),
        blocked_until: None,
        state: Some(ObservedHealth::Up),
    };
    let failed = LearnedState {
        destination: 300,
        route_id: Some("endpoint-a/1 %".into()),
        at: at(1),
        window: None,
        limit: Some(f64::INFINITY),
        blocked_until: Some(at(30)),
        state: Some(ObservedHealth::Down),
    };
    let warming_up = LearnedState {
        destination: u64::MAX,
        route_id: Some("ü".into()),
        at: at(2),
        window: Some(0.125),
        limit: None,
        blocked_until: None,
        state: Some(ObservedHealth::WarmingUp(at(3))),
    };
    let waiting = LearnedState {
        destination: 0,
        route_id: None,
        at: at(4),
        window: None,
        limit: None,
        blocked_until: Some(at(60)),
        state: None,
    };
    vec![serving, failed, warming_up, waiting]
}

#[test]
fn learned_state_file_is_unchanged() {
    golden_file::assert_unchanged(STATE_FILE, &encode_state_file(&learned_state()));
    assert_eq!(
        decode_state_file(&golden_file::read(STATE_FILE)),
        Ok(learned_state())
    );
}

#[test]
fn empty_learned_state_file_is_unchanged() {
    golden_file::assert_unchanged(EMPTY_STATE_FILE, &encode_state_file(&[]));
    assert_eq!(
        decode_state_file(&golden_file::read(EMPTY_STATE_FILE)),
        Ok(Vec::new())
    );
}

#[test]
fn learned_state_packets_are_unchanged() {
    let packets = encode_chunks(&learned_state(), PACKET_LIMIT);
    assert_eq!(packets.len(), PACKETS.len());
    for (name, packet) in PACKETS.iter().zip(&packets) {
        golden_file::assert_unchanged(name, packet);
    }
    let read = PACKETS
        .iter()
        .flat_map(|name| decode_chunk(&golden_file::read(name)).expect("a readable packet"));
    assert_eq!(read.collect::<Vec<_>>(), learned_state());
}
