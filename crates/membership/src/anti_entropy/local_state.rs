//! Computes the anti-entropy messages that are derived from a member's state.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cranehill_scheduler::Time;

use super::entries_builder::EntriesBuilder;
use super::message::{Entries, Message, WantedBuckets};
use crate::digest::{BUCKETS, BucketSet, BucketSum, Digest, ShortHash, bucket_of};
use crate::down_sets::DownSets;
use crate::member_entry::MemberEntry;
use crate::member_table::MemberTable;
use crate::vote::{Vote, Votes};

/// A read-only view of this member's state: its own entry, the member table, and the votes with their sets.
pub(crate) struct LocalState<'a> {
    now: Time,
    own_entry: MemberEntry,
    own_bucket: usize,
    table: &'a MemberTable,
    votes: &'a Votes,
    sets: &'a DownSets,
}

type ByBucket<T> = BTreeMap<usize, Vec<T>>;

impl<'a> LocalState<'a> {
    pub(crate) fn new(
        now: Time,
        own_entry: MemberEntry,
        table: &'a MemberTable,
        votes: &'a Votes,
        sets: &'a DownSets,
    ) -> LocalState<'a> {
        LocalState {
            now,
            own_bucket: bucket_of(own_entry.member.address),
            own_entry,
            table,
            votes,
            sets,
        }
    }

    fn member_digest(&self) -> Digest {
        let mut digest = self.table.digest().clone();
        digest.add(self.own_bucket, self.own_entry.hash());
        digest
    }

    /// The message that starts a comparison.
    pub(crate) fn compare_message(&self) -> Message {
        Message::Compare {
            members: self.member_digest().root(),
            votes: self.votes.digest().root(),
        }
    }

    /// The answer to [`Message::Compare`]; `None` if nothing differs.
    pub(crate) fn differs_message(
        &self,
        their_members: ShortHash,
        their_votes: ShortHash,
    ) -> Option<Message> {
        let members = self.member_digest();
        let votes = self.votes.digest();
        if members.root() == their_members && votes.root() == their_votes {
            return None;
        }
        Some(Message::Differs {
            members: members.to_wire(),
            votes: votes.to_wire(),
        })
    }

    /// The answer to [`Message::Differs`]: the entries of differing buckets, as many as fit into `max_bytes`. Starts with
    /// `first_bucket`, so that a random one lets every bucket be sent at some time. `None` if the digests don't have [`BUCKETS`]
    /// sums each.
    pub(crate) fn entries_to_push(
        &self,
        their_members: &[BucketSum],
        their_votes: &[BucketSum],
        first_bucket: usize,
        max_bytes: usize,
    ) -> Option<Entries> {
        let differing = WantedBuckets {
            members: self.member_digest().differing_buckets(their_members)?,
            votes: self.votes.digest().differing_buckets(their_votes)?,
        };
        let mut members = self.members_by_bucket(differing.members);
        let mut votes = self.votes_by_bucket(differing.votes);
        let mut builder = EntriesBuilder::new(max_bytes);
        for bucket in (first_bucket..first_bucket + BUCKETS).map(|bucket| bucket % BUCKETS) {
            // Members come first, because receivers ignore votes of unknown members.
            if differing.members.contains(bucket)
                && builder.add_members(members.remove(&bucket).unwrap_or_default())
            {
                builder.want_members(bucket);
            }
            if differing.votes.contains(bucket)
                && builder.add_votes(votes.remove(&bucket).unwrap_or_default())
            {
                builder.want_votes(bucket);
            }
        }
        Some(builder.finish())
    }

    /// The answer to [`Entries`]: the entries of the wanted buckets that are newer than the other member's or missing in its
    /// message, as many as fit into `max_bytes`. `None` if there are none.
    pub(crate) fn entries_to_pull(&self, theirs: &Entries, max_bytes: usize) -> Option<Entries> {
        let their_members: BTreeMap<SocketAddr, &MemberEntry> = theirs
            .members
            .iter()
            .map(|entry| (entry.member.address, entry))
            .collect();
        let their_votes: BTreeMap<ShortHash, u32> = theirs
            .votes
            .iter()
            .map(|entry| (entry.voter, entry.number))
            .collect();
        let is_newer_member = |ours: &MemberEntry| {
            let theirs = their_members.get(&ours.member.address);
            theirs.is_none_or(|theirs| theirs.rank() < ours.rank())
        };
        let is_newer_vote = |(voter, ours): &(ShortHash, &Vote)| {
            let number = their_votes.get(voter);
            number.is_none_or(|number| *number < ours.number)
        };
        let mut builder = EntriesBuilder::new(max_bytes);
        for bucket in self.members_by_bucket(theirs.wanted.members).into_values() {
            builder.add_members(bucket.into_iter().filter(is_newer_member));
        }
        for bucket in self.votes_by_bucket(theirs.wanted.votes).into_values() {
            builder.add_votes(bucket.into_iter().filter(is_newer_vote));
        }
        let entries = builder.finish();
        let is_empty = entries.members.is_empty() && entries.votes.is_empty();
        (!is_empty).then_some(entries)
    }

    fn members_by_bucket(&self, buckets: BucketSet) -> ByBucket<MemberEntry> {
        let mut members: ByBucket<MemberEntry> = BTreeMap::new();
        for (bucket, entry) in self.table.entries(self.now, buckets) {
            members.entry(bucket).or_default().push(entry);
        }
        if buckets.contains(self.own_bucket) {
            let own = self.own_entry.clone();
            members.entry(self.own_bucket).or_default().push(own);
        }
        members
    }

    /// The votes whose sets are stored here, by bucket. Votes without a stored set are not sent, so that a receiver can request the
    /// set from the sender of the vote instead of all receivers requesting it from the voter.
    fn votes_by_bucket(&self, buckets: BucketSet) -> ByBucket<(ShortHash, &Vote)> {
        let mut votes: ByBucket<(ShortHash, &Vote)> = BTreeMap::new();
        if buckets.is_empty() {
            return votes;
        }
        for (voter, vote) in self.votes.iter() {
            let holds_set = vote.down.is_none_or(|set| self.sets.get(set).is_some());
            if buckets.contains(voter.bucket()) && holds_set {
                votes.entry(voter.bucket()).or_default().push((voter, vote));
            }
        }
        votes
    }
}
