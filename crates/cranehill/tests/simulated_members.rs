//! Fleets of real senders and simulated members, and of simulated members alone over UDP sockets.

use std::process::Command;
use std::time::Duration;

use cranehill_fleet_harness::simulated::{
    Disturbance, SimulatedFleetPlan, Timing, Transport, play as play_simulated,
};
use cranehill_fleet_harness::{Report, Timeline, play, table};
use cranehill_scenario_runner::{Limits, Plan, report};
use cranehill_simulation::scenario;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cranehill");

/// Members 0 and 1 are real senders, members 2 to 21 are simulated. The network partition (`cut`) leaves one real sender and
/// some simulated members on each side, and lasts longer than the suspicion timeout.
const SCENARIO: &str = r#"name = "two senders and twenty simulated members"
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

/// Guards fleets of real senders and simulated members: both join through their seeds, a partition separates members of either
/// kind, and each kind detects a killed member of the other. Checks the order of state changes, not their times.
#[test]
fn real_senders_and_simulated_members_form_one_fleet() {
    let scenario =
        scenario::parse_with_simulated(SCENARIO, 1, None, SIMULATED).expect("scenario is valid");
    let plan = Plan {
        scenario,
        seed: 1,
        program: PROGRAM.into(),
        limits: Limits::default(),
        mutation: None,
        against: None,
    };
    let (outcome, traffic) = play(&plan, |_, _| {}).expect("fleet run completed");
    let fleet_report = Report::of(&plan, &outcome, &traffic);
    let summary = table(&plan, &outcome, &fleet_report).join("\n");
    assert!(
        outcome.holds() && report::broken(&outcome).is_empty(),
        "{summary}"
    );
    let simulated = traffic
        .simulated
        .as_ref()
        .expect("traffic of the simulated members");
    let mut timeline = Timeline::read(&outcome.logs, &outcome.lines, outcome.began);
    timeline.add_simulated(simulated);
    // The states of member `subject` that member `observer` has recorded, in order of time.
    let recorded_states = |observer: usize, subject: usize| -> Vec<&str> {
        let changes = timeline
            .state_changes
            .iter()
            .filter(|change| change.by == observer && change.of == subject);
        changes.map(|change| change.state.as_str()).collect()
    };
    check_views(&recorded_states, &summary);
    check_partition(&recorded_states, &summary);
    assert!(fleet_report.largest_share <= 1.0, "{summary}");
    assert!(
        simulated.bytes_sent > 0 && simulated.bytes_received > 0 && simulated.lost > 0,
        "{summary}"
    );
    assert!(
        traffic.packets[0] > 0
            && fleet_report
                .simulated
                .as_ref()
                .is_some_and(|report| report.members == SIMULATED),
        "{summary}"
    );
}

/// Checks that every live member has recorded each other member as alive, and that the last state it has recorded is `down` for
/// the killed members and `alive` for all others.
fn check_views<'log>(recorded_states: &impl Fn(usize, usize) -> Vec<&'log str>, summary: &str) {
    let killed = [KILLED_REAL, KILLED_SIMULATED];
    for observer in (0..SENDERS + SIMULATED).filter(|observer| !killed.contains(observer)) {
        for subject in (0..SENDERS + SIMULATED).filter(|subject| *subject != observer) {
            let expected_last_state = if killed.contains(&subject) {
                "down"
            } else {
                "alive"
            };
            let states = recorded_states(observer, subject);
            assert!(
                states.contains(&"alive"),
                "member {observer} has not recorded member {subject} as alive: {states:?}\n{summary}"
            );
            assert_eq!(
                states.last(),
                Some(&expected_last_state),
                "last state of member {subject} at member {observer}: {states:?}\n{summary}"
            );
        }
    }
}

/// Checks that members on opposite sides of the partition have recorded each other as down and later as alive: a simulated
/// member at a real sender, a real sender at a simulated member, and simulated members at each other.
fn check_partition<'log>(recorded_states: &impl Fn(usize, usize) -> Vec<&'log str>, summary: &str) {
    for (observer, subject) in [(0, 10), (10, 0), (2, 10), (10, 2)] {
        let states = recorded_states(observer, subject);
        let first_down = states.iter().position(|state| *state == "down");
        assert!(
            first_down.is_some_and(|first_down| states[first_down..].contains(&"alive")),
            "expected member {subject} down and then alive at member {observer}: {states:?}\n{summary}"
        );
    }
}

/// Guards the UDP sockets, threads and timers of simulated members, which simulations in virtual time do not use.
#[test]
fn simulated_members_agree_on_membership_over_udp() {
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
    let figures = play_simulated(&plan).expect("fleet run completed");
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

/// Invalid arguments are reported in one line with exit code 2, before any member starts.
#[test]
fn invalid_simulated_fleet_is_one_error_line_and_exit_code_2() {
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
    for (arguments, expected_error) in cases {
        let output = Command::new(PROGRAM)
            .arg("rig")
            .args(arguments)
            .output()
            .expect("cranehill program started");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {stderr}");
        assert!(
            stderr.lines().count() == 1 && stderr.contains(expected_error),
            "{arguments:?}: {stderr}"
        );
    }
}
