//! Failure detection and gossip by SWIM: passes messages and timers to `foca`, and carries out its requests.

use std::net::SocketAddr;

use cranehill_scheduler::Time;
use foca::{
    AccumulatingRuntime, Foca, Header, Member, Message, OwnedNotification, PostcardCodec, Timer,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::context::{self, Context};
use super::fleet_view::FleetView;
use super::packet_checks;
use crate::event::Effect;
use crate::identity::{Identity, UNKNOWN_INCARNATION};
use crate::member_entry::MemberEntry;
use crate::member_table::{MAX_ANNOUNCED_DOWN_TIME, MAX_MEMBERS, MemberTable};
use crate::seal::{DropReason, MessageKind};
use crate::settings::{FANOUT, GOSSIP_ROUNDS_PER_PERIOD};
use crate::token_bucket::TrafficClass;
use crate::vote::Votes;
use crate::vote_broadcast::{SharedVotes, VoteHandler};

/// The number of periods between two announcements to absent members: unknown seeds and members that are down.
const CONTACT_PERIODS: u32 = 2;
/// A member that has received no packet for more than this many periods may be isolated itself.
const MAX_SILENCE_PERIODS: u32 = 2;
/// A member that may be isolated declares no other down until it has received no packet for this many suspicion timeouts. By then
/// either its own packets don't arrive either, so that its suspicions have no effect on the others, or the others have stopped.
const MAX_ISOLATION_SUSPICION_TIMEOUTS: u32 = 4;

/// `foca`, with its pending requests and this member's view of the fleet.
pub(super) struct Swim {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, VoteHandler>,
    runtime: AccumulatingRuntime<Identity>,
    /// Our own SWIM incarnation, taken from the header of the latest SWIM message sent.
    swim_incarnation: u16,
    fleet_view: FleetView,
    /// When the latest valid packet of another member arrived.
    last_received: Time,
}

impl Swim {
    pub(super) fn new(context: &Context, rng: ChaCha8Rng, votes: SharedVotes) -> Swim {
        let settings = &context.settings;
        let identity = Identity {
            address: settings.address,
            incarnation: context.now_ms(),
            name: settings.name.clone(),
        };
        let config = settings.foca_config();
        let handler = VoteHandler(votes);
        Swim {
            foca: Foca::with_custom_broadcast(identity, config, rng, PostcardCodec, handler),
            runtime: AccumulatingRuntime::new(),
            swim_incarnation: 0,
            fleet_view: FleetView::default(),
            last_received: context.now,
        }
    }

    /// This member's identity, with its current incarnation.
    pub(super) fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    pub(super) fn own_entry(&self) -> MemberEntry {
        MemberEntry::alive(self.identity().clone(), self.swim_incarnation)
    }

    pub(super) fn table(&self) -> &MemberTable {
        self.fleet_view.table()
    }

    pub(super) fn expire_announcements(&mut self, now: Time) {
        self.fleet_view.expire_announcements(now);
    }

    /// See [`FleetView::active_changes`].
    pub(super) fn active_changes(&self) -> u64 {
        self.fleet_view.active_changes()
    }

    pub(super) fn random_peer(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let members = self.foca.num_members();
        if members == 0 {
            return None;
        }
        let index = rng.random_range(0..members);
        let member = self.foca.iter_members().nth(index);
        member.map(|member| member.id().address)
    }

    /// Records that a valid packet of another member arrived.
    pub(super) fn record_received(&mut self, now: Time) {
        self.last_received = now;
    }

    /// Whether a packet is addressed to an earlier incarnation of this member, so that its sender doesn't know the current one. If
    /// it is addressed to a later one, takes an incarnation above that.
    pub(super) fn is_for_earlier_incarnation(
        &mut self,
        context: &mut Context,
        destination: &Identity,
    ) -> bool {
        if destination.address != self.identity().address {
            return false;
        }
        if destination.incarnation > self.identity().incarnation {
            self.adopt_incarnation_above(context, destination.incarnation);
        }
        destination.incarnation != UNKNOWN_INCARNATION
            && destination.incarnation < self.identity().incarnation
    }

    /// Takes an incarnation above one that other members know of this one. That happens if the clock was set back between two
    /// starts, or if the state folder was copied from another member: the others would ignore our packets as those of an earlier
    /// incarnation.
    fn adopt_incarnation_above(&mut self, context: &mut Context, incarnation: u64) {
        let incarnation = incarnation + 1;
        let renewed = Identity {
            incarnation,
            ..self.identity().clone()
        };
        if self
            .foca
            .change_identity(renewed, &mut self.runtime)
            .is_ok()
        {
            context.report(Effect::Rejoined { incarnation });
        }
    }

    /// Passes a SWIM message to `foca`. `header` is its decoded header, `rest` the part after the header.
    pub(super) fn handle_message(
        &mut self,
        header: &Header<Identity>,
        rest: &[u8],
        message: &[u8],
    ) -> Result<(), DropReason> {
        let may_change_table = packet_checks::may_change_table(self.table(), header, rest);
        self.fleet_view.mark_stale_if(may_change_table);
        self.foca
            .handle_data(message, &mut self.runtime)
            .map_err(|_| DropReason::Malformed)
    }

    /// Rejects a packet that would exceed the maximum number of known members.
    pub(super) fn check_member_bound(
        &self,
        source: &Identity,
        rest: &[u8],
    ) -> Result<(), DropReason> {
        let stored = self.foca.iter_membership_state().len();
        packet_checks::check_member_bound(self.table(), stored, source, rest)
    }

    /// Whether to handle a member's anti-entropy messages: not if it is down or of an earlier incarnation, or if the table is full.
    /// A new member or incarnation is added as alive.
    pub(super) fn accept_peer(&mut self, from: &Identity) -> bool {
        match self.table().get(&from.address) {
            Some(view) if view.member.incarnation > from.incarnation => return false,
            Some(view) if view.member.incarnation == from.incarnation => {
                return view.state.is_active();
            }
            None if self.table().member_count() >= MAX_MEMBERS => return false,
            Some(_) | None => {}
        }
        self.fleet_view.mark_stale_if(true);
        let member = Member::alive(from.clone());
        self.foca
            .apply_many(std::iter::once(member), true, &mut self.runtime)
            .is_ok()
    }

    /// Applies those of another member's entries that are newer than our view. True if there are any, so that the table must be
    /// refreshed.
    pub(super) fn apply_entries(&mut self, context: &mut Context, entries: &[MemberEntry]) -> bool {
        let me = self.identity().clone();
        let mut updates = Vec::new();
        let mut known = self.table().member_count();
        for entry in entries {
            if entry.member.address == me.address && entry.member.incarnation > me.incarnation {
                self.adopt_incarnation_above(context, entry.member.incarnation);
                continue;
            }
            if !self.fleet_view.is_newer(entry, &me, &mut known)
                || entry.is_down() && entry.down_for() >= MAX_ANNOUNCED_DOWN_TIME
            {
                continue;
            }
            self.fleet_view
                .record_down_for(entry.member.address, entry.down_for());
            updates.push(entry.to_foca());
        }
        if updates.is_empty() {
            return false;
        }
        self.fleet_view.mark_stale_if(true);
        // Not gossiped: members that lack an update get it by their own comparisons.
        let _ = self
            .foca
            .apply_many(updates.into_iter(), false, &mut self.runtime);
        self.drain(context);
        true
    }

    pub(super) fn on_timer(&mut self, context: &mut Context, timer: Timer<Identity>) {
        if self.is_refuted(&timer) {
            return;
        }
        if matches!(timer, Timer::ChangeSuspectToDown { .. }) && self.may_be_isolated(context) {
            let retry_at = context.now + context.settings.probe_period;
            context
                .timers
                .schedule(retry_at, context::Timer::Swim(timer));
            return;
        }
        let may_change_table = !matches!(timer, Timer::SendIndirectProbe { .. });
        self.fleet_view.mark_stale_if(may_change_table);
        // `foca` returns an error for a timer out of order, and recovers from it by itself.
        let _ = self.foca.handle_timer(timer, &mut self.runtime);
        self.drain(context);
    }

    /// Whether a timer is the timeout of a suspicion that was refuted. For such a timer `foca` 2.0 leaves the member alive but still
    /// notifies it that it is down, so that it would rejoin in another incarnation without need.
    fn is_refuted(&self, timer: &Timer<Identity>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let is_suspect = self.foca.iter_membership_state().any(|member| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == foca::State::Suspect
        });
        !is_suspect
    }

    /// Whether this member may be isolated: able to send but not to receive. Its suspicions would then be wrong, and the other
    /// members would accept them.
    fn may_be_isolated(&self, context: &Context) -> bool {
        let silence = context.now - self.last_received;
        let settings = &context.settings;
        silence > settings.probe_period * MAX_SILENCE_PERIODS
            && silence < settings.suspicion_timeout() * MAX_ISOLATION_SUSPICION_TIMEOUTS
    }

    /// Sends a round of gossip if there are updates, and schedules the next one.
    pub(super) fn on_gossip_timer(&mut self, context: &mut Context) {
        let backlog = self.foca.updates_backlog() + self.foca.custom_broadcast_backlog();
        if backlog > 0 && context.may_send(TrafficClass::Gossip) {
            self.gossip();
            self.drain(context);
        }
        let next = context.now + context.settings.probe_period / GOSSIP_ROUNDS_PER_PERIOD;
        context.timers.schedule(next, context::Timer::Gossip);
    }

    /// Prepares a round of gossip regardless of the limit on sent bytes; [`Swim::drain`] sends it.
    pub(super) fn gossip(&mut self) {
        // Fails only if our own identity could not be encoded.
        let _ = self.foca.gossip(&mut self.runtime);
    }

    /// Adds an encoded vote to the broadcasts that are sent with gossip.
    pub(super) fn broadcast(&mut self, vote: &[u8]) {
        // Fails only if the vote is too long for a packet, which the limit on its payload prevents.
        let _ = self.foca.add_broadcast(vote);
    }

    /// Announces this member to absent ones: seeds that aren't known yet, and members that are down, which may have restarted or
    /// were only unreachable.
    pub(super) fn on_contact_timer(&mut self, context: &mut Context) {
        let mut absent = self.absent_members(context);
        // A member that knows no active member contacts several, and more often.
        let is_alone = self.foca.num_members() == 0;
        let (contacts, periods) = if is_alone {
            (FANOUT.get(), 1)
        } else {
            (1, CONTACT_PERIODS)
        };
        for _ in 0..contacts.min(absent.len()) {
            let member = absent.swap_remove(context.rng.random_range(0..absent.len()));
            // Fails only if our own identity could not be encoded.
            let _ = self.foca.announce(member, &mut self.runtime);
        }
        // Without jitter, all members would contact the seeds at the same time after a mass restart.
        let delay = context.settings.probe_period * periods;
        context.schedule_with_jitter(delay, context::Timer::ContactAbsent);
    }

    fn absent_members(&self, context: &Context) -> Vec<Identity> {
        let own_address = self.identity().address;
        let down = self.table().down().map(|(_, view)| view.member.clone());
        let unknown_seeds = context
            .settings
            .seeds
            .iter()
            .filter(|seed| self.table().get(seed).is_none())
            .map(|seed| Identity::unknown(*seed));
        down.chain(unknown_seeds)
            .filter(|member| member.address != own_address)
            .collect()
    }

    /// Announces that this member leaves the fleet.
    pub(super) fn leave(&mut self, context: &mut Context) {
        // Each round goes to newly chosen members. Only if all these packets are lost does the leave appear as a failure.
        for _ in 0..FANOUT.get() {
            self.gossip();
        }
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain(context);
    }

    /// Carries out `foca`'s pending requests: packets to send, timers to schedule, and notifications.
    pub(super) fn drain(&mut self, context: &mut Context) {
        while let Some((to, message)) = self.runtime.to_send() {
            let header = postcard::take_from_bytes::<Header<Identity>>(&message);
            let Ok((header, _)) = header else { continue };
            self.swim_incarnation = header.src_incarnation;
            // A list of members may be omitted under the limit: its receiver is in our table by now, and gets the same members by
            // anti-entropy.
            let is_list = header.message == Message::Feed;
            if !is_list || context.may_send(TrafficClass::Bulk) {
                context.send(MessageKind::Swim, to.address, &message);
            }
        }
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            if let Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } = &timer
            {
                self.fleet_view.accuse(member_id.address, *incarnation);
            }
            let at = context.now + delay;
            context.timers.schedule(at, context::Timer::Swim(timer));
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.fleet_view.mark_stale_if(true);
            if let OwnedNotification::Rejoin(me) = notification {
                context.report(Effect::Rejoined {
                    incarnation: me.incarnation,
                });
            }
        }
    }

    /// Updates the table from `foca`'s state, if that may have changed. True if the table has changed.
    pub(super) fn refresh_table(&mut self, context: &mut Context, votes: &Votes) -> bool {
        if !self.fleet_view.take_stale() {
            return false;
        }
        let members: Vec<&Member<Identity>> = self.foca.iter_membership_state().collect();
        let me = self.foca.identity();
        self.fleet_view.refresh(context, me, &members, votes)
    }

    /// See [`FleetView::notify_accused`].
    pub(super) fn notify_accused(&mut self, context: &mut Context) {
        let me = self.foca.identity();
        self.fleet_view.notify_accused(context, me);
    }
}
