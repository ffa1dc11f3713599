//! Failure detection and gossip: drives `foca`.

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
use crate::member_table::{MAX_DOWN_ANNOUNCEMENT, MAX_MEMBERS, MemberTable};
use crate::seal::{DropReason, Kind};
use crate::settings::{FANOUT, GOSSIP_ROUNDS_PER_PERIOD};
use crate::token_bucket::TrafficClass;
use crate::vote::Votes;
use crate::vote_broadcast::{SharedVotes, VoteHandler};

/// Periods between two announcements to members that should be present and aren't.
const CONTACT_PERIODS: u32 = 2;
/// A member that has received nothing for this many periods may be cut off itself.
const MAX_SILENT_PERIODS: u32 = 2;
/// A member that may be cut off itself declares nobody down until it has received nothing for this many suspicion timeouts:
/// then it is alone and nobody receives its packets either, or the others have ended.
const CUT_OFF_SUSPICIONS: u32 = 4;

/// `foca`, with its requests and our view of the fleet.
pub(super) struct Swim {
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, VoteHandler>,
    runtime: AccumulatingRuntime<Identity>,
    /// Our own SWIM incarnation, as of the latest packet.
    swim_incarnation: u16,
    view: FleetView,
    /// When a packet of the fleet arrived last.
    last_received: Time,
}

impl Swim {
    pub(super) fn new(context: &Context, rng: ChaCha8Rng, votes: SharedVotes) -> Swim {
        let settings = &context.settings;
        let identity = Identity {
            at: settings.at,
            incarnation: context.now_ms(),
            name: settings.name.clone(),
        };
        let config = settings.foca_config();
        let handler = VoteHandler(votes);
        Swim {
            foca: Foca::with_custom_broadcast(identity, config, rng, PostcardCodec, handler),
            runtime: AccumulatingRuntime::new(),
            swim_incarnation: 0,
            view: FleetView::default(),
            last_received: context.now,
        }
    }

    /// Ourselves, in our present incarnation.
    pub(super) fn identity(&self) -> &Identity {
        self.foca.identity()
    }

    pub(super) fn own_entry(&self) -> MemberEntry {
        MemberEntry::alive(self.identity().clone(), self.swim_incarnation)
    }

    pub(super) fn table(&self) -> &MemberTable {
        self.view.table()
    }

    pub(super) fn expire_announcements(&mut self, now: Time) {
        self.view.expire_announcements(now);
    }

    /// A counter that grows with each change of which members are active.
    pub(super) fn active_changes(&self) -> u64 {
        self.view.active_changes()
    }

    pub(super) fn random_peer(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let members = self.foca.num_members();
        if members == 0 {
            return None;
        }
        let index = rng.random_range(0..members);
        let member = self.foca.iter_members().nth(index);
        member.map(|member| member.id().at)
    }

    /// A packet of the fleet arrived.
    pub(super) fn note_received(&mut self, now: Time) {
        self.last_received = now;
    }

    /// Checks which incarnation of ours a packet is for. True if its sender doesn't know the present one yet.
    pub(super) fn is_for_earlier_incarnation(
        &mut self,
        context: &mut Context,
        destination: &Identity,
    ) -> bool {
        if destination.at != self.identity().at {
            return false;
        }
        if destination.incarnation > self.identity().incarnation {
            self.rise_above(context, destination.incarnation);
        }
        destination.incarnation != UNKNOWN_INCARNATION
            && destination.incarnation < self.identity().incarnation
    }

    /// Takes an incarnation above one that others know of us. Our clock was set back between two starts, or our state folder is
    /// another member's: the others would ignore our packets as those of an earlier incarnation.
    fn rise_above(&mut self, context: &mut Context, incarnation: u64) {
        let incarnation = incarnation + 1;
        let risen = Identity {
            incarnation,
            ..self.identity().clone()
        };
        if self.foca.change_identity(risen, &mut self.runtime).is_ok() {
            context.report(Effect::Rejoined { incarnation });
        }
    }

    /// Has `foca` handle a packet's message, of which `rest` follows the header.
    pub(super) fn handle_message(
        &mut self,
        header: &Header<Identity>,
        rest: &[u8],
        message: &[u8],
    ) -> Result<(), DropReason> {
        let may_change_table = packet_checks::may_change_table(self.table(), header, rest);
        self.view.mark_stale_if(may_change_table);
        self.foca
            .handle_data(message, &mut self.runtime)
            .map_err(|_| DropReason::Unreadable)
    }

    /// Rejects a packet that would exceed the bound on known members.
    pub(super) fn check_member_bound(
        &self,
        source: &Identity,
        rest: &[u8],
    ) -> Result<(), DropReason> {
        let stored = self.foca.iter_membership_state().len();
        packet_checks::check_member_bound(self.table(), stored, source, rest)
    }

    /// Whether to answer a member's anti-entropy messages. One that isn't known yet is added.
    pub(super) fn admit(&mut self, from: &Identity) -> bool {
        match self.table().get(&from.at) {
            Some(view) if view.member.incarnation > from.incarnation => return false,
            Some(view) if view.member.incarnation == from.incarnation => {
                return view.state.is_active();
            }
            None if self.table().len() >= MAX_MEMBERS => return false,
            Some(_) | None => {}
        }
        self.view.mark_stale_if(true);
        let member = Member::alive(from.clone());
        self.foca
            .apply_many(std::iter::once(member), true, &mut self.runtime)
            .is_ok()
    }

    /// Applies the newer ones of another member's entries. True if there are any: the table must be refreshed.
    pub(super) fn apply_entries(&mut self, context: &mut Context, entries: &[MemberEntry]) -> bool {
        let me = self.identity().clone();
        let mut updates = Vec::new();
        let mut known = self.table().len();
        for entry in entries {
            if entry.member.at == me.at && entry.member.incarnation > me.incarnation {
                self.rise_above(context, entry.member.incarnation);
                continue;
            }
            if !self.view.is_news(entry, &me, &mut known)
                || entry.is_down() && entry.down_for() >= MAX_DOWN_ANNOUNCEMENT
            {
                continue;
            }
            self.view.note_down_for(entry.member.at, entry.down_for());
            updates.push(entry.to_foca());
        }
        if updates.is_empty() {
            return false;
        }
        self.view.mark_stale_if(true);
        // Not gossiped: members that lack an update find out by their own comparisons.
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
        if matches!(timer, Timer::ChangeSuspectToDown { .. }) && self.may_be_cut_off(context) {
            let retry_at = context.now + context.settings.period;
            context
                .timers
                .schedule(retry_at, context::Timer::Swim(timer));
            return;
        }
        let may_change_table = !matches!(timer, Timer::SendIndirectProbe { .. });
        self.view.mark_stale_if(may_change_table);
        // Its errors report timers out of order, from which it recovers by itself.
        let _ = self.foca.handle_timer(timer, &mut self.runtime);
        self.drain(context);
    }

    /// Whether a timer is for a suspicion that was refuted. `foca` 2.0 leaves such a member alive but notifies it all the same
    /// that it is down, so that it would rejoin in another incarnation for nothing.
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

    /// Whether it may be us who are cut off. The others would believe a member that can send but not receive.
    fn may_be_cut_off(&self, context: &Context) -> bool {
        let silence = context.now - self.last_received;
        let settings = &context.settings;
        silence > settings.period * MAX_SILENT_PERIODS
            && silence < settings.suspicion() * CUT_OFF_SUSPICIONS
    }

    /// Sends a round of gossip if there are updates, and schedules the next one.
    pub(super) fn on_gossip_timer(&mut self, context: &mut Context) {
        let backlog = self.foca.updates_backlog() + self.foca.custom_broadcast_backlog();
        if backlog > 0 && context.may_send(TrafficClass::Gossip) {
            self.gossip();
            self.drain(context);
        }
        let next = context.now + context.settings.period / GOSSIP_ROUNDS_PER_PERIOD;
        context.timers.schedule(next, context::Timer::Gossip);
    }

    /// Prepares a round of gossip, whatever the byte limit; [`Swim::drain`] sends it.
    pub(super) fn gossip(&mut self) {
        // Fails only if our own identity could not be encoded.
        let _ = self.foca.gossip(&mut self.runtime);
    }

    /// Has a vote spread with the gossip.
    pub(super) fn broadcast(&mut self, vote: &[u8]) {
        // Fails only if the vote is too long for a packet, which its bounds exclude.
        let _ = self.foca.add_broadcast(vote);
    }

    /// Announces ourselves to members that should be present and aren't: seeds that we haven't met yet, and down members, which
    /// may have returned or were only out of reach.
    pub(super) fn on_contact_timer(&mut self, context: &mut Context) {
        let mut absent = self.absent_members(context);
        // A member that is alone contacts several, and more often.
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
        // With jitter: after a mass restart all members would contact the seeds at once.
        let delay = context.settings.period * periods;
        context.schedule_with_jitter(delay, context::Timer::ContactAbsent);
    }

    fn absent_members(&self, context: &Context) -> Vec<Identity> {
        let own_address = self.identity().at;
        let down = self.table().down().map(|(_, view)| view.member.clone());
        let unknown_seeds = context
            .settings
            .seeds
            .iter()
            .filter(|seed| self.table().get(seed).is_none())
            .map(|seed| Identity::unknown(*seed));
        down.chain(unknown_seeds)
            .filter(|member| member.at != own_address)
            .collect()
    }

    /// Announces our end.
    pub(super) fn leave(&mut self, context: &mut Context) {
        // Each round goes to newly chosen members: only if all are lost, our end looks like a failure.
        for _ in 0..FANOUT.get() {
            self.gossip();
        }
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain(context);
    }

    /// Carries out what `foca` requested: packets, timers and notifications.
    pub(super) fn drain(&mut self, context: &mut Context) {
        while let Some((to, message)) = self.runtime.to_send() {
            let header = postcard::take_from_bytes::<Header<Identity>>(&message);
            let Ok((header, _)) = header else { continue };
            self.swim_incarnation = header.src_incarnation;
            // A list of members may be left out: its receiver is known to us by now, and gets the same by anti-entropy.
            let is_list = header.message == Message::Feed;
            if !is_list || context.may_send(TrafficClass::Bulk) {
                context.send(Kind::Swim, to.at, &message);
            }
        }
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            if let Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } = &timer
            {
                self.view.accuse(member_id.at, *incarnation);
            }
            let at = context.now + delay;
            context.timers.schedule(at, context::Timer::Swim(timer));
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.view.mark_stale_if(true);
            if let OwnedNotification::Rejoin(me) = notification {
                context.report(Effect::Rejoined {
                    incarnation: me.incarnation,
                });
            }
        }
    }

    /// Updates the table from `foca`'s state, if that may have changed. True if the table has changed.
    pub(super) fn refresh_table(&mut self, context: &mut Context, votes: &Votes) -> bool {
        if !self.view.take_stale() {
            return false;
        }
        let members: Vec<&Member<Identity>> = self.foca.iter_membership_state().collect();
        let me = self.foca.identity();
        self.view.refresh(context, me, &members, votes)
    }

    /// Notifies those whom our own probes missed of the suspicion, as long as they are suspects.
    pub(super) fn notify_accused(&mut self, context: &mut Context) {
        let me = self.foca.identity();
        self.view.notify_accused(context, me);
    }
}
