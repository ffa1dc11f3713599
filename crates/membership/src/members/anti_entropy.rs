//! Runs the anti-entropy protocol: compares states with random members by timer, and answers the messages of others.

use std::net::SocketAddr;

use cranehill_scheduler::Time;
use rand::RngExt;

use super::context::Timer;
use super::replica::Replica;
use super::set_requests::SetRequests;
use crate::anti_entropy::{Entries, MAX_PAGE_MEMBERS, Message};
use crate::digest::{BUCKETS, BucketSum, ShortHash};
use crate::identity::Identity;
use crate::member_entry::MemberEntry;
use crate::seal::DropReason;
use crate::settings::FANOUT;
use crate::token_bucket::TrafficClass;

/// The number of comparisons per period while differences are found; otherwise one.
const COMPARISONS_PER_PERIOD: u32 = 3;

/// The state of the anti-entropy protocol.
#[derive(Debug)]
pub(super) struct AntiEntropy {
    /// Whether a difference was found, or caused by a change of our own state, since the latest comparison.
    found_difference: bool,
    /// When the next periodic maintenance is due.
    next_maintenance: Time,
    set_requests: SetRequests,
}

impl AntiEntropy {
    pub(super) fn new(now: Time) -> AntiEntropy {
        AntiEntropy {
            found_difference: false,
            next_maintenance: now,
            set_requests: SetRequests::default(),
        }
    }

    /// Records that our state has changed, so that the next comparison follows sooner.
    pub(super) fn expect_difference(&mut self) {
        self.found_difference = true;
    }

    /// Casts our vote, after which our state differs from the other members'.
    pub(super) fn cast_vote(&mut self, replica: &mut Replica, leaves: bool) {
        replica.cast_vote(leaves);
        self.found_difference = true;
    }

    /// Starts a comparison with a random member, and schedules the next one.
    pub(super) fn on_timer(&mut self, replica: &mut Replica) {
        let period = replica.context.settings.probe_period;
        if replica.context.now >= self.next_maintenance {
            self.next_maintenance = replica.context.now + period;
            self.maintain(replica);
        }
        compare_with_random_peer(replica);
        let has_differed = std::mem::take(&mut self.found_difference);
        let delay = if has_differed {
            period / COMPARISONS_PER_PERIOD
        } else {
            period
        };
        replica
            .context
            .schedule_with_jitter(delay, Timer::AntiEntropy);
    }

    /// Periodic maintenance: repeats notifications and requests that may have been lost, and removes unused votes and sets.
    fn maintain(&mut self, replica: &mut Replica) {
        self.set_requests.start_period();
        replica.swim.notify_accused(&mut replica.context);
        replica.swim.expire_announcements(replica.context.now);
        let own_hash = replica.own_hash();
        let referenced = replica.quorum.remove_unused(replica.swim.table(), own_hash);
        if replica.quorum.lacks_own_vote(own_hash) {
            self.cast_vote(replica, false);
        }
        self.set_requests.request_missing(replica, &referenced);
        replica.recount();
    }

    /// Handles a message. Messages from a member that is down in our view are ignored: SWIM notifies it that it was declared down.
    pub(super) fn receive(
        &mut self,
        replica: &mut Replica,
        from: &Identity,
        body: &[u8],
    ) -> Result<(), DropReason> {
        let (message, rest) =
            postcard::take_from_bytes::<Message>(body).map_err(|_| DropReason::Malformed)?;
        if !rest.is_empty() {
            return Err(DropReason::Malformed);
        }
        if !replica.swim.accept_peer(from) {
            return Ok(());
        }
        let peer = from.address;
        match message {
            Message::Compare { members, votes } => {
                self.on_compare(replica, peer, members, votes);
                Ok(())
            }
            Message::Differs { members, votes } => self.on_differs(replica, peer, &members, &votes),
            Message::Entries(entries) => self.on_entries(replica, peer, &entries),
            Message::WantSet { set, offset } => {
                send_page(replica, peer, set, offset);
                Ok(())
            }
            Message::SetPage(page) => {
                self.set_requests.receive_page(replica, peer, &page);
                Ok(())
            }
        }
    }

    fn on_compare(
        &mut self,
        replica: &mut Replica,
        peer: SocketAddr,
        members: ShortHash,
        votes: ShortHash,
    ) {
        let differs = replica.with_local_state(|state| state.differs_message(members, votes));
        if let Some(differs) = differs
            && replica.may_send(TrafficClass::Bulk)
        {
            self.found_difference = true;
            replica.send_anti_entropy(peer, &differs);
        }
    }

    fn on_differs(
        &mut self,
        replica: &mut Replica,
        peer: SocketAddr,
        members: &[BucketSum],
        votes: &[BucketSum],
    ) -> Result<(), DropReason> {
        let first_bucket = replica.context.rng.random_range(0..BUCKETS);
        let max_bytes = replica.max_body();
        let entries = replica
            .with_local_state(|state| {
                state.entries_to_push(members, votes, first_bucket, max_bytes)
            })
            .ok_or(DropReason::Malformed)?;
        self.found_difference = true;
        if replica.may_send(TrafficClass::Bulk) {
            replica.send_anti_entropy(peer, &Message::Entries(entries));
        }
        Ok(())
    }

    fn on_entries(
        &mut self,
        replica: &mut Replica,
        peer: SocketAddr,
        entries: &Entries,
    ) -> Result<(), DropReason> {
        if !entries.members.iter().all(MemberEntry::has_known_state) {
            return Err(DropReason::Malformed);
        }
        // The answer must be computed before the entries are applied: it consists of what differs from them.
        let answer = if entries.wanted.is_empty() {
            None
        } else {
            let max_bytes = replica.max_body();
            replica.with_local_state(|state| state.entries_to_pull(entries, max_bytes))
        };
        replica.apply_member_entries(&entries.members);
        self.apply_votes(replica, peer, entries);
        if let Some(answer) = answer
            && replica.may_send(TrafficClass::Bulk)
        {
            replica.send_anti_entropy(peer, &Message::Entries(answer));
        }
        Ok(())
    }

    fn apply_votes(&mut self, replica: &mut Replica, peer: SocketAddr, entries: &Entries) {
        for set in store_votes(replica, entries) {
            if replica.quorum.sets().next_offset(set).is_some() {
                self.set_requests.request_from_holder(replica, peer, set);
            }
        }
    }
}

/// Stores the votes of known members, and returns the sets that the newly stored ones refer to.
fn store_votes(replica: &Replica, entries: &Entries) -> Vec<ShortHash> {
    let own_hash = replica.own_hash();
    let table = replica.swim.table();
    let mut votes = replica.quorum.votes();
    let mut referenced = Vec::new();
    for entry in &entries.votes {
        if entry.voter == own_hash || !table.is_announced(entry.voter) {
            continue;
        }
        let Some(vote) = entry.vote(&entries.sets) else {
            continue;
        };
        let down = vote.down;
        if votes.insert(entry.voter, vote) {
            referenced.extend(down);
        }
    }
    referenced
}

/// Sends a page of a set, if the set is complete here and has members from the offset on.
fn send_page(replica: &mut Replica, peer: SocketAddr, set: ShortHash, offset: u32) {
    let page = replica.quorum.sets().page(set, offset, MAX_PAGE_MEMBERS);
    if let Some(page) = page
        && !page.members.is_empty()
        && replica.may_send(TrafficClass::Gossip)
    {
        replica.send_anti_entropy(peer, &Message::SetPage(page));
    }
}

/// Starts a comparison with a member by sending it our digests' roots.
pub(super) fn compare_with(replica: &mut Replica, peer: SocketAddr) {
    let compare = replica.with_local_state(|state| state.compare_message());
    replica.send_anti_entropy(peer, &compare);
}

fn compare_with_random_peer(replica: &mut Replica) {
    if replica.may_send(TrafficClass::Bulk)
        && let Some(peer) = replica.random_peer()
    {
        compare_with(replica, peer);
    }
}

/// Starts comparisons with [`FANOUT`] random members, so that a change of our state spreads without waiting for the timer.
pub(super) fn compare_with_random_peers(replica: &mut Replica) {
    for _ in 0..FANOUT.get() {
        compare_with_random_peer(replica);
    }
}
