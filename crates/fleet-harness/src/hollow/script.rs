//! A play's disturbance, as the breaks and acts that scenario files are made of.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::fleet::{Break, Folder, MemberAction, ScheduledAction, Side, Way};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::plan::{Disturbance, HollowPlan, MEMBERS_PER_RACK};

/// A member that is restarted is away for so long, as a real process in a rehearsal.
pub const RESTART_AFTER: Duration = Duration::from_millis(600);
/// Loss lasts longer than any play.
const ALWAYS: Duration = Duration::from_secs(100_000);

/// What is broken and done to the members, on a clock that starts with the play.
#[derive(Clone, Debug, Default)]
pub struct Script {
    pub breaks: Vec<Break>,
    pub acts: Vec<ScheduledAction>,
}

impl Script {
    pub fn of(plan: &HollowPlan) -> Script {
        let mut script = Script::default();
        if plan.conditions.loss > 0.0 {
            script.breaks.push(loss(plan));
        }
        let at = plan.disturbed_after();
        match plan.disturbance {
            Disturbance::None => {}
            Disturbance::Halves { duration } => script.breaks.push(halves(plan, at, duration)),
            Disturbance::Restarts { count } => {
                let senders = drawn(plan, count as usize);
                script.acts.push(kill(at, senders, Some(RESTART_AFTER)));
            }
            Disturbance::Crashes { one_in } => {
                let senders = drawn(plan, plan.members / one_in as usize);
                script.acts.push(kill(at, senders, None));
            }
            Disturbance::RackDown => {
                let senders = drawn(plan, plan.members / MEMBERS_PER_RACK);
                script.acts.push(kill(at, senders, None));
            }
            Disturbance::ZoneDown { zones } => {
                let zones = zones as usize;
                let zone = plan.seed as usize % zones;
                let senders = (0..plan.members)
                    .filter(|member| member % zones == zone)
                    .collect();
                script.acts.push(kill(at, senders, None));
            }
        }
        script
    }

    /// When the last disturbance is over, after the start.
    pub fn over_after(&self) -> Duration {
        let cuts = self
            .breaks
            .iter()
            .filter(|b| b.way == Way::Cut)
            .map(|b| b.until);
        let acts = self.acts.iter().map(|act| match act.action {
            MemberAction::Kill {
                back: Some(back), ..
            }
            | MemberAction::Term {
                back: Some(back), ..
            } => act.at + back,
            MemberAction::Stop { duration } => act.at + duration,
            _ => act.at,
        });
        cuts.chain(acts).max().unwrap_or_default()
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
fn drawn(plan: &HollowPlan, count: usize) -> BTreeSet<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut all: Vec<usize> = (0..plan.members).collect();
    all.shuffle(&mut rng);
    all.truncate(count.max(1));
    all.into_iter().collect()
}

fn halves(plan: &HollowPlan, at: Duration, duration: Duration) -> Break {
    let from = drawn(plan, plan.members / 2);
    let to = Side::Senders(
        (0..plan.members)
            .filter(|member| !from.contains(member))
            .collect(),
    );
    Break {
        at,
        until: at + duration,
        from,
        to,
        one_way: false,
        way: Way::Cut,
    }
}

fn loss(plan: &HollowPlan) -> Break {
    let all: BTreeSet<usize> = (0..plan.members).collect();
    let (from, to) = (all.clone(), Side::Senders(all));
    let way = Way::Drop {
        share: plan.conditions.loss,
    };
    Break {
        at: Duration::ZERO,
        until: ALWAYS,
        from,
        to,
        one_way: false,
        way,
    }
}
