//! Figures of a day, read off its lines alone.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cranehill_simulation::audit::{Answer, DeliveryOutcome, Line, What};
use cranehill_simulation::destination::SimulatedDestination;
use cranehill_simulation::scenario::Scenario;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A curve: seconds and values.
pub type Curve = Vec<(f64, f64)>;

/// What a day looked like over time.
#[derive(Debug)]
pub struct Figures {
    /// Microseconds from a message's handing in to its answer, and to the 200 that a destination wrote for it.
    pub answered: Histogram<u64>,
    pub delivered: Histogram<u64>,
    /// Messages submitted, delivered and refused, by second.
    pub submitted: Curve,
    pub delivered_by_second: Curve,
    pub rejected: Curve,
    /// Calls out, by sender.
    pub in_flight: Vec<Curve>,
    /// Destinations that have told some sender to wait, over time.
    pub waits: Curve,
    /// By destination: messages sent to it a second, and what it could do.
    pub destinations: Vec<(String, Curve, Curve)>,
}

/// An hour in microseconds, beyond which nothing is told apart.
const MAX_LATENCY_US: u64 = 3_600_000_000;

fn histogram() -> Histogram<u64> {
    // Bounds are constants that the library takes.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
        .unwrap_or_else(|_| unreachable!("fixed bounds"))
}

fn record_latency(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record((span.as_micros() as u64).clamp(1, MAX_LATENCY_US));
}

/// Reads a day's lines.
pub fn figures(scenario: &Scenario, lines: &[Line], lasted: Duration) -> Figures {
    let seconds = lasted.as_secs() as usize + 1;
    let mut figures = Figures {
        answered: histogram(),
        delivered: histogram(),
        submitted: Vec::new(),
        delivered_by_second: Vec::new(),
        rejected: Vec::new(),
        in_flight: vec![Vec::new(); scenario.senders],
        waits: Vec::new(),
        destinations: Vec::new(),
    };
    let mut counts = vec![[0u32; 3]; seconds];
    let mut sent = vec![vec![0u32; seconds]; scenario.destinations.len()];
    let mut submitted_at: HashMap<&str, Duration> = HashMap::new();
    let mut in_flight_calls: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); scenario.senders];
    let mut wait_changes: Vec<(Duration, i32)> = Vec::new();
    for line in lines {
        let second = (line.at.as_secs() as usize).min(seconds - 1);
        let sender = line.sender.unwrap_or(0).min(scenario.senders - 1);
        match &line.what {
            What::Submitted { id, .. } | What::Posted { id, .. } => {
                counts[second][0] += 1;
                submitted_at.insert(id, line.at);
            }
            What::Answered { id, answer } => {
                if let Some(&since) = submitted_at.get(id.as_str()) {
                    record_latency(&mut figures.answered, line.at.saturating_sub(since));
                }
                counts[second][2] += u32::from(matches!(answer, Answer::Rejected { .. }));
            }
            What::Called {
                connection,
                destination,
                ids,
                ..
            } => {
                in_flight_calls[sender].insert(*connection);
                figures.in_flight[sender]
                    .push((line.at.as_secs_f64(), in_flight_calls[sender].len() as f64));
                if let Some(row) = sent.get_mut(*destination as usize) {
                    row[second] += ids.len() as u32;
                }
            }
            What::Replied {
                connection,
                outcomes,
                wait,
                ..
            } => {
                in_flight_calls[sender].remove(connection);
                figures.in_flight[sender]
                    .push((line.at.as_secs_f64(), in_flight_calls[sender].len() as f64));
                for (id, _) in outcomes.iter().filter(|(_, f)| *f == DeliveryOutcome::Done) {
                    counts[second][1] += 1;
                    if let Some(&since) = submitted_at.get(id.as_str()) {
                        record_latency(&mut figures.delivered, line.at.saturating_sub(since));
                    }
                }
                if let Some(wait) = wait {
                    wait_changes.extend([(line.at, 1), (line.at + *wait, -1)]);
                }
            }
            What::Closed { connection } | What::Broke { connection, .. }
                if in_flight_calls[sender].contains(connection) =>
            {
                in_flight_calls[sender].remove(connection);
                figures.in_flight[sender]
                    .push((line.at.as_secs_f64(), in_flight_calls[sender].len() as f64));
            }
            _ => {}
        }
    }
    let curve = |n: usize| {
        counts
            .iter()
            .enumerate()
            .map(|(s, c)| (s as f64, f64::from(c[n])))
            .collect()
    };
    (
        figures.submitted,
        figures.delivered_by_second,
        figures.rejected,
    ) = (curve(0), curve(1), curve(2));
    wait_changes.sort_unstable();
    let mut open = 0;
    for (at, change) in wait_changes {
        open += change;
        figures.waits.push((at.as_secs_f64(), f64::from(open)));
    }
    for (n, member) in scenario.destinations.iter().enumerate() {
        let destination = SimulatedDestination::new(
            member.spec.clone(),
            member.faults.clone(),
            ChaCha8Rng::seed_from_u64(0),
        );
        let load = sent[n]
            .iter()
            .enumerate()
            .map(|(s, c)| (s as f64, f64::from(*c)))
            .collect();
        let capacity = (0..seconds * 5)
            .map(|k| {
                (
                    k as f64 / 5.0,
                    destination.capacity(Duration::from_millis(k as u64 * 200)),
                )
            })
            .collect();
        figures
            .destinations
            .push((member.name.clone(), load, capacity));
    }
    figures
}
