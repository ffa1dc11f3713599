//! Outages of zones: calls that were still sent there, probes, and the load when the zone is back.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use cranehill_simulation::audit::{AuditEvent, AuditRecord};
use cranehill_simulation::limit::Limit;
use cranehill_simulation::scenario::{Member, Scenario};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::histograms::{histogram, record};
use crate::timeline::Timeline;
use crate::units::whole_milliseconds;

/// Time after an outage in which the load of the zone is observed.
const RECOVERY_TIME: Duration = Duration::from_secs(14);
/// Rates are counted over this.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Calls into the zone this long after a failure are probes.
const EVACUATION_TIME: Duration = Duration::from_secs(4);
/// Seconds before an outage over which the usual rate is counted.
const USUAL_RATE_SECONDS: u64 = 4;
/// Seconds over which the rate after an outage is compared with the usual one.
const RECOVERED_RATE_SECONDS: u64 = 2;
/// The part of the usual rate from which on the zone counts as fully used.
const FULL_USE: f64 = 0.9;

/// One zone's failure.
#[derive(Debug)]
pub struct Outage {
    /// The zone's name.
    pub zone: String,
    /// When the zone failed.
    pub from: Duration,
    /// When the zone was back.
    pub until: Duration,
    /// Milliseconds from the failure until a sender logged that it had evacuated the zone.
    pub left: Histogram<u64>,
    /// Senders that did not evacuate the zone.
    pub stayed: usize,
    /// Milliseconds from the failure until the last call of each sender into the zone before its end.
    pub last: Histogram<u64>,
    /// Calls and refused connections into the zone during the outage.
    pub sent: u64,
    /// The same in a second, from four seconds after the failure on.
    pub probes: f64,
    /// After the outage: the most calls in any second to one destination's endpoints in the zone, as a share of the limit.
    pub peak: f64,
    /// From the end of the outage until nine tenths of the usual calls were sent there; `None` if that was never so.
    pub full: Option<Duration>,
}

/// The outages that affect most of a zone's endpoints.
pub(crate) fn outages(
    scenario: &Scenario,
    lines: &[AuditRecord],
    timeline: &Timeline,
) -> Vec<Outage> {
    if scenario.zones.len() < 2 {
        return Vec::new();
    }
    let mut found = Vec::new();
    for zone in 0..scenario.zones.len() {
        for span in outage_spans(scenario, zone) {
            let mut outage = OutageCalls::new(scenario, zone, span);
            lines.iter().for_each(|line| outage.add(line));
            found.push(outage.finish(timeline));
        }
    }
    found
}

/// Times in which at least four fifths of a zone's endpoints have an outage.
fn outage_spans(scenario: &Scenario, zone: usize) -> Vec<Range<Duration>> {
    let endpoint_faults = || {
        scenario
            .destinations
            .iter()
            .flat_map(|member| member.faults.iter().zip(&member.zones))
            .filter(|(_, endpoint_zone)| **endpoint_zone == zone)
            .map(|(faults, _)| faults)
    };
    let endpoints = endpoint_faults().count();
    let mut affected: BTreeMap<(Duration, Duration), usize> = BTreeMap::new();
    for fault in endpoint_faults().flatten().filter(|f| f.is_outage()) {
        *affected.entry((fault.start, fault.end())).or_default() += 1;
    }
    affected
        .into_iter()
        .filter(|(_, count)| count * 5 >= endpoints * 4)
        .map(|((from, until), _)| from..until)
        .collect()
}

/// Calls into a zone, before, during and after an outage.
struct OutageCalls<'a> {
    scenario: &'a Scenario,
    zone: usize,
    span: Range<Duration>,
    /// By the auditor's number of an endpoint: its destination and zone. Scenarios with outages of zones replace no endpoint.
    endpoints: Vec<(usize, usize)>,
    sent: u64,
    probes: u32,
    /// By sender: its last call during the outage.
    last: BTreeMap<usize, Duration>,
    calls_by_second: BTreeMap<u64, u32>,
    /// By destination: calls after the outage, in the last [`RATE_WINDOW`].
    recent: BTreeMap<usize, Vec<Duration>>,
    peak: f64,
}

impl<'a> OutageCalls<'a> {
    fn new(scenario: &'a Scenario, zone: usize, span: Range<Duration>) -> OutageCalls<'a> {
        let endpoints = scenario
            .destinations
            .iter()
            .enumerate()
            .flat_map(|(n, member)| member.zones.iter().map(move |zone| (n, *zone)))
            .collect();
        OutageCalls {
            scenario,
            zone,
            span,
            endpoints,
            sent: 0,
            probes: 0,
            last: BTreeMap::new(),
            calls_by_second: BTreeMap::new(),
            recent: BTreeMap::new(),
            peak: 0.0,
        }
    }

    fn add(&mut self, line: &AuditRecord) {
        let Some(destination) = self.destination_in_zone(line) else {
            return;
        };
        let at = line.at;
        *self.calls_by_second.entry(at.as_secs()).or_default() += 1;
        if self.span.contains(&at) {
            self.sent += 1;
            self.probes += u32::from(at >= self.span.start + EVACUATION_TIME);
            self.last.extend(line.sender.map(|sender| (sender, at)));
        }
        if (self.span.end..self.span.end + RECOVERY_TIME).contains(&at) {
            self.add_after_outage(destination, at);
        }
    }

    /// The destination of a call or refused connection into the zone.
    fn destination_in_zone(&self, line: &AuditRecord) -> Option<usize> {
        let endpoint = match &line.event {
            AuditEvent::Called { endpoint, .. } => *endpoint,
            // A connection that was refused.
            AuditEvent::Broke {
                endpoint,
                ids,
                executed: false,
                ..
            } if ids.is_empty() => *endpoint,
            _ => return None,
        };
        let (destination, zone) = *self.endpoints.get(endpoint)?;
        (zone == self.zone).then_some(destination)
    }

    fn add_after_outage(&mut self, destination: usize, at: Duration) {
        let recent = self.recent.entry(destination).or_default();
        recent.push(at);
        recent.retain(|time| at.saturating_sub(*time) < RATE_WINDOW);
        let limit = calls_per_second(&self.scenario.destinations[destination]);
        self.peak = self.peak.max(recent.len() as f64 / limit);
    }

    fn finish(self, timeline: &Timeline) -> Outage {
        let (start, end) = (self.span.start, self.span.end);
        let name = &self.scenario.zones[self.zone];
        let (mut left, mut stayed) = (histogram(), 0);
        for sender in 0..self.scenario.senders {
            match evacuated_at(timeline, sender, name, start..end) {
                Some(at) => record(&mut left, at - start),
                None => stayed += 1,
            }
        }
        let mut last = histogram();
        self.last
            .values()
            .for_each(|at| record(&mut last, *at - start));
        let probe_seconds = end.saturating_sub(start + EVACUATION_TIME).as_secs_f64();
        Outage {
            zone: name.clone(),
            from: start,
            until: end,
            left,
            stayed,
            last,
            sent: self.sent,
            probes: f64::from(self.probes) / probe_seconds.max(1.0),
            peak: self.peak,
            full: self.full_use_after(),
        }
    }

    fn full_use_after(&self) -> Option<Duration> {
        let start = self.span.start.as_secs();
        let usual = self.rate(start.saturating_sub(USUAL_RATE_SECONDS)..start);
        let end = self.scenario.duration.as_secs();
        let last = end.saturating_sub(RECOVERED_RATE_SECONDS);
        let full = (self.span.end.as_secs()..last).find(|&second| {
            self.rate(second..second + RECOVERED_RATE_SECONDS) >= FULL_USE * usual
        })?;
        Some(Duration::from_secs(full).saturating_sub(self.span.end))
    }

    /// Calls a second over some seconds.
    fn rate(&self, seconds: Range<u64>) -> f64 {
        let count = seconds.end - seconds.start;
        let calls: u32 = seconds
            .map(|second| self.calls_by_second.get(&second).copied().unwrap_or(0))
            .sum();
        f64::from(calls) / count.max(1) as f64
    }
}

/// The most calls that a destination's limit allows in a second.
fn calls_per_second(member: &Member) -> f64 {
    match member.spec.limit {
        Limit::Rate { per_second, burst } => per_second + burst,
        Limit::Count { calls, span } => f64::from(calls) / span.as_secs_f64(),
        Limit::None => member.spec.capacity,
    }
}

/// When a sender logged that it had evacuated the zone.
fn evacuated_at(
    timeline: &Timeline,
    sender: usize,
    zone: &str,
    span: Range<Duration>,
) -> Option<Duration> {
    timeline
        .zones
        .iter()
        .find(|(at, by, name, state)| {
            *by == sender && name == zone && state == "evacuated" && span.contains(at)
        })
        .map(|(at, ..)| *at)
}

impl Outage {
    /// For the summary.
    pub fn json(&self) -> Value {
        let shown = |times: &Histogram<u64>| {
            json!({"count": times.len(), "p50": times.value_at_quantile(0.5), "p99": times.value_at_quantile(0.99),
                "max": times.max()})
        };
        json!({"zone": self.zone, "from_ms": whole_milliseconds(self.from), "until_ms": whole_milliseconds(self.until), "left_ms": shown(&self.left),
            "stayed": self.stayed, "last_call_ms": shown(&self.last), "sent_into": self.sent,
            "probes_a_second": self.probes, "peak_of_limit": self.peak, "full_use_ms": self.full.map(whole_milliseconds)})
    }

    /// For the table.
    pub fn line(&self) -> String {
        let (left, last) = (&self.left, &self.last);
        let full = self.full.map_or("never".into(), |full| {
            format!("{:.0} s", full.as_secs_f64())
        });
        format!(
            "  zone {} down from {:.1} to {:.1} s: left by {} senders after p50 {} ms, p99 {} ms ({} stayed); {} calls into it, \
             the last of each sender after p50 {} ms, p99 {} ms; {:.1} a second from 4 s on; on its return at most {:.2} of a \
             limit in a second, full use after {full}",
            self.zone,
            self.from.as_secs_f64(),
            self.until.as_secs_f64(),
            left.len(),
            left.value_at_quantile(0.5),
            left.value_at_quantile(0.99),
            self.stayed,
            self.sent,
            last.value_at_quantile(0.5),
            last.value_at_quantile(0.99),
            self.probes,
            self.peak
        )
    }
}
