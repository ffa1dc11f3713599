//! Which set of down members to vote for. A member adopts a set that others have named wherever its own view confirms it
//! whole, and makes a new one only after a random wait: so that the fleet names few sets.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::ShortHash;
use crate::member_table::MemberTable;
use crate::vote::{DownSets, Votes};

/// Members at which the waits reach one period each; smaller fleets wait less, larger ones more.
const MEMBERS_A_PERIOD: f64 = 100.0;
/// Periods of a wait, at least and at most.
const WAITS: [f64; 2] = [0.2, 4.0];

/// What a look at the down members came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteDecision {
    /// The present vote stands.
    Keep,
    /// Vote for this set.
    Vote(Option<ShortHash>),
    /// Look again then.
    WaitUntil(Time),
}

/// Our own vote on who is down.
#[derive(Debug)]
pub struct Voting {
    /// How long a member is down before it must be voted for.
    settle: Duration,
    /// A new set is made after a random part of this.
    spread: Duration,
    voted: Option<ShortHash>,
    /// When to make a set of our own.
    make_at: Option<Time>,
}

impl Voting {
    pub fn new(period: Duration, members: u32) -> Voting {
        let wait = (f64::from(members) / MEMBERS_A_PERIOD).clamp(WAITS[0], WAITS[1]);
        let settle = period.mul_f64(wait.min(2.0));
        Voting {
            settle,
            spread: period.mul_f64(wait),
            voted: None,
            make_at: None,
        }
    }

    pub fn voted(&self) -> Option<ShortHash> {
        self.voted
    }

    /// Looks at the down members; `chance`, from 0 to 1, draws the wait.
    pub fn decide(
        &mut self,
        now: Time,
        views: &MemberTable,
        votes: &Votes,
        sets: &mut DownSets,
        chance: f64,
    ) -> VoteDecision {
        let present = self.voted.and_then(|set| sets.get(set));
        let unnamed = |name: &ShortHash| present.is_none_or(|set| !set.contains(name));
        let down = || views.named().filter(|(_, view)| !view.state.is_active());
        let unsettled = down()
            .filter(|(name, _)| unnamed(name))
            .map(|(_, view)| view.since + self.settle);
        let Some(settled_at) = unsettled.min() else {
            self.make_at = None;
            return VoteDecision::Keep;
        };
        if settled_at > now {
            return VoteDecision::WaitUntil(settled_at);
        }
        let settled: BTreeSet<ShortHash> = down()
            .filter(|(_, v)| v.since + self.settle <= now)
            .map(|(name, _)| name)
            .collect();
        let all: BTreeSet<ShortHash> = down().map(|(name, _)| name).collect();
        if let Some(set) = adoptable(views, votes, sets, &settled, &all) {
            return self.vote(set);
        }
        let make_at = *self
            .make_at
            .get_or_insert_with(|| now + self.spread.mul_f64(chance));
        if make_at > now {
            return VoteDecision::WaitUntil(make_at);
        }
        match sets.insert(all) {
            Some(set) => self.vote(set),
            // No room for another set: there will be once others have moved on.
            None => VoteDecision::WaitUntil(now + self.settle),
        }
    }

    fn vote(&mut self, set: ShortHash) -> VoteDecision {
        self.make_at = None;
        self.voted = Some(set);
        VoteDecision::Vote(self.voted)
    }
}

/// The most supported set that names all who have settled, and nobody whom our own view doesn't hold to be down or over.
fn adoptable(
    views: &MemberTable,
    votes: &Votes,
    sets: &DownSets,
    settled: &BTreeSet<ShortHash>,
    down: &BTreeSet<ShortHash>,
) -> Option<ShortHash> {
    let mut support = std::collections::BTreeMap::<ShortHash, usize>::new();
    for (_, vote) in votes.iter() {
        if let Some(set) = vote.down {
            *support.entry(set).or_default() += 1;
        }
    }
    let confirmed = |set: &&ShortHash| {
        let Some(members) = sets.get(**set) else {
            return false;
        };
        settled.is_subset(members)
            && members
                .iter()
                .all(|m| down.contains(m) || views.has_ended(*m))
    };
    let best = support
        .keys()
        .filter(confirmed)
        .max_by_key(|set| (support.get(set), **set));
    best.copied()
}
