//! Requests for the sets of down members that votes refer to and that aren't stored here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::RngExt;

use super::replica::Replica;
use crate::anti_entropy::{MAX_PAGE_MEMBERS, Message};
use crate::digest::ShortHash;
use crate::down_sets::SetPage;

/// The maximum number of sets requested in one period. Bounds the traffic after many votes have changed at once.
const MAX_REQUESTED_SETS: usize = 4;
/// The weight of all members that didn't vote for a set, relative to one that did, when choosing a member to request it from: they
/// count as this many voters together.
const NON_VOTER_WEIGHT: usize = 8;

/// The requests sent in the current period, and the members that are known to have the sets that are missing here.
#[derive(Debug, Default)]
pub(super) struct SetRequests {
    /// The sets requested in this period. A set is removed when the requested page arrives and further pages are missing.
    requested: BTreeSet<ShortHash>,
    /// For sets that are missing here: the member that last sent a vote for it. Members send votes only with sets that they have.
    holders: BTreeMap<ShortHash, SocketAddr>,
}

impl SetRequests {
    /// Starts a new period, in which sets may be requested again.
    pub(super) fn start_period(&mut self) {
        self.requested.clear();
    }

    /// Requests a set from the member that sent a vote for it.
    pub(super) fn request_from_holder(
        &mut self,
        replica: &mut Replica,
        holder: SocketAddr,
        set: ShortHash,
    ) {
        self.holders.insert(set, holder);
        self.request(replica, holder, set);
    }

    /// Requests the next page of a set, unless the set is complete, was requested in this period already, or the period's requests
    /// are used up.
    fn request(&mut self, replica: &mut Replica, peer: SocketAddr, set: ShortHash) {
        let Some(offset) = replica.quorum.sets().next_offset(set) else {
            return;
        };
        if self.requested.len() < MAX_REQUESTED_SETS && self.requested.insert(set) {
            replica.send_anti_entropy(peer, &Message::WantSet { set, offset });
        }
    }

    /// Requests those of the sets that votes refer to that are missing here. The order is random: there may be more than the
    /// requests of a period, and sets to which no member replies must not keep the others from being requested.
    pub(super) fn request_missing(
        &mut self,
        replica: &mut Replica,
        referenced: &BTreeSet<ShortHash>,
    ) {
        let sets = replica.quorum.sets();
        let mut missing: Vec<ShortHash> = referenced
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

    /// Adds a received page of a set, and requests the next one.
    pub(super) fn receive_page(&mut self, replica: &mut Replica, from: SocketAddr, page: &SetPage) {
        // Only sets that a vote refers to are stored.
        if !replica.quorum.is_referenced(page.set) || page.members.len() > MAX_PAGE_MEMBERS {
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

/// Chooses a member to request a set from: one of its voters, or any other member, which may have the set too. Otherwise all
/// members would request a set with a single voter from that one.
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
        .map(|(_, view)| view.member.address)
        .collect();
    drop(votes);
    let candidates = voters.len() + NON_VOTER_WEIGHT;
    let index = replica.context.rng.random_range(0..candidates);
    voters.get(index).copied().or_else(|| replica.random_peer())
}
