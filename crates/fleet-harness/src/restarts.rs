//! Restarts of senders: the duration of their recovery, and the load of the destinations during it.

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

/// The load of the destinations is still attributed to a restart for this long after the sender is ready again.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Length of the sliding window in which events are counted for a rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The largest load of one destination while senders were down or had just been restarted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DestinationPeak {
    /// Name of the destination.
    pub destination: String,
    /// Calls that its limit allows in any one second, including the burst; `None` without a limit.
    pub limit: Option<f64>,
    /// The largest number of calls in any second.
    pub calls: u32,
    /// The largest number of connections opened in any second.
    pub opened: u32,
    /// The largest number of calls in flight at the same time.
    pub in_flight: usize,
    /// Calls that the destination rejected because it was busy.
    pub rejected: u32,
    /// The largest number of calls in any second, divided by the limit at that time; above 1 the limit was exceeded.
    pub limit_share: f64,
}

/// Durations of the senders' recoveries, and the load that restarts put on destinations.
#[derive(Debug)]
pub struct Restarts {
    /// Milliseconds from the start of a process until it logged that its recovery was complete, from the first kill on.
    pub recovery: Histogram<u64>,
    /// Time from the first kill until the delivery rate was back at nine tenths of the usual rate; `None` if it was not disturbed
    /// or did not recover.
    pub service_recovered_after: Option<Duration>,
    /// The largest load of each destination.
    pub peaks: Vec<DestinationPeak>,
}

impl Restarts {
    /// Evaluates the records of a run of this duration.
    pub fn of(
        scenario: &Scenario,
        records: &[AuditRecord],
        timeline: &Timeline,
        lasted: Duration,
    ) -> Restarts {
        let mut recovery = histogram();
        let first_kill = timeline.killed.iter().map(|kill| kill.1).min();
        for (at, _, took) in &timeline.recoveries {
            if first_kill.is_some_and(|kill| *at >= kill) {
                record(&mut recovery, *took);
            }
        }
        let spans: Vec<Range<Duration>> = timeline
            .absences
            .values()
            .flatten()
            .filter_map(|(stopped, restarted)| Some(*stopped..(*restarted)? + RESTART_TIME))
            .collect();
        let peaks = (0..scenario.destinations.len())
            .map(|n| {
                let mut load = DestinationLoad::new(scenario, n, &spans);
                records.iter().for_each(|record| load.add(record));
                load.finish()
            })
            .collect();
        Restarts {
            recovery,
            service_recovered_after: first_kill.and_then(|at| recovered_after(records, at, lasted)),
            peaks,
        }
    }

    /// The figures as a JSON object of the summary.
    pub fn json(&self) -> Value {
        let recovery = &self.recovery;
        let peaks: Vec<Value> = self
            .peaks
            .iter()
            .map(|p| {
                json!({"partner": p.destination, "limit": p.limit, "calls_a_second": p.calls, "opened_a_second": p.opened,
                    "out": p.in_flight, "refused": p.rejected, "of_limit": p.limit_share})
            })
            .collect();
        json!({"full_ms": {"count": recovery.len(), "p50": recovery.value_at_quantile(0.5), "p99": recovery.value_at_quantile(0.99),
                "max": recovery.max()},
            "service_ms": self.service_recovered_after.map(|after| after.as_millis() as u64), "peaks": peaks})
    }

    /// The figures as lines of the text report.
    pub fn lines(&self) -> Vec<String> {
        let recovery = &self.recovery;
        let mut lines = Vec::new();
        if !recovery.is_empty() {
            lines.push(format!(
                "  start to complete recovery: {} times, p50 {} ms, p99 {} ms",
                recovery.len(),
                recovery.value_at_quantile(0.5),
                recovery.value_at_quantile(0.99)
            ));
        }
        if let Some(after) = self.service_recovered_after {
            lines.push(format!(
                "  nine tenths of the usual delivery rate {:.1} s after the first crash",
                after.as_secs_f64()
            ));
        }
        for p in self.peaks.iter().filter(|p| p.calls > 0) {
            lines.push(format!(
                "  {} during restarts, at most per second: {} calls (limit {}; {:.2} of the limit at that time), {} connections opened; \
                 {} calls in flight at once; {} rejected",
                p.destination,
                p.calls,
                p.limit.map_or("none".into(), |l| format!("{l:.0}")),
                p.limit_share,
                p.opened,
                p.in_flight,
                p.rejected
            ));
        }
        lines
    }
}

/// Events in the last [`RATE_WINDOW`].
#[derive(Default)]
struct SlidingCount {
    times: VecDeque<Duration>,
    /// The largest number of events in any window so far.
    max: u32,
}

impl SlidingCount {
    /// Adds an event and returns the number of events in the window, including this one.
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

/// Accumulates the load of one destination during `spans`: each sender's absence and the [`RESTART_TIME`] after it.
struct DestinationLoad<'a> {
    number: u64,
    member: &'a Member,
    spans: &'a [Range<Duration>],
    calls: SlidingCount,
    opened: SlidingCount,
    /// Connections that carry a call in flight.
    in_flight: BTreeSet<u64>,
    peak: DestinationPeak,
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
            peak: DestinationPeak {
                destination: member.name.clone(),
                limit: calls_in_window(member.spec.limit),
                ..DestinationPeak::default()
            },
        }
    }

    fn add(&mut self, record: &AuditRecord) {
        let in_span = self.spans.iter().any(|span| span.contains(&record.at));
        match &record.event {
            AuditEvent::Called {
                destination,
                connection,
                ..
            } if *destination == self.number => {
                self.in_flight.insert(*connection);
                if in_span {
                    self.add_call(record.at);
                }
            }
            AuditEvent::Opened { destination, .. } if *destination == self.number && in_span => {
                self.opened.add(record.at);
            }
            AuditEvent::Replied {
                destination,
                connection,
                outcomes,
                ..
            } if *destination == self.number => {
                self.in_flight.remove(connection);
                let is_busy = |outcome: &DeliveryOutcome| *outcome == DeliveryOutcome::Busy;
                if in_span && outcomes.iter().all(|(_, outcome)| is_busy(outcome)) {
                    self.peak.rejected += 1;
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
            self.peak.limit_share = self.peak.limit_share.max(f64::from(count) / limit);
        }
        self.peak.in_flight = self.peak.in_flight.max(self.in_flight.len());
    }

    fn finish(self) -> DestinationPeak {
        DestinationPeak {
            calls: self.calls.max,
            opened: self.opened.max,
            ..self.peak
        }
    }
}

/// Calls that a limit allows within [`RATE_WINDOW`]; `None` without a limit.
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

/// Seconds before the first kill over which the usual rate is averaged.
const USUAL_RATE_SECONDS: u64 = 4;
/// Seconds over which the rate after a kill is averaged for the comparison with the usual rate.
const RECOVERED_RATE_SECONDS: u64 = 3;
/// Below this fraction of the usual rate, service counts as disturbed.
const DISTURBED_SERVICE: f64 = 0.7;
/// From this fraction of the usual rate on, service counts as recovered.
const RECOVERED_SERVICE: f64 = 0.9;

/// Time from `at` until the rate of deliveries, averaged over three seconds, was back at nine tenths of the usual rate. Only the
/// rate counts: messages that were lost in between do not lower it later.
fn recovered_after(records: &[AuditRecord], at: Duration, lasted: Duration) -> Option<Duration> {
    let delivered = deliveries_by_second(records);
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

fn deliveries_by_second(records: &[AuditRecord]) -> BTreeMap<u64, u32> {
    let mut deliveries: BTreeMap<u64, u32> = BTreeMap::new();
    for record in records {
        if let AuditEvent::Replied { outcomes, .. } = &record.event {
            let delivered = outcomes
                .iter()
                .filter(|(_, outcome)| *outcome == DeliveryOutcome::Done)
                .count();
            *deliveries.entry(record.at.as_secs()).or_default() += delivered as u32;
        }
    }
    deliveries
}
