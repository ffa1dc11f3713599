//! What came of zones that failed: who went on sending there, who tried, and how work returned.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_simulation::audit::{AuditEvent, AuditRecord};
use cranehill_simulation::limit::Limit;
use cranehill_simulation::scenario::Scenario;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::histogram;
use crate::timeline::Timeline;

/// After its end an outage's return is looked at for so long.
const RETURN: Duration = Duration::from_secs(14);
/// Rates are counted in spans of this.
const SPAN: Duration = Duration::from_secs(1);
/// From so long after a failure on, what is sent there are probes.
const SETTLED: Duration = Duration::from_secs(4);

/// One zone's failure.
#[derive(Debug)]
pub struct Outage {
    pub zone: String,
    pub from: Duration,
    pub until: Duration,
    /// Milliseconds from the failure until a sender's log says that the zone is left; and those that never said so.
    pub left: Histogram<u64>,
    pub stayed: usize,
    /// Milliseconds from the failure until the last call of each sender before the end.
    pub last: Histogram<u64>,
    /// Calls and refused connections into it while it was down; and a second, from four seconds on.
    pub sent: u64,
    pub probes: f64,
    /// On its return: the most calls in any second to one destination's endpoints there, as a share of the limit.
    pub peak: f64,
    /// From its end until nine tenths of the calls before it went there.
    pub full: Option<Duration>,
}

/// The outages that strike most of a zone's endpoints.
pub fn outages(scenario: &Scenario, lines: &[AuditRecord], timeline: &Timeline) -> Vec<Outage> {
    let mut found = Vec::new();
    for (zone, name) in scenario
        .zones
        .iter()
        .enumerate()
        .filter(|_| scenario.zones.len() > 1)
    {
        let endpoints = || {
            scenario
                .destinations
                .iter()
                .flat_map(|m| m.faults.iter().zip(&m.zones))
                .filter(|(_, z)| **z == zone)
                .map(|(f, _)| f)
        };
        let count = endpoints().count();
        let mut spans: BTreeMap<(Duration, Duration), usize> = BTreeMap::new();
        for fault in endpoints().flatten().filter(|f| f.is_outage()) {
            *spans.entry((fault.start, fault.end())).or_default() += 1;
        }
        for ((from, until), affected) in spans {
            if affected * 5 >= count * 4 {
                found.push(outage(scenario, lines, timeline, (zone, name), from, until));
            }
        }
    }
    found
}

fn outage(
    scenario: &Scenario,
    lines: &[AuditRecord],
    timeline: &Timeline,
    (zone, name): (usize, &String),
    from: Duration,
    until: Duration,
) -> Outage {
    // Endpoints by the auditor's number: destinations in order, each with its endpoints. Replaced ones are not in these days.
    let places: Vec<(usize, usize)> = scenario
        .destinations
        .iter()
        .enumerate()
        .flat_map(|(n, m)| m.zones.iter().map(move |z| (n, *z)))
        .collect();
    let mut out = Outage {
        zone: name.clone(),
        from,
        until,
        left: histogram(),
        stayed: 0,
        last: histogram(),
        sent: 0,
        probes: 0.0,
        peak: 0.0,
        full: None,
    };
    let mut last: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut seconds: BTreeMap<u64, u32> = BTreeMap::new();
    let mut late = 0u32;
    let mut sliding: BTreeMap<usize, Vec<Duration>> = BTreeMap::new();
    for line in lines {
        let endpoint = match &line.event {
            AuditEvent::Called { endpoint, .. } => *endpoint,
            // A connection that was refused.
            AuditEvent::Broke {
                endpoint,
                ids,
                executed: false,
                ..
            } if ids.is_empty() => *endpoint,
            _ => continue,
        };
        let Some(&(destination, _)) = places.get(endpoint).filter(|p| p.1 == zone) else {
            continue;
        };
        *seconds.entry(line.at.as_secs()).or_default() += 1;
        if (from..until).contains(&line.at) {
            out.sent += 1;
            late += u32::from(line.at >= from + SETTLED);
            last.extend(line.sender.map(|s| (s, line.at)));
        }
        if (until..until + RETURN).contains(&line.at) {
            let times = sliding.entry(destination).or_default();
            times.push(line.at);
            times.retain(|t| line.at.saturating_sub(*t) < SPAN);
            let spec = &scenario.destinations[destination].spec;
            let limit = match spec.limit {
                Limit::Rate { per_second, burst } => per_second + burst,
                Limit::Count { calls, span } => f64::from(calls) / span.as_secs_f64(),
                Limit::None => spec.capacity,
            };
            out.peak = out.peak.max(times.len() as f64 / limit);
        }
    }
    last.values()
        .for_each(|at| out.last.saturating_record((*at - from).as_millis() as u64));
    out.probes = f64::from(late) / until.saturating_sub(from + SETTLED).as_secs_f64().max(1.0);
    for sender in 0..scenario.senders {
        let left = timeline.zones.iter().find(|z| {
            z.1 == sender && z.2 == *name && z.3 == "evacuated" && z.0 >= from && z.0 < until
        });
        match left {
            Some(left) => out
                .left
                .saturating_record((left.0 - from).as_millis() as u64),
            None => out.stayed += 1,
        }
    }
    let rate = |a: u64, b: u64| {
        let sum: u32 = (a..b).map(|s| seconds.get(&s).copied().unwrap_or(0)).sum();
        f64::from(sum) / (b - a).max(1) as f64
    };
    let usual = rate(from.as_secs().saturating_sub(4), from.as_secs());
    let back = until.as_secs();
    let day_end = scenario.duration.as_secs().saturating_sub(2);
    let full = (back..day_end).find(|&s| rate(s, s + 2) >= 0.9 * usual);
    out.full = full.map(|s| Duration::from_secs(s).saturating_sub(until));
    out
}

impl Outage {
    pub fn json(&self) -> Value {
        let ms = |d: Duration| d.as_millis() as u64;
        let shown = |h: &Histogram<u64>| json!({"count": h.len(), "p50": h.value_at_quantile(0.5), "p99": h.value_at_quantile(0.99), "max": h.max()});
        json!({"zone": self.zone, "from_ms": ms(self.from), "until_ms": ms(self.until), "left_ms": shown(&self.left),
            "stayed": self.stayed, "last_call_ms": shown(&self.last), "sent_into": self.sent,
            "probes_a_second": self.probes, "peak_of_limit": self.peak, "full_use_ms": self.full.map(ms)})
    }

    pub fn line(&self) -> String {
        let (l, c) = (&self.left, &self.last);
        let full = self
            .full
            .map_or("never".into(), |f| format!("{:.0} s", f.as_secs_f64()));
        format!(
            "  zone {} down from {:.1} to {:.1} s: left by {} senders after p50 {} ms, p99 {} ms ({} stayed); {} calls into it, \
             the last of each sender after p50 {} ms, p99 {} ms; {:.1} a second from 4 s on; on its return at most {:.2} of a \
             limit in a second, full use after {full}",
            self.zone,
            self.from.as_secs_f64(),
            self.until.as_secs_f64(),
            l.len(),
            l.value_at_quantile(0.5),
            l.value_at_quantile(0.99),
            self.stayed,
            self.sent,
            c.value_at_quantile(0.5),
            c.value_at_quantile(0.99),
            self.probes,
            self.peak
        )
    }
}
