//! Which learned state may be used after a restart, the order of the work queue, and when the recovery is complete.

use std::time::Duration;

use cranehill_recovery::{
    LearnedStateCache, MaxAges, Phase, Recovery, Settings, WorkQueue, decode_chunk,
    decode_state_file, encode_chunks, encode_state_file,
};
use cranehill_scheduler::api::{DestinationId, MessageId};
use cranehill_scheduler::{LearnedState, ObservedHealth, Time};
use proptest::prelude::*;

fn s(seconds: f64) -> Time {
    Time(1_700_000_000_000_000_000) + Duration::from_secs_f64(seconds)
}

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn id(name: &str) -> MessageId {
    MessageId(name.to_owned())
}

fn ids(names: &[&str]) -> Vec<MessageId> {
    names.iter().map(|name| id(name)).collect()
}

const BOUNDS: MaxAges = MaxAges {
    window: Duration::from_secs(10),
    limit: Duration::from_secs(10),
    state: Duration::from_secs(5),
    max_clock_difference: Duration::from_secs(5),
};

const SETTINGS: Settings = Settings {
    bounds: BOUNDS,
    request_interval: Duration::from_millis(500),
    peer_timeout: Duration::from_secs(2),
    persist_interval: Duration::from_secs(1),
};

fn learned_state_of(destination: u64, at: Time) -> LearnedState {
    LearnedState {
        destination,
        route_id: None,
        at,
        window: Some(3.0),
        limit: Some(12.0),
        blocked_until: None,
        state: Some(ObservedHealth::Up),
    }
}

/// Each part of learned state has its own maximum age; a retry-after time is kept until its end.
#[test]
fn old_state_is_not_used_and_retry_after_is_kept_to_its_end() {
    let mut cache = LearnedStateCache::new(BOUNDS);
    cache.merge(
        s(0.0),
        vec![
            LearnedState {
                blocked_until: Some(s(30.0)),
                ..learned_state_of(1, s(0.0))
            },
            learned_state_of(2, s(0.0)),
        ],
    );
    let at = |t: f64| cache.usable(s(t));
    assert_eq!(at(5.0).len(), 2);
    assert!(
        at(5.5)
            .iter()
            .all(|p| p.state.is_none() && p.limit == Some(12.0))
    );
    let [blocked] = &at(10.5)[..] else {
        panic!("expected one route, got {:?}", at(10.5))
    };
    assert_eq!(
        (
            blocked.destination,
            blocked.window,
            blocked.limit,
            blocked.blocked_until
        ),
        (1, None, None, Some(s(30.0)))
    );
    assert_eq!(at(30.0), []);
}

/// If members disagree, the later state is used regardless of the order of their replies, and the retry-after time that
/// ends last. State from the future and invalid numbers are ignored.
#[test]
fn the_later_state_and_the_later_retry_after_count() {
    let old = LearnedState {
        limit: Some(48.0),
        blocked_until: Some(s(9.0)),
        ..learned_state_of(1, s(1.0))
    };
    let new = LearnedState {
        limit: Some(12.0),
        blocked_until: Some(s(4.0)),
        ..learned_state_of(1, s(2.0))
    };
    for order in [[old.clone(), new.clone()], [new, old]] {
        let mut cache = LearnedStateCache::new(BOUNDS);
        cache.merge(s(3.0), order.to_vec());
        let known = cache.usable(s(3.0));
        assert_eq!(
            (known[0].limit, known[0].blocked_until),
            (Some(12.0), Some(s(9.0)))
        );
    }
    let mut cache = LearnedStateCache::new(BOUNDS);
    let invalid = LearnedState {
        limit: Some(f64::NAN),
        window: Some(-1.0),
        state: None,
        ..learned_state_of(2, s(1.0))
    };
    cache.merge(
        s(3.0),
        vec![
            learned_state_of(1, s(8.1)),
            invalid,
            LearnedState {
                blocked_until: Some(s(1e6)),
                ..learned_state_of(3, s(1.0))
            },
        ],
    );
    let known = cache.usable(s(3.0));
    assert_eq!(
        (known.len(), known[0].destination, known[0].blocked_until),
        (1, 3, None),
        "{known:?}"
    );
}

#[test]
fn the_work_queue_releases_oldest_deadlines_first_two_per_destination() {
    let mut work_queue = WorkQueue::new(s(0.0));
    for (name, deadline) in [("c", 14.0), ("a", 10.0), ("d", 16.0), ("b", 12.0)] {
        work_queue.add(DestinationId(1), s(deadline), id(name));
    }
    work_queue.add(DestinationId(2), s(11.0), id("x"));
    assert_eq!(work_queue.release(s(0.0)), ids(&["a", "b", "x"]));
    assert_eq!(work_queue.release(s(1.0)), []);
    work_queue.on_sent_or_ended(DestinationId(1), &id("a"));
    assert_eq!(work_queue.release(s(1.0)), ids(&["c"]));
    // Half of its time is longer than the release period of five seconds.
    assert_eq!(work_queue.next_release(), Some(s(5.0)));
    // None is sent, as new messages are preferred: all are released within five seconds nevertheless.
    assert_eq!(
        (work_queue.release(s(3.7)), work_queue.waiting()),
        (vec![], 1)
    );
    assert_eq!(
        (work_queue.release(s(3.8)), work_queue.waiting()),
        (ids(&["d"]), 0)
    );
    let mut late = WorkQueue::new(s(15.0));
    (0..9).for_each(|n| late.add(DestinationId(1), s(20.0), MessageId(n.to_string())));
    late.add(DestinationId(1), s(15.4), id("soon"));
    late.add(DestinationId(1), s(15.45), id("too"));
    late.add(DestinationId(1), s(15.48), id("and this"));
    assert_eq!(late.release(s(15.0)), ids(&["soon", "too"]));
    assert_eq!(
        (late.next_release(), late.release(s(15.23))),
        (Some(s(15.24)), vec![])
    );
    assert_eq!(late.release(s(15.24)), ids(&["and this"]));
}

/// Full service requires that a member has replied or the time for it is over, that learned state is restored, that the
/// first calls are spread, and that the work queue is empty. Each of these alone delays it.
#[test]
fn each_step_delays_full_service() {
    let start = || Recovery::new(SETTINGS, s(0.0));
    let mut alone = start();
    assert_eq!(
        alone.take_state_to_restore(s(0.0)).map(|l| l.len()),
        Some(0)
    );
    assert!(!alone.should_ask_peers(s(0.1), false) && alone.check_complete(s(1.9)).is_none());
    assert_eq!(alone.check_complete(s(2.0)), Some(secs(2)));
    assert!(
        matches!(alone.phase(), Phase::Full { recovery_duration: took, .. } if took == secs(2))
    );
    let mut peer_replied = start();
    peer_replied.take_state_to_restore(s(0.0));
    assert!(
        peer_replied.should_ask_peers(s(0.1), true)
            && !peer_replied.should_ask_peers(s(0.3), true)
            && peer_replied.should_ask_peers(s(0.7), true)
    );
    peer_replied.on_peer_reply(s(0.8), vec![learned_state_of(1, s(0.5))]);
    assert!(
        !peer_replied.should_ask_peers(s(1.4), true)
            && peer_replied.check_complete(s(0.8)).is_none(),
        "learned state of a reply must be restored before full service"
    );
    assert_eq!(
        peer_replied.take_state_to_restore(s(0.8)).map(|l| l.len()),
        Some(1)
    );
    peer_replied.spread_first_calls_until(s(1.5));
    peer_replied
        .work_queue
        .add(DestinationId(1), s(20.0), id("a"));
    assert!(
        peer_replied.check_complete(s(1.6)).is_none(),
        "a message is in the work queue"
    );
    peer_replied.work_queue.release(s(1.6));
    assert!(
        peer_replied.check_complete(s(1.4)).is_none()
            && peer_replied.check_complete(s(1.6)).is_some()
    );
    assert!(
        peer_replied.take_state_to_restore(s(2.0)).is_none(),
        "no learned state is restored in full service"
    );
}

/// A new retry-after time is persisted at once, other learned state once a second.
#[test]
fn a_new_retry_after_is_persisted_at_once() {
    let mut recovery = Recovery::new(SETTINGS, s(0.0));
    let blocked_until_state = |until| {
        vec![LearnedState {
            blocked_until: Some(until),
            ..learned_state_of(1, s(0.0))
        }]
    };
    assert!(recovery.should_persist(s(0.0), &[]));
    assert!(!recovery.should_persist(s(0.1), &[learned_state_of(1, s(0.1))]));
    assert!(
        recovery.should_persist(s(0.2), &blocked_until_state(s(3.0)))
            && !recovery.should_persist(s(0.3), &blocked_until_state(s(3.0)))
    );
    assert!(
        recovery.should_persist(s(0.4), &blocked_until_state(s(4.0)))
            && recovery.should_persist(s(1.5), &[])
    );
}

prop_compose! {
    fn any_learned_state()(destination: u64, route_id: Option<String>, at: u64, window: Option<f64>, limit: Option<f64>, until: Option<u64>,
        state in 0..4u8) -> LearnedState {
        let state = [None, Some(ObservedHealth::Up), Some(ObservedHealth::Down), Some(ObservedHealth::WarmingUp(Time(at)))][usize::from(state)];
        LearnedState { destination, route_id, at: Time(at), window, limit, blocked_until: until.map(Time), state }
    }
}

proptest! {
    /// Chunks fit the limit and contain all entries except those that exceed it alone; cached values stay within
    /// bounds.
    #[test]
    fn chunks_round_trip(learned_state in proptest::collection::vec(any_learned_state(), 0..80)) {
        let chunks = encode_chunks(&learned_state, 1024);
        prop_assert!(chunks.iter().all(|p| p.len() <= 1024));
        let back: Vec<LearnedState> = chunks.iter().flat_map(|p| decode_chunk(p).expect("an encoded chunk")).collect();
        let long = learned_state.iter().filter(|l| encode_chunks(&[(*l).clone()], 1024).is_empty()).count();
        prop_assert_eq!(back.len() + long, learned_state.len());
        let mut cache = LearnedStateCache::new(BOUNDS);
        cache.merge(s(0.0), back);
        for p in cache.usable(s(0.0)) {
            prop_assert!(p.window.is_none_or(|w| w > 0.0) && p.limit.is_none_or(|l| l > 0.0));
            prop_assert!(p.at <= s(5.0));
        }
    }

    /// Guards against recovered messages with short deadlines being released too late for an attempt, as they were with
    /// a fixed time before the deadline. Each is released with at least half of its time remaining and within five
    /// seconds, even if no earlier message is sent.
    #[test]
    fn the_work_queue_releases_messages_with_half_of_their_time_remaining(
        remaining_times in proptest::collection::vec((0u64..3, 10u64..30_000), 1..60)
    ) {
        let mut work_queue = WorkQueue::new(s(0.0));
        let ms = |ms: u64| s(0.0) + Duration::from_millis(ms);
        for (n, (destination, remaining)) in remaining_times.iter().enumerate() {
            work_queue.add(DestinationId(*destination), ms(*remaining), MessageId(n.to_string()));
        }
        let (mut now, mut released_count) = (0, 0);
        while work_queue.waiting() > 0 {
            for id in work_queue.release(ms(now)) {
                let (_, remaining) = remaining_times[id.0.parse::<usize>().expect("a number")];
                prop_assert!(now <= (remaining / 2).min(5000) + 1, "message {id} with {remaining} ms remaining was released after {now} ms");
                released_count += 1;
            }
            // Like the sender, wakes when a message is due, and at least every second.
            let due = work_queue.next_release().map_or(now + 1000, |t| ((t - s(0.0)).as_millis() as u64 + 1).min(now + 1000));
            now = due.max(now + 1);
        }
        prop_assert_eq!(released_count, remaining_times.len());
    }

    /// A state file that is truncated or changed anywhere is rejected with an error, never with a panic.
    #[test]
    fn a_damaged_state_file_is_rejected(learned_state in proptest::collection::vec(any_learned_state(), 0..20), at: prop::sample::Index,
        flip in 1..=255u8, noise: Vec<u8>) {
        let bytes = encode_state_file(&learned_state);
        prop_assert!(decode_state_file(&bytes).is_ok());
        let mut changed = bytes.clone();
        changed[at.index(bytes.len())] ^= flip;
        prop_assert!(decode_state_file(&changed).is_err());
        prop_assert!(decode_state_file(&bytes[..at.index(bytes.len())]).is_err());
        prop_assert!(decode_state_file(&noise).is_err());
        let _ = decode_chunk(&noise);
    }
}
