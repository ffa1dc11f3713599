//! The table of the other members: their states, with the time of the last change, and the digest over them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::digest::{BucketSet, Digest, ShortHash, bucket_of, identity_hash};
use crate::member_entry::MemberEntry;
use crate::view::MemberView;

/// The maximum number of members in the table, down ones included. Bounds memory if a faulty member announces members that don't
/// exist; eight times the 490 members that the protocol is designed for.
pub const MAX_MEMBERS: usize = 4096;
/// The number of superseded incarnations that are stored. Bounds memory; sets of down members contain a superseded incarnation
/// only for a short time.
const MAX_SUPERSEDED: usize = 1024;
/// How long a member is announced to others after it went down. Half of the time after which `foca` removes it, so that a member
/// whose `foca` has just removed it doesn't learn it from others again.
pub const MAX_ANNOUNCED_DOWN_TIME: Duration = Duration::from_secs(1800);

#[derive(Clone, Debug)]
struct Row {
    view: MemberView,
    hash: ShortHash,
    bucket: usize,
    /// The hash of the row's entry, if it is in the digest; `None` if the member isn't announced to others.
    announced: Option<ShortHash>,
    /// When the member went down, according to the first member that detected it; `None` if this incarnation was never down.
    down_since: Option<Time>,
}

impl Row {
    fn entry(&self, now: Time) -> MemberEntry {
        let down_for = self.down_since.map(|since| now - since);
        MemberEntry::of(&self.view, down_for.unwrap_or_default())
    }

    fn may_be_announced(&self, now: Time) -> bool {
        self.down_since
            .is_none_or(|since| now - since < MAX_ANNOUNCED_DOWN_TIME)
    }
}

/// The views of the other members, by address, with a digest over those that are announced.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: BTreeMap<SocketAddr, Row>,
    digest: Digest,
    /// The hashes of the incarnations that are announced to others.
    announced: BTreeSet<ShortHash>,
    /// The hashes of incarnations that were replaced by later ones, oldest first.
    superseded: VecDeque<ShortHash>,
}

impl MemberTable {
    /// All other members, in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = &MemberView> {
        self.rows.values().map(|row| &row.view)
    }

    fn iter_with_hashes(&self) -> impl Iterator<Item = (ShortHash, &MemberView)> {
        self.rows.values().map(|row| (row.hash, &row.view))
    }

    /// The members that are alive or suspect, each with its [`identity_hash`].
    pub fn active(&self) -> impl Iterator<Item = (ShortHash, &MemberView)> {
        self.iter_with_hashes()
            .filter(|(_, view)| view.state.is_active())
    }

    /// The members that are down or have left, each with its [`identity_hash`].
    pub fn down(&self) -> impl Iterator<Item = (ShortHash, &MemberView)> {
        self.iter_with_hashes()
            .filter(|(_, view)| !view.state.is_active())
    }

    /// The view of the member at an address; `None` if the member is unknown.
    pub fn get(&self, address: &SocketAddr) -> Option<&MemberView> {
        self.rows.get(address).map(|row| &row.view)
    }

    /// The number of other members, including those that are down or have left.
    pub fn member_count(&self) -> usize {
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

    /// Whether this incarnation was replaced by a later one of the same member. False for those that exceeded the bound on stored
    /// hashes.
    pub fn is_superseded(&self, incarnation: ShortHash) -> bool {
        self.superseded.contains(&incarnation)
    }

    /// Whether the table has this incarnation and announces it to others.
    pub fn is_announced(&self, incarnation: ShortHash) -> bool {
        self.announced.contains(&incarnation)
    }

    /// Inserts a member's view or replaces the previous one. `down_for` is how long the member has been down, according to the
    /// entry that changed the view; zero if it went down just now.
    pub fn update(&mut self, now: Time, view: MemberView, down_for: Duration) {
        let address = view.member.address;
        let hash = identity_hash(&view.member);
        let previous = self.rows.remove(&address);
        if let Some(previous) = &previous {
            self.withdraw_announcement(previous);
            if previous.hash != hash {
                self.add_superseded(previous.hash);
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

    fn add_superseded(&mut self, incarnation: ShortHash) {
        self.superseded.push_back(incarnation);
        if self.superseded.len() > MAX_SUPERSEDED {
            self.superseded.pop_front();
        }
    }

    fn withdraw_announcement(&mut self, row: &Row) {
        if let Some(entry_hash) = row.announced {
            self.digest.remove(row.bucket, entry_hash);
            self.announced.remove(&row.hash);
        }
    }

    /// Removes a member, if it is in the table.
    pub fn remove(&mut self, address: &SocketAddr) {
        if let Some(row) = self.rows.remove(address) {
            self.withdraw_announcement(&row);
        }
    }

    /// Stops announcing members that have been down for longer than [`MAX_ANNOUNCED_DOWN_TIME`].
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

    /// The entries of the announced members in the given buckets, each with its bucket.
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
