//! The phases of a run: a start until all views agree, and the measured duration with its disturbance.

use std::sync::Arc;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_simulation::fleet::{MemberAction, PathFault};

use super::engine::Common;
use super::figures::{SimulatedFleetFigures, Spread};
use super::observer::{Observation, Observer};
use super::plan::SimulatedFleetPlan;
use super::script::Script;
use super::traffic::{Passed, Traffic};

/// If the views do not agree this long after the start, the measured duration begins without.
pub const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Resources that a run has used.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Growth of the resident memory.
    pub resident_bytes: u64,
}

/// The phases of a run.
#[derive(Debug)]
pub(super) struct Course {
    plan: SimulatedFleetPlan,
    script: Arc<Script>,
    traffic: Arc<Traffic>,
    observer: Observer,
    started: Time,
    agreed_at_start: Option<Duration>,
    measured: Option<Measured>,
    agreed_after: Option<Duration>,
}

#[derive(Debug)]
struct Measured {
    at: Time,
    passed: Vec<Passed>,
    presence_changes: usize,
}

impl Course {
    pub(super) fn new(plan: &SimulatedFleetPlan, common: &Common, started: Time) -> Course {
        Course {
            observer: Observer::new(plan.members),
            plan: plan.clone(),
            script: Arc::clone(&common.script),
            traffic: Arc::clone(&common.traffic),
            started,
            agreed_at_start: None,
            measured: None,
            agreed_after: None,
        }
    }

    /// Adds an observation.
    pub(super) fn note(&mut self, observation: &Observation) {
        self.observer.note(observation);
    }

    /// Checks the views, after all observations until now; true when the measured duration is to begin.
    pub(super) fn check(&mut self, now: Time) -> bool {
        let agrees = self.observer.agrees();
        let Some(measured) = &self.measured else {
            let since = now - self.started;
            if agrees {
                self.agreed_at_start = Some(since);
            }
            return agrees || since >= START_TIMEOUT;
        };
        let ended = measured.at + self.script.ended_after();
        let all_changed =
            self.observer.presence_changes() - measured.presence_changes >= self.presence_changes();
        if agrees && all_changed && now > ended && self.agreed_after.is_none() {
            self.agreed_after = Some(now - ended);
        }
        false
    }

    /// The measured duration begins.
    pub(super) fn begin(&mut self, at: Time) {
        if let Some(cut) = self
            .script
            .network_faults
            .iter()
            .filter(|fault| fault.path_fault == PathFault::Cut)
            .map(|fault| fault.at)
            .min()
        {
            self.observer.cut_from(at + cut);
        }
        let presence_changes = self.observer.presence_changes();
        self.measured = Some(Measured {
            at,
            passed: self.traffic.passed(),
            presence_changes,
        });
    }

    /// When the measured duration ends, once it has begun.
    pub(super) fn ends(&self) -> Option<Time> {
        self.measured
            .as_ref()
            .map(|measured| measured.at + self.plan.duration)
    }

    /// Ends and starts of members by the script.
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
            .map(|scheduled| scheduled.senders.len() * each(&scheduled.action))
            .sum()
    }

    /// The figures of the run; `used` are the resources of its measured duration.
    pub(super) fn figures(self, used: Usage) -> SimulatedFleetFigures {
        let seconds = self.plan.duration.as_secs_f64();
        let before = self
            .measured
            .map(|measured| measured.passed)
            .unwrap_or_default();
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
