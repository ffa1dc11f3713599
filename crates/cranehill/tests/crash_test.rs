//! Real processes on loopback, killed at random instants under load. For longer runs: `cranehill crash-test`.

use cranehill::crash_test::{Plan, play};

fn plan(kills: u32, seed: u64, flip_every: u32) -> Plan {
    let program = env!("CARGO_BIN_EXE_cranehill").into();
    Plan {
        program,
        kills,
        seed,
        flip_every,
        disk_mb: 0.5,
    }
}

/// After 100 kills no accepted message is lost or ends twice, and no `unsafe` message is sent again.
#[test]
fn hundred_kills_lose_nothing_and_repeat_no_unsafe_message() {
    let outcome = play(&plan(100, 3, 0), |_| {}).expect("scenario run completed");
    assert!(
        outcome.holds() && outcome.lost.is_empty(),
        "seed 3: {outcome:#?}"
    );
    assert!(outcome.accepted.iter().all(|&n| n > 0), "{outcome:#?}");
}

/// Guards against a byte flipped in the journal after each third kill: it caused the loss of hundreds of messages and
/// forbidden repeats.
#[test]
fn flipped_bytes_lose_only_the_records_they_hit() {
    let outcome = play(&plan(30, 4, 3), |_| {}).expect("scenario run completed");
    assert_eq!(outcome.flips, 10);
    assert!(outcome.holds(), "seed 4: {outcome:#?}");
}
