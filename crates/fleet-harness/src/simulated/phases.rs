//! The phases of a run: the start, until all views agree, and then the measured duration with its disturbance.

use std::sync::Arc;
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_simulation::fleet::{MemberAction, PathFault};

use super::engine::SharedContext;
use super::figures::{SimulatedFleetFigures, Spread};
use super::observer::{Observation, Observer};
use super::plan::SimulatedFleetPlan;
use super::script::Script;
use super::traffic::{MemberTraffic, Traffic};

/// The measured duration begins this long after the start even if the views do not agree by then.
pub const START_TIMEOUT: Duration = Duration::from_secs(120);

/// Resources used by a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Processor time during the measured duration.
    pub cpu: Duration,
    /// Growth of the process's resident memory in bytes.
    pub resident_bytes: u64,
}

/// Tracks the phase of a run, and collects its observations.
#[derive(Debug)]
pub(super) struct RunPhases {
    plan: SimulatedFleetPlan,
    script: Arc<Script>,
    traffic: Arc<Traffic>,
    observer: Observer,
    started: Time,
    agreed_at_start: Option<Duration>,
    measurement_start: Option<MeasurementStart>,
    agreed_after: Option<Duration>,
}

/// The state when the measured duration began.
#[derive(Debug)]
struct MeasurementStart {
    at: Time,
    traffic: Vec<MemberTraffic>,
    presence_changes: usize,
}

impl RunPhases {
    pub(super) fn new(
        plan: &SimulatedFleetPlan,
        context: &SharedContext,
        started: Time,
    ) -> RunPhases {
        RunPhases {
            observer: Observer::new(plan.members),
            plan: plan.clone(),
            script: Arc::clone(&context.script),
            traffic: Arc::clone(&context.traffic),
            started,
            agreed_at_start: None,
            measurement_start: None,
            agreed_after: None,
        }
    }

    /// Adds an observation.
    pub(super) fn add(&mut self, observation: &Observation) {
        self.observer.add(observation);
    }

    /// Evaluates the views after all observations until now. True if the measured duration is to begin now.
    pub(super) fn check(&mut self, now: Time) -> bool {
        let agrees = self.observer.agrees();
        let Some(start) = &self.measurement_start else {
            let since = now - self.started;
            if agrees {
                self.agreed_at_start = Some(since);
            }
            return agrees || since >= START_TIMEOUT;
        };
        let disturbance_end = start.at + self.script.end();
        let all_changed = self.observer.presence_changes() - start.presence_changes
            >= self.expected_presence_changes();
        if agrees && all_changed && now > disturbance_end && self.agreed_after.is_none() {
            self.agreed_after = Some(now - disturbance_end);
        }
        false
    }

    /// Begins the measured duration.
    pub(super) fn begin_measurement(&mut self, at: Time) {
        if let Some(cut) = self
            .script
            .network_faults
            .iter()
            .filter(|fault| fault.path_fault == PathFault::Cut)
            .map(|fault| fault.at)
            .min()
        {
            self.observer.set_cut_start(at + cut);
        }
        let presence_changes = self.observer.presence_changes();
        self.measurement_start = Some(MeasurementStart {
            at,
            traffic: self.traffic.snapshot(),
            presence_changes,
        });
    }

    /// End of the measured duration; `None` before it has begun.
    pub(super) fn measurement_end(&self) -> Option<Time> {
        self.measurement_start
            .as_ref()
            .map(|start| start.at + self.plan.duration)
    }

    /// Number of starts and ends of members that the script causes.
    fn expected_presence_changes(&self) -> usize {
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

    /// The figures of the run; `used` are the resources that it used.
    pub(super) fn figures(self, used: Usage) -> SimulatedFleetFigures {
        let seconds = self.plan.duration.as_secs_f64();
        let before = self
            .measurement_start
            .map(|start| start.traffic)
            .unwrap_or_default();
        let now = self.traffic.snapshot();
        let never_stopped: Vec<MemberTraffic> = now
            .iter()
            .zip(&before)
            .enumerate()
            .filter(|(member, _)| self.observer.never_ended(*member))
            .map(|(_, (now, before))| now.since(*before))
            .collect();
        let rate = |of: fn(&MemberTraffic) -> u64| {
            Spread::of(
                never_stopped
                    .iter()
                    .map(|traffic| of(traffic) as f64 / seconds)
                    .collect(),
            )
            .unwrap_or_default()
        };
        let members = self.plan.members;
        SimulatedFleetFigures {
            members,
            agreed_at_start: self.agreed_at_start,
            bytes_sent_per_second: rate(|traffic| traffic.bytes_sent),
            bytes_received_per_second: rate(|traffic| traffic.bytes_received),
            packets_sent_per_second: rate(|traffic| traffic.packets_sent),
            cpu_milliseconds_per_second: used.cpu.as_secs_f64() * 1e3 / seconds / members as f64,
            resident_bytes_per_member: used.resident_bytes / members as u64,
            detection: Spread::of(self.observer.detections()),
            agreed_after: self.agreed_after,
            missing_live_members: self.observer.missing_live_members(),
            largest_share: self.observer.largest_share(),
            undetected: self.observer.undetected_crashes(),
            false_downs: self.observer.false_downs(),
            largest_packet: self.traffic.largest_datagram(),
            held_up: self.observer.late_runs(),
            refused: self.observer.dropped_packets(),
            lost: self.traffic.lost(),
        }
    }
}
