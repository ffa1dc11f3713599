//! Checks that the members' views agree after each event and at the end of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scenario_runner::{Outcome, Plan};
use serde_json::Value;

use super::summary::Report;
use crate::timeline::member_number;
use crate::units::seconds;

impl Report {
    /// Determines when all views agreed again after each event. It is a failure if they did not, unless the next event came
    /// within the detection bound or a fault between members was active.
    pub(super) fn evaluate_agreement(&mut self, plan: &Plan, outcome: &Outcome) {
        let scenario = &plan.scenario;
        let events = self.events(plan);
        let times: Vec<Duration> = events.keys().copied().collect();
        for (n, (&at, event)) in events.iter().enumerate() {
            if event.is_empty() {
                continue;
            }
            let next = times.get(n + 1).copied().unwrap_or(outcome.lasted);
            let until = next.min(outcome.lasted);
            let agreed_since = self.timeline.agreed_since(scenario.members(), at, until);
            let faulty = scenario
                .network_faults
                .iter()
                .any(|fault| fault.is_on(at) && fault.among_senders());
            // The views could not agree before the next event, or while a fault disturbs them.
            if agreed_since.is_none() && (faulty || until - at < self.bound) {
                continue;
            }
            if agreed_since.is_none() {
                self.failed
                    .push(format!("views did not agree after {event}"));
            }
            let took = agreed_since.map(|since| since.saturating_sub(at));
            self.agreed.push((event.clone(), took));
        }
    }

    /// Events that change the views, by time. An event with an empty text is not evaluated; it only ends the time in which the
    /// views can agree after the event before it.
    fn events(&self, plan: &Plan) -> BTreeMap<Duration, String> {
        let mut events: BTreeMap<Duration, String> = BTreeMap::new();
        events.insert(Duration::ZERO, "start".into());
        let faults = plan.scenario.network_faults.iter();
        for fault in faults.filter(|fault| fault.among_senders()) {
            let end = format!("{:?} until {:.1} s", fault.path_fault, seconds(fault.until));
            events.insert(fault.at, String::new());
            events.insert(fault.until, end);
        }
        for &(stopped, restarted) in self.timeline.absences.values().flatten() {
            events.entry(stopped).or_default();
            if let Some(restarted) = restarted {
                events
                    .entry(restarted)
                    .or_insert_with(|| format!("return at {:.1} s", seconds(restarted)));
            }
        }
        events
    }

    /// Compares the views at the end with the members that were running during the last detection bound.
    pub(super) fn evaluate_last_views(&mut self, plan: &Plan, outcome: &Outcome) {
        let since = outcome.lasted.saturating_sub(self.bound);
        let running: BTreeSet<usize> = (0..plan.scenario.members())
            .filter(|&member| self.timeline.ran_throughout(member, since, outcome.lasted))
            .collect();
        self.views_agree = true;
        for &viewer in &running {
            if viewer >= plan.scenario.senders {
                let alive = self.timeline.seen_alive(viewer);
                self.compare_view(viewer, &running, &alive);
            } else if let Some(Some(view)) = outcome.views.get(viewer) {
                self.compare_view(viewer, &running, &alive_in(view));
            } else {
                self.views_agree = false;
                self.failed
                    .push(format!("sender {viewer}: no status at the end of the run"));
            }
        }
    }

    fn compare_view(&mut self, viewer: usize, running: &BTreeSet<usize>, alive: &BTreeSet<usize>) {
        let missing: Vec<&usize> = running
            .iter()
            .filter(|&&member| member != viewer && !alive.contains(&member))
            .collect();
        if !missing.is_empty() {
            self.views_agree = false;
            self.failed.push(format!(
                "at the end member {viewer} does not see these running members as alive: {missing:?}"
            ));
        }
    }
}

/// The members that a sender's status lists as alive.
fn alive_in(view: &Value) -> BTreeSet<usize> {
    view["members"]
        .as_array()
        .into_iter()
        .flatten()
        .filter(|member| member["state"] == "alive")
        .filter_map(|member| member_number(member["name"].as_str()?))
        .collect()
}
