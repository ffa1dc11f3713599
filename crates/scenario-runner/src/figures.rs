//! Latencies, rates and loads of a run over time, computed from its recorded events.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cranehill_simulation::audit::{Answer, AuditEvent, AuditRecord, DeliveryOutcome};
use cranehill_simulation::destination::SimulatedDestination;
use cranehill_simulation::scenario::{Member, Scenario};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Points of a curve: seconds since the start of the scenario, and the value.
pub type Curve = Vec<(f64, f64)>;

/// Latency distributions and curves of a run.
#[derive(Debug)]
pub struct Figures {
    /// Microseconds from a message's submission to the sender's answer.
    pub answer_latency: Histogram<u64>,
    /// Microseconds from a message's submission to the successful reply of its destination.
    pub delivery_latency: Histogram<u64>,
    /// Messages submitted in each second.
    pub submitted: Curve,
    /// Messages delivered in each second.
    pub delivered: Curve,
    /// Messages rejected in each second.
    pub rejected: Curve,
    /// By sender: number of calls in flight.
    pub in_flight: Vec<Curve>,
    /// Number of `Retry-After` periods that have not ended yet.
    pub active_retry_after: Curve,
    /// Load and capacity of each destination.
    pub destinations: Vec<DestinationCurves>,
}

/// Load and capacity of one destination.
#[derive(Debug)]
pub struct DestinationCurves {
    /// Name of the destination in the scenario.
    pub name: String,
    /// Messages that senders sent to it in each second, repeats included.
    pub sent: Curve,
    /// Messages a second that it can execute with its scheduled faults. Its failure under overload is not included.
    pub capacity: Curve,
}

/// One hour; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Points in each second of a capacity curve.
const CAPACITY_POINTS_PER_SECOND: usize = 5;

/// Computes the figures of a run of length `duration` from its recorded events.
pub fn figures(scenario: &Scenario, records: &[AuditRecord], duration: Duration) -> Figures {
    let mut collector = Collector::new(scenario, duration);
    records.iter().for_each(|record| collector.add(record));
    collector.finish()
}

/// Numbers of events in one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    submitted: u32,
    delivered: u32,
    rejected: u32,
}

struct Collector<'a> {
    scenario: &'a Scenario,
    seconds: usize,
    answer_latency: Histogram<u64>,
    delivery_latency: Histogram<u64>,
    counts: Vec<SecondCounts>,
    /// Messages sent, by destination and second.
    sent: Vec<Vec<u32>>,
    /// Time of submission by message id.
    submitted_at: HashMap<&'a str, Duration>,
    /// By sender: connections with a call in flight.
    busy_connections: Vec<BTreeSet<u64>>,
    in_flight: Vec<Curve>,
    /// Starts (+1) and ends (-1) of `Retry-After` periods.
    retry_after_changes: Vec<(Duration, i32)>,
}

impl<'a> Collector<'a> {
    fn new(scenario: &'a Scenario, duration: Duration) -> Collector<'a> {
        let seconds = duration.as_secs() as usize + 1;
        Collector {
            scenario,
            seconds,
            answer_latency: latency_histogram(),
            delivery_latency: latency_histogram(),
            counts: vec![SecondCounts::default(); seconds],
            sent: vec![vec![0; seconds]; scenario.destinations.len()],
            submitted_at: HashMap::new(),
            busy_connections: vec![BTreeSet::new(); scenario.senders],
            in_flight: vec![Vec::new(); scenario.senders],
            retry_after_changes: Vec::new(),
        }
    }

    fn add(&mut self, record: &'a AuditRecord) {
        let second = (record.at.as_secs() as usize).min(self.seconds - 1);
        let sender = record.sender.unwrap_or(0).min(self.scenario.senders - 1);
        match &record.event {
            AuditEvent::Submitted { id, .. } | AuditEvent::Posted { id, .. } => {
                self.counts[second].submitted += 1;
                self.submitted_at.insert(id, record.at);
            }
            AuditEvent::Answered { id, answer } => {
                if let Some(latency) = self.latency(id, record.at) {
                    record_latency(&mut self.answer_latency, latency);
                }
                let rejected = matches!(answer, Answer::Rejected { .. });
                self.counts[second].rejected += u32::from(rejected);
            }
            AuditEvent::Called {
                connection,
                destination,
                ids,
                ..
            } => {
                self.busy_connections[sender].insert(*connection);
                self.add_in_flight(sender, record.at);
                if let Some(sent) = self.sent.get_mut(*destination as usize) {
                    sent[second] += ids.len() as u32;
                }
            }
            AuditEvent::Replied {
                connection,
                outcomes,
                wait,
                ..
            } => {
                self.busy_connections[sender].remove(connection);
                self.add_in_flight(sender, record.at);
                self.add_outcomes(second, record.at, outcomes);
                if let Some(wait) = wait {
                    self.retry_after_changes
                        .extend([(record.at, 1), (record.at + *wait, -1)]);
                }
            }
            AuditEvent::Closed { connection } | AuditEvent::Broke { connection, .. }
                if self.busy_connections[sender].contains(connection) =>
            {
                self.busy_connections[sender].remove(connection);
                self.add_in_flight(sender, record.at);
            }
            _ => {}
        }
    }

    /// Time from a message's submission until `at`; `None` if the submission was not recorded.
    fn latency(&self, id: &str, at: Duration) -> Option<Duration> {
        let submitted_at = *self.submitted_at.get(id)?;
        Some(at.saturating_sub(submitted_at))
    }

    fn add_in_flight(&mut self, sender: usize, at: Duration) {
        let count = self.busy_connections[sender].len() as f64;
        self.in_flight[sender].push((at.as_secs_f64(), count));
    }

    fn add_outcomes(
        &mut self,
        second: usize,
        at: Duration,
        outcomes: &[(String, DeliveryOutcome)],
    ) {
        let delivered = outcomes
            .iter()
            .filter(|(_, outcome)| *outcome == DeliveryOutcome::Done);
        for (id, _) in delivered {
            self.counts[second].delivered += 1;
            if let Some(latency) = self.latency(id, at) {
                record_latency(&mut self.delivery_latency, latency);
            }
        }
    }

    fn finish(self) -> Figures {
        let curve = |count: fn(&SecondCounts) -> u32| per_second(self.counts.iter().map(count));
        let destinations = self
            .scenario
            .destinations
            .iter()
            .zip(&self.sent)
            .map(|(member, sent)| DestinationCurves {
                name: member.name.clone(),
                sent: per_second(sent.iter().copied()),
                capacity: capacity(member, self.seconds),
            })
            .collect();
        Figures {
            submitted: curve(|counts| counts.submitted),
            delivered: curve(|counts| counts.delivered),
            rejected: curve(|counts| counts.rejected),
            answer_latency: self.answer_latency,
            delivery_latency: self.delivery_latency,
            in_flight: self.in_flight,
            active_retry_after: active_retry_after_curve(self.retry_after_changes),
            destinations,
        }
    }
}

fn latency_histogram() -> Histogram<u64> {
    // The constants are within the bounds that the library checks.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
        .unwrap_or_else(|_| unreachable!("the histogram's constant bounds are valid"))
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_US));
}

fn per_second(counts: impl Iterator<Item = u32>) -> Curve {
    counts
        .enumerate()
        .map(|(second, count)| (second as f64, f64::from(count)))
        .collect()
}

fn active_retry_after_curve(mut changes: Vec<(Duration, i32)>) -> Curve {
    changes.sort_unstable();
    let mut active = 0;
    changes
        .into_iter()
        .map(|(at, change)| {
            active += change;
            (at.as_secs_f64(), f64::from(active))
        })
        .collect()
}

/// Messages a second that a destination can execute with its scheduled faults.
fn capacity(member: &Member, seconds: usize) -> Curve {
    // The capacity does not depend on random draws, so the seed does not matter.
    let rng = ChaCha8Rng::seed_from_u64(0);
    let destination = SimulatedDestination::new(member.spec.clone(), member.faults.clone(), rng);
    let interval = Duration::from_secs(1) / CAPACITY_POINTS_PER_SECOND as u32;
    (0..seconds * CAPACITY_POINTS_PER_SECOND)
        .map(|point| {
            let at = point as f64 / CAPACITY_POINTS_PER_SECOND as f64;
            (at, destination.capacity(interval * point as u32))
        })
        .collect()
}
