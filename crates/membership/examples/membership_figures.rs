//! The costs of membership by the size of the fleet, in virtual time.
//!
//! `cargo run --release -p cranehill-membership --example membership_figures -- [SCENARIO,..] [SIZE,..] [PERIOD_MS] [SEED]`
//!
//! One line a play: bytes of UDP payload a member a second by what they carry, the member and ten seconds with most, packets,
//! time in `step`, detection (from a crash to `down` in each other view), agreement after the last disturbance, and pairs of
//! running members of which the one doesn't see the other as alive at the end.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::traffic::{Content, IP_UDP_HEADERS, Traffic};
use common::{Network, secs};
use cranehill_membership::State;
use cranehill_scheduler::Time;

const SCENARIOS: [&str; 7] = [
    "start", "quiet", "crashes", "zone", "region", "halves", "restart",
];
const SIZES: [usize; 6] = [10, 30, 100, 200, 300, 490];
/// Seconds over which the most of a member is taken.
const WINDOW: u64 = 10;

/// Processor time of this thread, where the system reports it.
fn thread_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    text.split_whitespace()
        .next()?
        .parse()
        .ok()
        .map(Duration::from_nanos)
}

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

    /// Runs until all members see each other; not counted.
    fn settle(&mut self) {
        let limit = self.network.period * 900;
        if self
            .network
            .run_until(limit, Network::has_converged)
            .is_none()
        {
            eprintln!(
                "not agreed {limit:?} after the start: {} pairs unseen",
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

    /// Runs for a number of periods, and records when all views had converged.
    fn agree(&mut self, periods: u32) {
        let limit = self.network.period * periods;
        let started_at = self.network.now;
        self.agreed = self.network.run_until(limit, Network::has_converged);
        let left = limit.saturating_sub(self.network.now - started_at);
        self.network.run(left);
    }

    fn play(&mut self, scenario: &str) {
        if scenario == "start" {
            return self.agree(60);
        }
        self.settle();
        match scenario {
            "crashes" => self.play_crashes(),
            "zone" => {
                self.crash_those(|i| i % 6 == 3);
                self.run(60);
            }
            "region" => {
                self.crash_those(|i| i % 2 == 1);
                self.run(60);
            }
            "halves" => self.play_halves(),
            "restart" => self.play_restart(),
            _ => self.agree(60),
        }
    }

    fn those(&self, is_chosen: impl Fn(usize) -> bool) -> Vec<usize> {
        let members = 0..self.network.members.len();
        members.filter(|i| is_chosen(*i)).collect()
    }

    fn crash_those(&mut self, is_chosen: impl Fn(usize) -> bool) {
        self.crash(self.those(is_chosen));
    }

    /// One in ten members crashes and restarts, three times.
    fn play_crashes(&mut self) {
        const ROUNDS: usize = 3;
        for round in 0..ROUNDS {
            let few = self.those(|i| i % 10 == 2 + round);
            self.crash(few.clone());
            self.run(24);
            self.network.restart(few);
            if round + 1 < ROUNDS {
                self.run(14);
            }
        }
        self.agree(14);
    }

    /// The fleet is partitioned into halves for a minute.
    fn play_halves(&mut self) {
        let (even, odd) = (self.those(|i| i % 2 == 0), self.those(|i| i % 2 == 1));
        self.network.split(&even, &odd);
        self.run(60);
        self.network.blocked.clear();
        self.agree(60);
    }

    /// Seven in ten members restart at once.
    fn play_restart(&mut self) {
        let most = self.those(|i| i % 10 > 2);
        self.network.crash(most.iter().copied());
        self.run(1);
        self.network.restart(most);
        self.agree(60);
    }

    /// Milliseconds from each crash to `down` in each view that was running, sorted; and views that never came to it.
    fn detection(&self) -> (Vec<u64>, usize) {
        let mut times = Vec::new();
        let mut expected = 0;
        for (when, removed) in &self.crashes {
            expected += removed.len() * (self.network.members.len() - removed.len());
            for change in &self.network.changes {
                let until = *when + self.network.period * 24;
                let counts =
                    change.time >= *when && (change.time <= until || self.crashes.len() == 1);
                if counts && change.state == State::Down && removed.contains(&change.of) {
                    times.push((change.time - *when).as_millis() as u64);
                }
            }
        }
        times.sort_unstable();
        let missing = expected.saturating_sub(times.len());
        (times, missing)
    }

    /// Time in `step`: no more than what passed in it, and no more than the processor time of the whole play.
    fn cpu(&self) -> Duration {
        let whole = thread_time()
            .zip(self.thread_time)
            .map(|(now, then)| now.saturating_sub(then));
        whole.map_or(self.network.cpu, |whole| whole.min(self.network.cpu))
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
        let at = |q: f64| {
            times
                .get(((times.len().max(1) - 1) as f64 * q) as usize)
                .copied()
                .unwrap_or(0)
        };
        let agreed = self
            .agreed
            .map_or("-".to_owned(), |t| format!("{:.1}", t.as_secs_f64()));
        let removed: Vec<usize> = self.crashes.iter().flat_map(|c| c.1.clone()).collect();
        let false_downs = network
            .changes
            .iter()
            .filter(|c| c.state == State::Down && !removed.contains(&c.of))
            .count();
        format!(
            "{scenario:8} {n:4} | {both:7.0} {with_headers:7.0} {:7.0} | {:6.0} {:6.0} {:6.0} {:6.0} {:6.0} | {:5.1} {:7.2} | \
             {:6} {:6} {:6} {missing:5} | {agreed:>6} {:6} {false_downs:6}",
            traffic.most(n, WINDOW),
            of(Content::Probes),
            of(Content::Updates),
            of(Content::Broadcasts),
            of(Content::Lists),
            of(Content::AntiEntropy),
            rate(traffic.packets),
            self.cpu().as_secs_f64() * 1000.0 / span,
            at(0.5),
            at(0.99),
            at(1.0),
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
            let mut play = ScenarioRun::start(n, period, seed);
            play.play(scenario);
            println!("{}", play.row(scenario));
        }
    }
}
