//! The quota divisor: the number of senders that a shared limit is divided by. It is conservative: members that are merely
//! unreachable still count, so a sender's quota doesn't grow in a partition.
//!
//! A member's quota is released only when the member is *evicted*: a majority of all known members has voted it down, without
//! interruption, for the whole eviction delay. Down members count in the electorate but have no vote, so the minority side of a
//! partition evicts no member.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::ShortHash;
use crate::down_sets::DownSets;
use crate::member_table::{MAX_MEMBERS, MemberTable};
use crate::view::{MemberState, MemberView};
use crate::vote::Votes;

/// The maximum eviction delay of a member that announced that it leaves. Its process ends within 3.4 s after SIGTERM; half a
/// second more is for the announcement to spread.
pub const MAX_LEAVE_EVICTION_DELAY: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct TrackedMember {
    incarnation: u64,
    /// Since when a majority has voted the member down without interruption; `None` if it doesn't.
    majority_since: Option<Time>,
    evicted: bool,
}

/// Computes the quota divisor from the member table and the votes. Keeps the state of evictions between updates.
#[derive(Debug)]
pub struct QuotaDivisor {
    configured: u32,
    eviction_delay: Option<Duration>,
    /// The members that were active at some time, evicted ones included.
    tracked: BTreeMap<SocketAddr, TrackedMember>,
}

impl QuotaDivisor {
    /// `configured` is the configured number of members; `eviction_delay` is how long a majority must vote a member down before
    /// it is evicted, `None` for never.
    pub fn new(configured: u32, eviction_delay: Option<Duration>) -> QuotaDivisor {
        QuotaDivisor {
            configured: configured.max(1),
            eviction_delay,
            tracked: BTreeMap::new(),
        }
    }

    /// Returns the number of senders to divide shared limits by, this one included. Must be called whenever the table or a vote
    /// has changed, and once a period, since evictions depend on the time.
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
        // An evicted member that has been removed from the table no longer reduces the configured number.
        self.tracked
            .retain(|address, tracked| !tracked.evicted || table.get(address).is_some());
        let evicted = self.evicted() as u32;
        let present = 1 + self.tracked.len() as u32 - evicted;
        self.configured.saturating_sub(evicted).max(present)
    }

    fn track(&mut self, view: &MemberView) {
        let is_active = view.state.is_active();
        let incarnation = view.member.incarnation;
        let is_full = self.tracked.len() >= MAX_MEMBERS;
        let unevicted = TrackedMember {
            incarnation,
            majority_since: None,
            evicted: false,
        };
        match self.tracked.get_mut(&view.member.address) {
            Some(tracked) if is_active || tracked.incarnation != incarnation => {
                *tracked = unevicted;
            }
            Some(_) => {}
            // A member that was down when first seen is not tracked: only the configured number includes its quota.
            None if !is_active || is_full => {}
            None => {
                self.tracked.insert(view.member.address, unevicted);
            }
        }
    }

    /// Evicts the members that a majority has voted down for the whole eviction delay.
    fn evict(&mut self, now: Time, table: &MemberTable, votes: &Votes, sets: &DownSets) {
        let is_undecided = |view: &MemberView| {
            let tracked = self.tracked.get(&view.member.address);
            tracked.is_some_and(|tracked| !tracked.evicted)
        };
        if !table.down().any(|(_, view)| is_undecided(view)) {
            return;
        }
        let tally = Tally::of(table, votes, sets);
        let electorate = self.electorate();
        for (hash, view) in table.down() {
            let delay = self.eviction_delay_of(view.state);
            let Some(tracked) = self.tracked.get_mut(&view.member.address) else {
                continue;
            };
            if tracked.evicted {
                continue;
            }
            // This member's own vote counts too: the member is down in its table.
            if !is_majority(1 + tally.votes_against(hash), electorate) {
                tracked.majority_since = None;
                continue;
            }
            let since = *tracked.majority_since.get_or_insert(now);
            tracked.evicted = delay.is_some_and(|delay| now - since >= delay);
        }
    }

    fn eviction_delay_of(&self, state: MemberState) -> Option<Duration> {
        match state {
            MemberState::Left => {
                let delay = self.eviction_delay.unwrap_or(MAX_LEAVE_EVICTION_DELAY);
                Some(delay.min(MAX_LEAVE_EVICTION_DELAY))
            }
            MemberState::Alive | MemberState::Suspect | MemberState::Down => self.eviction_delay,
        }
    }

    fn evicted(&self) -> usize {
        self.tracked
            .values()
            .filter(|tracked| tracked.evicted)
            .count()
    }

    /// The number of members of which a majority must agree to an eviction. A member that has just started knows few others, and
    /// a majority of these may be a minority of the fleet, so the electorate is at least the configured number less the evicted.
    fn electorate(&self) -> usize {
        let evicted = self.evicted();
        let known = 1 + self.tracked.len() - evicted;
        known.max((self.configured as usize).saturating_sub(evicted))
    }
}

fn is_majority(votes: usize, electorate: usize) -> bool {
    votes * 2 > electorate
}

/// The number of active members that voted for each set of down members.
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
