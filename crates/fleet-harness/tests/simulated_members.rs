//! Simulated members in virtual time: the seed decides everything, and each disturbance must show in the figures.

use std::time::Duration;

use cranehill_fleet_harness::simulated::{
    Conditions, Disturbance, MEMBERS_MOST, Observation, Observed, Observer, Seen,
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

/// What the machine measures is no part of what the seed decides.
fn by_seed(figures: SimulatedFleetFigures) -> SimulatedFleetFigures {
    SimulatedFleetFigures {
        cpu_milliseconds_per_second: 0.0,
        resident_bytes_per_member: 0,
        ..figures
    }
}

/// Guards the virtual mode against any hidden clock, thread or map order.
#[test]
fn the_same_seed_gives_the_same_figures_and_another_seed_others() {
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

/// Guards crashes: each is down in every live view, after a suspicion at least and before the play ends.
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

/// Guards cuts: for as long as one lasts nobody sees the other half, and no half takes more than its share before the
/// eviction delay. A cut that outlasts the play never heals, and must be told so.
#[test]
fn halves_lose_sight_of_each_other_take_no_more_and_find_each_other_again() {
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
        note(&mut observer, 0, by, Observed::Generation(1));
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

fn sees(member: usize, generation: u64, seen: Seen) -> Observed {
    Observed::Sees {
        member,
        generation,
        seen,
    }
}

/// Guards the judge: one that is alive in a generation that is over is not seen, as little as one that is suspected.
#[test]
fn a_view_of_an_earlier_generation_is_no_agreement() {
    let mut observer = pair();
    note(&mut observer, 2, 1, Observed::Generation(2));
    assert_eq!((observer.agrees(), observer.missing()), (false, 1));
    note(&mut observer, 3, 0, sees(1, 2, Seen::Alive));
    assert!(observer.agrees());
    note(&mut observer, 4, 0, sees(1, 2, Seen::Suspect));
    assert_eq!((observer.agrees(), observer.missing()), (false, 1));
    // A late word of the generation before changes nothing.
    note(&mut observer, 5, 0, sees(1, 1, Seen::Alive));
    assert!(!observer.agrees());
}

/// Guards the judge: a crash that a view misses is undetected, a down without a cause is false, and a limit is divided
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

/// Guards restarts: a member that is back counts as seen only in its present generation.
#[test]
fn restarted_members_are_seen_in_their_new_generation() {
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

/// Guards racks and zones: so many members as they should be are gone.
#[test]
fn racks_and_zones_go_down_whole() {
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

/// Guards traffic counters: what is sent over a whole way arrives, so that both directions come to the same.
#[test]
fn bytes_are_counted_in_both_directions() {
    // What is on its way as the measure begins is received and not sent: it is little beside ten minutes.
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

/// Whatever can't be played is an error before anything starts, on one line.
#[test]
fn unplayable_plans_are_errors() {
    let good = plan(Disturbance::None, 1);
    let with = |disturbance| SimulatedFleetPlan {
        disturbance,
        ..good.clone()
    };
    let timed = |timing| SimulatedFleetPlan {
        timing,
        ..good.clone()
    };
    let second = Duration::from_secs(1);
    let cases = [
        (
            SimulatedFleetPlan {
                members: 0,
                ..good.clone()
            },
            "members: 0 ",
        ),
        (
            SimulatedFleetPlan {
                members: 1,
                ..good.clone()
            },
            "members: 1 ",
        ),
        (
            SimulatedFleetPlan {
                members: MEMBERS_MOST + 1,
                ..good.clone()
            },
            "members: 2001 ",
        ),
        (
            SimulatedFleetPlan {
                members: usize::MAX,
                transport: Transport::Udp,
                ..good.clone()
            },
            "members: ",
        ),
        (
            SimulatedFleetPlan {
                duration: Duration::ZERO,
                ..good.clone()
            },
            "duration: ",
        ),
        (
            SimulatedFleetPlan {
                duration: Duration::MAX,
                ..good.clone()
            },
            "duration: ",
        ),
        (
            with(Disturbance::Crashes { one_in: 0 }),
            "disturbance: one in 0",
        ),
        (
            with(Disturbance::ZoneDown { zones: 0 }),
            "disturbance: one zone of 0",
        ),
        (
            with(Disturbance::ZoneDown { zones: 31 }),
            "disturbance: one zone of 31",
        ),
        (
            with(Disturbance::Restarts { count: 30 }),
            "disturbance: 30 restarts",
        ),
        (
            with(Disturbance::Halves {
                duration: Duration::MAX,
            }),
            "disturbance: halves",
        ),
        (
            timed(Timing {
                period: Duration::ZERO,
                ..Timing::default()
            }),
            "timing: period",
        ),
        (
            timed(Timing {
                round_trip: second,
                ..Timing::default()
            }),
            "timing: round_trip",
        ),
        (
            timed(Timing {
                suspicion: Some(second / 2),
                ..Timing::default()
            }),
            "timing: suspicion",
        ),
        (
            timed(Timing {
                late: Duration::ZERO,
                ..Timing::default()
            }),
            "timing: late",
        ),
        (
            SimulatedFleetPlan {
                conditions: Conditions {
                    loss: f64::NAN,
                    ..Conditions::default()
                },
                ..good.clone()
            },
            "conditions: loss",
        ),
    ];
    for (plan, why) in cases {
        let error: SimulatedFleetError = play(&plan).expect_err(why);
        let state_changes = error.to_string();
        assert!(
            state_changes.starts_with(why) && !state_changes.contains('\n'),
            "{plan:?}: {state_changes}"
        );
    }
}
