//! Fleets of members that call a zone of ten endpoints, and receive each other's announcements one step later.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_zone_failover::{
    Change, MemberAnnouncements, Settings, State, ZoneAnnouncement, Zones,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SETTINGS: Settings = Settings {
    window: Duration::from_secs(2),
    failure_confirmation: Duration::from_millis(300),
    probes_per_second: 4.0,
    evacuation_bounds: [Duration::from_secs(2), Duration::from_secs(60)],
    ramp_duration: Duration::from_secs(9),
    repeat_failure_period: Duration::from_secs(30),
};
const ZONE: u32 = 1;
const STEP: u64 = 50;

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

struct Fleet {
    ms: u64,
    rng: ChaCha8Rng,
    members: Vec<Zones>,
    /// Latest announcements of each member, which the others receive one step later.
    announcements: Vec<Vec<ZoneAnnouncement>>,
    /// By member: whether it may send a probe call.
    probing: Vec<bool>,
    /// Time in milliseconds, member, and change.
    changes: Vec<(u64, usize, Change)>,
    /// Time in milliseconds, and member.
    calls: Vec<(u64, usize)>,
}

impl Fleet {
    fn new(n: usize) -> Fleet {
        let member = || {
            let mut zones = Zones::new(SETTINGS);
            zones.set_endpoint_counts(&BTreeMap::from([(0, 15), (ZONE, 10)]));
            zones
        };
        Fleet {
            ms: 1_700_000_000_000,
            rng: ChaCha8Rng::seed_from_u64(5),
            members: (0..n).map(|_| member()).collect(),
            announcements: vec![Vec::new(); n],
            probing: vec![false; n],
            changes: Vec::new(),
            calls: Vec::new(),
        }
    }

    fn state(&self, n: usize) -> State {
        self.members[n]
            .states()
            .find(|s| s.0 == ZONE)
            .map(|s| s.1)
            .unwrap_or_default()
    }

    /// Runs for `ms` milliseconds. Each member calls the zone about twice a second unless the zone is evacuated, and
    /// once for each probe. `fails(member)` is whether its calls are unanswered; `receives(member, other)` is whether
    /// it receives the announcements of another member.
    fn run(
        &mut self,
        ms: u64,
        fails: impl Fn(usize) -> bool,
        receives: impl Fn(usize, usize) -> bool,
    ) {
        for _ in 0..ms / STEP {
            self.ms += STEP;
            let now = Time(self.ms * 1_000_000);
            let announcements = self.announcements.clone();
            for n in 0..self.members.len() {
                let others: Vec<MemberAnnouncements> = (0..self.members.len())
                    .filter(|&o| o != n && receives(n, o))
                    .map(|o| MemberAnnouncements {
                        member: at(o),
                        zones: announcements[o].clone(),
                    })
                    .collect();
                for change in self.members[n].evaluate(now, at(n), &others) {
                    self.probing[n] = matches!(change, Change::Probe { .. });
                    self.changes.push((self.ms, n, change));
                }
                let may_call = match self.state(n) {
                    State::Evacuated(_) => std::mem::take(&mut self.probing[n]),
                    State::InService | State::Returning(_) => {
                        self.rng.random_bool(2.0 * STEP as f64 / 1000.0)
                    }
                };
                if may_call {
                    let endpoint = format!("e{}", self.rng.random_range(0..10));
                    self.members[n].record_attempt(now, ZONE, &endpoint, !fails(n));
                    self.calls.push((self.ms, n));
                }
                self.announcements[n] = self.members[n].announcements(now, &others);
            }
        }
    }

    fn evacuated_count(&self) -> usize {
        (0..self.members.len())
            .filter(|&n| matches!(self.state(n), State::Evacuated(_)))
            .count()
    }
}

fn all_connected(_: usize, _: usize) -> bool {
    true
}

/// A failed zone is soon evacuated by all members, probed at the configured rate of the fleet, returned to by
/// all, and in service again at the end.
#[test]
fn a_failed_zone_is_evacuated_probed_and_returned_to_by_all() {
    for n in [3, 10, 50] {
        let mut fleet = Fleet::new(n);
        fleet.run(3000, |_| false, all_connected);
        assert_eq!(fleet.changes, []);
        fleet.run(3000, |_| true, all_connected);
        assert_eq!(fleet.evacuated_count(), n, "{n}: {:?}", fleet.changes);
        let from = fleet.ms;
        fleet.run(10_000, |_| true, all_connected);
        let probes = fleet.calls.iter().filter(|c| c.0 > from).count();
        assert!((35..=41).contains(&probes), "{n}: {probes} probes in 10 s");
        fleet.run(2000, |_| false, all_connected);
        assert!(
            (0..n).all(|m| matches!(fleet.state(m), State::Returning(_))),
            "{n}"
        );
        fleet.run(10_000, |_| false, all_connected);
        assert!((0..n).all(|m| fleet.state(m) == State::InService), "{n}");
    }
}

/// Guards against an evacuation because of a few cut-off members: the members that see the zone serve outvote them.
#[test]
fn senders_that_are_cut_off_from_a_zone_do_not_evacuate_the_fleet() {
    for cut in [1, 2] {
        let mut fleet = Fleet::new(10);
        fleet.run(3000, |_| false, all_connected);
        fleet.run(20_000, |n| n < cut, all_connected);
        let evacuations: Vec<_> = fleet
            .changes
            .iter()
            .filter(|c| matches!(c.2, Change::Evacuate { .. }))
            .collect();
        assert!(evacuations.is_empty(), "{cut}: {evacuations:?}");
    }
}

/// A single endpoint that is down must not count as a failure of its zone.
#[test]
fn one_failing_endpoint_does_not_fail_its_zone() {
    let mut zones = Zones::new(SETTINGS);
    zones.set_endpoint_counts(&BTreeMap::from([(ZONE, 10)]));
    for k in 0..20 {
        zones.record_attempt(Time(k * 50_000_000), ZONE, "e1", false);
    }
    assert_eq!(zones.announcements(Time(1_000_000_000), &[]), []);
}

/// Each failed return doubles the minimum duration of the next evacuation.
#[test]
fn each_failed_return_doubles_the_evacuation() {
    let mut fleet = Fleet::new(10);
    fleet.run(2000, |_| false, all_connected);
    for _ in 0..4 {
        fleet.run(8000, |_| true, all_connected);
        fleet.run(4000, |_| false, all_connected);
    }
    let evacuation_seconds: Vec<u64> = fleet
        .changes
        .iter()
        .filter(|c| c.1 == 0)
        .filter_map(|c| {
            if let Change::Evacuate {
                min_duration: out, ..
            } = c.2
            {
                Some(out.as_secs())
            } else {
                None
            }
        })
        .collect();
    assert!(
        evacuation_seconds.len() >= 3 && evacuation_seconds.windows(2).all(|w| w[1] == w[0] * 2),
        "{evacuation_seconds:?}"
    );
}

/// Each side of a partition evacuates by its own quorum. After the partition heals, the members that return later must
/// not make the others evacuate the zone again.
#[test]
fn a_partitioned_fleet_evacuates_on_each_side_and_agrees_afterwards() {
    let mut fleet = Fleet::new(10);
    let is_same_side = |a: usize, b: usize| (a < 4) == (b < 4);
    fleet.run(2000, |_| false, is_same_side);
    fleet.run(4000, |_| true, is_same_side);
    assert_eq!(fleet.evacuated_count(), 10);
    // The zone recovers for the larger side, and still fails for the smaller one.
    fleet.run(15_000, |n| n < 4, is_same_side);
    assert!((0..4).all(|n| matches!(fleet.state(n), State::Evacuated(_))));
    assert!((4..10).all(|n| fleet.state(n) == State::InService));
    let from = fleet.changes.len();
    fleet.run(15_000, |_| false, all_connected);
    assert!(
        (0..10).all(|n| fleet.state(n) == State::InService),
        "{:?}",
        &fleet.changes[from..]
    );
    assert!(
        fleet.changes[from..]
            .iter()
            .all(|c| !matches!(c.2, Change::Evacuate { .. }))
    );
}

/// A member that starts while a zone is evacuated follows the evacuation, and sends no calls there except probe calls.
#[test]
fn a_new_member_follows_the_evacuations_of_the_others() {
    let mut fleet = Fleet::new(5);
    fleet.run(2000, |_| false, all_connected);
    fleet.run(4000, |_| true, all_connected);
    let mut new_member = Zones::new(SETTINGS);
    new_member.set_endpoint_counts(&BTreeMap::from([(ZONE, 10)]));
    fleet.members[4] = new_member;
    fleet.announcements[4] = Vec::new();
    let from = fleet.ms;
    fleet.run(200, |_| true, all_connected);
    assert_eq!(fleet.evacuated_count(), 5);
    assert!(
        fleet
            .calls
            .iter()
            .filter(|c| c.0 > from && c.1 == 4)
            .count()
            <= 1
    );
}
