//! The summary of a report as JSON.

use cranehill_scenario_runner::{Outcome, Plan};
use serde_json::{Value, json};

use super::cut_side::CutSideLoad;
use super::summary::Report;
use crate::simulated_costs::SimulatedFleetCosts;
use crate::units::whole_milliseconds;
use crate::zones::Outage;

impl Report {
    /// All figures of the report and of the run as one JSON object.
    pub(super) fn json(&self, plan: &Plan, outcome: &Outcome) -> Value {
        let detection = &self.detection;
        let agreed: Vec<Value> = self
            .agreed
            .iter()
            .map(|(event, took)| json!({"after": event, "ms": took.map(whole_milliseconds)}))
            .collect();
        let cut_sides: Vec<Value> = self.cut_sides.iter().map(cut_side_json).collect();
        json!({
            "scenario": plan.scenario.name, "seed": plan.seed, "nodes": plan.scenario.senders, "hollow": plan.scenario.simulated, "lasted_ms": whole_milliseconds(outcome.lasted),
            "holds": self.holds(), "failed": self.failed,
            "service": {"worth": outcome.worth.0, "asked": outcome.worth.1, "handed": outcome.submitted,
                "delivered": outcome.delivered},
            "detection_ms": {"count": detection.len(), "p50": detection.value_at_quantile(0.5),
                "p99": detection.value_at_quantile(0.99), "max": detection.max(), "bound": whole_milliseconds(self.bound), "undetected": self.undetected},
            "false_downs": {"count": self.false_downs, "member_hours": self.member_hours, "by_cuts": self.explained},
            "agreed": agreed, "views_agree": self.views_agree, "rejoined": self.rejoined, "parts": cut_sides,
            "returns": self.restarts.json(), "zones": self.outages.iter().map(Outage::json).collect::<Vec<_>>(),
            "a_member_a_second": {"bytes": self.bytes_per_second, "packets": self.packets_per_second, "cpu_ms": self.cpu_ms},
            "largest_share": self.largest_share, "hollow": self.simulated.as_ref().map(SimulatedFleetCosts::json),
            "packets_lost": self.lost, "memory_kb": {"median": self.memory_kb.0, "most": self.memory_kb.1},
            "rig_late_ms": {"most": whole_milliseconds(outcome.late.0), "p99": whole_milliseconds(outcome.late.1)},
        })
    }
}

fn cut_side_json(side: &CutSideLoad) -> Value {
    json!({"partner": side.destination, "senders": side.senders, "before": side.before, "during": side.during,
        "allowed": side.allowed})
}
