//! The part of [`Members`] that votes on who is down, and counts.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cranehill_scheduler::Time;
use rand::RngExt;

use super::{Due, Members, lock};
use crate::digest::ShortHash;
use crate::event::Effect;
use crate::vote::{Broadcast, Vote};
use crate::voting::VoteDecision;

/// Members besides the voters of a set that are asked for it, as if so many of them had voted for it.
const OTHER_HOLDERS: usize = 8;

impl Members {
    /// Puts our vote into the table, from where the exchange takes it.
    pub(super) fn cast_vote(&mut self, leaves: bool) {
        self.vote_number += 1;
        let (number, down, payload) = (self.vote_number, self.voting.voted(), self.payload.clone());
        lock(&self.votes).insert(
            self.my_hash(),
            Vote {
                number,
                leaves,
                down,
                payload,
            },
        );
        self.differed = true;
    }

    /// Has our vote spread with the gossip as well.
    pub(super) fn broadcast_vote(&mut self) {
        let voter = self.my_hash();
        let Some(Vote {
            number,
            leaves,
            down,
            payload,
        }) = lock(&self.votes).get(voter).cloned()
        else {
            return;
        };
        // Taken in anew by the handler, which passes on only what is newer.
        self.vote_number = number + 1;
        let number = self.vote_number;
        if let Ok(bytes) = postcard::to_stdvec(&Broadcast {
            voter,
            number,
            leaves,
            down,
            payload,
        }) {
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    /// Has the down members looked at once they have settled.
    pub(super) fn look_at_down(&mut self) {
        if self.vote_at.is_none() && self.views.iter().any(|v| !v.state.is_active()) {
            self.look_again(self.now);
        }
    }

    fn look_again(&mut self, at: Time) {
        self.vote_at = Some(at);
        self.at(at, Due::Vote);
    }

    pub(super) fn vote_due(&mut self) {
        self.vote_at = None;
        let chance = self.rng.random_range(0.0..1.0);
        let votes = std::sync::Arc::clone(&self.votes);
        let choice =
            self.voting
                .decide(self.now, &self.views, &lock(&votes), &mut self.sets, chance);
        match choice {
            VoteDecision::Keep => {}
            VoteDecision::Vote(_) => {
                self.cast_vote(false);
                self.recount();
                self.compare_with_few();
            }
            // Somebody else's set may come before.
            VoteDecision::WaitUntil(until) => {
                let soon = self.now + self.set.period / 4;
                self.look_again(until.min(soon).max(self.now + self.set.period / 20));
            }
        }
    }

    fn compare_with_few(&mut self) {
        for _ in 0..crate::settings::FANOUT.get() {
            self.compare_with_random();
        }
    }

    /// Forgets votes and sets that nobody needs any more, and casts ours again if it is of an earlier incarnation.
    pub(super) fn keep_votes(&mut self) {
        self.views.age(self.now);
        let mine = self.my_hash();
        let mut votes = lock(&self.votes);
        votes.keep(|voter| voter == mine || self.views.is_announced(voter));
        let named: BTreeSet<ShortHash> = votes
            .iter()
            .filter_map(|(_, vote)| vote.down)
            .chain(self.voting.voted())
            .collect();
        let silent = votes.get(mine).is_none();
        drop(votes);
        self.sets.keep(|set| named.contains(&set));
        if silent && (self.voting.voted().is_some() || !self.payload.is_empty()) {
            self.cast_vote(false);
        }
        self.fetch_missing(&named);
        self.recount();
    }

    /// Asks for sets that votes name and that aren't known here, in random order: there may be more of them than a period's
    /// requests, and none may wait for ever behind others that nobody answers.
    fn fetch_missing(&mut self, named: &BTreeSet<ShortHash>) {
        let mut missing: Vec<ShortHash> = named
            .iter()
            .copied()
            .filter(|set| self.sets.next_page(*set).is_some())
            .collect();
        self.holders.retain(|set, _| missing.contains(set));
        while !missing.is_empty() {
            let set = missing.swap_remove(self.rng.random_range(0..missing.len()));
            let teller = self.holders.remove(&set);
            if let Some(peer) = teller.or_else(|| self.likely_holder(set)) {
                self.want_set(peer, set);
            }
        }
    }

    /// One of those who voted for a set, or one of a few others: they may hold it too, and a set with a single voter would be
    /// asked of that one by all.
    fn likely_holder(&mut self, set: ShortHash) -> Option<SocketAddr> {
        let votes = lock(&self.votes);
        let active = self
            .views
            .named()
            .filter(|(_, view)| view.state.is_active());
        let voters: Vec<SocketAddr> = active
            .filter(|(name, _)| votes.get(*name).is_some_and(|vote| vote.down == Some(set)))
            .map(|(_, view)| view.member.at)
            .collect();
        drop(votes);
        let place = self.rng.random_range(0..voters.len() + OTHER_HOLDERS);
        voters.get(place).copied().or_else(|| self.random_peer())
    }

    /// Takes changed votes into account.
    pub(super) fn count_votes(&mut self) {
        let changes = lock(&self.votes).changes();
        if changes != self.votes_counted {
            self.recount();
        }
    }

    /// Tells the number of senders to leave room for, if it is another.
    pub(super) fn recount(&mut self) {
        let votes = lock(&self.votes);
        self.votes_counted = votes.changes();
        let divisor = self.share.update(self.now, &self.views, &votes, &self.sets);
        drop(votes);
        if divisor != std::mem::replace(&mut self.share_divisor, divisor) {
            self.effects.push(Effect::ShareDivisor(divisor));
        }
    }
}
