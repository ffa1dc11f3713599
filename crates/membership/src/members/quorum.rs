//! The votes on which members are down, and the quota divisor that follows from them.

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

/// The least time between two decisions is a period divided by this.
const MAX_DECISIONS_PER_PERIOD: u32 = 20;
/// The greatest time until the next decision is a period divided by this: another member's set may arrive before the time that
/// was waited for.
const MIN_DECISIONS_PER_PERIOD: u32 = 4;

/// All votes and their sets, our own vote, and the quota divisor.
pub(super) struct Quorum {
    votes: SharedVotes,
    sets: DownSets,
    voting: Voting,
    vote_number: u32,
    /// When the next decision on our vote is due.
    decide_at: Option<Time>,
    payload: Vec<u8>,
    quota: QuotaDivisor,
    divisor: u32,
    /// [`Votes::changes`] when the divisor was computed.
    counted_changes: u64,
}

impl Quorum {
    pub(super) fn new(settings: &Settings) -> Quorum {
        Quorum {
            votes: SharedVotes::default(),
            sets: DownSets::default(),
            voting: Voting::new(settings.period, settings.configured_members),
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

    /// Adds our vote to the votes, from which anti-entropy sends it.
    pub(super) fn cast_vote(&mut self, me: ShortHash, leaves: bool) {
        self.vote_number += 1;
        let vote = Vote {
            number: self.vote_number,
            leaves,
            down: self.voting.voted(),
            payload: self.payload.clone(),
        };
        self.votes().insert(me, vote);
    }

    /// Our vote, encoded for broadcast; `None` if there is none.
    pub(super) fn encode_broadcast(&mut self, me: ShortHash) -> Option<Vec<u8>> {
        let mut vote = self.votes().get(me).cloned()?;
        // A new number: the broadcast handler stores the vote again, and passes on only newer ones.
        vote.number += 1;
        self.vote_number = vote.number;
        postcard::to_stdvec(&VoteBroadcast { voter: me, vote }).ok()
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

    /// Decides on our vote. True if a new one was cast.
    pub(super) fn on_vote_timer(
        &mut self,
        context: &mut Context,
        table: &MemberTable,
        me: ShortHash,
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
                self.cast_vote(me, false);
                self.recount(context, table);
                true
            }
            VoteDecision::WaitUntil(time) => {
                let period = context.settings.period;
                let earliest = context.now + period / MAX_DECISIONS_PER_PERIOD;
                let latest = context.now + period / MIN_DECISIONS_PER_PERIOD;
                self.schedule_decision_at(context, time.min(latest).max(earliest));
                false
            }
        }
    }

    /// Removes votes of unknown members and sets that no vote names. Returns the hashes of the named sets.
    pub(super) fn remove_unused(
        &mut self,
        table: &MemberTable,
        me: ShortHash,
    ) -> BTreeSet<ShortHash> {
        let mut votes = self.votes.lock();
        votes.retain(|voter| voter == me || table.is_announced(voter));
        let named: BTreeSet<ShortHash> = votes
            .iter()
            .filter_map(|(_, vote)| vote.down)
            .chain(self.voting.voted())
            .collect();
        drop(votes);
        self.sets.retain(|set| named.contains(&set));
        named
    }

    /// Whether our vote must be cast again because it was an earlier incarnation's.
    pub(super) fn lacks_own_vote(&self, me: ShortHash) -> bool {
        let has_content = self.voting.voted().is_some() || !self.payload.is_empty();
        has_content && self.votes().get(me).is_none()
    }

    /// Whether any vote names a set.
    pub(super) fn is_named(&self, set: ShortHash) -> bool {
        self.votes().iter().any(|(_, vote)| vote.down == Some(set))
    }

    /// Adds a page of a set. True once the set is complete.
    pub(super) fn add_page(&mut self, page: &SetPage) -> bool {
        self.sets.add_page(page)
    }

    /// Computes the divisor anew if votes have changed.
    pub(super) fn recount_if_changed(&mut self, context: &mut Context, table: &MemberTable) {
        let changes = self.votes().changes();
        if changes != self.counted_changes {
            self.recount(context, table);
        }
    }

    /// Computes the divisor anew, and reports it if it has changed.
    pub(super) fn recount(&mut self, context: &mut Context, table: &MemberTable) {
        let votes = self.votes.lock();
        self.counted_changes = votes.changes();
        let divisor = self.quota.update(context.now, table, &votes, &self.sets);
        drop(votes);
        if divisor != self.divisor {
            self.divisor = divisor;
            context.report(Effect::ShareDivisor(divisor));
        }
    }
}
