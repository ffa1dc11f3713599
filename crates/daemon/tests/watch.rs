//! The schedule of requests to discovery, with the time as an input.

use std::collections::VecDeque;
use std::time::Duration;

use cranehill_daemon::watch::{MAX_REQUEST_INTERVAL, Watch, WatchFailure};
use cranehill_scheduler::Time;
use proptest::prelude::*;

/// The settings' limit on the time without a request.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Mean of the first backoff after a watch that could not be sent.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time that an overloaded discovery spends on a new watch.
const WATCH_COST: Duration = Duration::from_millis(50);
/// Limit on the number of senders that lengthen the backoff.
const MAX_COUNTED_SENDERS: u32 = 200;
/// Limit of the mean backoff as a multiple of the first.
const MAX_BACKOFF_FACTOR: u32 = 4;

fn watch(senders: u32, seed: u64) -> Watch {
    Watch::new(7, senders, MAX_BACKOFF, seed, Time(0))
}

fn at(ms: u64) -> Time {
    Time(ms * 1_000_000)
}

/// Guards against a delayed first request. When 300 senders spread their first requests over 10 s, 130 of them used an old list
/// for up to 3.7 s although discovery had the change, and sent 393 calls to draining endpoints.
#[test]
fn the_first_request_is_immediate_at_start_and_after_discovery_moves() {
    for seed in 0..300 {
        let mut watch = watch(300, seed);
        assert_eq!(watch.due(), Some(at(0)), "seed {seed}");
        watch.next_request(at(0), "d");
        for _ in 0..5 {
            watch.on_failure(at(10), WatchFailure::Rejected { retry_after: None });
        }
        watch.on_moved(at(20));
        assert_eq!(watch.due(), Some(at(20)), "seed {seed}");
        let request = String::from_utf8(watch.next_request(at(20), "d")).expect("text");
        assert!(request.starts_with("GET /v1/endpoints HTTP"), "{request}");
        let backoff = watch.on_failure(at(30), WatchFailure::ConnectFailed);
        assert!(
            backoff <= RETRY_INTERVAL * 3 / 2,
            "failures of the old address must not count: {backoff:?}, seed {seed}"
        );
    }
}

/// Guards against retries that overload discovery. When 100 senders started at the same time and discovery needed 51 ms for a
/// request, 61 requests exceeded its timeout of 2 s, and with a fixed retry interval of 100 ms no sender ever got its watch.
#[test]
fn all_senders_get_their_watch_after_a_simultaneous_start() {
    const SENDERS: usize = 100;
    let (cost_ms, timeout_ms) = (51, 2_000);
    let mut watches: Vec<Watch> = (0..SENDERS)
        .map(|i| watch(SENDERS as u32, i as u64))
        .collect();
    // Discovery processes requests in order, also those that have timed out, and needs `cost_ms` for each.
    let (mut queue, mut busy_until) = (VecDeque::new(), 0);
    let mut watching = 0;
    for ms in 0..30_000 {
        for (sender, watch) in watches.iter_mut().enumerate() {
            if watch.due().is_some_and(|due| due <= at(ms)) {
                watch.next_request(at(ms), "d");
                queue.push_back((sender, ms));
            }
        }
        while ms >= busy_until
            && let Some((sender, requested)) = queue.pop_front()
        {
            busy_until = ms + cost_ms;
            if ms - requested <= timeout_ms {
                watching += 1;
            } else {
                watches[sender].on_failure(at(ms), WatchFailure::Rejected { retry_after: None });
            }
        }
    }
    assert_eq!(watching, SENDERS);
}

#[test]
fn backoff_is_bounded_by_the_interval_and_respects_retry_after() {
    let mut watch = watch(300, 7);
    let retry_after = Duration::from_secs(3);
    assert!(
        watch.on_failure(
            at(0),
            WatchFailure::Rejected {
                retry_after: Some(retry_after)
            }
        ) >= retry_after
    );
    for retry_after in [None, Some(Duration::from_secs(30))] {
        let backoffs: Vec<Duration> = (0..40)
            .map(|_| watch.on_failure(at(0), WatchFailure::Rejected { retry_after }))
            .collect();
        let (shortest, longest) = (backoffs.iter().min(), backoffs.iter().max());
        assert!(
            longest <= Some(&MAX_REQUEST_INTERVAL)
                && longest > Some(&(MAX_REQUEST_INTERVAL * 9 / 10)),
            "{backoffs:?}"
        );
        // Senders that are rejected at the same time, or get the same Retry-After, must spread their retries.
        assert!(
            shortest < Some(&(MAX_REQUEST_INTERVAL * 8 / 10)),
            "{backoffs:?}"
        );
    }
    // A request that could not be sent put no load on discovery, so its backoff is short.
    let longest = (0..40)
        .map(|_| watch.on_failure(at(0), WatchFailure::ConnectFailed))
        .max()
        .unwrap_or_default();
    assert!(
        longest > RETRY_INTERVAL * 2 && longest <= RETRY_INTERVAL * MAX_BACKOFF_FACTOR * 3 / 2,
        "{longest:?}"
    );
    // The settings' limit applies if it is shorter.
    let max_backoff = Duration::from_millis(700);
    let mut watch = Watch::new(7, 300, max_backoff, 7, at(0));
    let longest = (0..40)
        .map(|_| watch.on_failure(at(0), WatchFailure::Rejected { retry_after: None }))
        .max();
    assert_eq!(longest, Some(max_backoff));
    // An unrealistic number of senders in the settings has no effect on the limits.
    for senders in [0, u32::MAX] {
        let mut watch = Watch::new(7, senders, Duration::ZERO, 1, at(0));
        let backoff = watch.on_failure(at(0), WatchFailure::Rejected { retry_after: None });
        assert!(
            backoff > Duration::ZERO && backoff <= WATCH_COST * MAX_COUNTED_SENDERS * 3 / 2,
            "{backoff:?}"
        );
    }
}

/// Guards against losing a change that could not be read: the watch continues from a later version, and discovery does not send
/// the change again.
#[test]
fn the_full_list_is_requested_once_after_an_unreadable_change() {
    let mut watch = watch(2, 7);
    let mut request = |ms| String::from_utf8(watch.next_request(at(ms), "d")).expect("text");
    assert!(request(0).contains("from=7"));
    watch.on_list(at(3), 8);
    watch.on_unreadable_entry();
    let mut request = |ms| String::from_utf8(watch.next_request(at(ms), "d")).expect("text");
    assert!(request(3).starts_with("GET /v1/endpoints HTTP"));
    watch.on_list(at(4), 8);
    assert!(
        String::from_utf8(watch.next_request(at(4), "d"))
            .expect("text")
            .contains("from=8")
    );
}

#[test]
fn the_next_request_is_immediate_unless_the_watch_was_not_held() {
    let mut watch = watch(2, 7);
    watch.next_request(at(0), "d");
    watch.on_list(at(3), 8);
    assert_eq!(watch.due(), Some(at(3)), "a change");
    watch.next_request(at(3), "d");
    watch.on_list(at(10_003), 8);
    assert_eq!(watch.due(), Some(at(10_003)), "held until its timeout");
    watch.next_request(at(10_003), "d");
    watch.on_list(at(10_004), 8);
    assert_eq!(watch.due(), Some(at(10_004) + RETRY_INTERVAL), "not held");
}

/// Guards against a discovery that stops answering: a sender counts as notified of a change after 6 s, whether it received it or
/// not. A request for the full list is not held, but its connection once stayed open for 12 s without an answer.
#[test]
fn a_silent_watch_is_reopened_before_its_changes_are_due() {
    let mut watch = watch(2, 7);
    for (requested, full) in [(0, false), (40_000, true)] {
        if full {
            watch.on_moved(at(requested));
        }
        let text = String::from_utf8(watch.next_request(at(requested), "d")).expect("text");
        let hold_ms = text
            .split_once("hold_ms=")
            .and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        assert_eq!(hold_ms.is_none(), full, "{text}");
        let hold = Duration::from_millis(hold_ms.unwrap_or(0));
        // Discovery may have failed right after the request.
        assert!(
            watch.response_deadline() > at(requested) + hold,
            "the timeout must not be before the end of the hold"
        );
        assert!(
            watch.response_deadline() + Duration::from_millis(400) < at(requested) + NOTIFIED,
            "full: {full}"
        );
    }
}

/// A sender counts as notified of a change this long after discovery had it and was reachable.
const NOTIFIED: Duration = Duration::from_secs(6);
/// The part of [`NOTIFIED`] that is reserved for the connect, the response and delays of the machine.
const MARGIN: Duration = Duration::from_millis(500);

/// The outcome of a request while discovery is unreachable. The number is when it occurs, as a fraction of the request's timeout.
#[derive(Clone, Copy, Debug)]
enum WatchOutcome {
    /// No connection was established, or it ended.
    ConnectFailed(f64),
    /// The response is not a list. It may have a Retry-After, in milliseconds.
    Rejected(f64, Option<u64>),
    /// No response until the timeout.
    TimedOut,
    /// A list with an unchanged version; false if some of its entries are not valid.
    Unchanged(f64, bool),
    /// Discovery moves to another address.
    Moved(f64),
}

fn any_outcome() -> impl Strategy<Value = WatchOutcome> {
    let fraction = || prop_oneof![Just(0.0), Just(1.0), 0.0..1.0];
    let retry_after = prop_oneof![
        Just(None),
        (0..100_000_000u64).prop_map(Some),
        (0..8000u64).prop_map(Some)
    ];
    prop_oneof![
        fraction().prop_map(WatchOutcome::ConnectFailed),
        (fraction(), retry_after)
            .prop_map(|(fraction, retry_after)| WatchOutcome::Rejected(fraction, retry_after)),
        Just(WatchOutcome::TimedOut),
        (fraction(), any::<bool>())
            .prop_map(|(fraction, all_valid)| WatchOutcome::Unchanged(fraction, all_valid)),
        fraction().prop_map(WatchOutcome::Moved),
    ]
}

/// Sends the next request and applies its outcome. Returns when it was sent, and when the next one is due.
fn apply(watch: &mut Watch, outcome: WatchOutcome) -> (Time, Time) {
    let requested = watch.due().expect("no request in flight");
    watch.next_request(requested, "d");
    let timeout = watch.response_deadline() - requested;
    let after = |fraction: f64| requested + timeout.mul_f64(fraction);
    match outcome {
        WatchOutcome::ConnectFailed(fraction) => {
            watch.on_failure(after(fraction), WatchFailure::ConnectFailed);
        }
        WatchOutcome::Rejected(fraction, retry_after) => {
            let retry_after = retry_after.map(Duration::from_millis);
            watch.on_failure(after(fraction), WatchFailure::Rejected { retry_after });
        }
        WatchOutcome::TimedOut => {
            watch.on_failure(watch.response_deadline(), WatchFailure::ConnectFailed);
        }
        WatchOutcome::Unchanged(fraction, all_valid) => {
            watch.on_list(after(fraction), 7);
            if !all_valid {
                watch.on_unreadable_entry();
            }
        }
        WatchOutcome::Moved(fraction) => watch.on_moved(after(fraction)),
    }
    (requested, watch.due().expect("the next one is due"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a late request after any sequence of outcomes, for any number of senders, limit on the backoff and jitter: once
    /// discovery is reachable, the next request must be early enough for its response to arrive within 6 s. The same holds for
    /// lists that are pushed and lists that are polled.
    #[test]
    fn the_next_request_is_in_time_after_any_sequence_of_outcomes(
        outcomes in prop::collection::vec(any_outcome(), 1..40),
        senders in prop_oneof![Just(0u32), Just(1), 2..600u32, Just(u32::MAX)],
        max_backoff_ms in prop_oneof![Just(0u64), Just(1), 0..60_000u64, Just(u64::MAX / 1_000_000)],
        seed in any::<u64>(),
    ) {
        let mut watch = Watch::new(7, senders, Duration::from_millis(max_backoff_ms), seed, at(0));
        for outcome in &outcomes {
            let (requested, next) = apply(&mut watch, *outcome);
            // In the worst case discovery becomes reachable right after a request that it does not answer.
            prop_assert!(next - requested <= NOTIFIED - MARGIN, "{outcome:?}: {:?}", next - requested);
        }
    }
}
