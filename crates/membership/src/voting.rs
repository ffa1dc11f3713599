//! Chooses the set of down members to vote for. A member adopts a set that others voted for if its own view confirms the whole
//! set. It proposes a new set only after a random delay, so that the votes of the fleet refer to few different sets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::ShortHash;
use crate::down_sets::DownSets;
use crate::member_table::MemberTable;
use crate::vote::Votes;

/// The fleet size, in members, for which the delays are one period. They are proportional to the fleet size.
const MEMBERS_PER_DELAY_PERIOD: f64 = 100.0;
/// The minimum of the upper limit on the delay of a proposal, in periods.
const MIN_DELAY_PERIODS: f64 = 0.2;
/// The maximum of the upper limit on the delay of a proposal, in periods.
const MAX_DELAY_PERIODS: f64 = 4.0;
/// The maximum settle time, in periods.
const MAX_SETTLE_PERIODS: f64 = 2.0;

/// The result of [`Voting::decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteDecision {
    /// Keep the current vote: its set contains all down members.
    Keep,
    /// Cast a vote for the set with this hash.
    Vote(ShortHash),
    /// Keep the current vote for now, and decide again at this time.
    WaitUntil(Time),
}

/// The state of this member's own vote on which members are down.
#[derive(Debug)]
pub struct Voting {
    /// How long a member must be down before the vote has to include it.
    settle_time: Duration,
    /// The upper limit on the delay of a proposal; the delay is a random fraction of it.
    max_proposal_delay: Duration,
    /// The hash of the set that this member votes for; `None` for the empty set.
    voted_set: Option<ShortHash>,
    /// When to propose a new set, unless another member's set can be adopted before.
    propose_at: Option<Time>,
}

impl Voting {
    /// The state without a vote. The delays are derived from the probe period and the configured number of members.
    pub fn new(period: Duration, members: u32) -> Voting {
        let delay_periods = (f64::from(members) / MEMBERS_PER_DELAY_PERIOD)
            .clamp(MIN_DELAY_PERIODS, MAX_DELAY_PERIODS);
        Voting {
            settle_time: period.mul_f64(delay_periods.min(MAX_SETTLE_PERIODS)),
            max_proposal_delay: period.mul_f64(delay_periods),
            voted_set: None,
            propose_at: None,
        }
    }

    /// The hash of the set that this member votes for; `None` for the empty set.
    pub fn voted_set(&self) -> Option<ShortHash> {
        self.voted_set
    }

    /// Decides whether to change the vote, given the members that are down in `table`. `fraction`, a random number from 0 to 1, is
    /// the part of the upper limit by which a proposal is delayed. May insert a new set into `sets`.
    pub fn decide(
        &mut self,
        now: Time,
        table: &MemberTable,
        votes: &Votes,
        sets: &mut DownSets,
        fraction: f64,
    ) -> VoteDecision {
        let Some(settled_at) = self.first_missing_settles_at(table, sets) else {
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
            // `sets` is full. Sets are removed when members vote for others, so retry later.
            None => VoteDecision::WaitUntil(now + self.settle_time),
        }
    }

    /// The earliest time at which a down member that is missing from the voted set has to be included; `None` if none is missing.
    fn first_missing_settles_at(&self, table: &MemberTable, sets: &DownSets) -> Option<Time> {
        let voted_members = self.voted_set.and_then(|set| sets.get(set));
        table
            .down()
            .filter(|(hash, _)| voted_members.is_none_or(|set| !set.contains(hash)))
            .map(|(_, view)| view.since + self.settle_time)
            .min()
    }

    fn vote_for(&mut self, set: ShortHash) -> VoteDecision {
        self.propose_at = None;
        self.voted_set = Some(set);
        VoteDecision::Vote(set)
    }
}

/// The set with the most votes that contains all members in `settled`, and otherwise only incarnations that are down or
/// superseded in this member's view.
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
            let all_down = |hash: &ShortHash| down.contains(hash) || table.is_superseded(*hash);
            settled.is_subset(members) && members.iter().all(all_down)
        })
    };
    vote_counts
        .into_iter()
        .filter(|(set, _)| is_confirmed(*set))
        .max_by_key(|(set, count)| (*count, *set))
        .map(|(set, _)| set)
}
