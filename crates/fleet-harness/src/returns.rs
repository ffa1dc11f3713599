//! What came of returns: how long senders took, and what the destinations got from all of them together.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cranehill_simulation::audit::{AuditEvent, AuditRecord, DeliveryOutcome};
use cranehill_simulation::fault::State;
use cranehill_simulation::limit::Limit;
use cranehill_simulation::scenario::Scenario;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::histogram;
use crate::timeline::Timeline;

/// After a sender is ready again, so long counts as its return.
const RETURN: Duration = Duration::from_secs(6);
/// Rates are counted in spans of this.
const SPAN: Duration = Duration::from_secs(1);

/// What one destination got while senders came back, and in the time before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Peak {
    pub destination: String,
    /// Calls a second by its limit, with its burst in any one second; none if it has none.
    pub limit: Option<f64>,
    /// The most calls, connections opened, and calls out at once, in any second; and calls refused.
    pub calls: u32,
    pub opened: u32,
    pub out: usize,
    pub refused: u32,
    /// The most calls in any second by what the limit was then: above 1, it was overrun.
    pub over: f64,
}

#[derive(Debug)]
pub struct Returns {
    /// Milliseconds from a start to full service, by the senders' own word.
    pub full: Histogram<u64>,
    /// Milliseconds from the first sudden end until what is delivered a second was back at nine tenths of what it had been;
    /// `None` if it never was.
    pub service: Option<Duration>,
    pub peaks: Vec<Peak>,
}

impl Returns {
    pub fn of(
        scenario: &Scenario,
        lines: &[AuditRecord],
        timeline: &Timeline,
        lasted: Duration,
    ) -> Returns {
        let mut full = histogram();
        let first = timeline.killed.iter().map(|k| k.1).min();
        for (at, _, took) in &timeline.full {
            if first.is_some_and(|first| *at >= first) {
                full.saturating_record(took.as_millis() as u64);
            }
        }
        let spans: Vec<(Duration, Duration)> = timeline
            .away
            .values()
            .flatten()
            .filter_map(|(removed, back)| Some((*removed, (*back)? + RETURN)))
            .collect();
        let peaks = (0..scenario.destinations.len())
            .map(|n| peak(scenario, n, lines, &spans))
            .collect();
        Returns {
            full,
            service: first.and_then(|at| served_again(lines, at, lasted)),
            peaks,
        }
    }

    pub fn json(&self) -> Value {
        let f = &self.full;
        let peaks: Vec<Value> = self
            .peaks
            .iter()
            .map(|p| {
                json!({"partner": p.destination, "limit": p.limit, "calls_a_second": p.calls, "opened_a_second": p.opened,
                    "out": p.out, "refused": p.refused, "of_limit": p.over})
            })
            .collect();
        json!({"full_ms": {"count": f.len(), "p50": f.value_at_quantile(0.5), "p99": f.value_at_quantile(0.99),
                "max": f.max()},
            "service_ms": self.service.map(|s| s.as_millis() as u64), "peaks": peaks})
    }

    pub fn lines(&self) -> Vec<String> {
        let f = &self.full;
        let mut lines = Vec::new();
        if !f.is_empty() {
            lines.push(format!(
                "  start to full: {} times, p50 {} ms, p99 {} ms",
                f.len(),
                f.value_at_quantile(0.5),
                f.value_at_quantile(0.99)
            ));
        }
        if let Some(service) = self.service {
            lines.push(format!(
                "  nine tenths of the service were back {:.1} s after the first crash",
                service.as_secs_f64()
            ));
        }
        for p in self.peaks.iter().filter(|p| p.calls > 0) {
            lines.push(format!(
                "  {} during returns, at most in a second: {} calls (limit {}; {:.2} of it as it was), {} opened, {} out at once; \
                 {} refused",
                p.destination,
                p.calls,
                p.limit.map_or("none".into(), |l| format!("{l:.0}")),
                p.over,
                p.opened,
                p.out,
                p.refused
            ));
        }
        lines
    }
}

/// The most of something in any span.
#[derive(Default)]
struct Sliding {
    times: VecDeque<Duration>,
    most: u32,
}

impl Sliding {
    /// Tells how many there are in the span that ends with this one.
    fn add(&mut self, at: Duration) -> u32 {
        self.times.push_back(at);
        while self
            .times
            .front()
            .is_some_and(|first| at.saturating_sub(*first) >= SPAN)
        {
            self.times.pop_front();
        }
        let present = self.times.len() as u32;
        self.most = self.most.max(present);
        present
    }
}

fn peak(
    scenario: &Scenario,
    destination: usize,
    lines: &[AuditRecord],
    spans: &[(Duration, Duration)],
) -> Peak {
    let member = &scenario.destinations[destination];
    let limit = match member.spec.limit {
        Limit::None => None,
        Limit::Rate { per_second, burst } => Some(per_second * SPAN.as_secs_f64() + burst),
        Limit::Count { calls, span } => {
            Some(f64::from(calls) * (SPAN.as_secs_f64() / span.as_secs_f64()).ceil())
        }
    };
    let mut peak = Peak {
        destination: member.name.clone(),
        limit,
        ..Peak::default()
    };
    let (mut calls, mut opened) = (Sliding::default(), Sliding::default());
    let mut out: BTreeSet<u64> = BTreeSet::new();
    let number = destination as u64;
    for line in lines {
        let counts = spans
            .iter()
            .any(|(from, to)| *from <= line.at && line.at < *to);
        match &line.event {
            AuditEvent::Called {
                destination,
                connection,
                ..
            } if *destination == number => {
                out.insert(*connection);
                if counts {
                    let present = calls.add(line.at);
                    let kept = State::of(&member.faults[0], line.at).lower;
                    if let Limit::Rate { per_second, burst } = member.spec.limit {
                        peak.over = peak
                            .over
                            .max(f64::from(present) / (per_second * kept + burst));
                    }
                    peak.out = peak.out.max(out.len());
                }
            }
            AuditEvent::Opened { destination, .. } if *destination == number && counts => {
                opened.add(line.at);
            }
            AuditEvent::Replied {
                destination,
                connection,
                outcomes,
                ..
            } if *destination == number => {
                out.remove(connection);
                if counts && outcomes.iter().all(|f| f.1 == DeliveryOutcome::Busy) {
                    peak.refused += 1;
                }
            }
            AuditEvent::Closed { connection } | AuditEvent::Broke { connection, .. } => {
                out.remove(connection);
            }
            _ => {}
        }
    }
    (peak.calls, peak.opened) = (calls.most, opened.most);
    peak
}

/// How long after `at` as much was delivered, over three seconds, as nine tenths of what was before it. What is lost meanwhile is
/// not counted as missing later.
fn served_again(lines: &[AuditRecord], at: Duration, lasted: Duration) -> Option<Duration> {
    let mut seconds: BTreeMap<u64, u32> = BTreeMap::new();
    for line in lines {
        if let AuditEvent::Replied { outcomes, .. } = &line.event {
            let done = outcomes
                .iter()
                .filter(|f| f.1 == DeliveryOutcome::Done)
                .count() as u32;
            *seconds.entry(line.at.as_secs()).or_default() += done;
        }
    }
    let rate = |from: u64, to: u64| -> f64 {
        let sum: u32 = (from..to)
            .map(|s| seconds.get(&s).copied().unwrap_or(0))
            .sum();
        f64::from(sum) / (to - from).max(1) as f64
    };
    let start = at.as_secs();
    let usual = rate(start.saturating_sub(4), start);
    let last = lasted.as_secs().saturating_sub(3);
    // The dip comes first.
    let dip = (start..last).find(|&s| rate(s, s + 1) < 0.7 * usual)?;
    let back = (dip..last).find(|&s| rate(s, s + 3) >= 0.9 * usual)?;
    Some(Duration::from_secs(back).saturating_sub(at))
}
