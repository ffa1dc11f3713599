//! What a member holds of the others: their states, since when, and the digest over them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use serde::{Deserialize, Serialize};

use crate::Identity;
use crate::digest::{Digest, ShortHash, bucket_of, identity_hash};

/// Members known, at most, the down ones among them.
pub const MAX_MEMBERS: usize = 4096;
/// Ended incarnations remembered, at most.
const MAX_ENDED: usize = 1024;
/// A member that has been down for longer isn't told to others any more. It is half of the time after which it is forgotten, so
/// that it isn't learned again by one that has just forgotten it.
pub const DOWN_ANNOUNCED: Duration = Duration::from_secs(1800);

/// What a member is in our view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    /// A probe failed; it may refute that.
    Suspect,
    Down,
    /// It said that it leaves, and is gone.
    Left,
}

impl State {
    pub fn label(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "down",
            State::Left => "left",
        }
    }

    /// Whether it counts as present.
    pub fn is_active(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    fn rank(self) -> u8 {
        match self {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down | State::Left => 2,
        }
    }
}

/// One other member as we see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    pub member: Identity,
    /// Grows within a incarnation each time that the member refutes a suspicion.
    pub swim_incarnation: u16,
    pub state: State,
    /// Since when it is in that state, by our view.
    pub since: Time,
}

/// What is known of a member, as it travels between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    pub member: Identity,
    pub swim_incarnation: u16,
    /// 0 alive, 1 suspect, 2 down.
    pub state: u8,
    /// Seconds that it has been down for.
    pub down_for: u16,
}

impl MemberEntry {
    /// Of two rows about one address the higher one is newer, as in SWIM: down is for the whole of a incarnation, and a
    /// suspicion stands until a higher incarnation refutes it.
    pub(crate) fn rank(&self) -> (u64, bool, u16, u8) {
        let down = self.state >= 2;
        (
            self.member.incarnation,
            down,
            if down { 0 } else { self.swim_incarnation },
            self.state.min(2),
        )
    }

    pub(crate) fn hash(&self) -> ShortHash {
        let (incarnation, _, swim_incarnation, state) = self.rank();
        let name = self.member.name.as_bytes();
        let at = identity_hash(&self.member);
        ShortHash::of(&[
            at.as_bytes(),
            &incarnation.to_le_bytes(),
            &swim_incarnation.to_le_bytes(),
            &[state],
            name,
        ])
    }
}

#[derive(Clone, Debug)]
struct Entry {
    view: View,
    name: ShortHash,
    bucket: usize,
    /// What it adds to the digest; `None` once it isn't told any more.
    announced: Option<ShortHash>,
    /// Since when it is down, by whoever saw it first.
    down_since: Option<Time>,
}

impl Entry {
    fn row(&self, now: Time) -> MemberEntry {
        let View {
            member,
            swim_incarnation,
            state,
            ..
        } = &self.view;
        let down_for = self.down_since.map_or(0, |since| (now - since).as_secs());
        let down_for = u16::try_from(down_for).unwrap_or(u16::MAX);
        MemberEntry {
            member: member.clone(),
            swim_incarnation: *swim_incarnation,
            state: state.rank(),
            down_for,
        }
    }
}

/// The others, by address.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<SocketAddr, Entry>,
    digest: Digest,
    /// The incarnations that are told to others.
    announced: BTreeSet<ShortHash>,
    /// Generations that were followed by later ones, and so are over.
    ended: VecDeque<ShortHash>,
}

impl MemberTable {
    pub fn iter(&self) -> impl Iterator<Item = &View> {
        self.entries.values().map(|e| &e.view)
    }

    /// With the name of each incarnation.
    pub fn named(&self) -> impl Iterator<Item = (ShortHash, &View)> {
        self.entries.values().map(|e| (e.name, &e.view))
    }

    pub fn get(&self, at: &SocketAddr) -> Option<&View> {
        self.entries.get(at).map(|e| &e.view)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Whether a later incarnation has followed this one in our view.
    pub fn has_ended(&self, name: ShortHash) -> bool {
        self.ended.contains(&name)
    }

    /// Puts a view in place of the one before. `down_for`: how long it had been down already for whoever told us.
    pub fn set(&mut self, now: Time, view: View, down_for: Duration) {
        let at = view.member.at;
        let before = self.entries.get(&at);
        let name = identity_hash(&view.member);
        let same = before.filter(|b| b.name == name);
        let down = !view.state.is_active();
        let down_since = same
            .and_then(|b| b.down_since)
            .or_else(|| down.then(|| earlier(now, down_for)));
        if let Some(b) = before.filter(|b| b.name != name) {
            self.ended.push_back(b.name);
        }
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        let bucket = bucket_of(at);
        let mut entry = Entry {
            view,
            name,
            bucket,
            announced: None,
            down_since,
        };
        entry.announced = is_announced(now, &entry).then(|| entry.row(now).hash());
        if let Some(before) = self.entries.remove(&at) {
            self.withdraw_announcement(&before);
        }
        if let Some(hash) = entry.announced {
            self.digest.add(bucket, hash);
            self.announced.insert(name);
        }
        self.entries.insert(at, entry);
    }

    fn withdraw_announcement(&mut self, entry: &Entry) {
        if let Some(hash) = entry.announced {
            self.digest.remove(entry.bucket, hash);
            self.announced.remove(&entry.name);
        }
    }

    pub fn remove(&mut self, at: &SocketAddr) {
        if let Some(entry) = self.entries.remove(at) {
            self.withdraw_announcement(&entry);
        }
    }

    /// Takes those out of the digest that have been down for long.
    pub fn age(&mut self, now: Time) {
        for entry in self.entries.values_mut() {
            if !is_announced(now, entry)
                && let Some(hash) = entry.announced.take()
            {
                self.digest.remove(entry.bucket, hash);
                self.announced.remove(&entry.name);
            }
        }
    }

    /// Whether this incarnation is told to others.
    pub fn is_announced(&self, name: ShortHash) -> bool {
        self.announced.contains(&name)
    }

    /// The rows of some buckets, with their buckets; bit k of `buckets` stands for bucket k.
    pub fn entries(&self, now: Time, buckets: u64) -> impl Iterator<Item = (usize, MemberEntry)> {
        let announced = self
            .entries
            .values()
            .filter(move |e| buckets >> e.bucket & 1 == 1 && e.announced.is_some());
        announced.map(move |e| (e.bucket, e.row(now)))
    }
}

fn is_announced(now: Time, entry: &Entry) -> bool {
    entry
        .down_since
        .is_none_or(|since| now - since < DOWN_ANNOUNCED)
}

fn earlier(now: Time, by: Duration) -> Time {
    Time(now.0.saturating_sub(by.as_nanos() as u64))
}
