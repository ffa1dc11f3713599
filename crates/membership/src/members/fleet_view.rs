//! This member's view of the fleet: updates the member table from `foca`'s state, and notifies suspects.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use foca::Member;
use rand::RngExt;

use super::accusations::Accusations;
use super::context::Context;
use super::view_changes::{ViewChange, changed_view};
use crate::anti_entropy::{Entries, Message};
use crate::event::Effect;
use crate::identity::Identity;
use crate::member_entry::MemberEntry;
use crate::member_table::{MAX_MEMBERS, MemberTable};
use crate::view::{MemberState, MemberView};
use crate::vote::Votes;

/// The average number of members that notify a suspect when they learn of its suspicion.
const SUSPECT_NOTIFIERS: f64 = 8.0;

/// The member table, with the state needed to refresh it and to notify suspects.
#[derive(Default)]
pub(super) struct FleetView {
    table: MemberTable,
    /// Whether `foca`'s state may have changed since the table was refreshed.
    is_stale: bool,
    /// How long each member has been down, as reported by other members since the table was last refreshed.
    down_for: BTreeMap<SocketAddr, Duration>,
    /// The members that this member's own probes made suspect; they are notified until the suspicion ends.
    accusations: Accusations,
    /// The number of times that a member became active or inactive, or returned in another incarnation.
    active_changes: u64,
}

impl FleetView {
    pub(super) fn table(&self) -> &MemberTable {
        &self.table
    }

    /// A counter that grows with each change to the set of active members or their incarnations.
    pub(super) fn active_changes(&self) -> u64 {
        self.active_changes
    }

    pub(super) fn expire_announcements(&mut self, now: Time) {
        self.table.expire_announcements(now);
    }

    /// Marks the table as stale if `may_have_changed` is true: `foca`'s state may have changed.
    pub(super) fn mark_stale_if(&mut self, may_have_changed: bool) {
        self.is_stale |= may_have_changed;
    }

    /// Returns whether the table is stale, and marks it as up to date, since the caller refreshes it.
    pub(super) fn take_stale(&mut self) -> bool {
        std::mem::take(&mut self.is_stale)
    }

    /// Stores how long a member has been down, as reported by another member, until the next refresh.
    pub(super) fn record_down_for(&mut self, address: SocketAddr, down_for: Duration) {
        self.down_for.insert(address, down_for);
    }

    /// Records that this member's own probes made another one suspect.
    pub(super) fn accuse(&mut self, address: SocketAddr, swim_incarnation: u16) {
        self.accusations.add(address, swim_incarnation);
    }

    /// Whether an entry is newer than our view, so that it must be passed to `foca`. `known_members` counts the members in the table
    /// and the unknown members in the same message; unknown members beyond [`MAX_MEMBERS`] are not accepted.
    pub(super) fn is_newer(
        &self,
        entry: &MemberEntry,
        me: &Identity,
        known_members: &mut usize,
    ) -> bool {
        if entry.member.address == me.address {
            // `foca` must learn that others consider this incarnation suspect or down: it refutes that, or rejoins.
            return entry.member.incarnation == me.incarnation && !entry.is_alive();
        }
        if let Some(view) = self.table.get(&entry.member.address) {
            return MemberEntry::of(view, Duration::ZERO).rank() < entry.rank();
        }
        *known_members += 1;
        *known_members <= MAX_MEMBERS
    }

    /// Updates the table from `foca`'s members, and reports changes of state. True if the table has changed.
    pub(super) fn refresh(
        &mut self,
        context: &mut Context,
        me: &Identity,
        members: &[&Member<Identity>],
        votes: &Votes,
    ) -> bool {
        let reported_down = std::mem::take(&mut self.down_for);
        let changes: Vec<ViewChange> = members
            .iter()
            .filter(|member| member.id().address != me.address)
            .filter_map(|member| changed_view(context.now, &self.table, votes, member))
            .collect();
        // `foca` removes a member some time after it went down.
        let has_removals = members.len() < self.table.member_count();
        let has_changed = has_removals || !changes.is_empty();
        for ViewChange {
            view,
            is_state_change,
        } in changes
        {
            if is_state_change {
                self.report_change(context, me, &view);
            }
            let down_for = reported_down.get(&view.member.address).copied();
            self.table
                .update(context.now, view, down_for.unwrap_or_default());
        }
        if has_removals {
            self.remove_members_not_in(members);
        }
        has_changed
    }

    fn report_change(&mut self, context: &mut Context, me: &Identity, view: &MemberView) {
        let previous = self.table.get(&view.member.address);
        let is_same = previous.is_some_and(|previous| {
            previous.member.incarnation == view.member.incarnation
                && previous.state.is_active() == view.state.is_active()
        });
        self.active_changes += u64::from(!is_same);
        context.report(Effect::MemberChanged {
            view: view.clone(),
            previous_state: previous.map(|previous| previous.state),
        });
        if view.state != MemberState::Suspect {
            self.accusations.remove(&view.member.address);
            return;
        }
        let probability = SUSPECT_NOTIFIERS / (self.table.member_count().max(1) as f64);
        if context.rng.random_bool(probability.min(1.0)) {
            notify_suspect(context, me, view);
        }
    }

    /// Removes the members from the table that are not among `foca`'s `members`.
    fn remove_members_not_in(&mut self, members: &[&Member<Identity>]) {
        let stored: BTreeSet<SocketAddr> =
            members.iter().map(|member| member.id().address).collect();
        let removed: Vec<SocketAddr> = self
            .table
            .iter()
            .map(|view| view.member.address)
            .filter(|address| !stored.contains(address))
            .collect();
        for address in &removed {
            self.table.remove(address);
        }
    }

    /// Notifies the members that our own probes made suspect and that are still suspect.
    pub(super) fn notify_accused(&mut self, context: &mut Context, me: &Identity) {
        for view in self.accusations.retain_pending(&self.table) {
            notify_suspect(context, me, &view);
        }
    }
}

/// Sends a suspect its own entry, so that it can refute the suspicion.
fn notify_suspect(context: &mut Context, me: &Identity, view: &MemberView) {
    let entries = Entries {
        members: vec![MemberEntry::of(view, Duration::ZERO)],
        ..Entries::default()
    };
    context.send_anti_entropy(me, view.member.address, &Message::Entries(entries));
}
