//! Requests for sets of down members that votes name and that aren't known here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;

use super::replica::Replica;
use crate::anti_entropy::{MAX_PAGE_MEMBERS, Message};
use crate::digest::ShortHash;
use crate::down_sets::SetPage;

/// Sets that are requested in one period. Bounds the traffic after many votes have changed at once.
const MAX_REQUESTED_SETS: usize = 4;
/// The weight of all other members against one voter when choosing whom to request a set of: as if this many of them had
/// voted for it.
const OTHER_HOLDERS: usize = 8;

/// The requests of the present period, and whom to send the next ones to.
#[derive(Debug, Default)]
pub(super) struct SetRequests {
    /// Sets requested in this period.
    requested: BTreeSet<ShortHash>,
    /// The member that last sent a vote for a set that isn't known here, and so holds the set.
    holders: BTreeMap<ShortHash, SocketAddr>,
}

impl SetRequests {
    /// A new period begins, so sets may be requested again.
    pub(super) fn start_period(&mut self) {
        self.requested.clear();
    }

    /// Requests a set of the member that sent a vote for it.
    pub(super) fn request_from_holder(
        &mut self,
        replica: &mut Replica,
        holder: SocketAddr,
        set: ShortHash,
    ) {
        self.holders.insert(set, holder);
        self.request(replica, holder, set);
    }

    /// Requests the next page of a set, unless the set is complete or was requested in this period.
    fn request(&mut self, replica: &mut Replica, peer: SocketAddr, set: ShortHash) {
        let Some(offset) = replica.quorum.sets().next_offset(set) else {
            return;
        };
        if self.requested.len() < MAX_REQUESTED_SETS && self.requested.insert(set) {
            replica.send_anti_entropy(peer, &Message::WantSet { set, offset });
        }
    }

    /// Requests those of the named sets that aren't known here, in random order: there may be more than the requests of
    /// a period, and none may wait for ever behind others that nobody answers.
    pub(super) fn request_missing(&mut self, replica: &mut Replica, named: &BTreeSet<ShortHash>) {
        let sets = replica.quorum.sets();
        let mut missing: Vec<ShortHash> = named
            .iter()
            .copied()
            .filter(|set| sets.next_offset(*set).is_some())
            .collect();
        self.holders.retain(|set, _| missing.contains(set));
        while !missing.is_empty() {
            let index = replica.context.rng.random_range(0..missing.len());
            let set = missing.swap_remove(index);
            let holder = self.holders.remove(&set);
            if let Some(peer) = holder.or_else(|| likely_holder(replica, set)) {
                self.request(replica, peer, set);
            }
        }
    }

    /// Adds a page of a requested set and requests the next one.
    pub(super) fn receive_page(&mut self, replica: &mut Replica, from: SocketAddr, page: &SetPage) {
        // Only sets that a vote names are stored.
        if !replica.quorum.is_named(page.set) || page.members.len() > MAX_PAGE_MEMBERS {
            return;
        }
        if replica.quorum.add_page(page) {
            replica.recount();
            return;
        }
        let next_offset = replica.quorum.sets().next_offset(page.set);
        if next_offset.is_some_and(|next| next > page.offset) {
            self.requested.remove(&page.set);
            self.request(replica, from, page.set);
        }
    }
}

/// One of the voters of a set, or another member, which may hold it too: a set with a single voter would otherwise be requested
/// of that one by all members.
fn likely_holder(replica: &mut Replica, set: ShortHash) -> Option<SocketAddr> {
    let votes = replica.quorum.votes();
    let votes_for_set = |voter| {
        let vote = votes.get(voter);
        vote.is_some_and(|vote| vote.down == Some(set))
    };
    let voters: Vec<SocketAddr> = replica
        .swim
        .table()
        .active()
        .filter(|(hash, _)| votes_for_set(*hash))
        .map(|(_, view)| view.member.at)
        .collect();
    drop(votes);
    let candidates = voters.len() + OTHER_HOLDERS;
    let index = replica.context.rng.random_range(0..candidates);
    voters.get(index).copied().or_else(|| replica.random_peer())
}
