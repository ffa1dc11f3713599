//! Restarts of senders: how long they took, and the load of the destinations meanwhile.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::time::Duration;

use cranehill_simulation::audit::{AuditEvent, AuditRecord, DeliveryOutcome};
use cranehill_simulation::fault::State;
use cranehill_simulation::limit::Limit;
use cranehill_simulation::scenario::{Member, Scenario};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::histograms::{histogram, record};
use crate::timeline::Timeline;

/// Time after a sender is ready again that counts as its restart.
const RETURN_TIME: Duration = Duration::from_secs(6);
/// Rates are counted over this.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The load of one destination while senders were away or restarted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Peak {
    /// The destination's name.
    pub destination: String,
    /// Calls that its limit allows in any one second, with its burst; `None` if it has no limit.
    pub limit: Option<f64>,
    /// The most calls in any second.
    pub calls: u32,
    /// The most connections opened in any second.
    pub opened: u32,
    /// The most calls in flight at once.
    pub out: usize,
    /// Calls that it rejected.
    pub refused: u32,
    /// The most calls in any second as a share of the limit at that time: above 1, it was exceeded.
    pub over: f64,
}

/// Restarts of senders.
#[derive(Debug)]
pub struct Returns {
    /// Milliseconds from a start until the sender logged that its recovery was complete.
    pub full: Histogram<u64>,
    /// From the first kill until nine tenths of the usual deliveries were made again; `None` if that was never so.
    pub service: Option<Duration>,
    /// By destination.
    pub peaks: Vec<Peak>,
}

impl Returns {
    /// Evaluates a run.
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
                record(&mut full, *took);
            }
        }
        let spans: Vec<Range<Duration>> = timeline
            .away
            .values()
            .flatten()
            .filter_map(|(removed, back)| Some(*removed..(*back)? + RETURN_TIME))
            .collect();
        let peaks = (0..scenario.destinations.len())
            .map(|n| {
                let mut load = DestinationLoad::new(scenario, n, &spans);
                lines.iter().for_each(|line| load.add(line));
                load.finish()
            })
            .collect();
        Returns {
            full,
            service: first.and_then(|at| recovered_after(lines, at, lasted)),
            peaks,
        }
    }

    /// For the summary.
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

    /// For the table.
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

/// Events in the last [`RATE_WINDOW`].
#[derive(Default)]
struct SlidingCount {
    times: VecDeque<Duration>,
    /// The largest count so far.
    max: u32,
}

impl SlidingCount {
    /// Adds an event; the count with it.
    fn add(&mut self, at: Duration) -> u32 {
        self.times.push_back(at);
        while self
            .times
            .front()
            .is_some_and(|first| at.saturating_sub(*first) >= RATE_WINDOW)
        {
            self.times.pop_front();
        }
        let count = self.times.len() as u32;
        self.max = self.max.max(count);
        count
    }
}

/// The load of one destination, counted in some spans.
struct DestinationLoad<'a> {
    number: u64,
    member: &'a Member,
    spans: &'a [Range<Duration>],
    calls: SlidingCount,
    opened: SlidingCount,
    /// Connections with a call in flight.
    in_flight: BTreeSet<u64>,
    peak: Peak,
}

impl<'a> DestinationLoad<'a> {
    fn new(
        scenario: &'a Scenario,
        destination: usize,
        spans: &'a [Range<Duration>],
    ) -> DestinationLoad<'a> {
        let member = &scenario.destinations[destination];
        DestinationLoad {
            number: destination as u64,
            member,
            spans,
            calls: SlidingCount::default(),
            opened: SlidingCount::default(),
            in_flight: BTreeSet::new(),
            peak: Peak {
                destination: member.name.clone(),
                limit: calls_in_window(member.spec.limit),
                ..Peak::default()
            },
        }
    }

    fn add(&mut self, line: &AuditRecord) {
        let counts = self.spans.iter().any(|span| span.contains(&line.at));
        match &line.event {
            AuditEvent::Called {
                destination,
                connection,
                ..
            } if *destination == self.number => {
                self.in_flight.insert(*connection);
                if counts {
                    self.add_call(line.at);
                }
            }
            AuditEvent::Opened { destination, .. } if *destination == self.number && counts => {
                self.opened.add(line.at);
            }
            AuditEvent::Replied {
                destination,
                connection,
                outcomes,
                ..
            } if *destination == self.number => {
                self.in_flight.remove(connection);
                let is_busy = |outcome: &DeliveryOutcome| *outcome == DeliveryOutcome::Busy;
                if counts && outcomes.iter().all(|(_, outcome)| is_busy(outcome)) {
                    self.peak.refused += 1;
                }
            }
            AuditEvent::Closed { connection } | AuditEvent::Broke { connection, .. } => {
                self.in_flight.remove(connection);
            }
            _ => {}
        }
    }

    fn add_call(&mut self, at: Duration) {
        let count = self.calls.add(at);
        if let Limit::Rate { per_second, burst } = self.member.spec.limit {
            let lowered_to = State::of(&self.member.faults[0], at).lower;
            let limit = per_second * lowered_to + burst;
            self.peak.over = self.peak.over.max(f64::from(count) / limit);
        }
        self.peak.out = self.peak.out.max(self.in_flight.len());
    }

    fn finish(self) -> Peak {
        Peak {
            calls: self.calls.max,
            opened: self.opened.max,
            ..self.peak
        }
    }
}

/// Calls that a limit allows within [`RATE_WINDOW`].
fn calls_in_window(limit: Limit) -> Option<f64> {
    let window = RATE_WINDOW.as_secs_f64();
    match limit {
        Limit::None => None,
        Limit::Rate { per_second, burst } => Some(per_second * window + burst),
        Limit::Count { calls, span } => {
            Some(f64::from(calls) * (window / span.as_secs_f64()).ceil())
        }
    }
}

/// Seconds before the first kill over which the usual rate is counted.
const USUAL_RATE_SECONDS: u64 = 4;
/// Seconds over which the rate is compared with the usual one.
const RECOVERED_RATE_SECONDS: u64 = 3;
/// Below this part of the usual rate, service is disturbed.
const DISTURBED_SERVICE: f64 = 0.7;
/// From this part of the usual rate on, service has recovered.
const RECOVERED_SERVICE: f64 = 0.9;

/// How long after `at` nine tenths of the usual deliveries were made again, over three seconds. Messages that are lost meanwhile
/// are not counted as missing later.
fn recovered_after(lines: &[AuditRecord], at: Duration, lasted: Duration) -> Option<Duration> {
    let delivered = deliveries_by_second(lines);
    let rate = |seconds: Range<u64>| -> f64 {
        let count = seconds.end - seconds.start;
        let sum: u32 = seconds
            .map(|second| delivered.get(&second).copied().unwrap_or(0))
            .sum();
        f64::from(sum) / count.max(1) as f64
    };
    let start = at.as_secs();
    let usual = rate(start.saturating_sub(USUAL_RATE_SECONDS)..start);
    let last = lasted.as_secs().saturating_sub(RECOVERED_RATE_SECONDS);
    let disturbed = (start..last).find(|&s| rate(s..s + 1) < DISTURBED_SERVICE * usual)?;
    let recovered = (disturbed..last)
        .find(|&s| rate(s..s + RECOVERED_RATE_SECONDS) >= RECOVERED_SERVICE * usual)?;
    Some(Duration::from_secs(recovered).saturating_sub(at))
}

fn deliveries_by_second(lines: &[AuditRecord]) -> BTreeMap<u64, u32> {
    let mut deliveries: BTreeMap<u64, u32> = BTreeMap::new();
    for line in lines {
        if let AuditEvent::Replied { outcomes, .. } = &line.event {
            let delivered = outcomes
                .iter()
                .filter(|(_, outcome)| *outcome == DeliveryOutcome::Done)
                .count();
            *deliveries.entry(line.at.as_secs()).or_default() += delivered as u32;
        }
    }
    deliveries
}
