//! Properties of the models under random inputs. The generators have fixed seeds, and a failure prints its case.

use std::time::Duration;

use cranehill_simulation::clients::{Class, ClientAnswer, Clients, Load, Target, zipf};
use cranehill_simulation::destination::{
    Asked, Connect, DeliveryOutcome, Reply, SimulatedDestination, Spec,
};
use cranehill_simulation::fault::{Fault, Kind, State, latest_outage, latest_recovery};
use cranehill_simulation::limit::{CallLimiter, Limit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        Just(Kind::Vanish),
        Just(Kind::Refuse),
        Just(Kind::Silent),
        Just(Kind::Closed),
        (0.0..1.0).prop_map(|share| Kind::Fail { share }),
        (0.0..1.0).prop_map(|share| Kind::Spoil { share }),
        (1.0..3.0).prop_map(|factor| Kind::Slow { factor }),
        (0.0..1.0).prop_map(|factor| Kind::Lower { factor }),
        (0.0..1.0).prop_map(|share| Kind::Repeat {
            share,
            least: ms(0),
            most: ms(10)
        }),
        Just(Kind::CloseIdle {
            least: ms(10),
            most: ms(500)
        }),
    ];
    (kind, 0..20_000u64, 0..8_000u64).prop_map(|(kind, start, length)| Fault {
        kind,
        start: ms(start),
        length: ms(length),
    })
}

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

proptest! {
    #![proptest_config(config())]

    /// A rate admits its calls per second and one burst more; a count admits its calls in each window. The next call is
    /// admitted at the stated time.
    #[test]
    fn a_limit_admits_at_most_its_rate_or_count(
        per_second in 0.5..20.0f64, burst in 1.0..4.0f64, calls in 1..8u32, span in 200..2000u64,
        gaps in prop::collection::vec(0..400u64, 1..200),
    ) {
        let mut rate = CallLimiter::new(Limit::Rate { per_second, burst });
        let mut count = CallLimiter::new(Limit::Count { calls, span: ms(span) });
        let (mut now, mut by_rate, mut by_span) = (0u64, 0u32, std::collections::BTreeMap::<u64, u32>::new());
        for gap in gaps {
            now += gap;
            match rate.admit(ms(now), false) {
                Ok(()) => by_rate += 1,
                // The stated time is exact if no other call comes first.
                Err(reached) => prop_assert!(rate.clone().admit(reached.retry_at + Duration::from_nanos(10), false).is_ok()),
            }
            prop_assert!(f64::from(by_rate) <= per_second * now as f64 / 1000.0 + burst + 1e-6);
            match count.admit(ms(now), false) {
                Ok(()) => *by_span.entry(now / span).or_default() += 1,
                Err(reached) => {
                    prop_assert!(reached.retry_at > ms(now) && reached.retry_at <= ms(now + span));
                    prop_assert!(count.clone().admit(reached.retry_at, false).is_ok());
                }
            }
            let (left, _) = count.load_report(ms(now));
            prop_assert!((0.0..=1.0).contains(&left));
        }
        prop_assert!(by_span.values().all(|&n| n <= calls));
    }

    /// The combined effect of faults does not depend on their order, and a further fault never reduces it.
    #[test]
    fn overlapping_faults_compose_in_any_order(faults in prop::collection::vec(fault(), 0..6), more in fault(), at in 0..30_000u64) {
        let now = ms(at);
        let state = State::of(&faults, now);
        let mut reversed = faults.clone();
        reversed.reverse();
        let other = State::of(&reversed, now);
        prop_assert!((state.failing_share - other.failing_share).abs() < 1e-9 && (state.slowdown - other.slowdown).abs() < 1e-9);
        prop_assert_eq!((state.vanished, state.refusing, state.silent, state.blocked_until), (other.vanished, other.refusing, other.silent, other.blocked_until));
        let mut with_more = faults.clone();
        with_more.push(more);
        let worse = State::of(&with_more, now);
        prop_assert!(worse.failing_share >= state.failing_share - 1e-9 && worse.slowdown >= state.slowdown - 1e-9 && (!state.is_down() || worse.is_down()));
        // A recovery means that no outage is active and one has ended.
        if let Some(recovered_at) = latest_recovery(&faults, now) {
            prop_assert!(recovered_at <= now && !faults.iter().any(|f| f.is_outage() && f.is_on(now)));
            let (start, end) = latest_outage(&faults, now).expect("an outage");
            prop_assert!(start < end && end == recovered_at);
        }
    }

    /// A reply is never earlier than its call and has one outcome for each message. A silent or unreachable destination does
    /// not reply.
    #[test]
    fn a_destination_answers_calls_unless_silent(
        seed in any::<u64>(), faults in prop::collection::vec(fault(), 0..5),
        calls in prop::collection::vec((0..300u64, 0..2usize, 1..6usize), 1..120),
    ) {
        let spec = Spec { endpoints: 2, batch: 5, limit: Limit::Count { calls: 5, span: ms(1000) }, reports: Some(ms(500)), ..Spec::default() };
        let mut destination = SimulatedDestination::new(spec, vec![faults.clone(), Vec::new()], rng(seed));
        let mut now = Duration::ZERO;
        for (gap, endpoint, messages) in calls {
            now += ms(gap);
            let state = destination.state(endpoint, now);
            let connect = destination.connect(now, endpoint);
            if state.vanished { prop_assert_eq!(connect, Connect::Nothing); }
            if connect == Connect::Up { destination.disconnect(endpoint); }
            let (reply, _) = destination.call(now, Asked { endpoint, messages });
            match reply {
                Reply::Answer { at, outcomes, wait, .. } => {
                    prop_assert!(at >= now && outcomes.len() == messages);
                    prop_assert!(!state.vanished && !state.silent && !state.refusing);
                    prop_assert!(wait.is_none_or(|w| w > Duration::ZERO));
                    if state.blocked_until.is_some() { prop_assert!(outcomes.iter().all(|outcome| *outcome == DeliveryOutcome::Busy)); }
                }
                Reply::Nothing => prop_assert!(state.vanished || state.silent),
                Reply::Spoilt { at, .. } | Reply::Reset { at, .. } => prop_assert!(at >= now),
            }
        }
    }

    /// The same seed gives the same submissions, and a message is submitted at most four times.
    #[test]
    fn clients_repeat_for_the_same_seed_and_bound_resubmissions(seed in any::<u64>(), answers in prop::collection::vec(0..4u8, 1..60)) {
        let play = || {
            let mut clients = Clients::new(load(), rng(seed));
            let (mut log, mut n) = (Vec::new(), 0);
            while let Some(at) = clients.next() {
                for (at, submission) in clients.hand_in(at) {
                    let client_answer = match answers[n % answers.len()] {
                        0 => ClientAnswer::Accepted,
                        1 => ClientAnswer::Rejected { after: Some(ms(300)) },
                        2 => ClientAnswer::Nothing,
                        _ => ClientAnswer::Error,
                    };
                    n += 1;
                    clients.answered(at + ms(5), &submission.id, client_answer);
                    if client_answer == ClientAnswer::Accepted { clients.delivered(at + ms(200), &submission.id); }
                    log.push(submission);
                }
            }
            let worth = clients.worth();
            (log, worth.0.to_bits(), clients.origins.len())
        };
        let (log, worth, origins) = play();
        prop_assert_eq!(&(log.clone(), worth, origins), &play());
        for origin in 0..origins {
            let submissions = log.iter().filter(|submission| submission.origin == origin).count();
            prop_assert!((1..=4).contains(&submissions), "{} submissions", submissions);
        }
        prop_assert!(f64::from_bits(worth) <= origins as f64);
    }
}

fn load() -> Load {
    let weights = zipf(6, 1.0);
    Load {
        push: None,
        rate: 30.0,
        tenants: vec![0.35, 0.34, 0.31],
        targets: (0..6)
            .map(|n| Target {
                destination: n,
                tenant: n as usize % 3,
                weight: weights[n as usize],
                max_rate: 4.0,
                push: false,
            })
            .collect(),
        classes: vec![Class {
            latency_objective: ms(4000),
            time_to_live: ms(20_000),
            keyed: true,
            order_keys: 0,
            share: 1.0,
            late_share: 0.4,
        }],
        clumps: 0.12,
        clump: (1.2, 3.5),
        hot: Vec::new(),
        body: (50, 300),
        retries: 3,
        pause: ms(500),
        patience: ms(400),
        until: ms(8000),
    }
}

/// Draws of many seeds have the configured rate, shares and clumps.
#[test]
fn the_load_has_its_configured_rate_and_tenant_shares() {
    let (mut count, mut by_tenant, mut clumped) = (0, [0; 3], 0);
    for seed in 0..40 {
        let mut clients = Clients::new(load(), rng(seed));
        let mut last = (Duration::ZERO, u64::MAX);
        while let Some(at) = clients.next() {
            for (at, submission) in clients.hand_in(at) {
                clients.answered(at, &submission.id, ClientAnswer::Accepted);
                count += 1;
                by_tenant[submission.tenant] += 1;
                clumped += usize::from(submission.destination == last.1 && at - last.0 < ms(60));
                last = (at, submission.destination);
            }
        }
    }
    let expected = 30.0 * 8.0 * 40.0;
    assert!(
        (f64::from(count) / expected - 1.0).abs() < 0.1,
        "{count} of {expected}"
    );
    for (n, share) in [0.35, 0.34, 0.31].iter().enumerate() {
        let actual = f64::from(by_tenant[n]) / f64::from(count);
        assert!((actual - share).abs() < 0.06, "tenant {n}: {actual}");
    }
    assert!(clumped > 300, "{clumped}");
}

/// Capacity is 23% after an outage and whole after 9.1 s. With N calls for 1.5 times the capacity over 3 s, the destination
/// fails at more than N + 2 * sqrt(N) + 2 calls.
#[test]
fn a_destination_that_warms_up_has_reduced_capacity_and_fails_when_overloaded() {
    let outage = Fault {
        kind: Kind::Refuse,
        start: ms(1000),
        length: ms(4000),
    };
    let new = |seed| {
        let spec = Spec {
            capacity: 100.0,
            queue: 1000,
            spread: 0.0,
            ..Spec::default()
        };
        SimulatedDestination::new(spec, vec![vec![outage]], rng(seed))
    };
    let destination = new(1);
    assert_eq!(destination.capacity(ms(2000)), 0.0);
    assert!((destination.capacity(ms(5000)) - 23.0).abs() < 1e-9);
    assert!((destination.capacity(ms(5000 + 4550)) - 61.5).abs() < 1e-6);
    assert!((destination.capacity(ms(5000 + 9100)) - 100.0).abs() < 1e-9);
    // A load just below 1.5 times the capacity is tolerated throughout the slow start.
    let mut paced = new(2);
    let mut backlog = 0.0;
    for step in 0..9100u64 {
        let now = ms(5000 + step);
        backlog += paced.capacity(now) * 1.45 / 1000.0;
        while backlog >= 1.0 {
            backlog -= 1.0;
            assert!(
                !paced
                    .call(
                        now,
                        Asked {
                            endpoint: 0,
                            messages: 1
                        }
                    )
                    .1,
                "at {step} ms"
            );
        }
    }
    assert!(!paced.has_failed());
    // The rate of a warm destination is not: the 250th call comes after 2.49 s, when N is 198 and 228 calls are tolerated.
    let mut fast = new(3);
    let failed = (0..600u64).find(|n| {
        fast.call(
            ms(5000 + n * 10),
            Asked {
                endpoint: 0,
                messages: 1,
            },
        )
        .1
    });
    assert!(
        failed.is_some_and(|n| (200..250).contains(&n)),
        "{failed:?}"
    );
    assert_eq!(
        (fast.capacity(ms(30_000)), fast.connect(ms(30_000), 0)),
        (0.0, Connect::Refused)
    );
}

/// Calls beyond the workers wait in the queue, and calls beyond the queue are rejected, not left unanswered.
#[test]
fn calls_beyond_a_full_queue_are_rejected() {
    let spec = Spec {
        capacity: 5.0,
        queue: 3,
        spread: 0.0,
        pace: ms(200),
        ..Spec::default()
    };
    let mut destination = SimulatedDestination::new(spec, Vec::new(), rng(4));
    let replies: Vec<Reply> = (0..6)
        .map(|_| {
            destination
                .call(
                    ms(0),
                    Asked {
                        endpoint: 0,
                        messages: 1,
                    },
                )
                .0
        })
        .collect();
    let done = |r: &Reply| match r {
        Reply::Answer { at, outcomes, .. } if outcomes[0] == DeliveryOutcome::Done => {
            Some(at.as_millis())
        }
        _ => None,
    };
    assert_eq!(
        replies.iter().filter_map(done).collect::<Vec<_>>(),
        [200, 400, 600, 800]
    );
    assert_eq!(replies.iter().filter(|r| done(r).is_none()).count(), 2);
}
