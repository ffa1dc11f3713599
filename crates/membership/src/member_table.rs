//! The table of the other members: their states, since when, and the digest over them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::{BucketSet, Digest, ShortHash, bucket_of, identity_hash};
use crate::member_entry::MemberEntry;
use crate::view::View;

/// Members in the table, down ones included. Bounds memory against a faulty member that invents others; eight times the planned
/// 490 members.
pub const MAX_MEMBERS: usize = 4096;
/// Ended incarnations that are remembered. Bounds memory; votes name an ended incarnation only for a short time.
const MAX_ENDED: usize = 1024;
/// A member that has been down for longer isn't announced to others. Half of the time after which it is forgotten, so that
/// a member that has just forgotten it doesn't learn it again.
pub const MAX_DOWN_ANNOUNCEMENT: Duration = Duration::from_secs(1800);

#[derive(Clone, Debug)]
struct Row {
    view: View,
    hash: ShortHash,
    bucket: usize,
    /// What the row adds to the digest; `None` once the member is no longer announced.
    announced: Option<ShortHash>,
    /// When the member went down, by the first member that saw it.
    down_since: Option<Time>,
}

impl Row {
    fn entry(&self, now: Time) -> MemberEntry {
        let down_for = self.down_since.map(|since| now - since);
        MemberEntry::of(&self.view, down_for.unwrap_or_default())
    }

    fn may_be_announced(&self, now: Time) -> bool {
        self.down_since
            .is_none_or(|since| now - since < MAX_DOWN_ANNOUNCEMENT)
    }
}

/// The other members, by address.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: BTreeMap<SocketAddr, Row>,
    digest: Digest,
    /// The incarnations that are announced to others.
    announced: BTreeSet<ShortHash>,
    /// Incarnations that were followed by later ones, oldest first.
    ended: VecDeque<ShortHash>,
}

impl MemberTable {
    /// All members, by address.
    pub fn iter(&self) -> impl Iterator<Item = &View> {
        self.rows.values().map(|row| &row.view)
    }

    fn iter_with_hashes(&self) -> impl Iterator<Item = (ShortHash, &View)> {
        self.rows.values().map(|row| (row.hash, &row.view))
    }

    /// The members that count as present, with the hashes of their incarnations.
    pub fn active(&self) -> impl Iterator<Item = (ShortHash, &View)> {
        self.iter_with_hashes()
            .filter(|(_, view)| view.state.is_active())
    }

    /// The members that are down or have left, with the hashes of their incarnations.
    pub fn down(&self) -> impl Iterator<Item = (ShortHash, &View)> {
        self.iter_with_hashes()
            .filter(|(_, view)| !view.state.is_active())
    }

    /// The member at an address.
    pub fn get(&self, address: &SocketAddr) -> Option<&View> {
        self.rows.get(address).map(|row| &row.view)
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The digest over all announced members.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Whether a later incarnation has followed this one in our view.
    pub fn has_ended(&self, incarnation: ShortHash) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Whether this incarnation is announced to others.
    pub fn is_announced(&self, incarnation: ShortHash) -> bool {
        self.announced.contains(&incarnation)
    }

    /// Replaces the view of a member. `down_for` is how long the member had been down already by whoever reported it.
    pub fn update(&mut self, now: Time, view: View, down_for: Duration) {
        let address = view.member.at;
        let hash = identity_hash(&view.member);
        let previous = self.rows.remove(&address);
        if let Some(previous) = &previous {
            self.withdraw_announcement(previous);
            if previous.hash != hash {
                self.remember_ended(previous.hash);
            }
        }
        let same_incarnation = previous.filter(|row| row.hash == hash);
        let is_down = !view.state.is_active();
        let down_since = same_incarnation
            .and_then(|row| row.down_since)
            .or_else(|| is_down.then(|| earlier(now, down_for)));
        let row = Row {
            view,
            hash,
            bucket: bucket_of(address),
            announced: None,
            down_since,
        };
        self.insert(now, address, row);
    }

    fn insert(&mut self, now: Time, address: SocketAddr, mut row: Row) {
        if row.may_be_announced(now) {
            let entry_hash = row.entry(now).hash();
            row.announced = Some(entry_hash);
            self.digest.add(row.bucket, entry_hash);
            self.announced.insert(row.hash);
        }
        self.rows.insert(address, row);
    }

    fn remember_ended(&mut self, incarnation: ShortHash) {
        self.ended.push_back(incarnation);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    fn withdraw_announcement(&mut self, row: &Row) {
        if let Some(entry_hash) = row.announced {
            self.digest.remove(row.bucket, entry_hash);
            self.announced.remove(&row.hash);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, address: &SocketAddr) {
        if let Some(row) = self.rows.remove(address) {
            self.withdraw_announcement(&row);
        }
    }

    /// Stops announcing members that have been down for longer than [`MAX_DOWN_ANNOUNCEMENT`].
    pub fn expire_announcements(&mut self, now: Time) {
        for row in self.rows.values_mut() {
            if !row.may_be_announced(now)
                && let Some(entry_hash) = row.announced.take()
            {
                self.digest.remove(row.bucket, entry_hash);
                self.announced.remove(&row.hash);
            }
        }
    }

    /// The announced members of some buckets, each with its bucket.
    pub fn entries(
        &self,
        now: Time,
        buckets: BucketSet,
    ) -> impl Iterator<Item = (usize, MemberEntry)> {
        self.rows
            .values()
            .filter(move |row| buckets.contains(row.bucket) && row.announced.is_some())
            .map(move |row| (row.bucket, row.entry(now)))
    }
}

fn earlier(now: Time, by: Duration) -> Time {
    Time(now.0.saturating_sub(by.as_nanos() as u64))
}
