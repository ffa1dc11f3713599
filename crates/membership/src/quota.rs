//! How many senders a shared limit must be divided by. Safety first: nobody takes more because others are out of sight.
//!
//! A member frees its part only once it is *evicted*: held to be down by a majority of all known members, without a
//! break for the whole eviction delay. The dead count in the whole and have no vote, so a minority that is cut off evicts
//! nobody.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::ShortHash;
use crate::member_table::{MAX_MEMBERS, MemberTable, State, View};
use crate::vote::{DownSets, Votes};

/// After SIGTERM a sender ends within 3.4 s; half a second is for the message to spread.
pub const LEAVE_EVICTION_DELAY: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct Known {
    incarnation: u64,
    /// Since when a majority holds it to be down.
    agreed: Option<Time>,
    evicted: bool,
}

/// See the module's text.
#[derive(Debug)]
pub struct QuotaDivisor {
    configured: u32,
    eviction_delay: Option<Duration>,
    known: BTreeMap<SocketAddr, Known>,
}

impl QuotaDivisor {
    /// `configured`: the number of members by the settings. `eviction_delay`: how long a majority must agree; `None` for
    /// ever.
    pub fn new(configured: u32, eviction_delay: Option<Duration>) -> QuotaDivisor {
        QuotaDivisor {
            configured: configured.max(1),
            eviction_delay,
            known: BTreeMap::new(),
        }
    }

    /// Takes in the present view of the others, and tells the number of senders to leave room for, ourselves included.
    /// It must be called whenever a view or a vote has changed.
    pub fn update(
        &mut self,
        now: Time,
        views: &MemberTable,
        votes: &Votes,
        sets: &DownSets,
    ) -> u32 {
        views.iter().for_each(|view| self.track(view));
        let down = || views.named().filter(|(_, view)| !view.state.is_active());
        let undecided =
            down().any(|(_, v)| self.known.get(&v.member.at).is_some_and(|k| !k.evicted));
        // Counting is for those alone whose part is not free yet.
        let tally = if undecided {
            Tally::of(views, votes, sets)
        } else {
            Tally::default()
        };
        let whole = self.whole();
        for (name, view) in down() {
            let Some(known) = self.known.get_mut(&view.member.at).filter(|k| !k.evicted) else {
                continue;
            };
            if !is_majority(1 + tally.votes_against(name), whole) {
                known.agreed = None;
                continue;
            }
            let since = *known.agreed.get_or_insert(now);
            let delay = match view.state {
                State::Left => Some(
                    self.eviction_delay
                        .unwrap_or(LEAVE_EVICTION_DELAY)
                        .min(LEAVE_EVICTION_DELAY),
                ),
                _ => self.eviction_delay,
            };
            known.evicted = delay.is_some_and(|delay| now - since >= delay);
        }
        // Whom nobody speaks of any more: a part that was freed falls back to the settings.
        self.known
            .retain(|at, known| !known.evicted || views.get(at).is_some());
        let evicted = self.evicted() as u32;
        let present = 1 + self.known.len() as u32 - evicted;
        self.configured.saturating_sub(evicted).max(present)
    }

    fn track(&mut self, view: &View) {
        let (active, incarnation) = (view.state.is_active(), view.member.incarnation);
        let full = self.known.len() >= MAX_MEMBERS;
        let fresh = Known {
            incarnation,
            agreed: None,
            evicted: false,
        };
        match self.known.get_mut(&view.member.at) {
            Some(known) if active || known.incarnation != incarnation => *known = fresh,
            Some(_) => {}
            // Down since before we knew it: nothing was ever left to it by us but by the settings.
            None if !active || full => {}
            None => {
                self.known.insert(view.member.at, fresh);
            }
        }
    }

    fn evicted(&self) -> usize {
        self.known.values().filter(|k| k.evicted).count()
    }

    /// All members of whom a majority is needed. One that has just started knows few: a majority of these may be a
    /// minority of the fleet.
    fn whole(&self) -> usize {
        let evicted = self.evicted();
        (1 + self.known.len() - evicted).max((self.configured as usize).saturating_sub(evicted))
    }
}

/// More than half of all, of those who have no vote too.
fn is_majority(votes: usize, whole: usize) -> bool {
    votes * 2 > whole
}

/// How many active members named each set.
#[derive(Default)]
struct Tally<'a> {
    sets: Vec<(&'a BTreeSet<ShortHash>, usize)>,
}

impl<'a> Tally<'a> {
    fn of(views: &MemberTable, votes: &Votes, sets: &'a DownSets) -> Tally<'a> {
        let mut counts: BTreeMap<ShortHash, usize> = BTreeMap::new();
        for (name, _) in views.named().filter(|(_, view)| view.state.is_active()) {
            if let Some(set) = votes.get(name).and_then(|vote| vote.down) {
                *counts.entry(set).or_default() += 1;
            }
        }
        Tally {
            sets: counts
                .into_iter()
                .filter_map(|(set, n)| Some((sets.get(set)?, n)))
                .collect(),
        }
    }

    fn votes_against(&self, name: ShortHash) -> usize {
        self.sets
            .iter()
            .filter(|(set, _)| set.contains(&name))
            .map(|(_, n)| n)
            .sum()
    }
}
