//! Simulated members in virtual time: the figures depend on the seed alone, and show the effect of each disturbance.

use std::time::Duration;

use cranehill_fleet_harness::simulated::{
    Conditions, Disturbance, MAX_MEMBERS, MemberEvent, Observation, Observer, Seen,
    SimulatedFleetError, SimulatedFleetFigures, SimulatedFleetPlan, Timing, Transport, play,
};
use cranehill_scheduler::Time;

const MEMBERS: usize = 30;

fn plan(disturbance: Disturbance, seed: u64) -> SimulatedFleetPlan {
    let duration = Duration::from_secs(60);
    SimulatedFleetPlan {
        members: MEMBERS,
        duration,
        disturbance,
        seed,
        ..SimulatedFleetPlan::default()
    }
}

/// Runs a plan, and prints it for the case of a failure.
fn run(plan: &SimulatedFleetPlan) -> SimulatedFleetFigures {
    println!("{plan:?}");
    play(plan).expect("the fleet runs")
}

/// The figures without those that depend on the machine.
fn seed_dependent(figures: SimulatedFleetFigures) -> SimulatedFleetFigures {
    SimulatedFleetFigures {
        cpu_milliseconds_per_second: 0.0,
        resident_bytes_per_member: 0,
        ..figures
    }
}

/// A clock, thread or map order that influences a run in virtual time would make it impossible to repeat.
#[test]
fn figures_depend_on_the_seed_alone() {
    let conditions = Conditions {
        loss: 0.05,
        ..Conditions::default()
    };
    let plan = |seed| SimulatedFleetPlan {
        conditions,
        ..plan(Disturbance::Crashes { one_in: 10 }, seed)
    };
    let first = seed_dependent(run(&plan(3)));
    assert_eq!(first, seed_dependent(run(&plan(3))));
    assert_ne!(first, seed_dependent(run(&plan(4))));
    assert!(first.lost > 0, "{first:?}");
}

/// A crash that is detected before a suspicion can end, or not by all, would be wrong. All views agree only after the last
/// detection.
#[test]
fn crashed_members_are_detected_by_all_others() {
    let figures = run(&plan(Disturbance::Crashes { one_in: 10 }, 1));
    assert_eq!(figures.failed(1.0), Vec::<String>::new(), "{figures:?}");
    let detection = figures.detection.expect("three members have crashed");
    let suspicion = 4.0 * (MEMBERS as f64).log10();
    assert!(
        detection.mean > suspicion && detection.most < 54.0,
        "{detection:?}"
    );
    let agreed = figures.agreed_after.expect("the views agreed");
    assert!(
        agreed.as_secs_f64() >= detection.most - 0.1,
        "agreement before the last detection: {figures:?}"
    );
}

/// During a cut no half may exceed its share of a limit before the eviction delay, and the views agree again after it. If there
/// is no time left after the cut, the figures show the missing members.
#[test]
fn cut_halves_exceed_no_limit_and_agree_after_the_cut() {
    let ended = run(&plan(
        Disturbance::Halves {
            duration: Duration::from_secs(25),
        },
        2,
    ));
    assert_eq!(ended.failed(1.0), Vec::<String>::new(), "{ended:?}");
    assert!(
        ended.lost > 100 && ended.agreed_after.is_some_and(|after| !after.is_zero()),
        "{ended:?}"
    );
    // The cut ends a tenth of a second before the run.
    let cut = Disturbance::Halves {
        duration: Duration::from_millis(53_900),
    };
    let timing = Timing {
        eviction_delay: None,
        ..Timing::default()
    };
    let open = run(&SimulatedFleetPlan {
        timing,
        ..plan(cut, 2)
    });
    let half = MEMBERS / 2;
    assert!(
        open.missing_live_members > half * half && open.agreed_after.is_none(),
        "{open:?}"
    );
    assert!(open.largest_share <= 1.0, "{open:?}");
}

/// An observer of two members that have started and see each other alive.
fn pair() -> Observer {
    let mut observer = Observer::new(2);
    for by in [0, 1] {
        observe(&mut observer, 0, by, MemberEvent::Started);
        observe(&mut observer, 0, by, MemberEvent::Incarnation(1));
    }
    observe(&mut observer, 1, 0, sees(1, 1, Seen::Alive));
    assert!(!observer.agrees(), "only one member sees the other");
    observe(&mut observer, 1, 1, sees(0, 1, Seen::Alive));
    assert!(observer.agrees());
    observer
}

fn observe(observer: &mut Observer, second: u64, reporter: usize, event: MemberEvent) {
    observer.add(&Observation {
        at: Time(second * 1_000_000_000),
        reporter,
        event,
    });
}

fn sees(member: usize, incarnation: u64, seen: Seen) -> MemberEvent {
    MemberEvent::Sees {
        member,
        incarnation,
        seen,
    }
}

/// A view that considers a member alive in an earlier incarnation, or suspects it, must not count as agreement.
#[test]
fn views_of_an_earlier_incarnation_do_not_agree() {
    let mut observer = pair();
    observe(&mut observer, 2, 1, MemberEvent::Incarnation(2));
    assert_eq!(
        (observer.agrees(), observer.missing_live_members()),
        (false, 1)
    );
    observe(&mut observer, 3, 0, sees(1, 2, Seen::Alive));
    assert!(observer.agrees());
    observe(&mut observer, 4, 0, sees(1, 2, Seen::Suspect));
    assert_eq!(
        (observer.agrees(), observer.missing_live_members()),
        (false, 1)
    );
    // A late report of the earlier incarnation does not restore agreement.
    observe(&mut observer, 5, 0, sees(1, 1, Seen::Alive));
    assert!(!observer.agrees());
}

/// A crash is undetected while a view does not show it, a view that considers a running member down is a false down, and shares
/// of a limit are summed over the running members only.
#[test]
fn observer_counts_detections_false_downs_and_shares() {
    let mut observer = pair();
    observe(&mut observer, 2, 0, sees(1, 1, Seen::Down));
    assert_eq!(
        (observer.false_downs(), observer.missing_live_members()),
        (1, 1)
    );
    observe(&mut observer, 3, 0, sees(1, 1, Seen::Alive));
    observe(&mut observer, 10, 1, MemberEvent::Crashed);
    assert_eq!(
        (observer.agrees(), observer.undetected_crashes()),
        (false, 1)
    );
    observe(&mut observer, 17, 0, sees(1, 1, Seen::Down));
    assert_eq!(
        (
            observer.agrees(),
            observer.undetected_crashes(),
            observer.detections()
        ),
        (true, 0, vec![7.0])
    );
    assert_eq!((observer.false_downs(), observer.largest_share()), (1, 1.0));
    observe(&mut observer, 20, 0, MemberEvent::Senders(1));
    assert!(
        observer.largest_share() <= 1.0,
        "a single running member may use the whole limit"
    );
    observe(&mut observer, 21, 1, MemberEvent::Started);
    assert!(
        observer.largest_share() > 1.4,
        "one member uses the whole limit and the other half of it"
    );
}

/// A restarted member counts as seen only in its new incarnation.
#[test]
fn restarted_members_are_seen_in_their_new_incarnation() {
    let figures = run(&plan(Disturbance::Restarts { count: 10 }, 5));
    assert_eq!(figures.failed(1.0), Vec::<String>::new(), "{figures:?}");
    assert!(
        figures.agreed_after.is_some_and(|after| !after.is_zero()),
        "{figures:?}"
    );
    assert_eq!(
        figures.detection, None,
        "the members restart before a suspicion ends, so no view considers them down"
    );
}

/// The loss of a rack or a zone is detected, and the views of the remaining members agree.
#[test]
fn loss_of_a_rack_or_zone_is_detected() {
    let detected = |disturbance| {
        let figures = run(&plan(disturbance, 7));
        assert_eq!(figures.failed(1.0), Vec::<String>::new(), "{figures:?}");
        figures.detection.expect("some members have crashed")
    };
    let (rack, zone) = (
        detected(Disturbance::RackDown),
        detected(Disturbance::ZoneDown { zones: 6 }),
    );
    assert!(rack.most > 0.0 && zone.most > 0.0);
}

/// Without faults every packet arrives, so the bytes sent and received are equal.
#[test]
fn bytes_are_counted_in_both_directions() {
    // Packets in flight when the measured duration begins count as received and not as sent; over ten minutes they are few.
    let duration = Duration::from_secs(600);
    let figures = run(&SimulatedFleetPlan {
        duration,
        ..plan(Disturbance::None, 8)
    });
    let (sent, received) = (
        figures.bytes_sent_per_second.mean,
        figures.bytes_received_per_second.mean,
    );
    assert!(
        sent > 0.0 && (sent - received).abs() < sent * 0.01,
        "{figures:?}"
    );
    assert!(
        figures.packets_sent_per_second.mean * figures.largest_packet as f64 >= sent,
        "{figures:?}"
    );
}

/// Checks that an invalid plan is rejected with a one-line error that has this prefix.
fn assert_rejected(plan: &SimulatedFleetPlan, prefix: &str) {
    let error: SimulatedFleetError = play(plan).expect_err(prefix);
    let text = error.to_string();
    assert!(
        text.starts_with(prefix) && !text.contains('\n'),
        "{plan:?}: {text}"
    );
}

fn with_members(members: usize) -> SimulatedFleetPlan {
    SimulatedFleetPlan {
        members,
        ..plan(Disturbance::None, 1)
    }
}

fn with_duration(duration: Duration) -> SimulatedFleetPlan {
    SimulatedFleetPlan {
        duration,
        ..plan(Disturbance::None, 1)
    }
}

fn with_timing(timing: Timing) -> SimulatedFleetPlan {
    SimulatedFleetPlan {
        timing,
        ..plan(Disturbance::None, 1)
    }
}

#[test]
fn plans_with_members_or_duration_out_of_range_are_rejected() {
    assert_rejected(&with_members(0), "members: 0 ");
    assert_rejected(&with_members(1), "members: 1 ");
    assert_rejected(&with_members(MAX_MEMBERS + 1), "members: 2001 ");
    let udp = SimulatedFleetPlan {
        transport: Transport::Udp,
        ..with_members(usize::MAX)
    };
    assert_rejected(&udp, "members: ");
    assert_rejected(&with_duration(Duration::ZERO), "duration: ");
    assert_rejected(&with_duration(Duration::MAX), "duration: ");
}

#[test]
fn disturbances_that_do_not_fit_the_fleet_are_rejected() {
    let halves = Disturbance::Halves {
        duration: Duration::MAX,
    };
    for (disturbance, start) in [
        (Disturbance::Crashes { one_in: 0 }, "disturbance: one in 0"),
        (
            Disturbance::ZoneDown { zones: 0 },
            "disturbance: one zone of 0",
        ),
        (
            Disturbance::ZoneDown { zones: 31 },
            "disturbance: one zone of 31",
        ),
        (
            Disturbance::Restarts { count: 30 },
            "disturbance: 30 restarts",
        ),
        (halves, "disturbance: halves"),
    ] {
        assert_rejected(&plan(disturbance, 1), start);
    }
}

#[test]
fn timings_and_conditions_out_of_range_are_rejected() {
    let second = Duration::from_secs(1);
    let usual = Timing::default();
    let period = Timing {
        period: Duration::ZERO,
        ..usual
    };
    let round_trip = Timing {
        round_trip: second,
        ..usual
    };
    let suspicion = Timing {
        suspicion: Some(second / 2),
        ..usual
    };
    let max_packet_age = Timing {
        max_packet_age: Duration::ZERO,
        ..usual
    };
    assert_rejected(&with_timing(period), "timing: period");
    assert_rejected(&with_timing(round_trip), "timing: round_trip");
    assert_rejected(&with_timing(suspicion), "timing: suspicion");
    assert_rejected(&with_timing(max_packet_age), "timing: max_packet_age");
    let loss = SimulatedFleetPlan {
        conditions: Conditions {
            loss: f64::NAN,
            ..Conditions::default()
        },
        ..plan(Disturbance::None, 1)
    };
    assert_rejected(&loss, "conditions: loss");
}
