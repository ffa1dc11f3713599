//! [`Members`]: the state machine of one member. Receives inputs and dispatches them to the parts in its submodules.

mod accusations;
mod anti_entropy;
mod context;
mod fleet_view;
mod packet_checks;
mod quorum;
mod replica;
mod set_requests;
mod swim;
mod view_changes;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use cranehill_scheduler::Time;
use foca::Header;

use crate::event::{Effect, Input};
use crate::identity::Identity;
use crate::replay::ReplayFilter;
use crate::seal::{self, DropReason, MAX_PACKET_BYTES, MessageKind};
use crate::settings::{GOSSIP_ROUNDS_PER_PERIOD, Settings};
use crate::token_bucket::TrafficClass;
use crate::view::MemberView;
use crate::vote::MAX_PAYLOAD_BYTES;
use anti_entropy::{AntiEntropy, compare_with, compare_with_random_peers};
use context::Timer;
use replica::Replica;

/// The maximum size in bytes of a piece of learned state, so that it fits into a packet with its sender and receiver.
pub const MAX_LEARNED_PIECE_BYTES: usize = 1024;

/// One member of the fleet, with its view of the others: a state machine without I/O. [`Members::step`] handles one input at a
/// time.
pub struct Members {
    replica: Replica,
    anti_entropy: AntiEntropy,
    replay_filter: ReplayFilter,
    dropped: BTreeMap<DropReason, u64>,
    /// Whether this member has announced that it leaves. It ignores all inputs from then on.
    has_left: bool,
}

impl fmt::Debug for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Members")
            .field("me", self.identity())
            .field("table", self.replica.swim.table())
            .finish_non_exhaustive()
    }
}

impl Members {
    /// Creates a member that starts with the first [`Input::TimerFired`], which the caller must pass in at once. `seed` seeds its
    /// random numbers. `now` must be wall-clock time: it becomes the incarnation and the time of sending in packets.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Members {
        let period = settings.probe_period;
        let mut replica = Replica::new(settings, seed, now);
        let timers = &mut replica.context.timers;
        timers.schedule(now, Timer::ContactAbsent);
        timers.schedule(now + period, Timer::AntiEntropy);
        timers.schedule(now + period / GOSSIP_ROUNDS_PER_PERIOD, Timer::Gossip);
        Members {
            replica,
            anti_entropy: AntiEntropy::new(now),
            replay_filter: ReplayFilter::default(),
            dropped: BTreeMap::new(),
            has_left: false,
        }
    }

    /// This member's identity, with its current incarnation.
    pub fn identity(&self) -> &Identity {
        self.replica.identity()
    }

    /// The views of all other known members, including those that are down or have left, in the order of their addresses.
    pub fn views(&self) -> impl Iterator<Item = &MemberView> {
        self.replica.swim.table().iter()
    }

    /// The newest payload of each other active member, with its address; empty for a member without one.
    pub fn payloads(&self) -> Vec<(SocketAddr, Vec<u8>)> {
        let votes = self.replica.quorum.votes();
        let payload_of = |member| votes.get(member).map(|vote| vote.payload.clone());
        self.replica
            .swim
            .table()
            .active()
            .map(|(hash, view)| (view.member.address, payload_of(hash).unwrap_or_default()))
            .collect()
    }

    /// A counter that grows whenever the result of [`Members::payloads`] may have changed.
    pub fn payloads_version(&self) -> u64 {
        let payload_changes = self.replica.quorum.votes().payload_changes();
        self.replica.swim.active_changes() + payload_changes
    }

    /// The quota divisor: the number of senders to divide shared limits by, this one included.
    pub fn quota_divisor(&self) -> u32 {
        self.replica.quorum.divisor()
    }

    /// The number of received packets dropped since the start, by reason.
    pub fn dropped_packets(&self) -> impl Iterator<Item = (DropReason, u64)> {
        self.dropped.iter().map(|(&reason, &count)| (reason, count))
    }

    /// Handles an input and returns the effects for the caller to carry out, in order. If `now` is earlier than in a previous call,
    /// the latest time passed in counts instead. After [`Input::Leave`] inputs have no effect.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Effect> {
        let context = &mut self.replica.context;
        context.now = context.now.max(now);
        if !self.has_left {
            self.handle(input);
            self.replica.refresh();
        }
        self.replica.context.take_effects()
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::PacketReceived(bytes) => {
                if let Err(reason) = self.receive(&bytes) {
                    *self.dropped.entry(reason).or_default() += 1;
                    self.replica.context.report(Effect::Dropped(reason));
                }
            }
            Input::TimerFired => {
                self.replica.context.timers.wakeup_fired();
                self.run_timers();
            }
            Input::Leave => self.leave(),
            Input::SetPayload(payload) => self.set_payload(payload),
            Input::RequestLearnedState => self.replica.request_learned(),
            Input::SendLearnedState { to, chunks } => {
                for piece in chunks {
                    self.replica.send(MessageKind::LearnedReply, to, &piece);
                }
            }
        }
    }

    fn receive(&mut self, bytes: &[u8]) -> Result<(), DropReason> {
        if bytes.len() > MAX_PACKET_BYTES {
            return Err(DropReason::TooLong);
        }
        let context = &self.replica.context;
        let settings = &context.settings;
        let max_age_ms = settings.max_packet_age.as_millis() as u64;
        let opened = seal::open(&settings.key, context.now_ms(), max_age_ms, bytes)?;
        let (number, message) = (opened.number, opened.message);
        match opened.kind {
            MessageKind::Swim => self.receive_swim(number, message),
            MessageKind::LearnedRequest => {
                let (from, _) = self.accept_addressed(number, message)?;
                let event = Effect::LearnedStateRequested { by: from.address };
                self.replica.context.report(event);
                Ok(())
            }
            MessageKind::LearnedReply => {
                let (from, piece) = self.accept_addressed(number, message)?;
                self.replica.context.report(Effect::LearnedStateReceived {
                    by: from.address,
                    piece: piece.to_vec(),
                });
                Ok(())
            }
            MessageKind::AntiEntropy => {
                let (from, body) = self.accept_addressed(number, message)?;
                self.anti_entropy.receive(&mut self.replica, &from, body)
            }
        }
    }

    fn receive_swim(&mut self, number: u64, message: &[u8]) -> Result<(), DropReason> {
        let (header, rest) = postcard::take_from_bytes::<Header<Identity>>(message)
            .map_err(|_| DropReason::Malformed)?;
        self.replay_filter.accept(&header.src, number)?;
        let Replica { context, swim, .. } = &mut self.replica;
        swim.check_member_bound(&header.src, rest)?;
        swim.record_received(context.now);
        let is_for_earlier_incarnation = swim.is_for_earlier_incarnation(context, &header.dst);
        let handled = swim.handle_message(&header, rest, message);
        // An anti-entropy comparison sends our current incarnation to a sender that doesn't know it yet.
        if is_for_earlier_incarnation && self.replica.may_send(TrafficClass::Bulk) {
            compare_with(&mut self.replica, header.src.address);
        }
        handled
    }

    /// Decodes the sender and receiver at the start of a message and checks them. Returns the sender and the body that follows.
    fn accept_addressed<'a>(
        &mut self,
        number: u64,
        message: &'a [u8],
    ) -> Result<(Identity, &'a [u8]), DropReason> {
        let ((from, to), body) = postcard::take_from_bytes::<(Identity, SocketAddr)>(message)
            .map_err(|_| DropReason::Malformed)?;
        self.replay_filter.accept(&from, number)?;
        if to != self.identity().address || from.address == to {
            return Err(DropReason::Malformed);
        }
        let now = self.replica.context.now;
        self.replica.swim.record_received(now);
        Ok((from, body))
    }

    fn run_timers(&mut self) {
        self.postpone_timers_after_pause();
        while let Some(timer) = self.next_due_timer() {
            let Replica { context, swim, .. } = &mut self.replica;
            match timer {
                Timer::Swim(timer) => swim.on_timer(context, timer),
                Timer::ContactAbsent => swim.on_contact_timer(context),
                Timer::Gossip => swim.on_gossip_timer(context),
                Timer::AntiEntropy => self.anti_entropy.on_timer(&mut self.replica),
                Timer::Vote => self.on_vote_timer(),
            }
        }
    }

    fn next_due_timer(&mut self) -> Option<Timer> {
        let context = &mut self.replica.context;
        context.timers.pop_due(context.now)
    }

    /// Postpones all timers if this process was stopped or got no processor time for longer than a period. Answers that arrived in
    /// the meantime are still unread, so the timers would suspect members that did answer (Lifeguard, section IV-A).
    fn postpone_timers_after_pause(&mut self) {
        let context = &mut self.replica.context;
        let Some(first_at) = context.timers.next_at() else {
            return;
        };
        let pause = context.now - first_at;
        if pause > context.settings.probe_period {
            context.timers.postpone_all(pause);
            context.report(Effect::ProcessPaused(pause));
        }
    }

    fn on_vote_timer(&mut self) {
        let own_hash = self.replica.own_hash();
        let Replica {
            context,
            swim,
            quorum,
        } = &mut self.replica;
        if quorum.on_vote_timer(context, swim.table(), own_hash) {
            self.anti_entropy.expect_difference();
            compare_with_random_peers(&mut self.replica);
        }
    }

    fn set_payload(&mut self, payload: Vec<u8>) {
        if payload.len() > MAX_PAYLOAD_BYTES || payload == self.replica.quorum.payload() {
            return;
        }
        self.replica.quorum.set_payload(payload);
        self.anti_entropy.cast_vote(&mut self.replica, false);
        self.replica.broadcast_vote();
        // The members' decisions depend on each other's payloads, so a change is sent immediately instead of with the next round.
        self.replica.swim.gossip();
    }

    fn leave(&mut self) {
        self.anti_entropy.cast_vote(&mut self.replica, true);
        self.replica.broadcast_vote();
        self.replica.swim.leave(&mut self.replica.context);
        self.replica.context.timers.clear();
        self.has_left = true;
    }
}
