//! This member's copy of the state that all members replicate: the member table and the votes.

use std::net::SocketAddr;

use cranehill_scheduler::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::context::{Context, max_body};
use super::quorum::Quorum;
use super::swim::Swim;
use crate::anti_entropy::Message;
use crate::anti_entropy::local_state::LocalState;
use crate::digest::{ShortHash, identity_hash};
use crate::identity::Identity;
use crate::member_entry::MemberEntry;
use crate::seal::MessageKind;
use crate::settings::{FANOUT, Settings};
use crate::token_bucket::TrafficClass;
use crate::view::MemberState;

/// The member table (in `swim`) and the votes (in `quorum`). The parts don't depend on each other; operations that need several
/// of them are methods here.
pub(super) struct Replica {
    pub(super) context: Context,
    pub(super) swim: Swim,
    pub(super) quorum: Quorum,
}

impl Replica {
    pub(super) fn new(settings: Settings, seed: u64, now: Time) -> Replica {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let swim_rng = ChaCha8Rng::seed_from_u64(rng.random());
        let quorum = Quorum::new(&settings);
        let context = Context::new(settings, rng, now);
        let swim = Swim::new(&context, swim_rng, quorum.shared_votes());
        Replica {
            context,
            swim,
            quorum,
        }
    }

    pub(super) fn identity(&self) -> &Identity {
        self.swim.identity()
    }

    pub(super) fn own_hash(&self) -> ShortHash {
        identity_hash(self.identity())
    }

    pub(super) fn may_send(&mut self, class: TrafficClass) -> bool {
        self.context.may_send(class)
    }

    pub(super) fn send(&mut self, kind: MessageKind, to: SocketAddr, body: &[u8]) {
        let from = self.swim.identity();
        self.context.send_addressed(from, kind, to, body);
    }

    pub(super) fn send_anti_entropy(&mut self, to: SocketAddr, message: &Message) {
        let from = self.swim.identity();
        self.context.send_anti_entropy(from, to, message);
    }

    /// The maximum size in bytes of the body of an addressed message, so that the message fits into a packet.
    pub(super) fn max_body(&self) -> usize {
        max_body(self.identity())
    }

    /// Calls `read` with the read-only view of our state for anti-entropy.
    pub(super) fn with_local_state<T>(&self, read: impl FnOnce(LocalState<'_>) -> T) -> T {
        let votes = self.quorum.votes();
        let (table, sets) = (self.swim.table(), self.quorum.sets());
        let own_entry = self.swim.own_entry();
        read(LocalState::new(
            self.context.now,
            own_entry,
            table,
            &votes,
            sets,
        ))
    }

    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        self.swim.random_peer(&mut self.context.rng)
    }

    /// Carries out `foca`'s pending requests, then updates the member table and the quota divisor.
    pub(super) fn refresh(&mut self) {
        self.swim.drain(&mut self.context);
        self.refresh_table();
        let table = self.swim.table();
        self.quorum.recount_if_changed(&mut self.context, table);
    }

    fn refresh_table(&mut self) {
        let has_changed = self
            .swim
            .refresh_table(&mut self.context, &self.quorum.votes());
        if has_changed {
            let table = self.swim.table();
            self.quorum.recount(&mut self.context, table);
            self.quorum.schedule_decision(&mut self.context, table);
        }
    }

    pub(super) fn recount(&mut self) {
        let table = self.swim.table();
        self.quorum.recount(&mut self.context, table);
    }

    pub(super) fn apply_member_entries(&mut self, entries: &[MemberEntry]) {
        if self.swim.apply_entries(&mut self.context, entries) {
            self.refresh_table();
        }
    }

    pub(super) fn cast_vote(&mut self, leaves: bool) {
        let own_hash = self.own_hash();
        self.quorum.cast_vote(own_hash, leaves);
    }

    /// Broadcasts our vote with gossip, in addition to anti-entropy.
    pub(super) fn broadcast_vote(&mut self) {
        let own_hash = self.own_hash();
        if let Some(vote) = self.quorum.encode_broadcast(own_hash) {
            self.swim.broadcast(&vote);
        }
    }

    /// Requests learned state from up to [`FANOUT`] random members that are alive.
    pub(super) fn request_learned(&mut self) {
        let table = self.swim.table().iter();
        let mut alive: Vec<SocketAddr> = table
            .filter(|view| view.state == MemberState::Alive)
            .map(|view| view.member.address)
            .collect();
        for _ in 0..FANOUT.get().min(alive.len()) {
            let index = self.context.rng.random_range(0..alive.len());
            let peer = alive.swap_remove(index);
            self.send(MessageKind::LearnedRequest, peer, &[]);
        }
    }
}
