//! The course of a play: a start until all agree, the measured duration with its disturbance, and what came of it.

use std::sync::Arc;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_simulation::fleet::{MemberAction, PathFault};

use super::figures::{SimulatedFleetFigures, Spread};
use super::observer::{Observation, Observer};
use super::plan::SimulatedFleetPlan;
use super::script::Script;
use super::traffic::{Passed, Traffic};

/// The members have so long to agree at the start; after that the play goes on without.
pub const START_MOST: Duration = Duration::from_secs(120);

/// Resources that a play has used, as its driver measures them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub cpu: Duration,
    pub resident_bytes: u64,
}

/// See the module's text.
#[derive(Debug)]
pub struct Course {
    plan: SimulatedFleetPlan,
    script: Arc<Script>,
    traffic: Arc<Traffic>,
    observer: Observer,
    started: Time,
    agreed_at_start: Option<Duration>,
    began: Option<Began>,
    agreed_after: Option<Duration>,
}

#[derive(Debug)]
struct Began {
    at: Time,
    passed: Vec<Passed>,
    presence_changes: usize,
}

impl Course {
    pub fn new(
        plan: &SimulatedFleetPlan,
        script: Arc<Script>,
        traffic: Arc<Traffic>,
        started: Time,
    ) -> Course {
        Course {
            observer: Observer::new(plan.members),
            plan: plan.clone(),
            script,
            traffic,
            started,
            agreed_at_start: None,
            began: None,
            agreed_after: None,
        }
    }

    pub fn note(&mut self, observation: &Observation) {
        self.observer.note(observation);
    }

    /// Looks at the views, after all that was noted by now; true when the measured duration begins.
    pub fn look(&mut self, now: Time) -> bool {
        let agrees = self.observer.agrees();
        let Some(began) = &self.began else {
            let since = now - self.started;
            if agrees {
                self.agreed_at_start = Some(since);
            }
            return agrees || since >= START_MOST;
        };
        let over = began.at + self.script.over_after();
        let done =
            self.observer.presence_changes() - began.presence_changes >= self.presence_changes();
        if agrees && done && now > over && self.agreed_after.is_none() {
            self.agreed_after = Some(now - over);
        }
        false
    }

    pub fn begin(&mut self, at: Time) {
        if let Some(cut) = self
            .script
            .network_faults
            .iter()
            .filter(|b| b.path_fault == PathFault::Cut)
            .map(|b| b.at)
            .min()
        {
            self.observer.cut_from(at + cut);
        }
        let presence_changes = self.observer.presence_changes();
        self.began = Some(Began {
            at,
            passed: self.traffic.passed(),
            presence_changes,
        });
    }

    /// When the measured duration ends, once it has begun.
    pub fn ends(&self) -> Option<Time> {
        self.began
            .as_ref()
            .map(|began| began.at + self.plan.duration)
    }

    /// Ends and starts of members that the script asks for.
    fn presence_changes(&self) -> usize {
        let each = |action: &MemberAction| match action {
            MemberAction::Kill { back, .. } | MemberAction::Term { back, .. } => {
                1 + usize::from(back.is_some())
            }
            MemberAction::Stop { .. } | MemberAction::Upgrade { .. } => 0,
        };
        self.script
            .scheduled_actions
            .iter()
            .map(|act| act.senders.len() * each(&act.action))
            .sum()
    }

    /// `used` is what the play has used during its measured duration.
    pub fn figures(self, used: Usage) -> SimulatedFleetFigures {
        let seconds = self.plan.duration.as_secs_f64();
        let before = self.began.map(|began| began.passed).unwrap_or_default();
        let now = self.traffic.passed();
        let undisturbed: Vec<Passed> = now
            .iter()
            .zip(&before)
            .enumerate()
            .filter(|(member, _)| self.observer.never_away(*member))
            .map(|(_, (now, before))| now.since(*before))
            .collect();
        let rate = |of: fn(&Passed) -> u64| {
            Spread::of(
                undisturbed
                    .iter()
                    .map(|passed| of(passed) as f64 / seconds)
                    .collect(),
            )
            .unwrap_or_default()
        };
        let members = self.plan.members;
        SimulatedFleetFigures {
            members,
            agreed_at_start: self.agreed_at_start,
            bytes_sent_per_second: rate(|passed| passed.bytes_sent),
            bytes_received_per_second: rate(|passed| passed.bytes_received),
            packets_sent_per_second: rate(|passed| passed.packets_sent),
            cpu_milliseconds_per_second: used.cpu.as_secs_f64() * 1e3 / seconds / members as f64,
            resident_bytes_per_member: used.resident_bytes / members as u64,
            detection: Spread::of(self.observer.detections()),
            agreed_after: self.agreed_after,
            missing_live_members: self.observer.missing(),
            largest_share: self.observer.largest_share(),
            undetected: self.observer.undetected(),
            false_downs: self.observer.false_downs(),
            largest_packet: self.traffic.largest(),
            held_up: self.observer.held_up(),
            refused: self.observer.refused(),
            lost: self.traffic.lost(),
        }
    }
}
