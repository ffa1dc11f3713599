//! The part of [`Members`] that drives `foca`: probes, suspicions and gossip.

use std::time::Duration;

use foca::{Header, Member, Message, OwnedNotification, Timer};
use rand::RngExt;

use super::{CALL_PERIODS, DEAF_SUSPICIONS, Due, Members};
use crate::event::Effect;
use crate::member_table::{MAX_MEMBERS, MemberEntry, State, View};
use crate::seal::{DropReason, Kind};
use crate::settings::{FANOUT, GOSSIPS_PER_PERIOD};
use crate::token_bucket::TrafficClass;
use crate::{Identity, anti_entropy};

/// Members that learn of a suspicion and tell the suspect, on average.
const ANNOUNCE_SUSPECT: f64 = 8.0;

impl Members {
    pub(super) fn receive_swim(&mut self, number: u64, message: &[u8]) -> Result<(), DropReason> {
        let (header, rest) = postcard::take_from_bytes::<Header<Identity>>(message)
            .map_err(|_| DropReason::Unreadable)?;
        self.replays
            .accept(header.src.at, header.src.incarnation, number)?;
        self.refuse_beyond_bound(&header.src, rest)?;
        self.last_heard = self.now;
        let me = self.me();
        let ours = header.dst.at == me.at;
        if ours && header.dst.incarnation > me.incarnation {
            self.rise_above(header.dst.incarnation);
        }
        let earlier =
            ours && header.dst.incarnation != 0 && header.dst.incarnation < self.me().incarnation;
        self.views_stale |= self.may_announce_changes(&header, rest);
        let taken = self
            .foca
            .handle_data(message, &mut self.runtime)
            .map_err(|_| DropReason::Unreadable);
        // It speaks to an earlier incarnation of ours, so it doesn't know this one.
        if earlier && self.token_bucket.allows(self.now, TrafficClass::Bulk) {
            self.compare_with(header.src.at);
        }
        taken
    }

    /// Our clock was set back between two incarnations, or our folder is another's: the others would hold what we say for
    /// something of the past.
    pub(super) fn rise_above(&mut self, incarnation: u64) {
        let incarnation = incarnation + 1;
        let risen = Identity {
            incarnation,
            ..self.me().clone()
        };
        if self.foca.change_identity(risen, &mut self.runtime).is_ok() {
            self.effects.push(Effect::Rejoined { incarnation });
        }
    }

    /// Whether a packet may change what we hold of anybody.
    fn may_announce_changes(&self, header: &Header<Identity>, rest: &[u8]) -> bool {
        let updates = rest
            .first_chunk::<2>()
            .is_some_and(|tally| *tally != [0, 0]);
        let known = self.views.get(&header.src.at).is_some_and(|view| {
            view.state == State::Alive
                && view.member == header.src
                && view.swim_incarnation >= header.src_incarnation
        });
        updates || !known || matches!(header.message, Message::TurnUndead)
    }

    /// Drops a packet that would have us know more than the bound.
    fn refuse_beyond_bound(&self, source: &Identity, rest: &[u8]) -> Result<(), DropReason> {
        let held = self.foca.iter_membership_state().len();
        // No packet tells of more than a thousand members.
        if held + 1000 < MAX_MEMBERS {
            return Ok(());
        }
        let Some((tally, mut rest)) = rest.split_first_chunk::<2>() else {
            return Ok(());
        };
        let mut unknown = usize::from(self.views.get(&source.at).is_none());
        for _ in 0..u16::from_be_bytes(*tally) {
            let (member, after) = postcard::take_from_bytes::<Member<Identity>>(rest)
                .map_err(|_| DropReason::Unreadable)?;
            unknown += usize::from(self.views.get(&member.id().at).is_none());
            rest = after;
        }
        if held + unknown > MAX_MEMBERS && unknown > 0 {
            Err(DropReason::TooMany)
        } else {
            Ok(())
        }
    }

    pub(super) fn swim_due(&mut self, timer: Timer<Identity>) {
        if self.is_over(&timer) {
            return;
        }
        if matches!(timer, Timer::ChangeSuspectToDown { .. }) && self.is_deaf() {
            return self.at(self.now + self.set.period, Due::Swim(timer));
        }
        self.views_stale |= !matches!(timer, Timer::SendIndirectProbe { .. });
        // Its errors tell of timers out of order, from which it recovers by itself.
        let _ = self.foca.handle_timer(timer, &mut self.runtime);
        self.drain_runtime();
    }

    /// A suspicion that was refuted. `foca` 2.0 leaves such a member alive but tells it all the same that it is down, upon
    /// which it would come back under another incarnation for nothing.
    fn is_over(&self, timer: &Timer<Identity>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation: swim_incarnation,
            ..
        } = timer
        else {
            return false;
        };
        !self.foca.iter_membership_state().any(|m| {
            m.id() == member_id
                && m.incarnation() == *swim_incarnation
                && m.state() == foca::State::Suspect
        })
    }

    /// Whether it may well be us who are cut off. One whose ears alone are cut would else have its accusations believed.
    fn is_deaf(&self) -> bool {
        let silence = self.now - self.last_heard;
        silence > self.set.period * 2 && silence < self.set.suspicion() * DEAF_SUSPICIONS
    }

    pub(super) fn gossip_due(&mut self) {
        let some = self.foca.updates_backlog() + self.foca.custom_broadcast_backlog() > 0;
        if some && self.token_bucket.allows(self.now, TrafficClass::Gossip) {
            let _ = self.foca.gossip(&mut self.runtime);
            self.drain_runtime();
        }
        self.at(self.now + self.set.period / GOSSIPS_PER_PERIOD, Due::Gossip);
    }

    /// Speaks to one who should be there and is not: a seed not met yet, or a member that is down and may be back, or was
    /// only out of sight.
    pub(super) fn contact_absent(&mut self) {
        let me = self.me().at;
        let down = self
            .views
            .iter()
            .filter(|v| !v.state.is_active())
            .map(|v| v.member.clone());
        let seeds = self
            .set
            .seeds
            .iter()
            .filter(|at| self.views.get(at).is_none());
        let mut absent: Vec<Identity> =
            down.chain(seeds.map(|at| Identity::unknown(*at))).collect();
        absent.retain(|m| m.at != me);
        // Alone, it is worth asking more of them.
        let alone = self.foca.num_members() == 0;
        for _ in 0..if alone { FANOUT.get() } else { 1 } {
            if absent.is_empty() {
                break;
            }
            let one = absent.swap_remove(self.rng.random_range(0..absent.len()));
            // Fails only if we could not be written down ourselves.
            let _ = self.foca.announce(one, &mut self.runtime);
        }
        // Not all at the same moment: after a mass restart the seeds would be asked by everybody at once.
        self.after(
            self.set.period * if alone { 1 } else { CALL_PERIODS },
            Due::Call,
        );
    }

    pub(super) fn leave(&mut self) {
        self.cast_vote(true);
        self.broadcast_vote();
        // Each goes to three members chosen anew: all must be lost for our end to look like a failure.
        for _ in 0..FANOUT.get() {
            let _ = self.foca.gossip(&mut self.runtime);
        }
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime();
        self.left = true;
        self.timers.clear();
    }

    /// Takes what `foca` asked for.
    pub(super) fn drain_runtime(&mut self) {
        while let Some((to, message)) = self.runtime.to_send() {
            let header = postcard::take_from_bytes::<Header<Identity>>(&message);
            let Ok((header, _)) = header else { continue };
            self.swim_incarnation = header.src_incarnation;
            // A list is worth no more than what the exchange brings; whoever asked for it is known to us by now.
            let list = header.message == Message::Feed;
            if !list || self.token_bucket.allows(self.now, TrafficClass::Bulk) {
                self.seal(Kind::Swim, to.at, &message);
            }
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if let Timer::ChangeSuspectToDown {
                member_id,
                incarnation: swim_incarnation,
                ..
            } = &timer
            {
                self.accused.insert(member_id.at, *swim_incarnation);
            }
            self.at(self.now + after, Due::Swim(timer));
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.views_stale = true;
            if let OwnedNotification::Rejoin(me) = notification {
                self.effects.push(Effect::Rejoined {
                    incarnation: me.incarnation,
                });
            }
        }
    }

    /// Compares the views with what `foca` holds, if that may have changed.
    pub(super) fn refresh_views(&mut self) {
        if !std::mem::take(&mut self.views_stale) {
            return;
        }
        let changed = self.changed_views();
        let forgotten = self.foca.iter_membership_state().len() < self.views.len();
        if changed.is_empty() && !forgotten {
            self.down_for.clear();
            return;
        }
        for (view, quiet) in changed {
            let down_for = self
                .down_for
                .get(&view.member.at)
                .copied()
                .unwrap_or_default();
            if !quiet {
                self.note_change(&view);
            }
            self.views.set(self.now, view, down_for);
        }
        self.down_for.clear();
        if forgotten {
            self.forget_removed();
        }
        self.recount();
        self.look_at_down();
    }

    /// Views that are no longer what `foca` holds; true where only the incarnation differs.
    fn changed_views(&self) -> Vec<(View, bool)> {
        let votes = super::lock(&self.votes);
        let me = self.me().at;
        let mut changed = Vec::new();
        for member in self
            .foca
            .iter_membership_state()
            .filter(|m| m.id().at != me)
        {
            let (id, swim_incarnation) = (member.id(), member.incarnation());
            let before = self
                .views
                .get(&id.at)
                .filter(|v| v.member.incarnation == id.incarnation);
            let left = || {
                before.is_some_and(|v| v.state == State::Left)
                    || votes
                        .get(crate::digest::identity_hash(id))
                        .is_some_and(|vote| vote.leaves)
            };
            let state = match member.state() {
                foca::State::Alive => State::Alive,
                foca::State::Suspect => State::Suspect,
                foca::State::Down if left() => State::Left,
                foca::State::Down => State::Down,
            };
            let quiet = before.is_some_and(|v| v.state == state);
            if before
                .is_some_and(|v| quiet && v.swim_incarnation == swim_incarnation && v.member == *id)
            {
                continue;
            }
            let since = before.filter(|_| quiet).map_or(self.now, |v| v.since);
            changed.push((
                View {
                    member: id.clone(),
                    swim_incarnation,
                    state,
                    since,
                },
                quiet,
            ));
        }
        changed
    }

    fn note_change(&mut self, view: &View) {
        let before = self.views.get(&view.member.at);
        let same = before.is_some_and(|b| {
            b.member.incarnation == view.member.incarnation
                && b.state.is_active() == view.state.is_active()
        });
        self.active_changes += u64::from(!same);
        let before = before.map(|v| v.state);
        self.effects.push(Effect::Changed {
            view: view.clone(),
            before,
        });
        if view.state != State::Suspect {
            self.accused.remove(&view.member.at);
            return;
        }
        let share = ANNOUNCE_SUSPECT / (self.views.len().max(1) as f64);
        if self.rng.random_bool(share.min(1.0)) {
            self.announce_suspect(view.clone());
        }
    }

    fn forget_removed(&mut self) {
        let held: std::collections::BTreeSet<_> = self
            .foca
            .iter_membership_state()
            .map(|m| m.id().at)
            .collect();
        let removed: Vec<_> = self
            .views
            .iter()
            .map(|v| v.member.at)
            .filter(|at| !held.contains(at))
            .collect();
        removed.iter().for_each(|at| self.views.remove(at));
    }

    /// Tells those whom our own probes missed that they are suspected, as long as they are.
    pub(super) fn notify_accused(&mut self) {
        let suspect = |view: &&View| {
            view.state == State::Suspect
                && self.accused.get(&view.member.at) == Some(&view.swim_incarnation)
        };
        let accused = self.accused.keys().filter_map(|at| self.views.get(at));
        let suspects: Vec<View> = accused.filter(suspect).cloned().collect();
        self.accused
            .retain(|at, _| suspects.iter().any(|v| v.member.at == *at));
        suspects
            .into_iter()
            .for_each(|view| self.announce_suspect(view));
    }

    fn announce_suspect(&mut self, view: View) {
        let to = view.member.at;
        let row = MemberEntry {
            member: view.member,
            swim_incarnation: view.swim_incarnation,
            state: 1,
            down_for: 0,
        };
        let entries = anti_entropy::Entries {
            members: vec![row],
            ..Default::default()
        };
        self.send_exchange(to, &anti_entropy::Message::Entries(entries));
    }
}

/// How long a row's member has been down.
pub(super) fn down_for(row: &MemberEntry) -> Duration {
    Duration::from_secs(u64::from(row.down_for))
}
