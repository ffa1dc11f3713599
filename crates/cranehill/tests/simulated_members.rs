//! Simulated members and real senders in one fleet, and simulated members over sockets alone.

use std::process::Command;
use std::time::Duration;

use cranehill_fleet_harness::simulated::{
    Disturbance, SimulatedFleetPlan, Timing, Transport, play as play_simulated,
};
use cranehill_fleet_harness::{Report, Timeline, play, table};
use cranehill_scenario_runner::{Limits, Plan, report};
use cranehill_simulation::scenario;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cranehill");

/// Two real senders are 0 and 1, simulated members 2 to 21. The cut leaves one real sender and some simulated members on each
/// side, and lasts longer than a suspicion.
const DAY: &str = r#"name = "two senders and twenty simulated members"
lasts = "32 s"
senders = 2
[load]
rate = "10/s"
clumps = 0.0
[[class]]
name = "event"
aim = "2 s"
lasts = "6 s"
[[partner]]
name = "onda"
count = 2
endpoints = 2
limit = "600/s burst 100"
capacity = "900/s"
pace = "50 ms"
reports = "400 ms"
[fleet]
period = "400 ms"
round_trip = "150 ms"
suspicion = "2 s"
hold = "60 s"
[[break]]
kind = "cut"
from = [0, 2, 3, 4, 5, 6]
to = "others"
at = "2 s"
lasts = "6 s"
[[break]]
kind = "kill"
senders = [1, 7]
at = "16 s"
back = "never"
"#;
const SENDERS: usize = 2;
const SIMULATED: usize = 20;
const KILLED_REAL: usize = 1;
const KILLED_SIMULATED: usize = 7;

/// Guards the mixed fleet: both kinds find each other by their seeds, a cut between them takes effect in each of the four
/// directions, and each kind holds a killed member of the other to be down. What is expected is an order of events, never
/// a time.
#[test]
fn real_senders_and_simulated_members_form_one_fleet() {
    let scenario = scenario::parse_with_simulated(DAY, 1, None, SIMULATED).expect("a good day");
    let plan = Plan {
        scenario,
        seed: 1,
        program: PROGRAM.into(),
        limits: Limits::default(),
        mutation: None,
        against: None,
    };
    let (outcome, traffic) = play(&plan, |_, _| {}).expect("it plays");
    let judged = Report::of(&plan, &outcome, &traffic);
    let shown = table(&plan, &outcome, &judged).join("\n");
    assert!(
        outcome.holds() && report::broken(&outcome).is_empty(),
        "{shown}"
    );
    let simulated = traffic
        .simulated
        .as_ref()
        .expect("there are simulated members");
    let mut timeline = Timeline::read(&outcome.logs, &outcome.lines, outcome.began);
    timeline.add_simulated(simulated);
    let states = |by: usize, of: usize| -> Vec<&str> {
        let about = timeline
            .state_changes
            .iter()
            .filter(|printed| printed.by == by && printed.of == of);
        about.map(|printed| printed.state.as_str()).collect()
    };
    check_views(&states, &shown);
    check_cut(&states, &shown);
    assert!(judged.largest_share <= 1.0, "{shown}");
    assert!(
        simulated.bytes_sent > 0 && simulated.bytes_received > 0 && simulated.lost > 0,
        "{shown}"
    );
    assert!(
        traffic.packets[0] > 0
            && judged
                .simulated
                .as_ref()
                .is_some_and(|h| h.members == SIMULATED),
        "{shown}"
    );
}

/// Every live member has seen each other member alive, and ends with a view that has the killed ones down.
fn check_views<'log>(states: &impl Fn(usize, usize) -> Vec<&'log str>, shown: &str) {
    let killed = [KILLED_REAL, KILLED_SIMULATED];
    for by in (0..SENDERS + SIMULATED).filter(|by| !killed.contains(by)) {
        for of in (0..SENDERS + SIMULATED).filter(|of| *of != by) {
            let last = if killed.contains(&of) {
                "down"
            } else {
                "alive"
            };
            let printed = states(by, of);
            assert!(
                printed.contains(&"alive"),
                "{by} never saw {of}: {printed:?}\n{shown}"
            );
            assert_eq!(
                printed.last(),
                Some(&last),
                "{of} as {by} sees it: {printed:?}\n{shown}"
            );
        }
    }
}

/// Across the cut, a member is down and then alive again: real to simulated, simulated to real, and among simulated ones.
fn check_cut<'log>(states: &impl Fn(usize, usize) -> Vec<&'log str>, shown: &str) {
    for (by, of) in [(0, 10), (10, 0), (2, 10), (10, 2)] {
        let printed = states(by, of);
        let down = printed.iter().position(|state| *state == "down");
        assert!(
            down.is_some_and(|down| printed[down..].contains(&"alive")),
            "{by} of {of}: {printed:?}\n{shown}"
        );
    }
}

/// Guards sockets, threads and timers: what virtual time shows holds over UDP as well.
#[test]
fn simulated_members_agree_over_sockets() {
    let timing = Timing {
        period: Duration::from_millis(400),
        round_trip: Duration::from_millis(150),
        suspicion: Some(Duration::from_secs(2)),
        ..Timing::default()
    };
    let plan = SimulatedFleetPlan {
        members: 20,
        duration: Duration::from_secs(20),
        disturbance: Disturbance::Crashes { one_in: 10 },
        transport: Transport::Udp,
        seed: 1,
        timing,
        ..SimulatedFleetPlan::default()
    };
    let figures = play_simulated(&plan).expect("it plays");
    assert!(
        figures.agreed_at_start.is_some() && figures.agreed_after.is_some(),
        "{figures:?}"
    );
    assert_eq!(
        (figures.undetected, figures.missing_live_members),
        (0, 0),
        "{figures:?}"
    );
    assert!(
        figures.detection.is_some_and(|seconds| seconds.most >= 2.0),
        "{figures:?}"
    );
    assert!(
        figures.bytes_received_per_second.mean > 0.0 && figures.cpu_milliseconds_per_second > 0.0
    );
}

/// What can't be played is one line and exit code 2, before anything starts.
#[test]
fn invalid_simulated_fleets_are_one_line_and_exit_code_2() {
    let cases: [(&[&str], &str); 10] = [
        (
            &["rack", "--nodes", "0"],
            "a day has 1 to 250 senders, not 0",
        ),
        (
            &["rack", "--nodes", "0", "--hollow", "0"],
            "a day has 1 to 250 senders, not 0",
        ),
        (
            &["rack", "--nodes", "2", "--hollow", "1999"],
            "1999 simulated members beside 2 senders: 1998 at most",
        ),
        (&["rack", "--hollow", "18446744073709551615"], "at most"),
        (&["rack", "--hollow", "2", "--alone"], "--simulated: "),
        (&["--members-only"], "members: 0 is not from 2 to 2000"),
        (
            &["--members-only", "--hollow", "2001"],
            "members: 2001 is not from 2 to 2000",
        ),
        (
            &["--members-only", "--hollow", "9", "--lasts", "0"],
            "duration: ",
        ),
        (
            &["--members-only", "--hollow", "9", "--loss", "2"],
            "conditions: loss",
        ),
        (
            &[
                "--members-only",
                "--hollow",
                "9",
                "--disturbance",
                "restarts",
            ],
            "disturbance: 30 restarts",
        ),
    ];
    for (arguments, why) in cases {
        let output = Command::new(PROGRAM)
            .arg("rig")
            .args(arguments)
            .output()
            .expect("it runs");
        let printed = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {printed}");
        assert!(
            printed.lines().count() == 1 && printed.contains(why),
            "{arguments:?}: {printed}"
        );
    }
}
