//! Measures the cost of membership for fleets of several sizes, simulated in virtual time.
//!
//! `cargo run --release -p cranehill-membership --example membership_figures -- [SCENARIO,..] [SIZE,..] [PERIOD_MS] [SEED]`
//!
//! Prints one line per scenario and size: bytes of UDP payload per member and second, in total and by content; the maximum of any
//! member over ten seconds; packets; processor time in `step`; detection times in ms (from a crash to `down` in each other view);
//! the time in seconds until all views agree after the last disturbance; pairs of running members of which the first doesn't have
//! the second as alive at the end; and members wrongly declared down.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::traffic::{Content, IP_UDP_HEADERS, Traffic};
use common::{Network, secs};
use cranehill_membership::MemberState;
use cranehill_scheduler::Time;

const SCENARIOS: [&str; 7] = [
    "start", "quiet", "crashes", "zone", "region", "halves", "restart",
];
const SIZES: [usize; 6] = [10, 30, 100, 200, 300, 490];
/// The number of seconds over which a member's maximum traffic is measured.
const WINDOW: u64 = 10;

/// The processor time of this thread; `None` if `/proc/thread-self/schedstat` can't be read, as on systems other than Linux.
fn thread_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace()
        .next()?
        .parse()
        .ok()
        .map(Duration::from_nanos)
}

/// One scenario on a fleet of one size, with its measurements.
struct ScenarioRun {
    network: Network,
    thread_time: Option<Duration>,
    started_at: Time,
    crashes: Vec<(Time, Vec<usize>)>,
    agreed: Option<Duration>,
}

impl ScenarioRun {
    fn start(members: usize, period: Duration, seed: u64) -> ScenarioRun {
        let mut network = Network::with_settings(members, seed, period, 30);
        network.traffic = Some(Traffic::default());
        let started_at = network.now;
        ScenarioRun {
            network,
            thread_time: thread_time(),
            started_at,
            crashes: Vec::new(),
            agreed: None,
        }
    }

    /// Runs until all members have each other as alive, then resets the measurements.
    fn settle(&mut self) {
        let limit = self.network.period * 900;
        if self
            .network
            .run_until(limit, Network::has_converged)
            .is_none()
        {
            eprintln!(
                "views don't agree {limit:?} after the start: {} pairs of members not seen as alive",
                self.network.unseen_pairs()
            );
        }
        self.run(30);
        self.network.traffic = Some(Traffic::default());
        self.network.cpu = Duration::ZERO;
        self.thread_time = thread_time();
        self.network.changes.clear();
        self.started_at = self.network.now;
    }

    fn run(&mut self, periods: u32) {
        self.network.run(self.network.period * periods);
    }

    fn crash(&mut self, members: Vec<usize>) {
        self.network.crash(members.iter().copied());
        self.crashes.push((self.network.now, members));
    }

    /// Runs for a number of periods, and records after what time all views agreed.
    fn measure_agreement(&mut self, periods: u32) {
        let limit = self.network.period * periods;
        let started_at = self.network.now;
        self.agreed = self.network.run_until(limit, Network::has_converged);
        let remaining = limit.saturating_sub(self.network.now - started_at);
        self.network.run(remaining);
    }

    fn run_scenario(&mut self, scenario: &str) {
        if scenario == "start" {
            return self.measure_agreement(60);
        }
        self.settle();
        match scenario {
            "crashes" => self.run_crashes(),
            "zone" => {
                self.crash_where(|i| i % 6 == 3);
                self.run(60);
            }
            "region" => {
                self.crash_where(|i| i % 2 == 1);
                self.run(60);
            }
            "halves" => self.run_halves(),
            "restart" => self.run_restart(),
            _ => self.measure_agreement(60),
        }
    }

    fn members_where(&self, is_chosen: impl Fn(usize) -> bool) -> Vec<usize> {
        let members = 0..self.network.members.len();
        members.filter(|i| is_chosen(*i)).collect()
    }

    fn crash_where(&mut self, is_chosen: impl Fn(usize) -> bool) {
        self.crash(self.members_where(is_chosen));
    }

    /// One in ten members crashes and restarts, in three rounds with different members.
    fn run_crashes(&mut self) {
        const ROUNDS: usize = 3;
        for round in 0..ROUNDS {
            let chosen = self.members_where(|i| i % 10 == 2 + round);
            self.crash(chosen.clone());
            self.run(24);
            self.network.restart(chosen);
            if round + 1 < ROUNDS {
                self.run(14);
            }
        }
        self.measure_agreement(14);
    }

    /// The fleet is partitioned into halves for 60 periods.
    fn run_halves(&mut self) {
        let (even, odd) = (
            self.members_where(|i| i % 2 == 0),
            self.members_where(|i| i % 2 == 1),
        );
        self.network.split(&even, &odd);
        self.run(60);
        self.network.blocked.clear();
        self.measure_agreement(60);
    }

    /// Seven in ten members crash, and all restart together one period later.
    fn run_restart(&mut self) {
        let chosen = self.members_where(|i| i % 10 > 2);
        self.network.crash(chosen.iter().copied());
        self.run(1);
        self.network.restart(chosen);
        self.measure_agreement(60);
    }

    /// The milliseconds from each crash to `down` in the view of each running member, sorted; and the number of views that didn't
    /// change to `down`.
    fn detection(&self) -> (Vec<u64>, usize) {
        let mut times = Vec::new();
        let mut expected = 0;
        for (crashed_at, removed) in &self.crashes {
            expected += removed.len() * (self.network.members.len() - removed.len());
            for change in &self.network.changes {
                let until = *crashed_at + self.network.period * 24;
                let counts =
                    change.time >= *crashed_at && (change.time <= until || self.crashes.len() == 1);
                if counts && change.state == MemberState::Down && removed.contains(&change.of) {
                    times.push((change.time - *crashed_at).as_millis() as u64);
                }
            }
        }
        times.sort_unstable();
        let missing = expected.saturating_sub(times.len());
        (times, missing)
    }

    /// The processor time in `step`, estimated as the smaller of the real time spent in it and the thread's processor time since the
    /// measurements were reset.
    fn cpu(&self) -> Duration {
        let thread_total = thread_time()
            .zip(self.thread_time)
            .map(|(now, then)| now.saturating_sub(then));
        thread_total.map_or(self.network.cpu, |thread_total| {
            thread_total.min(self.network.cpu)
        })
    }

    fn row(&self, scenario: &str) -> String {
        let network = &self.network;
        let n = network.members.len();
        let span = (network.now - self.started_at).as_secs_f64() * n as f64;
        let Some(traffic) = &network.traffic else {
            return String::new();
        };
        let rate = |bytes: u64| bytes as f64 / span;
        let of = |content| rate(*traffic.by_content.get(&content).unwrap_or(&0));
        let both = rate(traffic.bytes_out() + traffic.bytes_in());
        let with_headers = both + rate(traffic.packets * IP_UDP_HEADERS * 2);
        let (times, missing) = self.detection();
        let quantile = |fraction: f64| {
            times
                .get(((times.len().max(1) - 1) as f64 * fraction) as usize)
                .copied()
                .unwrap_or(0)
        };
        let agreed = self
            .agreed
            .map_or("-".to_owned(), |t| format!("{:.1}", t.as_secs_f64()));
        let removed: Vec<usize> = self
            .crashes
            .iter()
            .flat_map(|crash| crash.1.clone())
            .collect();
        let false_downs = network
            .changes
            .iter()
            .filter(|change| change.state == MemberState::Down && !removed.contains(&change.of))
            .count();
        format!(
            "{scenario:8} {n:4} | {both:7.0} {with_headers:7.0} {:7.0} | {:6.0} {:6.0} {:6.0} {:6.0} {:6.0} | {:5.1} {:7.2} | \
             {:6} {:6} {:6} {missing:5} | {agreed:>6} {:6} {false_downs:6}",
            traffic.peak_bytes_per_second(n, WINDOW),
            of(Content::Probes),
            of(Content::Updates),
            of(Content::Broadcasts),
            of(Content::Lists),
            of(Content::AntiEntropy),
            rate(traffic.packets),
            self.cpu().as_secs_f64() * 1000.0 / span,
            quantile(0.5),
            quantile(0.99),
            quantile(1.0),
            network.unseen_pairs(),
        )
    }
}

fn list<T: std::str::FromStr>(text: Option<&String>) -> Option<Vec<T>> {
    text.and_then(|t| t.split(',').map(|part| part.parse().ok()).collect())
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let scenarios: Vec<String> =
        list(arguments.first()).unwrap_or_else(|| SCENARIOS.map(str::to_owned).to_vec());
    let sizes: Vec<usize> = list(arguments.get(1)).unwrap_or_else(|| SIZES.to_vec());
    let period = secs(
        list::<f64>(arguments.get(2))
            .and_then(|l| l.first().copied())
            .unwrap_or(1000.0)
            / 1000.0,
    );
    let seed = list::<u64>(arguments.get(3))
        .and_then(|l| l.first().copied())
        .unwrap_or(77);
    println!(
        "scenario    n | B/s both  +IP/UDP max10s | probes updates broadc lists  sync (out) | pkt/s cpu ms/s | \
         down p50    p99    max  missing | agreed s unseen false-downs"
    );
    for scenario in &scenarios {
        for &n in &sizes {
            let mut scenario_run = ScenarioRun::start(n, period, seed);
            scenario_run.run_scenario(scenario);
            println!("{}", scenario_run.row(scenario));
        }
    }
}
