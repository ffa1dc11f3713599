//! The votes on which members are down, and the quota divisor that is computed from them.

use std::collections::BTreeSet;
use std::sync::MutexGuard;

use cranehill_scheduler::Time;
use rand::RngExt;

use super::context::{Context, Timer};
use crate::digest::ShortHash;
use crate::down_sets::{DownSets, SetPage};
use crate::event::Effect;
use crate::member_table::MemberTable;
use crate::quota::QuotaDivisor;
use crate::settings::Settings;
use crate::vote::{Vote, Votes};
use crate::vote_broadcast::{SharedVotes, VoteBroadcast};
use crate::voting::{VoteDecision, Voting};

/// The maximum number of decisions on our vote per period.
const MAX_DECISIONS_PER_PERIOD: u32 = 20;
/// The minimum number of decisions per period while one is pending: another member's set, which may be adopted, can arrive before
/// the time at which our own set would be proposed.
const MIN_DECISIONS_PER_PERIOD: u32 = 4;

/// The votes of all members and their sets, this member's own vote, and the quota divisor.
pub(super) struct Quorum {
    votes: SharedVotes,
    sets: DownSets,
    voting: Voting,
    /// The number of our latest vote.
    vote_number: u32,
    /// When the next decision on our vote is due; `None` if none is scheduled.
    decide_at: Option<Time>,
    /// The payload that our votes contain, as set by the caller; see [`Vote::payload`].
    payload: Vec<u8>,
    quota: QuotaDivisor,
    divisor: u32,
    /// The value of [`Votes::changes`] when the divisor was last computed.
    counted_changes: u64,
}

impl Quorum {
    pub(super) fn new(settings: &Settings) -> Quorum {
        Quorum {
            votes: SharedVotes::default(),
            sets: DownSets::default(),
            voting: Voting::new(settings.probe_period, settings.configured_members),
            vote_number: 0,
            decide_at: None,
            payload: Vec::new(),
            quota: QuotaDivisor::new(settings.configured_members, settings.eviction_delay),
            divisor: settings.configured_members.max(1),
            counted_changes: 0,
        }
    }

    pub(super) fn shared_votes(&self) -> SharedVotes {
        self.votes.clone()
    }

    pub(super) fn votes(&self) -> MutexGuard<'_, Votes> {
        self.votes.lock()
    }

    pub(super) fn sets(&self) -> &DownSets {
        &self.sets
    }

    pub(super) fn divisor(&self) -> u32 {
        self.divisor
    }

    pub(super) fn payload(&self) -> &[u8] {
        &self.payload
    }

    pub(super) fn set_payload(&mut self, payload: Vec<u8>) {
        self.payload = payload;
    }

    /// Stores a new vote of our own among the votes, from which anti-entropy sends it to others.
    pub(super) fn cast_vote(&mut self, own_hash: ShortHash, leaves: bool) {
        self.vote_number += 1;
        let vote = Vote {
            number: self.vote_number,
            leaves,
            down: self.voting.voted_set(),
            payload: self.payload.clone(),
        };
        self.votes().insert(own_hash, vote);
    }

    /// Our stored vote with a new number, encoded for broadcast; `None` if there is none.
    pub(super) fn encode_broadcast(&mut self, own_hash: ShortHash) -> Option<Vec<u8>> {
        let mut vote = self.votes().get(own_hash).cloned()?;
        // `foca` passes the broadcast to `VoteHandler`, which accepts only votes newer than the stored one.
        vote.number += 1;
        self.vote_number = vote.number;
        postcard::to_stdvec(&VoteBroadcast {
            voter: own_hash,
            vote,
        })
        .ok()
    }

    /// Schedules a decision on our vote if there are down members.
    pub(super) fn schedule_decision(&mut self, context: &mut Context, table: &MemberTable) {
        if self.decide_at.is_none() && table.down().next().is_some() {
            self.schedule_decision_at(context, context.now);
        }
    }

    fn schedule_decision_at(&mut self, context: &mut Context, at: Time) {
        self.decide_at = Some(at);
        context.timers.schedule(at, Timer::Vote);
    }

    /// Decides on our vote, or schedules a later decision. True if a new vote was cast.
    pub(super) fn on_vote_timer(
        &mut self,
        context: &mut Context,
        table: &MemberTable,
        own_hash: ShortHash,
    ) -> bool {
        self.decide_at = None;
        let fraction = context.rng.random_range(0.0..1.0);
        let votes = self.votes.lock();
        let decision = self
            .voting
            .decide(context.now, table, &votes, &mut self.sets, fraction);
        drop(votes);
        match decision {
            VoteDecision::Keep => false,
            VoteDecision::Vote(_) => {
                self.cast_vote(own_hash, false);
                self.recount(context, table);
                true
            }
            VoteDecision::WaitUntil(time) => {
                let period = context.settings.probe_period;
                let earliest = context.now + period / MAX_DECISIONS_PER_PERIOD;
                let latest = context.now + period / MIN_DECISIONS_PER_PERIOD;
                self.schedule_decision_at(context, time.min(latest).max(earliest));
                false
            }
        }
    }

    /// Removes the votes of unknown members and the sets that no vote refers to. Returns the sets that votes refer to.
    pub(super) fn remove_unused(
        &mut self,
        table: &MemberTable,
        own_hash: ShortHash,
    ) -> BTreeSet<ShortHash> {
        let mut votes = self.votes.lock();
        votes.retain(|voter| voter == own_hash || table.is_announced(voter));
        let referenced: BTreeSet<ShortHash> = votes
            .iter()
            .filter_map(|(_, vote)| vote.down)
            .chain(self.voting.voted_set())
            .collect();
        drop(votes);
        self.sets.retain(|set| referenced.contains(&set));
        referenced
    }

    /// Whether our vote must be cast again, because the stored one is of an earlier incarnation.
    pub(super) fn lacks_own_vote(&self, own_hash: ShortHash) -> bool {
        let has_content = self.voting.voted_set().is_some() || !self.payload.is_empty();
        has_content && self.votes().get(own_hash).is_none()
    }

    /// Whether any stored vote refers to a set.
    pub(super) fn is_referenced(&self, set: ShortHash) -> bool {
        self.votes().iter().any(|(_, vote)| vote.down == Some(set))
    }

    /// Adds a page of a set. True if the set is now complete.
    pub(super) fn add_page(&mut self, page: &SetPage) -> bool {
        self.sets.add_page(page)
    }

    /// Computes the quota divisor again if votes have changed since the last time.
    pub(super) fn recount_if_changed(&mut self, context: &mut Context, table: &MemberTable) {
        let changes = self.votes().changes();
        if changes != self.counted_changes {
            self.recount(context, table);
        }
    }

    /// Computes the quota divisor again, and reports it if it has changed.
    pub(super) fn recount(&mut self, context: &mut Context, table: &MemberTable) {
        let votes = self.votes.lock();
        self.counted_changes = votes.changes();
        let divisor = self.quota.update(context.now, table, &votes, &self.sets);
        drop(votes);
        if divisor != self.divisor {
            self.divisor = divisor;
            context.report(Effect::QuotaDivisorChanged(divisor));
        }
    }
}
