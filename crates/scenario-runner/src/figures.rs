//! Figures of a day, read off its lines alone.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cranehill_simulation::audit::{Answer, AuditEvent, AuditRecord, DeliveryOutcome};
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
    pub done: Curve,
    pub refused: Curve,
    /// Calls out, by sender.
    pub in_flight: Vec<Curve>,
    /// Destinations that have told some sender to wait, over time.
    pub waits: Curve,
    /// By destination: messages sent to it a second, and what it could do.
    pub destinations: Vec<(String, Curve, Curve)>,
}

/// An hour in microseconds, beyond which nothing is told apart.
const MOST: u64 = 3_600_000_000;

fn histogram() -> Histogram<u64> {
    // Bounds are constants that the library takes.
    Histogram::new_with_bounds(1, MOST, 3).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

fn note(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record((span.as_micros() as u64).clamp(1, MOST));
}

/// Reads a day's lines.
pub fn figures(scenario: &Scenario, lines: &[AuditRecord], lasted: Duration) -> Figures {
    let seconds = lasted.as_secs() as usize + 1;
    let mut figures = Figures {
        answered: histogram(),
        delivered: histogram(),
        submitted: Vec::new(),
        done: Vec::new(),
        refused: Vec::new(),
        in_flight: vec![Vec::new(); scenario.senders],
        waits: Vec::new(),
        destinations: Vec::new(),
    };
    let mut counts = vec![[0u32; 3]; seconds];
    let mut sent = vec![vec![0u32; seconds]; scenario.destinations.len()];
    let mut begun: HashMap<&str, Duration> = HashMap::new();
    let mut out: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); scenario.senders];
    let mut notified: Vec<(Duration, i32)> = Vec::new();
    for line in lines {
        let second = (line.at.as_secs() as usize).min(seconds - 1);
        let sender = line.sender.unwrap_or(0).min(scenario.senders - 1);
        match &line.event {
            AuditEvent::Submitted { id, .. } | AuditEvent::Posted { id, .. } => {
                counts[second][0] += 1;
                begun.insert(id, line.at);
            }
            AuditEvent::Answered { id, answer } => {
                if let Some(&since) = begun.get(id.as_str()) {
                    note(&mut figures.answered, line.at.saturating_sub(since));
                }
                counts[second][2] += u32::from(matches!(answer, Answer::Rejected { .. }));
            }
            AuditEvent::Called {
                connection,
                destination,
                ids,
                ..
            } => {
                out[sender].insert(*connection);
                figures.in_flight[sender].push((line.at.as_secs_f64(), out[sender].len() as f64));
                if let Some(row) = sent.get_mut(*destination as usize) {
                    row[second] += ids.len() as u32;
                }
            }
            AuditEvent::Replied {
                connection,
                outcomes,
                wait,
                ..
            } => {
                out[sender].remove(connection);
                figures.in_flight[sender].push((line.at.as_secs_f64(), out[sender].len() as f64));
                for (id, _) in outcomes.iter().filter(|(_, f)| *f == DeliveryOutcome::Done) {
                    counts[second][1] += 1;
                    if let Some(&since) = begun.get(id.as_str()) {
                        note(&mut figures.delivered, line.at.saturating_sub(since));
                    }
                }
                if let Some(wait) = wait {
                    notified.extend([(line.at, 1), (line.at + *wait, -1)]);
                }
            }
            AuditEvent::Closed { connection } | AuditEvent::Broke { connection, .. }
                if out[sender].contains(connection) =>
            {
                out[sender].remove(connection);
                figures.in_flight[sender].push((line.at.as_secs_f64(), out[sender].len() as f64));
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
    (figures.submitted, figures.done, figures.refused) = (curve(0), curve(1), curve(2));
    notified.sort_unstable();
    let mut open = 0;
    for (at, change) in notified {
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
        let could = (0..seconds * 5)
            .map(|k| {
                (
                    k as f64 / 5.0,
                    destination.capacity(Duration::from_millis(k as u64 * 200)),
                )
            })
            .collect();
        figures
            .destinations
            .push((member.name.clone(), load, could));
    }
    figures
}
