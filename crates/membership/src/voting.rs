//! Which set of down members to vote for. A member adopts a set that others have voted for if its own view confirms all of it,
//! and proposes a new set only after a random delay, so that the votes of the fleet name few different sets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::ShortHash;
use crate::down_sets::DownSets;
use crate::member_table::MemberTable;
use crate::vote::Votes;

/// The size of a fleet in which the delays are one period; they grow with the fleet.
const MEMBERS_PER_DELAY_PERIOD: f64 = 100.0;
/// The least delay of a proposal, in periods.
const MIN_DELAY_PERIODS: f64 = 0.2;
/// The greatest delay of a proposal, in periods.
const MAX_DELAY_PERIODS: f64 = 4.0;
/// The greatest time, in periods, after which a down member must be voted for.
const MAX_SETTLE_PERIODS: f64 = 2.0;

/// What [`Voting::decide`] decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteDecision {
    /// The present vote stands.
    Keep,
    /// Vote for the set with this hash.
    Vote(ShortHash),
    /// Decide again at this time.
    WaitUntil(Time),
}

/// Our own vote on which members are down.
#[derive(Debug)]
pub struct Voting {
    /// How long a member must be down before it must be voted for.
    settle_time: Duration,
    /// A new set is proposed after a random fraction of this.
    max_proposal_delay: Duration,
    /// The set that we vote for.
    voted: Option<ShortHash>,
    /// When to propose a set of our own.
    propose_at: Option<Time>,
}

impl Voting {
    /// No vote yet; the delays follow from the probe period and the configured number of members.
    pub fn new(period: Duration, members: u32) -> Voting {
        let delay_periods = (f64::from(members) / MEMBERS_PER_DELAY_PERIOD)
            .clamp(MIN_DELAY_PERIODS, MAX_DELAY_PERIODS);
        Voting {
            settle_time: period.mul_f64(delay_periods.min(MAX_SETTLE_PERIODS)),
            max_proposal_delay: period.mul_f64(delay_periods),
            voted: None,
            propose_at: None,
        }
    }

    /// The set that we vote for; `None` for the empty one.
    pub fn voted(&self) -> Option<ShortHash> {
        self.voted
    }

    /// Decides on the present down members; `fraction`, from 0 to 1, is the random part of the proposal's delay.
    pub fn decide(
        &mut self,
        now: Time,
        table: &MemberTable,
        votes: &Votes,
        sets: &mut DownSets,
        fraction: f64,
    ) -> VoteDecision {
        let Some(settled_at) = self.first_unnamed_settles_at(table, sets) else {
            self.propose_at = None;
            return VoteDecision::Keep;
        };
        if settled_at > now {
            return VoteDecision::WaitUntil(settled_at);
        }
        let down: BTreeSet<ShortHash> = table.down().map(|(hash, _)| hash).collect();
        let settled: BTreeSet<ShortHash> = table
            .down()
            .filter(|(_, view)| view.since + self.settle_time <= now)
            .map(|(hash, _)| hash)
            .collect();
        if let Some(set) = adoptable_set(table, votes, sets, &settled, &down) {
            return self.vote_for(set);
        }
        let propose_at = *self
            .propose_at
            .get_or_insert_with(|| now + self.max_proposal_delay.mul_f64(fraction));
        if propose_at > now {
            return VoteDecision::WaitUntil(propose_at);
        }
        match sets.insert(down) {
            Some(set) => self.vote_for(set),
            // There will be room for another set once others have changed their votes.
            None => VoteDecision::WaitUntil(now + self.settle_time),
        }
    }

    /// When the first down member that our vote doesn't name must be voted for; `None` if it names all.
    fn first_unnamed_settles_at(&self, table: &MemberTable, sets: &DownSets) -> Option<Time> {
        let named = self.voted.and_then(|set| sets.get(set));
        table
            .down()
            .filter(|(hash, _)| named.is_none_or(|set| !set.contains(hash)))
            .map(|(_, view)| view.since + self.settle_time)
            .min()
    }

    fn vote_for(&mut self, set: ShortHash) -> VoteDecision {
        self.propose_at = None;
        self.voted = Some(set);
        VoteDecision::Vote(set)
    }
}

/// The set with the most votes that names all settled members, and no member that isn't down or ended in our own view.
fn adoptable_set(
    table: &MemberTable,
    votes: &Votes,
    sets: &DownSets,
    settled: &BTreeSet<ShortHash>,
    down: &BTreeSet<ShortHash>,
) -> Option<ShortHash> {
    let mut vote_counts: BTreeMap<ShortHash, usize> = BTreeMap::new();
    for set in votes.iter().filter_map(|(_, vote)| vote.down) {
        *vote_counts.entry(set).or_default() += 1;
    }
    let is_confirmed = |set: ShortHash| {
        sets.get(set).is_some_and(|members| {
            let all_down = |hash: &ShortHash| down.contains(hash) || table.has_ended(*hash);
            settled.is_subset(members) && members.iter().all(all_down)
        })
    };
    vote_counts
        .into_iter()
        .filter(|(set, _)| is_confirmed(*set))
        .max_by_key(|(set, count)| (*count, *set))
        .map(|(set, _)| set)
}
