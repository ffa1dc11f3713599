//! Outages of zones: calls that were still sent into the zone, probe calls, and the load after the outage.

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

/// Time after an outage during which the load of the zone is observed.
const RECOVERY_TIME: Duration = Duration::from_secs(14);
/// Length of the sliding window in which calls are counted for a rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Calls into the zone from this time after its failure on count as probe calls.
const EVACUATION_TIME: Duration = Duration::from_secs(4);
/// Seconds before an outage over which the usual rate is averaged.
const USUAL_RATE_SECONDS: u64 = 4;
/// Seconds over which the rate after an outage is averaged for the comparison with the usual rate.
const RECOVERED_RATE_SECONDS: u64 = 2;
/// From this fraction of the usual rate on, the zone counts as fully used.
const FULL_USE: f64 = 0.9;

/// The outage of one zone, and how the senders reacted. Times are durations since the run began.
#[derive(Debug)]
pub struct Outage {
    /// Name of the zone.
    pub zone: String,
    /// Start of the outage.
    pub from: Duration,
    /// End of the outage.
    pub until: Duration,
    /// Milliseconds from the failure until a sender logged that it had evacuated the zone.
    pub left: Histogram<u64>,
    /// Number of senders that did not evacuate the zone.
    pub stayed: usize,
    /// Milliseconds from the failure until the last call of each sender into the zone before the outage ended.
    pub last_call: Histogram<u64>,
    /// Calls and refused connections into the zone during the outage, together.
    pub calls: u64,
    /// Calls and refused connections per second, from four seconds after the failure until the end of the outage.
    pub probes_per_second: f64,
    /// The largest number of calls in any second after the outage to one destination's endpoints in the zone, divided by the
    /// destination's limit.
    pub peak_limit_share: f64,
    /// Time from the end of the outage until nine tenths of the usual calls were sent into the zone; `None` if that rate was not
    /// reached.
    pub full_use_after: Option<Duration>,
}

/// The outages that affect at least four fifths of a zone's endpoints; none with fewer than two zones.
pub(crate) fn outages(
    scenario: &Scenario,
    records: &[AuditRecord],
    timeline: &Timeline,
) -> Vec<Outage> {
    if scenario.zones.len() < 2 {
        return Vec::new();
    }
    let mut found = Vec::new();
    for zone in 0..scenario.zones.len() {
        for span in outage_spans(scenario, zone) {
            let mut outage = OutageCalls::new(scenario, zone, span);
            records.iter().for_each(|record| outage.add(record));
            found.push(outage.finish(timeline));
        }
    }
    found
}

/// Spans of time in which at least four fifths of a zone's endpoints have an outage.
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

/// Accumulates calls into a zone before, during and after an outage.
struct OutageCalls<'a> {
    scenario: &'a Scenario,
    zone: usize,
    span: Range<Duration>,
    /// Destination and zone of each endpoint, by the auditor's endpoint number. Scenarios with outages of zones replace no
    /// endpoint, so the numbers stay valid.
    endpoints: Vec<(usize, usize)>,
    calls: u64,
    probes: u32,
    /// Time of each sender's last call during the outage.
    last_call: BTreeMap<usize, Duration>,
    calls_by_second: BTreeMap<u64, u32>,
    /// Times of the calls after the outage within the last [`RATE_WINDOW`], by destination.
    recent: BTreeMap<usize, Vec<Duration>>,
    peak_limit_share: f64,
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
            calls: 0,
            probes: 0,
            last_call: BTreeMap::new(),
            calls_by_second: BTreeMap::new(),
            recent: BTreeMap::new(),
            peak_limit_share: 0.0,
        }
    }

    fn add(&mut self, line: &AuditRecord) {
        let Some(destination) = self.destination_in_zone(line) else {
            return;
        };
        let at = line.at;
        *self.calls_by_second.entry(at.as_secs()).or_default() += 1;
        if self.span.contains(&at) {
            self.calls += 1;
            self.probes += u32::from(at >= self.span.start + EVACUATION_TIME);
            self.last_call
                .extend(line.sender.map(|sender| (sender, at)));
        }
        if (self.span.end..self.span.end + RECOVERY_TIME).contains(&at) {
            self.add_after_outage(destination, at);
        }
    }

    /// The destination of a call or refused connection into the zone.
    fn destination_in_zone(&self, line: &AuditRecord) -> Option<usize> {
        let endpoint = match &line.event {
            AuditEvent::Called { endpoint, .. } => *endpoint,
            // A connection that was refused: no message was sent on it.
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
        self.peak_limit_share = self.peak_limit_share.max(recent.len() as f64 / limit);
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
        let mut last_call = histogram();
        self.last_call
            .values()
            .for_each(|at| record(&mut last_call, *at - start));
        let probe_seconds = end.saturating_sub(start + EVACUATION_TIME).as_secs_f64();
        Outage {
            zone: name.clone(),
            from: start,
            until: end,
            left,
            stayed,
            last_call,
            calls: self.calls,
            probes_per_second: f64::from(self.probes) / probe_seconds.max(1.0),
            peak_limit_share: self.peak_limit_share,
            full_use_after: self.full_use_after(),
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

    /// Average calls per second over a range of whole seconds.
    fn rate(&self, seconds: Range<u64>) -> f64 {
        let count = seconds.end - seconds.start;
        let calls: u32 = seconds
            .map(|second| self.calls_by_second.get(&second).copied().unwrap_or(0))
            .sum();
        f64::from(calls) / count.max(1) as f64
    }
}

/// Calls that a destination's limit allows in a second; its capacity if it has no limit.
fn calls_per_second(member: &Member) -> f64 {
    match member.spec.limit {
        Limit::Rate { per_second, burst } => per_second + burst,
        Limit::Count { calls, span } => f64::from(calls) / span.as_secs_f64(),
        Limit::None => member.spec.capacity,
    }
}

/// When a sender logged that it had evacuated the zone; `None` if it did not within the span.
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
    /// The outage as a JSON object of the summary.
    pub fn json(&self) -> Value {
        let quantiles = |times: &Histogram<u64>| {
            json!({"count": times.len(), "p50": times.value_at_quantile(0.5), "p99": times.value_at_quantile(0.99),
                "max": times.max()})
        };
        json!({"zone": self.zone, "from_ms": whole_milliseconds(self.from), "until_ms": whole_milliseconds(self.until), "left_ms": quantiles(&self.left),
            "stayed": self.stayed, "last_call_ms": quantiles(&self.last_call), "sent_into": self.calls,
            "probes_a_second": self.probes_per_second, "peak_of_limit": self.peak_limit_share, "full_use_ms": self.full_use_after.map(whole_milliseconds)})
    }

    /// The outage as a line of the text report.
    pub fn line(&self) -> String {
        let (left, last_call) = (&self.left, &self.last_call);
        let full = self.full_use_after.map_or("never".into(), |after| {
            format!("{:.0} s", after.as_secs_f64())
        });
        format!(
            "  zone {} down from {:.1} to {:.1} s: evacuated by {} senders after p50 {} ms, p99 {} ms ({} did not); {} calls into it, \
             the last of each sender after p50 {} ms, p99 {} ms; {:.1} per second from 4 s on; after the outage at most {:.2} of a \
             limit in a second, full use after {full}",
            self.zone,
            self.from.as_secs_f64(),
            self.until.as_secs_f64(),
            left.len(),
            left.value_at_quantile(0.5),
            left.value_at_quantile(0.99),
            self.stayed,
            self.calls,
            last_call.value_at_quantile(0.5),
            last_call.value_at_quantile(0.99),
            self.probes_per_second,
            self.peak_limit_share
        )
    }
}
