//! Converts the disturbance of a plan to network faults and scheduled actions.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::fleet::{
    Folder, MemberAction, NetworkFault, PathFault, ScheduledAction, Side,
};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::plan::{Disturbance, MEMBERS_PER_RACK, SimulatedFleetPlan};

/// Time from the kill of a member to its start in a restart, about as long as for a real process in a scenario.
pub const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Duration of packet loss: longer than any run.
const LOSS_DURATION: Duration = Duration::from_secs(100_000);

/// Network faults and scheduled actions, on a clock that starts with the measured duration.
#[derive(Clone, Debug, Default)]
pub(super) struct Script {
    /// Faults on the paths between members.
    pub network_faults: Vec<NetworkFault>,
    /// Actions on members, such as kills.
    pub scheduled_actions: Vec<ScheduledAction>,
}

impl Script {
    /// The script of a plan's loss and disturbance.
    pub(super) fn of(plan: &SimulatedFleetPlan) -> Script {
        let mut script = Script::default();
        if plan.conditions.loss > 0.0 {
            script.network_faults.push(loss(plan));
        }
        let at = plan.disturbed_after();
        match plan.disturbance {
            Disturbance::None => {}
            Disturbance::Halves { duration } => {
                script.network_faults.push(halves(plan, at, duration));
            }
            Disturbance::Restarts { count } => {
                let senders = draw_members(plan, count as usize);
                script
                    .scheduled_actions
                    .push(kill(at, senders, Some(RESTART_DELAY)));
            }
            Disturbance::Crashes { one_in } => {
                let senders = draw_members(plan, plan.members / one_in as usize);
                script.scheduled_actions.push(kill(at, senders, None));
            }
            Disturbance::RackDown => {
                let senders = draw_members(plan, plan.members / MEMBERS_PER_RACK);
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

    /// Time from the start of the clock to the end of the last cut or action; zero without any. Loss is not included.
    pub(super) fn end(&self) -> Duration {
        let cuts = self
            .network_faults
            .iter()
            .filter(|fault| fault.path_fault == PathFault::Cut)
            .map(|fault| fault.until);
        let scheduled_actions =
            self.scheduled_actions
                .iter()
                .map(|scheduled| match scheduled.action {
                    MemberAction::Kill {
                        back: Some(back), ..
                    }
                    | MemberAction::Term {
                        back: Some(back), ..
                    } => scheduled.at + back,
                    MemberAction::Stop { duration } => scheduled.at + duration,
                    _ => scheduled.at,
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

/// Draws this number of members, but at least one, by the seed.
fn draw_members(plan: &SimulatedFleetPlan, count: usize) -> BTreeSet<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut all: Vec<usize> = (0..plan.members).collect();
    all.shuffle(&mut rng);
    all.truncate(count.max(1));
    all.into_iter().collect()
}

fn halves(plan: &SimulatedFleetPlan, at: Duration, duration: Duration) -> NetworkFault {
    let from = draw_members(plan, plan.members / 2);
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
        until: LOSS_DURATION,
        from,
        to,
        one_way: false,
        path_fault,
    }
}
