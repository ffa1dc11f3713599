//! Compares `foca`'s state of a member with the view of it in the member table.

use cranehill_scheduler::Time;

use crate::digest::identity_hash;
use crate::identity::Identity;
use crate::member_table::MemberTable;
use crate::view::{MemberState, MemberView};
use crate::vote::Votes;

/// A member's new view, which differs from the one in the member table.
#[derive(Clone, Debug)]
pub(super) struct ViewChange {
    pub(super) view: MemberView,
    /// Whether the state or the incarnation differs; false if only the SWIM incarnation or the name does.
    pub(super) is_state_change: bool,
}

/// The new view of a member; `None` if it is the same as in the table. A down member counts as left if it announced that.
pub(super) fn changed_view(
    now: Time,
    table: &MemberTable,
    votes: &Votes,
    member: &foca::Member<Identity>,
) -> Option<ViewChange> {
    let identity = member.id();
    let previous = table
        .get(&identity.address)
        .filter(|view| view.member.incarnation == identity.incarnation);
    let has_left = || {
        let vote = votes.get(identity_hash(identity));
        previous.is_some_and(|view| view.state == MemberState::Left)
            || vote.is_some_and(|vote| vote.leaves)
    };
    let state = match member.state() {
        foca::State::Alive => MemberState::Alive,
        foca::State::Suspect => MemberState::Suspect,
        foca::State::Down if has_left() => MemberState::Left,
        foca::State::Down => MemberState::Down,
    };
    let same_state = previous.filter(|view| view.state == state);
    let view = MemberView {
        member: identity.clone(),
        swim_incarnation: member.incarnation(),
        state,
        since: same_state.map_or(now, |view| view.since),
    };
    if same_state == Some(&view) {
        return None;
    }
    Some(ViewChange {
        is_state_change: same_state.is_none(),
        view,
    })
}
