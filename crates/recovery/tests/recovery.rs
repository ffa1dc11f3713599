//! What may be used after a restart, in which order what is owed is taken up, and when all is done.

use std::time::Duration;

use cranehill_recovery::{
    Bounds, LearnedStateCache, Phase, Recovery, Settings, WorkQueue, decode, encode, pack, unpack,
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

const BOUNDS: Bounds = Bounds {
    window: Duration::from_secs(10),
    limit: Duration::from_secs(10),
    state: Duration::from_secs(5),
    ahead: Duration::from_secs(5),
};

const SETTINGS: Settings = Settings {
    bounds: BOUNDS,
    ask: Duration::from_millis(500),
    alone: Duration::from_secs(2),
    remember: Duration::from_secs(1),
};

fn piece(destination: u64, at: Time) -> LearnedState {
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

/// Each piece has an age of its own, beyond which nothing rests on it; a wait has none.
#[test]
fn old_state_is_not_used_and_retry_after_is_kept_to_its_end() {
    let mut cache = LearnedStateCache::new(BOUNDS);
    cache.merge(
        s(0.0),
        vec![
            LearnedState {
                blocked_until: Some(s(30.0)),
                ..piece(1, s(0.0))
            },
            piece(2, s(0.0)),
        ],
    );
    let at = |t: f64| cache.usable(s(t));
    assert_eq!(at(5.0).len(), 2);
    assert!(
        at(5.5)
            .iter()
            .all(|p| p.state.is_none() && p.limit == Some(12.0))
    );
    let [wait] = &at(10.5)[..] else {
        panic!("{:?}", at(10.5))
    };
    assert_eq!(
        (
            wait.destination,
            wait.window,
            wait.limit,
            wait.blocked_until
        ),
        (1, None, None, Some(s(30.0)))
    );
    assert_eq!(at(30.0), []);
}

/// Peers disagree: the younger counts, whatever came first, but of waits the later end. What lies in the future, or is no
/// number, is nobody's knowledge.
#[test]
fn the_later_state_and_the_later_retry_after_count() {
    let old = LearnedState {
        limit: Some(48.0),
        blocked_until: Some(s(9.0)),
        ..piece(1, s(1.0))
    };
    let young = LearnedState {
        limit: Some(12.0),
        blocked_until: Some(s(4.0)),
        ..piece(1, s(2.0))
    };
    for order in [[old.clone(), young.clone()], [young, old]] {
        let mut cache = LearnedStateCache::new(BOUNDS);
        cache.merge(s(3.0), order.to_vec());
        let known = cache.usable(s(3.0));
        assert_eq!(
            (known[0].limit, known[0].blocked_until),
            (Some(12.0), Some(s(9.0)))
        );
    }
    let mut cache = LearnedStateCache::new(BOUNDS);
    let odd = LearnedState {
        limit: Some(f64::NAN),
        window: Some(-1.0),
        state: None,
        ..piece(2, s(1.0))
    };
    cache.merge(
        s(3.0),
        vec![
            piece(1, s(8.1)),
            odd,
            LearnedState {
                blocked_until: Some(s(1e6)),
                ..piece(3, s(1.0))
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
    // Half of its time is more than the five seconds in which all are in hand.
    assert_eq!(work_queue.next_release(), Some(s(5.0)));
    // None has gone, since fresh ones went first: after five seconds all are in hand all the same.
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

/// Full once members have told, or none did in time; once the first calls' spread is over; once all that is owed has been
/// taken up. Each by itself holds it back.
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
    assert!(matches!(alone.phase(), Phase::Full { took, .. } if took == secs(2)));
    let mut peer_replied = start();
    peer_replied.take_state_to_restore(s(0.0));
    assert!(
        peer_replied.should_ask_peers(s(0.1), true)
            && !peer_replied.should_ask_peers(s(0.3), true)
            && peer_replied.should_ask_peers(s(0.7), true)
    );
    peer_replied.on_peer_reply(s(0.8), vec![piece(1, s(0.5))]);
    assert!(
        !peer_replied.should_ask_peers(s(1.4), true)
            && peer_replied.check_complete(s(0.8)).is_none(),
        "what was told is to be recalled first"
    );
    assert_eq!(
        peer_replied.take_state_to_restore(s(0.8)).map(|l| l.len()),
        Some(1)
    );
    peer_replied.spread_first_calls_until(s(1.5));
    peer_replied
        .work_queue
        .add(DestinationId(1), s(20.0), id("a"));
    assert!(peer_replied.check_complete(s(1.6)).is_none(), "one is owed");
    peer_replied.work_queue.release(s(1.6));
    assert!(
        peer_replied.check_complete(s(1.4)).is_none()
            && peer_replied.check_complete(s(1.6)).is_some()
    );
    assert!(
        peer_replied.take_state_to_restore(s(2.0)).is_none(),
        "full: nothing is recalled any more"
    );
}

/// A Retry-After wait is written down at once, all else once a second.
#[test]
fn a_new_retry_after_is_persisted_at_once() {
    let mut recovery = Recovery::new(SETTINGS, s(0.0));
    let waits = |until| {
        vec![LearnedState {
            blocked_until: Some(until),
            ..piece(1, s(0.0))
        }]
    };
    assert!(recovery.should_persist(s(0.0), &[]));
    assert!(!recovery.should_persist(s(0.1), &[piece(1, s(0.1))]));
    assert!(
        recovery.should_persist(s(0.2), &waits(s(3.0)))
            && !recovery.should_persist(s(0.3), &waits(s(3.0)))
    );
    assert!(
        recovery.should_persist(s(0.4), &waits(s(4.0))) && recovery.should_persist(s(1.5), &[])
    );
}

prop_compose! {
    fn any_piece()(destination: u64, route_id: Option<String>, at: u64, window: Option<f64>, limit: Option<f64>, until: Option<u64>,
        state in 0..4u8) -> LearnedState {
        let state = [None, Some(ObservedHealth::Up), Some(ObservedHealth::Down), Some(ObservedHealth::WarmingUp(Time(at)))][usize::from(state)];
        LearnedState { destination, route_id, at: Time(at), window, limit, blocked_until: until.map(Time), state }
    }
}

proptest! {
    /// Pieces fit, and hold all but what can't fit by itself; whatever they say, the memory's use of it is bounded.
    #[test]
    fn chunks_round_trip(learned_state in proptest::collection::vec(any_piece(), 0..80)) {
        let chunks = encode(&learned_state, 1024);
        prop_assert!(chunks.iter().all(|p| p.len() <= 1024));
        let back: Vec<LearnedState> = chunks.iter().flat_map(|p| decode(p).expect("ours")).collect();
        let long = learned_state.iter().filter(|l| encode(&[(*l).clone()], 1024).is_empty()).count();
        prop_assert_eq!(back.len() + long, learned_state.len());
        let mut cache = LearnedStateCache::new(BOUNDS);
        cache.merge(s(0.0), back);
        for p in cache.usable(s(0.0)) {
            prop_assert!(p.window.is_none_or(|w| w > 0.0) && p.limit.is_none_or(|l| l > 0.0));
            prop_assert!(p.at <= s(5.0));
        }
    }

    /// Guards short deadlines: by a fixed time before them a restart's messages were handed over too late for a try. Each is
    /// in the decisions' hands with half of its time left at least, and within five seconds, though none before it moves.
    #[test]
    fn the_work_queue_releases_messages_with_half_of_their_time_remaining(
        lefts in proptest::collection::vec((0u64..3, 10u64..30_000), 1..60)
    ) {
        let mut work_queue = WorkQueue::new(s(0.0));
        let ms = |ms: u64| s(0.0) + Duration::from_millis(ms);
        for (n, (destination, left)) in lefts.iter().enumerate() {
            work_queue.add(DestinationId(*destination), ms(*left), MessageId(n.to_string()));
        }
        let (mut now, mut submitted) = (0, 0);
        while work_queue.waiting() > 0 {
            for id in work_queue.release(ms(now)) {
                let (_, left) = lefts[id.0.parse::<usize>().expect("a number")];
                prop_assert!(now <= (left / 2).min(5000) + 1, "{id} of {left} ms after {now} ms");
                submitted += 1;
            }
            // As the sender does: it wakes when one is due, and at least each second.
            let due = work_queue.next_release().map_or(now + 1000, |t| ((t - s(0.0)).as_millis() as u64 + 1).min(now + 1000));
            now = due.max(now + 1);
        }
        prop_assert_eq!(submitted, lefts.len());
    }

    /// A file that was cut or changed anywhere is not used, and never stops a start.
    #[test]
    fn a_damaged_state_file_is_rejected(learned_state in proptest::collection::vec(any_piece(), 0..20), at: prop::sample::Index,
        flip in 1..=255u8, noise: Vec<u8>) {
        let bytes = pack(&learned_state);
        prop_assert!(unpack(&bytes).is_ok());
        let mut changed = bytes.clone();
        changed[at.index(bytes.len())] ^= flip;
        prop_assert!(unpack(&changed).is_err());
        prop_assert!(unpack(&bytes[..at.index(bytes.len())]).is_err());
        prop_assert!(unpack(&noise).is_err());
        let _ = decode(&noise);
    }
}
