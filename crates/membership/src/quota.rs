//! By how many senders a shared limit must be divided. The division errs on the safe side: a sender's quota doesn't grow because
//! other senders are out of reach.
//!
//! A member's quota becomes free only once the member is *evicted*: a majority of all known members has voted it down, without
//! interruption, for the whole eviction delay. Down members count in the total and have no vote, so a minority that is cut off
//! evicts nobody.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::ShortHash;
use crate::down_sets::DownSets;
use crate::member_table::{MAX_MEMBERS, MemberTable};
use crate::view::{State, View};
use crate::vote::Votes;

/// The greatest eviction delay of a member that announced its end. It ends within 3.4 s after SIGTERM; half a second is for the
/// announcement to spread.
pub const MAX_LEAVE_EVICTION_DELAY: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct TrackedMember {
    incarnation: u64,
    /// Since when a majority has voted the member down.
    majority_since: Option<Time>,
    evicted: bool,
}

/// Computes the quota divisor from the member table and the votes.
#[derive(Debug)]
pub struct QuotaDivisor {
    configured: u32,
    eviction_delay: Option<Duration>,
    /// The members that have a quota in our view, evicted ones included.
    tracked: BTreeMap<SocketAddr, TrackedMember>,
}

impl QuotaDivisor {
    /// `configured` is the number of members by the settings; `eviction_delay` is how long a majority must agree, `None` for
    /// ever.
    pub fn new(configured: u32, eviction_delay: Option<Duration>) -> QuotaDivisor {
        QuotaDivisor {
            configured: configured.max(1),
            eviction_delay,
            tracked: BTreeMap::new(),
        }
    }

    /// The number of senders to divide shared limits by, ourselves included. Call it whenever the table or a vote has changed.
    pub fn update(
        &mut self,
        now: Time,
        table: &MemberTable,
        votes: &Votes,
        sets: &DownSets,
    ) -> u32 {
        for view in table.iter() {
            self.track(view);
        }
        self.evict(now, table, votes, sets);
        // An evicted member that is no longer in the table is covered by the configured number again.
        self.tracked
            .retain(|address, tracked| !tracked.evicted || table.get(address).is_some());
        let evicted = self.evicted() as u32;
        let present = 1 + self.tracked.len() as u32 - evicted;
        self.configured.saturating_sub(evicted).max(present)
    }

    fn track(&mut self, view: &View) {
        let is_active = view.state.is_active();
        let incarnation = view.member.incarnation;
        let is_full = self.tracked.len() >= MAX_MEMBERS;
        let unevicted = TrackedMember {
            incarnation,
            majority_since: None,
            evicted: false,
        };
        match self.tracked.get_mut(&view.member.at) {
            Some(tracked) if is_active || tracked.incarnation != incarnation => {
                *tracked = unevicted;
            }
            Some(_) => {}
            // A member that was down before we knew it has no quota besides the configured ones.
            None if !is_active || is_full => {}
            None => {
                self.tracked.insert(view.member.at, unevicted);
            }
        }
    }

    /// Evicts the members that a majority has voted down for the whole delay.
    fn evict(&mut self, now: Time, table: &MemberTable, votes: &Votes, sets: &DownSets) {
        let is_undecided = |view: &View| {
            let tracked = self.tracked.get(&view.member.at);
            tracked.is_some_and(|tracked| !tracked.evicted)
        };
        if !table.down().any(|(_, view)| is_undecided(view)) {
            return;
        }
        let tally = Tally::of(table, votes, sets);
        let electorate = self.electorate();
        for (hash, view) in table.down() {
            let delay = self.eviction_delay_of(view.state);
            let Some(tracked) = self.tracked.get_mut(&view.member.at) else {
                continue;
            };
            if tracked.evicted {
                continue;
            }
            // Our own vote counts in addition to the others'.
            if !is_majority(1 + tally.votes_against(hash), electorate) {
                tracked.majority_since = None;
                continue;
            }
            let since = *tracked.majority_since.get_or_insert(now);
            tracked.evicted = delay.is_some_and(|delay| now - since >= delay);
        }
    }

    fn eviction_delay_of(&self, state: State) -> Option<Duration> {
        match state {
            State::Left => {
                let delay = self.eviction_delay.unwrap_or(MAX_LEAVE_EVICTION_DELAY);
                Some(delay.min(MAX_LEAVE_EVICTION_DELAY))
            }
            State::Alive | State::Suspect | State::Down => self.eviction_delay,
        }
    }

    fn evicted(&self) -> usize {
        self.tracked
            .values()
            .filter(|tracked| tracked.evicted)
            .count()
    }

    /// The number of members of which a majority is needed. A member that has just started knows few others, and a majority of
    /// these may be a minority of the fleet; so the number is at least the configured one.
    fn electorate(&self) -> usize {
        let evicted = self.evicted();
        let known = 1 + self.tracked.len() - evicted;
        known.max((self.configured as usize).saturating_sub(evicted))
    }
}

fn is_majority(votes: usize, electorate: usize) -> bool {
    votes * 2 > electorate
}

/// How many active members voted for each set.
struct Tally<'a> {
    sets: Vec<(&'a BTreeSet<ShortHash>, usize)>,
}

impl<'a> Tally<'a> {
    fn of(table: &MemberTable, votes: &Votes, sets: &'a DownSets) -> Tally<'a> {
        let mut counts: BTreeMap<ShortHash, usize> = BTreeMap::new();
        for (hash, _) in table.active() {
            if let Some(set) = votes.get(hash).and_then(|vote| vote.down) {
                *counts.entry(set).or_default() += 1;
            }
        }
        let stored = |(set, count)| Some((sets.get(set)?, count));
        Tally {
            sets: counts.into_iter().filter_map(stored).collect(),
        }
    }

    fn votes_against(&self, member: ShortHash) -> usize {
        self.sets
            .iter()
            .filter(|(set, _)| set.contains(&member))
            .map(|(_, count)| count)
            .sum()
    }
}
