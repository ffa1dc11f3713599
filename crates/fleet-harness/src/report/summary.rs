//! What a scenario came to: figures, and what was expected and did not come.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan, report as day_report};
use cranehill_simulation::audit::{Line, Verdict, What};
use cranehill_simulation::fleet::{NetworkFault, PathFault, Side};
use cranehill_simulation::limit::Limit;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde_json::{Value, json};

use crate::histogram;
use crate::network::FleetTraffic;
use crate::returns::Returns;
use crate::shares::largest_share;
use crate::simulated_costs::SimulatedFleetCosts;
use crate::timeline::Timeline;
use crate::zones::{Outage, outages};

/// With one side of a cut evicted by the other, both together take at most this much of a limit: docs/membership.md.
const SHARE_MOST_EVICTED: f64 = 1.5;
/// The most that a token bucket lets out at once, in calls, by the decisions: see `PACE_DEPTH` there.
const DEPTH: f64 = 2.0;

/// Calls a second of one side of a cut to one destination, against its part of the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    pub destination: String,
    pub senders: usize,
    pub before: f64,
    pub during: f64,
    /// Its part of the limit, for the length of the cut.
    pub allowed: f64,
}

/// See the module's text.
#[derive(Debug)]
pub struct Report {
    pub bound: Duration,
    /// Milliseconds from a kill to each other's word that the member is down; and how many never said so in time.
    pub detection: Histogram<u64>,
    pub undetected: u64,
    pub false_downs: u64,
    /// Downs that a cut, or its heal, explains.
    pub explained: u64,
    pub member_hours: f64,
    /// After which event all views agreed again, and how long that took; `None` if they did not.
    pub agreed: Vec<(String, Option<Duration>)>,
    pub views_agree: bool,
    pub rejoined: usize,
    pub parts: Vec<Part>,
    pub returns: Returns,
    pub outages: Vec<Outage>,
    pub bytes_a_second: f64,
    pub packets_a_second: f64,
    pub lost: u64,
    /// What the simulated members cost, on a day with some.
    pub simulated: Option<SimulatedFleetCosts>,
    /// The most that all members that were there allowed themselves of a shared limit, together; 1.0 is the limit.
    pub largest_share: f64,
    /// Milliseconds of processor time a second, by sender that lived through the day; kB.
    pub cpu_ms: f64,
    pub memory_kb: (u64, u64),
    /// What was expected and did not come.
    pub failed: Vec<String>,
    timeline: Timeline,
}

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// From a crash to the word of it everywhere: some member probes it within 7 periods but for a chance of e^-7, or within
/// two rounds of all members where many are gone at once; the probe takes one, the suspicion its time, the gossip two.
fn bound(plan: &Plan) -> Duration {
    let Some(fleet) = &plan.scenario.fleet else {
        return Duration::ZERO;
    };
    let count = plan.scenario.members();
    let most_removed = plan
        .scenario
        .scheduled_actions
        .iter()
        .map(|a| a.senders.len())
        .max()
        .unwrap_or(0)
        .min(count.saturating_sub(1));
    let rounds = 2.0 * count as f64 / (count - most_removed).max(1) as f64;
    let scale = (count as f64).log10().max(1.0);
    let suspicion = fleet.suspicion.unwrap_or((fleet.period * 4).mul_f64(scale));
    fleet.period.mul_f64(10.0 + rounds) + suspicion
}

impl Report {
    pub fn of(plan: &Plan, outcome: &Outcome, passed: &FleetTraffic) -> Report {
        let (scenario, count) = (&plan.scenario, plan.scenario.members());
        let mut timeline = Timeline::read(&outcome.logs, &outcome.lines, outcome.began);
        let simulated = passed.simulated.as_ref();
        simulated
            .iter()
            .for_each(|simulated| timeline.add_simulated(simulated));
        let (bytes, packets) = sent(scenario.senders, passed);
        let bound = bound(plan);
        let detection = histogram();
        let mut report = Report {
            bound,
            detection,
            undetected: 0,
            false_downs: 0,
            explained: 0,
            member_hours: secs(outcome.lasted) * count as f64 / 3600.0,
            agreed: Vec::new(),
            views_agree: false,
            rejoined: timeline.rejoined.len(),
            parts: Vec::new(),
            returns: Returns::of(scenario, &outcome.lines, &timeline, outcome.lasted),
            outages: outages(scenario, &outcome.lines, &timeline),
            bytes_a_second: bytes as f64 / secs(outcome.lasted) / count as f64,
            packets_a_second: packets as f64 / secs(outcome.lasted) / count as f64,
            simulated: simulated
                .map(|simulated| SimulatedFleetCosts::of(simulated, outcome.lasted)),
            largest_share: 0.0,
            lost: passed.lost + simulated.map_or(0, |simulated| simulated.lost),
            cpu_ms: 0.0,
            memory_kb: (0, 0),
            failed: Vec::new(),
            timeline,
        };
        report.costs(outcome);
        if scenario.fleet.is_some() {
            report.detections(plan, outcome);
            report.downs(plan);
            report.agreement(plan, outcome);
            report.last_views(plan, outcome);
            report.limits(plan, outcome);
            report.shares(plan);
        }
        for (rule, verdict) in &outcome.verdicts {
            let Verdict::Broken(violations) = verdict else {
                continue;
            };
            let first = violations
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            report.failed.push(format!(
                "broken {} times: {}; {first}",
                violations.len(),
                rule.description()
            ));
        }
        report.failed.extend(
            outcome
                .crashed
                .iter()
                .map(|s| format!("sender {s} ended without a signal")),
        );
        report
            .failed
            .extend(outcome.void.iter().map(|v| format!("void: {v}")));
        report
    }

    pub fn holds(&self) -> bool {
        self.failed.is_empty()
    }

    fn costs(&mut self, outcome: &Outcome) {
        let whole = secs(outcome.lasted);
        let there = |n: usize| self.timeline.there(n, Duration::ZERO, outcome.lasted);
        let lived: Vec<_> = outcome
            .senders
            .iter()
            .enumerate()
            .filter(|(n, u)| there(*n) && u.memory_kb > 0)
            .map(|s| s.1)
            .collect();
        if lived.is_empty() {
            return;
        }
        self.cpu_ms =
            lived.iter().map(|u| secs(u.cpu)).sum::<f64>() * 1e3 / whole / lived.len() as f64;
        let mut memory: Vec<u64> = lived.iter().map(|u| u.memory_kb).collect();
        memory.sort_unstable();
        self.memory_kb = (memory[memory.len() / 2], memory[memory.len() - 1]);
    }

    /// How long after each kill the others said so.
    fn detections(&mut self, plan: &Plan, outcome: &Outcome) {
        let bound = self.bound;
        let mut downs: BTreeMap<(usize, usize), Vec<Duration>> = BTreeMap::new();
        for state_changes in self
            .timeline
            .state_changes
            .iter()
            .filter(|state_changes| state_changes.state == "down")
        {
            downs
                .entry((state_changes.by, state_changes.of))
                .or_default()
                .push(state_changes.at);
        }
        for &(removed, at) in &self.timeline.killed {
            let back = self
                .timeline
                .away
                .get(&removed)
                .and_then(|all| all.iter().find(|a| a.0 >= at)?.1);
            let until = back.unwrap_or(outcome.lasted).min(outcome.lasted);
            for by in (0..plan.scenario.members()).filter(|&by| by != removed) {
                if !self.timeline.there(by, at, until.min(at + bound))
                    || cut_off(&plan.scenario.network_faults, by, removed, at)
                {
                    continue;
                }
                let state_changes = downs.get(&(by, removed)).into_iter().flatten();
                match state_changes
                    .copied()
                    .find(|state_changes| (at..=until).contains(state_changes))
                {
                    Some(state_changes) => self
                        .detection
                        .saturating_record((state_changes - at).as_millis() as u64),
                    // It came back, or the day ended, before it had to be known.
                    None if until < at + bound => {}
                    None => self.undetected += 1,
                }
            }
        }
        let late = self.detection.max();
        if late > bound.as_millis() as u64 {
            self.failed.push(format!(
                "a crash was known to all after {late} ms; the bound is {bound:?}"
            ));
        }
        if self.undetected > 0 {
            self.failed.push(format!(
                "{} members never heard of a crash",
                self.undetected
            ));
        }
    }

    /// Who was said to be down and was not.
    fn downs(&mut self, plan: &Plan) {
        for state_changes in self
            .timeline
            .state_changes
            .iter()
            .filter(|s| s.state == "down")
        {
            let since = state_changes.at.saturating_sub(self.bound);
            if !self
                .timeline
                .there(state_changes.of, since, state_changes.at)
            {
                continue;
            }
            let cut = |b: &NetworkFault| {
                matches!(b.path_fault, PathFault::Cut | PathFault::Stall)
                    && b.among_senders()
                    && b.at <= state_changes.at
                    && b.until >= since
            };
            match plan.scenario.network_faults.iter().any(cut) {
                true => self.explained += 1,
                false => {
                    self.false_downs += 1;
                    let (by, of, at) = (state_changes.by, state_changes.of, secs(state_changes.at));
                    self.failed.push(format!(
                        "{at:.3} s: sender {by} held {of} to be down, and nothing was broken"
                    ));
                }
            }
        }
    }

    /// When all agreed again after each thing that was done.
    fn agreement(&mut self, plan: &Plan, outcome: &Outcome) {
        let scenario = &plan.scenario;
        let mut edges: BTreeMap<Duration, String> = BTreeMap::new();
        edges.insert(Duration::ZERO, "start".into());
        for b in scenario.network_faults.iter().filter(|b| b.among_senders()) {
            edges.insert(b.at, String::new());
            edges.insert(
                b.until,
                format!("{:?} until {:.1} s", b.path_fault, secs(b.until)),
            );
        }
        for all in self.timeline.away.values() {
            for &(removed, back) in all {
                edges.entry(removed).or_default();
                if let Some(back) = back {
                    edges
                        .entry(back)
                        .or_insert_with(|| format!("return at {:.1} s", secs(back)));
                }
            }
        }
        let times: Vec<Duration> = edges.keys().copied().collect();
        for (n, (at, what)) in edges
            .iter()
            .enumerate()
            .filter(|(_, (_, what))| !what.is_empty())
        {
            let until = times
                .get(n + 1)
                .copied()
                .unwrap_or(outcome.lasted)
                .min(outcome.lasted);
            let since = self.timeline.agreed_since(scenario.members(), *at, until);
            let broken = scenario
                .network_faults
                .iter()
                .any(|b| b.duration_at(*at) && b.among_senders());
            // What is broken again, or ends, before it could heal is no failure.
            if since.is_none() && (broken || until - *at < self.bound) {
                continue;
            }
            if since.is_none() {
                self.failed
                    .push(format!("the views did not agree after: {what}"));
            }
            self.agreed
                .push((what.clone(), since.map(|s| s.saturating_sub(*at))));
        }
    }

    fn last_views(&mut self, plan: &Plan, outcome: &Outcome) {
        let quiet = outcome.lasted.saturating_sub(self.bound);
        let there: BTreeSet<usize> = (0..plan.scenario.members())
            .filter(|&s| self.timeline.there(s, quiet, outcome.lasted))
            .collect();
        self.views_agree = true;
        for &by in &there {
            if by >= plan.scenario.senders {
                let seen = self.timeline.seen_alive(by);
                self.compare_view(by, &there, &seen);
                continue;
            }
            let Some(view) = outcome.views.get(by).and_then(Option::as_ref) else {
                self.views_agree = false;
                self.failed.push(format!("sender {by} gave no view"));
                continue;
            };
            let seen: BTreeSet<usize> = view["members"]
                .as_array()
                .into_iter()
                .flatten()
                .filter(|m| m["state"] == "alive")
                .filter_map(|m| m["name"].as_str()?.strip_prefix('n')?.parse().ok())
                .collect();
            self.compare_view(by, &there, &seen);
        }
    }

    fn compare_view(&mut self, by: usize, there: &BTreeSet<usize>, seen: &BTreeSet<usize>) {
        let missing: Vec<&usize> = there
            .iter()
            .filter(|&&of| of != by && !seen.contains(&of))
            .collect();
        if !missing.is_empty() {
            self.views_agree = false;
            self.failed.push(format!(
                "at the end sender {by} does not see {missing:?} as alive"
            ));
        }
    }

    /// What all members together allowed themselves of a shared limit: no more than the limit, and no more than what
    /// evictions allow where somebody was out of sight for longer than the eviction delay.
    fn shares(&mut self, plan: &Plan) {
        let Some(fleet) = &plan.scenario.fleet else {
            return;
        };
        self.largest_share = largest_share(&self.timeline, plan.scenario.members());
        let most = if out_of_sight_most(plan, &self.timeline) < fleet.hold {
            1.0
        } else {
            SHARE_MOST_EVICTED
        };
        if self.largest_share > most {
            let share = self.largest_share;
            self.failed.push(format!(
                "all together took {share:.3} of a shared limit; {most:.3} at most"
            ));
        }
    }

    /// What each side of a cut sent to the destinations that share a limit.
    fn limits(&mut self, plan: &Plan, outcome: &Outcome) {
        for cut in plan
            .scenario
            .network_faults
            .iter()
            .filter(|b| b.path_fault == PathFault::Cut && !b.one_way)
        {
            let Side::Senders(others) = &cut.to else {
                continue;
            };
            let length = cut.until - cut.at;
            let before = cut.at.saturating_sub(length.min(cut.at))..cut.at;
            for (n, member) in plan.scenario.destinations.iter().enumerate() {
                let Limit::Rate { per_second, .. } = member.spec.limit else {
                    continue;
                };
                for side in [&cut.from, others] {
                    // Simulated members have a part as well, and send nothing.
                    let real = side
                        .iter()
                        .filter(|&&sender| sender < plan.scenario.senders)
                        .count();
                    if real == 0 {
                        continue;
                    }
                    let allowed = per_second * real as f64 / plan.scenario.members() as f64;
                    let part = Part {
                        destination: member.name.clone(),
                        senders: real,
                        before: calls(&outcome.lines, n, side, &before),
                        during: calls(&outcome.lines, n, side, &(cut.at..cut.until)),
                        allowed,
                    };
                    // Buckets that were full as the cut began let go what they held.
                    let most = allowed + DEPTH * real as f64 / secs(length);
                    if part.during > most {
                        let (name, during) = (&part.destination, part.during);
                        self.failed.push(format!(
                            "{real} senders sent {during:.2} calls/s to {name} while cut off; their part is {allowed:.2}"
                        ));
                    }
                    self.parts.push(part);
                }
            }
        }
    }

    fn json(&self, plan: &Plan, outcome: &Outcome) -> Value {
        let (d, ms) = (&self.detection, |d: Duration| d.as_millis() as u64);
        let agreed: Vec<Value> = self
            .agreed
            .iter()
            .map(|(what, took)| json!({"after": what, "ms": took.map(ms)}))
            .collect();
        let parts: Vec<Value> = self
            .parts
            .iter()
            .map(|p| {
                json!({"partner": p.destination, "senders": p.senders, "before": p.before, "during": p.during,
                    "allowed": p.allowed})
            })
            .collect();
        json!({
            "scenario": plan.scenario.name, "seed": plan.seed, "nodes": plan.scenario.senders, "hollow": plan.scenario.simulated, "lasted_ms": ms(outcome.lasted),
            "holds": self.holds(), "failed": self.failed,
            "service": {"worth": outcome.worth.0, "asked": outcome.worth.1, "handed": outcome.submitted,
                "delivered": outcome.delivered},
            "detection_ms": {"count": d.len(), "p50": d.value_at_quantile(0.5), "p99": d.value_at_quantile(0.99),
                "max": d.max(), "bound": ms(self.bound), "undetected": self.undetected},
            "false_downs": {"count": self.false_downs, "member_hours": self.member_hours, "by_cuts": self.explained},
            "agreed": agreed, "views_agree": self.views_agree, "rejoined": self.rejoined, "parts": parts,
            "returns": self.returns.json(), "zones": self.outages.iter().map(Outage::json).collect::<Vec<_>>(),
            "a_member_a_second": {"bytes": self.bytes_a_second, "packets": self.packets_a_second, "cpu_ms": self.cpu_ms},
            "largest_share": self.largest_share, "hollow": self.simulated.as_ref().map(SimulatedFleetCosts::json),
            "packets_lost": self.lost, "memory_kb": {"median": self.memory_kb.0, "most": self.memory_kb.1},
            "rig_late_ms": {"most": ms(outcome.late.0), "p99": ms(outcome.late.1)},
        })
    }
}

/// The longest time for which a member was away or cut off.
fn out_of_sight_most(plan: &Plan, timeline: &Timeline) -> Duration {
    let cuts =
        plan.scenario.network_faults.iter().filter(|b| {
            matches!(b.path_fault, PathFault::Cut | PathFault::Stall) && b.among_senders()
        });
    let cut = cuts.map(|b| b.until - b.at).max().unwrap_or_default();
    let away = timeline
        .away
        .values()
        .flatten()
        .map(|(removed, back)| match back {
            Some(back) => back.saturating_sub(*removed),
            None => Duration::MAX,
        });
    away.max().unwrap_or_default().max(cut)
}

/// Bytes and packets that all members sent. Hollow ones count at their own sockets: the relay sees a part of theirs.
fn sent(senders: usize, passed: &FleetTraffic) -> (u64, u64) {
    let real = |of: &[u64]| of.iter().take(senders).sum::<u64>();
    let simulated = passed
        .simulated
        .as_ref()
        .map_or((0, 0), |h| (h.bytes_sent, h.packets_sent));
    (
        real(&passed.bytes) + simulated.0,
        real(&passed.packets) + simulated.1,
    )
}

/// Whether a break lies between the two about that time.
fn cut_off(network_faults: &[NetworkFault], one: usize, other: usize, at: Duration) -> bool {
    let near = |b: &&NetworkFault| b.at <= at && at <= b.until;
    network_faults
        .iter()
        .filter(near)
        .any(|b| b.between(one, other) || b.between(other, one))
}

fn calls(
    lines: &[Line],
    destination: usize,
    by: &BTreeSet<usize>,
    span: &std::ops::Range<Duration>,
) -> f64 {
    let called = lines
        .iter()
        .filter(|l| span.contains(&l.at) && l.sender.is_some_and(|s| by.contains(&s)));
    let to = called.filter(
        |l| matches!(l.what, What::Called { destination: p, .. } if p == destination as u64),
    );
    to.count() as f64 / secs(span.end - span.start).max(1e-9)
}

fn fleet_size(plan: &Plan) -> String {
    match plan.scenario.simulated {
        0 => format!("{} senders", plan.scenario.senders),
        simulated => format!(
            "{} senders, {simulated} simulated members",
            plan.scenario.senders
        ),
    }
}

/// The figures for a person, then the day's own table.
pub fn table(plan: &Plan, outcome: &Outcome, report: &Report) -> Vec<String> {
    let d = &report.detection;
    let mut lines = vec![
        format!(
            "{} ({}, seed {})",
            plan.scenario.name,
            fleet_size(plan),
            plan.seed
        ),
        format!(
            "  crash to down in a view: {} times, p50 {} ms, p99 {} ms, at most {} ms (bound {} ms); {} never",
            d.len(),
            d.value_at_quantile(0.5),
            d.value_at_quantile(0.99),
            d.max(),
            report.bound.as_millis(),
            report.undetected
        ),
        format!(
            "  false downs: {} in {:.2} member-hours; {} by cuts; {} came back under another life",
            report.false_downs, report.member_hours, report.explained, report.rejoined
        ),
        format!(
            "  a member a second: {:.0} bytes in {:.1} packets, {:.1} ms of CPU; memory {} kB, {} at most",
            report.bytes_a_second,
            report.packets_a_second,
            report.cpu_ms,
            report.memory_kb.0,
            report.memory_kb.1
        ),
    ];
    lines.extend(report.simulated.as_ref().map(SimulatedFleetCosts::line));
    for (what, took) in &report.agreed {
        let took = took.map_or("never".into(), |t| format!("{:.2} s", secs(t)));
        lines.push(format!("  views agreed after {what}: {took}"));
    }
    for p in &report.parts {
        lines.push(format!(
            "  {} senders cut off, to {}: {:.2} calls/s before, {:.2} during; their part {:.2}",
            p.senders, p.destination, p.before, p.during, p.allowed
        ));
    }
    if !report.timeline.killed.is_empty() {
        lines.extend(report.returns.lines());
    }
    lines.extend(report.outages.iter().map(Outage::line));
    lines.extend(
        day_report::table(&plan.scenario.name, plan.seed, outcome)
            .into_iter()
            .skip(1),
    );
    lines.extend(report.failed.iter().map(|f| format!("  FAILED: {f}")));
    lines
}

/// The summary as JSON; with a folder, `summary.json`, `report.txt`, `members.svg` and each sender's log there.
pub fn write(
    dir: Option<&Path>,
    plan: &Plan,
    outcome: &Outcome,
    report: &Report,
) -> io::Result<Value> {
    let summary = report.json(plan, outcome);
    let Some(dir) = dir else { return Ok(summary) };
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join("summary.json"), format!("{summary:#}\n"))?;
    std::fs::write(
        dir.join("report.txt"),
        table(plan, outcome, report).join("\n") + "\n",
    )?;
    std::fs::write(dir.join("members.svg"), plot(plan, outcome, report)?)?;
    let mut logs: BTreeMap<usize, String> = BTreeMap::new();
    for (sender, line) in &outcome.logs {
        let log = logs.entry(*sender).or_default();
        log.push_str(line);
        log.push('\n');
    }
    for (sender, log) in logs {
        std::fs::write(dir.join(format!("n{sender}.jsonl")), log)?;
    }
    Ok(summary)
}

/// Others seen alive by each sender, over time.
fn plot(plan: &Plan, outcome: &Outcome, report: &Report) -> io::Result<String> {
    let other = |e: &dyn std::fmt::Display| io::Error::other(e.to_string());
    let (end, count, members) = (
        secs(outcome.lasted),
        plan.scenario.senders,
        plan.scenario.members(),
    );
    let mut seen: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); count];
    let mut curves: Vec<Vec<(f64, f64)>> = vec![vec![(0.0, 0.0)]; count];
    for state_changes in report
        .timeline
        .state_changes
        .iter()
        .filter(|s| s.by < count)
    {
        let before = seen[state_changes.by].len() as f64;
        match state_changes.state.as_str() {
            "alive" | "suspect" => seen[state_changes.by].insert(state_changes.of),
            _ => seen[state_changes.by].remove(&state_changes.of),
        };
        curves[state_changes.by].extend([
            (secs(state_changes.at), before),
            (secs(state_changes.at), seen[state_changes.by].len() as f64),
        ]);
    }
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, (900, 320)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| other(&e))?;
        let mut chart = ChartBuilder::on(&root)
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..end, 0.0..members as f64)
            .map_err(|e| other(&e))?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("others not down, by sender")
            .draw()
            .map_err(|e| other(&e))?;
        for (n, mut curve) in curves.into_iter().enumerate() {
            let last = curve.last().map_or(0.0, |p| p.1);
            curve.push((end, last));
            let color = Palette99::pick(n).mix(0.6);
            chart
                .draw_series(LineSeries::new(curve, color))
                .map_err(|e| other(&e))?;
        }
        root.present().map_err(|e| other(&e))?;
    }
    Ok(text)
}
