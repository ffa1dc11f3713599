//! A play's disturbance, as the breaks and acts that scenario files are made of.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::fleet::{
    Folder, MemberAction, NetworkFault, PathFault, ScheduledAction, Side,
};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::plan::{Disturbance, MEMBERS_PER_RACK, SimulatedFleetPlan};

/// A member that is restarted is away for so long, as a real process in a rehearsal.
pub const RESTART_AFTER: Duration = Duration::from_millis(600);
/// Loss lasts longer than any play.
const ALWAYS: Duration = Duration::from_secs(100_000);

/// What is broken and done to the members, on a clock that starts with the play.
#[derive(Clone, Debug, Default)]
pub struct Script {
    pub network_faults: Vec<NetworkFault>,
    pub scheduled_actions: Vec<ScheduledAction>,
}

impl Script {
    pub fn of(plan: &SimulatedFleetPlan) -> Script {
        let mut script = Script::default();
        if plan.conditions.loss > 0.0 {
            script.network_faults.push(loss(plan));
        }
        let at = plan.disturbed_after();
        match plan.disturbance {
            Disturbance::None => {}
            Disturbance::Halves { duration } => {
                script.network_faults.push(halves(plan, at, duration))
            }
            Disturbance::Restarts { count } => {
                let senders = drawn(plan, count as usize);
                script
                    .scheduled_actions
                    .push(kill(at, senders, Some(RESTART_AFTER)));
            }
            Disturbance::Crashes { one_in } => {
                let senders = drawn(plan, plan.members / one_in as usize);
                script.scheduled_actions.push(kill(at, senders, None));
            }
            Disturbance::RackDown => {
                let senders = drawn(plan, plan.members / MEMBERS_PER_RACK);
                script.scheduled_actions.push(kill(at, senders, None));
            }
            Disturbance::ZoneDown { zones } => {
                let zones = zones as usize;
                let zone = plan.seed as usize % zones;
                let senders = (0..plan.members)
                    .filter(|member| member % zones == zone)
                    .collect();
                script.scheduled_actions.push(kill(at, senders, None));
            }
        }
        script
    }

    /// When the last disturbance is over, after the start.
    pub fn over_after(&self) -> Duration {
        let cuts = self
            .network_faults
            .iter()
            .filter(|b| b.path_fault == PathFault::Cut)
            .map(|b| b.until);
        let scheduled_actions = self.scheduled_actions.iter().map(|act| match act.action {
            MemberAction::Kill {
                back: Some(back), ..
            }
            | MemberAction::Term {
                back: Some(back), ..
            } => act.at + back,
            MemberAction::Stop { duration } => act.at + duration,
            _ => act.at,
        });
        cuts.chain(scheduled_actions).max().unwrap_or_default()
    }
}

fn kill(at: Duration, senders: BTreeSet<usize>, back: Option<Duration>) -> ScheduledAction {
    ScheduledAction {
        at,
        senders,
        action: MemberAction::Kill {
            back,
            folder: Folder::Kept,
        },
    }
}

/// So many members, one at least, drawn by the seed.
fn drawn(plan: &SimulatedFleetPlan, count: usize) -> BTreeSet<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut all: Vec<usize> = (0..plan.members).collect();
    all.shuffle(&mut rng);
    all.truncate(count.max(1));
    all.into_iter().collect()
}

fn halves(plan: &SimulatedFleetPlan, at: Duration, duration: Duration) -> NetworkFault {
    let from = drawn(plan, plan.members / 2);
    let to = Side::Senders(
        (0..plan.members)
            .filter(|member| !from.contains(member))
            .collect(),
    );
    NetworkFault {
        at,
        until: at + duration,
        from,
        to,
        one_way: false,
        path_fault: PathFault::Cut,
    }
}

fn loss(plan: &SimulatedFleetPlan) -> NetworkFault {
    let all: BTreeSet<usize> = (0..plan.members).collect();
    let (from, to) = (all.clone(), Side::Senders(all));
    let path_fault = PathFault::Drop {
        share: plan.conditions.loss,
    };
    NetworkFault {
        at: Duration::ZERO,
        until: ALWAYS,
        from,
        to,
        one_way: false,
        path_fault,
    }
}
