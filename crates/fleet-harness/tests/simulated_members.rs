//! Simulated members in virtual time: the seed decides everything, and each disturbance must show in the figures.

use std::time::Duration;

use cranehill_fleet_harness::simulated::{
    Conditions, Disturbance, MAX_MEMBERS, Observation, Observed, Observer, Seen,
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

fn played(plan: &SimulatedFleetPlan) -> SimulatedFleetFigures {
    println!("{plan:?}");
    play(plan).expect("it plays")
}

/// Without the figures that the machine decides, not the seed.
fn by_seed(figures: SimulatedFleetFigures) -> SimulatedFleetFigures {
    SimulatedFleetFigures {
        cpu_milliseconds_per_second: 0.0,
        resident_bytes_per_member: 0,
        ..figures
    }
}

/// No clock, thread or map order may influence a run in virtual time.
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
    let first = by_seed(played(&plan(3)));
    assert_eq!(first, by_seed(played(&plan(3))));
    assert_ne!(first, by_seed(played(&plan(4))));
    assert!(first.lost > 0, "{first:?}");
}

/// Each is down in every live view, after a suspicion at least and before the run ends.
#[test]
fn crashed_members_are_seen_down_by_all_others() {
    let figures = played(&plan(Disturbance::Crashes { one_in: 10 }, 1));
    assert_eq!(figures.failed(1.0), Vec::<String>::new(), "{figures:?}");
    let detection = figures.detection.expect("three have crashed");
    let suspicion = 4.0 * (MEMBERS as f64).log10();
    assert!(
        detection.mean > suspicion && detection.most < 54.0,
        "{detection:?}"
    );
    let agreed = figures.agreed_after.expect("it agreed");
    assert!(
        agreed.as_secs_f64() >= detection.most - 0.1,
        "no agreement before the last view: {figures:?}"
    );
}

/// During a cut nobody sees the other half, and no half exceeds its share of a limit before the
/// eviction delay. A cut that outlasts the play never heals, and the figures must show it.
#[test]
fn cut_halves_exceed_no_limit_and_agree_after_the_cut() {
    let healed = played(&plan(
        Disturbance::Halves {
            duration: Duration::from_secs(25),
        },
        2,
    ));
    assert_eq!(healed.failed(1.0), Vec::<String>::new(), "{healed:?}");
    assert!(
        healed.lost > 100 && healed.agreed_after.is_some_and(|after| !after.is_zero()),
        "{healed:?}"
    );
    // It heals a tenth of a second before the end.
    let cut = Disturbance::Halves {
        duration: Duration::from_millis(53_900),
    };
    let timing = Timing {
        eviction_delay: None,
        ..Timing::default()
    };
    let open = played(&SimulatedFleetPlan {
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

/// Two members that have started and see each other alive.
fn pair() -> Observer {
    let mut observer = Observer::new(2);
    for by in [0, 1] {
        note(&mut observer, 0, by, Observed::Started);
        note(&mut observer, 0, by, Observed::Incarnation(1));
    }
    note(&mut observer, 1, 0, sees(1, 1, Seen::Alive));
    assert!(!observer.agrees(), "one of two sees the other");
    note(&mut observer, 1, 1, sees(0, 1, Seen::Alive));
    assert!(observer.agrees());
    observer
}

fn note(observer: &mut Observer, second: u64, by: usize, what: Observed) {
    observer.note(&Observation {
        at: Time(second * 1_000_000_000),
        by,
        what,
    });
}

fn sees(member: usize, incarnation: u64, seen: Seen) -> Observed {
    Observed::Sees {
        member,
        incarnation,
        seen,
    }
}

/// A member that is alive in an earlier incarnation is not seen, nor is one that is suspected.
#[test]
fn a_view_of_an_earlier_incarnation_is_no_agreement() {
    let mut observer = pair();
    note(&mut observer, 2, 1, Observed::Incarnation(2));
    assert_eq!((observer.agrees(), observer.missing()), (false, 1));
    note(&mut observer, 3, 0, sees(1, 2, Seen::Alive));
    assert!(observer.agrees());
    note(&mut observer, 4, 0, sees(1, 2, Seen::Suspect));
    assert_eq!((observer.agrees(), observer.missing()), (false, 1));
    // A late report of the earlier incarnation changes nothing.
    note(&mut observer, 5, 0, sees(1, 1, Seen::Alive));
    assert!(!observer.agrees());
}

/// a crash that a view misses is undetected, a down without a cause is false, and a limit is divided
/// among those that are there.
#[test]
fn a_report_lists_crashes_false_downs_and_quotas() {
    let mut observer = pair();
    note(&mut observer, 2, 0, sees(1, 1, Seen::Down));
    assert_eq!((observer.false_downs(), observer.missing()), (1, 1));
    note(&mut observer, 3, 0, sees(1, 1, Seen::Alive));
    note(&mut observer, 10, 1, Observed::Crashed);
    assert_eq!((observer.agrees(), observer.undetected()), (false, 1));
    note(&mut observer, 17, 0, sees(1, 1, Seen::Down));
    assert_eq!(
        (
            observer.agrees(),
            observer.undetected(),
            observer.detections()
        ),
        (true, 0, vec![7.0])
    );
    assert_eq!((observer.false_downs(), observer.largest_share()), (1, 1.0));
    note(&mut observer, 20, 0, Observed::Senders(1));
    assert!(observer.largest_share() <= 1.0, "one alone may have all");
    note(&mut observer, 21, 1, Observed::Started);
    assert!(observer.largest_share() > 1.4, "one has all, and one half");
}

/// A restarted member counts as seen only in its present incarnation.
#[test]
fn restarted_members_are_seen_in_their_new_incarnation() {
    let figures = played(&plan(Disturbance::Restarts { count: 10 }, 5));
    assert_eq!(figures.failed(1.0), Vec::<String>::new(), "{figures:?}");
    assert!(
        figures.agreed_after.is_some_and(|after| !after.is_zero()),
        "{figures:?}"
    );
    assert_eq!(
        figures.detection, None,
        "back long before a suspicion is over, so nobody holds them to be down"
    );
}

/// All members of a rack or zone go down.
#[test]
fn all_members_of_a_rack_or_zone_go_down() {
    let detected = |disturbance| {
        let figures = played(&plan(disturbance, 7));
        assert_eq!(figures.failed(1.0), Vec::<String>::new(), "{figures:?}");
        figures.detection.expect("some have crashed")
    };
    let (rack, zone) = (
        detected(Disturbance::RackDown),
        detected(Disturbance::ZoneDown { zones: 6 }),
    );
    assert!(rack.most > 0.0 && zone.most > 0.0);
}

/// Without faults every packet arrives, so both directions count the same.
#[test]
fn bytes_are_counted_in_both_directions() {
    // Packets in flight as the measured duration begins are received and not sent: few, compared with ten minutes.
    let duration = Duration::from_secs(600);
    let figures = played(&SimulatedFleetPlan {
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

/// A plan that can't be played is an error before anything starts, on one line.
fn assert_rejected(plan: &SimulatedFleetPlan, start: &str) {
    let error: SimulatedFleetError = play(plan).expect_err(start);
    let text = error.to_string();
    assert!(
        text.starts_with(start) && !text.contains('\n'),
        "{plan:?}: {text}"
    );
}

fn sized(members: usize) -> SimulatedFleetPlan {
    SimulatedFleetPlan {
        members,
        ..plan(Disturbance::None, 1)
    }
}

fn lasting(duration: Duration) -> SimulatedFleetPlan {
    SimulatedFleetPlan {
        duration,
        ..plan(Disturbance::None, 1)
    }
}

fn timed(timing: Timing) -> SimulatedFleetPlan {
    SimulatedFleetPlan {
        timing,
        ..plan(Disturbance::None, 1)
    }
}

#[test]
fn fleets_and_durations_out_of_range_are_errors() {
    assert_rejected(&sized(0), "members: 0 ");
    assert_rejected(&sized(1), "members: 1 ");
    assert_rejected(&sized(MAX_MEMBERS + 1), "members: 2001 ");
    let udp = SimulatedFleetPlan {
        transport: Transport::Udp,
        ..sized(usize::MAX)
    };
    assert_rejected(&udp, "members: ");
    assert_rejected(&lasting(Duration::ZERO), "duration: ");
    assert_rejected(&lasting(Duration::MAX), "duration: ");
}

#[test]
fn disturbances_that_do_not_fit_the_fleet_are_errors() {
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
fn timings_and_conditions_out_of_range_are_errors() {
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
    let late = Timing {
        late: Duration::ZERO,
        ..usual
    };
    assert_rejected(&timed(period), "timing: period");
    assert_rejected(&timed(round_trip), "timing: round_trip");
    assert_rejected(&timed(suspicion), "timing: suspicion");
    assert_rejected(&timed(late), "timing: late");
    let loss = SimulatedFleetPlan {
        conditions: Conditions {
            loss: f64::NAN,
            ..Conditions::default()
        },
        ..plan(Disturbance::None, 1)
    };
    assert_rejected(&loss, "conditions: loss");
}
