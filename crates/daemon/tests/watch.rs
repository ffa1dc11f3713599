//! When the directory is asked, with the clock as an input.

use std::collections::VecDeque;
use std::time::Duration;

use cranehill_daemon::watch::{MAX_REQUEST_INTERVAL, Watch, WatchFailure};
use cranehill_scheduler::Time;
use proptest::prelude::*;

const MUST_ASK: Duration = Duration::from_secs(10);
/// The first pause after a watch that could not be put, and what one costs a directory that refuses some.
const AGAIN: Duration = Duration::from_millis(100);
const COST: Duration = Duration::from_millis(50);
const SENDERS_MOST: u32 = 200;
const PAUSE_MOST: u32 = 4;

fn watch(senders: u32, seed: u64) -> Watch {
    Watch::new(7, senders, MUST_ASK, seed, Time(0))
}

fn at(ms: u64) -> Time {
    Time(ms * 1_000_000)
}

/// Days with 300 senders: spread over 10 s, 130 senders went on for up to 3.7 s by a list that named draining
/// endpoints, though their agents held the change: 393 sends to them.
#[test]
fn every_sender_asks_as_it_starts_and_as_the_directory_moves() {
    for seed in 0..300 {
        let mut watch = watch(300, seed);
        assert_eq!(watch.due(), Some(at(0)), "seed {seed}");
        watch.next_request(at(0), "d");
        for _ in 0..5 {
            watch.on_failure(at(10), WatchFailure::Rejected { retry_after: None });
        }
        watch.on_moved(at(20));
        assert_eq!(watch.due(), Some(at(20)), "seed {seed}");
        let question = String::from_utf8(watch.next_request(at(20), "d")).expect("text");
        assert!(question.starts_with("GET /v1/endpoints HTTP"), "{question}");
        let pause = watch.on_failure(at(30), WatchFailure::ConnectFailed);
        assert!(
            pause <= AGAIN * 3 / 2,
            "failures elsewhere are forgotten: {pause:?}, seed {seed}"
        );
    }
}

/// Days at size: of 100 senders asked to start at once, 61 waited longer than 2 s at a directory that needs 51 ms for
/// each question, and asking again at a fixed 100 ms kept all of them out for the whole day.
#[test]
fn all_senders_get_their_watch_though_they_start_at_once() {
    const SENDERS: usize = 100;
    let (cost, patience) = (51, 2_000);
    let mut watches: Vec<Watch> = (0..SENDERS)
        .map(|i| watch(SENDERS as u32, i as u64))
        .collect();
    // Questions in their order, also those whose sender has given up; what is at the front takes `cost`.
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
            && let Some((sender, asked)) = queue.pop_front()
        {
            busy_until = ms + cost;
            if ms - asked <= patience {
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
        let pauses: Vec<Duration> = (0..40)
            .map(|_| watch.on_failure(at(0), WatchFailure::Rejected { retry_after }))
            .collect();
        let (least, most) = (pauses.iter().min(), pauses.iter().max());
        assert!(
            most <= Some(&MAX_REQUEST_INTERVAL) && most > Some(&(MAX_REQUEST_INTERVAL * 9 / 10)),
            "{pauses:?}"
        );
        // Who was refused together, or told the same, is spread.
        assert!(least < Some(&(MAX_REQUEST_INTERVAL * 8 / 10)), "{pauses:?}");
    }
    // What could not be put burdened nobody: it is put again while the directory may be back.
    let longest = (0..40)
        .map(|_| watch.on_failure(at(0), WatchFailure::ConnectFailed))
        .max()
        .unwrap_or_default();
    assert!(
        longest > AGAIN * 2 && longest <= AGAIN * PAUSE_MOST * 3 / 2,
        "{longest:?}"
    );
    // What the settings say of the time without asking, where it is shorter.
    let must_ask = Duration::from_millis(700);
    let mut watch = Watch::new(7, 300, must_ask, 7, at(0));
    let longest = (0..40)
        .map(|_| watch.on_failure(at(0), WatchFailure::Rejected { retry_after: None }))
        .max();
    assert_eq!(longest, Some(must_ask));
    // What the settings may say of the senders' number does no harm.
    for senders in [0, u32::MAX] {
        let mut watch = Watch::new(7, senders, Duration::ZERO, 1, at(0));
        let pause = watch.on_failure(at(0), WatchFailure::Rejected { retry_after: None });
        assert!(
            pause > Duration::ZERO && pause <= COST * SENDERS_MOST * 3 / 2,
            "{pause:?}"
        );
    }
}

/// The version goes on past a change that could not be read: by itself the watch would never hear of it again.
#[test]
fn after_changes_that_could_not_be_read_the_whole_list_is_asked_for_once() {
    let mut watch = watch(2, 7);
    let mut question = |ms| String::from_utf8(watch.next_request(at(ms), "d")).expect("text");
    assert!(question(0).contains("from=7"));
    watch.on_list(at(3), 8);
    watch.on_unreadable_entry();
    let mut question = |ms| String::from_utf8(watch.next_request(at(ms), "d")).expect("text");
    assert!(question(3).starts_with("GET /v1/endpoints HTTP"));
    watch.on_list(at(4), 8);
    assert!(
        String::from_utf8(watch.next_request(at(4), "d"))
            .expect("text")
            .contains("from=8")
    );
}

#[test]
fn an_answer_is_followed_at_once_unless_the_watch_is_not_held() {
    let mut watch = watch(2, 7);
    watch.next_request(at(0), "d");
    watch.on_list(at(3), 8);
    assert_eq!(watch.due(), Some(at(3)), "a change");
    watch.next_request(at(3), "d");
    watch.on_list(at(10_003), 8);
    assert_eq!(watch.due(), Some(at(10_003)), "held to its end");
    watch.next_request(at(10_003), "d");
    watch.on_list(at(10_004), 8);
    assert_eq!(watch.due(), Some(at(10_004) + AGAIN), "not held");
}

/// Guards against a directory that falls silent: what it had to tell counts as told 6 s after, whether it came or not, and
/// however long the call may wait. A question for the whole list may not wait at all, and a connection to a silent agent was held
/// for 12 s all the same.
#[test]
fn a_silent_watch_is_reopened_before_its_changes_are_due() {
    let mut watch = watch(2, 7);
    for (asked, whole) in [(0, false), (40_000, true)] {
        if whole {
            watch.on_moved(at(asked));
        }
        let text = String::from_utf8(watch.next_request(at(asked), "d")).expect("text");
        let pending = text
            .split_once("hold_ms=")
            .and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        assert_eq!(pending.is_none(), whole, "{text}");
        let wait = Duration::from_millis(pending.unwrap_or(0));
        // It may have fallen silent as it was asked.
        assert!(
            watch.response_deadline() > at(asked) + wait,
            "an answer at the end of the wait is awaited"
        );
        assert!(
            watch.response_deadline() + Duration::from_millis(400) < at(asked) + NOTIFIED,
            "whole: {whole}"
        );
    }
}

/// A change counts as told so long after the directory had it and could be reached.
const NOTIFIED: Duration = Duration::from_secs(6);
/// Of it, left for the connection, the answer and delays of the machine.
const MARGIN: Duration = Duration::from_millis(500);

/// What becomes of a question before the directory can be reached, and after which part of the time that it may take.
#[derive(Clone, Copy, Debug)]
enum WatchOutcome {
    /// No connection, or one that ended.
    ConnectFailed(f64),
    /// An answer that is no list, perhaps with a wait in milliseconds.
    Refused(f64, Option<u64>),
    /// No answer: it is given up.
    Silent,
    /// The list as it was, after part of the wait; of it all, or not all could be read.
    Same(f64, bool),
    /// The directory is elsewhere from then on.
    Moved(f64),
}

fn any_outcome() -> impl Strategy<Value = WatchOutcome> {
    let part = || prop_oneof![Just(0.0), Just(1.0), 0.0..1.0];
    let retry_after = prop_oneof![
        Just(None),
        (0..100_000_000u64).prop_map(Some),
        (0..8000u64).prop_map(Some)
    ];
    prop_oneof![
        part().prop_map(WatchOutcome::ConnectFailed),
        (part(), retry_after)
            .prop_map(|(part, retry_after)| WatchOutcome::Refused(part, retry_after)),
        Just(WatchOutcome::Silent),
        (part(), any::<bool>()).prop_map(|(part, read)| WatchOutcome::Same(part, read)),
        part().prop_map(WatchOutcome::Moved),
    ]
}

/// Puts the question that is due, lets it meet its outcome, and tells when it was put and when the next one is due.
fn meet(watch: &mut Watch, outcome: WatchOutcome) -> (Time, Time) {
    let asked = watch.due().expect("nothing is out");
    watch.next_request(asked, "d");
    let longest = watch.response_deadline() - asked;
    let after = |part: f64| asked + longest.mul_f64(part);
    match outcome {
        WatchOutcome::ConnectFailed(part) => {
            watch.on_failure(after(part), WatchFailure::ConnectFailed);
        }
        WatchOutcome::Refused(part, retry_after) => {
            let retry_after = retry_after.map(Duration::from_millis);
            watch.on_failure(after(part), WatchFailure::Rejected { retry_after });
        }
        WatchOutcome::Silent => {
            watch.on_failure(watch.response_deadline(), WatchFailure::ConnectFailed);
        }
        WatchOutcome::Same(part, read) => {
            watch.on_list(after(part), 7);
            if !read {
                watch.on_unreadable_entry();
            }
        }
        WatchOutcome::Moved(part) => watch.on_moved(after(part)),
    }
    (asked, watch.due().expect("the next one is due"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever became of the calls before, any number of senders, any time without asking, any jitter: from when the directory
    /// can be reached, the next question comes in time for its answer to be here within 6 s. Lists that are pushed and lists
    /// that are asked for have the same clock.
    #[test]
    fn a_change_is_asked_for_in_time_whatever_became_of_the_calls_before(
        outcomes in prop::collection::vec(any_outcome(), 1..40),
        senders in prop_oneof![Just(0u32), Just(1), 2..600u32, Just(u32::MAX)],
        longest in prop_oneof![Just(0u64), Just(1), 0..60_000u64, Just(u64::MAX / 1_000_000)],
        seed in any::<u64>(),
    ) {
        let mut watch = Watch::new(7, senders, Duration::from_millis(longest), seed, at(0));
        for outcome in &outcomes {
            let (asked, next) = meet(&mut watch, *outcome);
            // The directory can be reached from just after a question on that it does not answer.
            prop_assert!(next - asked <= NOTIFIED - MARGIN, "{outcome:?}: {:?}", next - asked);
        }
    }
}
