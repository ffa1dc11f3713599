//! Compares `foca`'s state of a member with our view of it.

use cranehill_scheduler::Time;

use crate::digest::identity_hash;
use crate::identity::Identity;
use crate::member_table::MemberTable;
use crate::view::{State, View};
use crate::vote::Votes;

/// A view that differs from the one in the table.
#[derive(Clone, Debug)]
pub(super) struct ViewChange {
    pub(super) view: View,
    /// False if only the SWIM incarnation or the name differs.
    pub(super) is_news: bool,
}

/// The new view of a member; `None` if the table has it already.
pub(super) fn changed_view(
    now: Time,
    table: &MemberTable,
    votes: &Votes,
    member: &foca::Member<Identity>,
) -> Option<ViewChange> {
    let identity = member.id();
    let previous = table
        .get(&identity.at)
        .filter(|view| view.member.incarnation == identity.incarnation);
    let has_left = || {
        let vote = votes.get(identity_hash(identity));
        previous.is_some_and(|view| view.state == State::Left)
            || vote.is_some_and(|vote| vote.leaves)
    };
    let state = match member.state() {
        foca::State::Alive => State::Alive,
        foca::State::Suspect => State::Suspect,
        foca::State::Down if has_left() => State::Left,
        foca::State::Down => State::Down,
    };
    let same_state = previous.filter(|view| view.state == state);
    let view = View {
        member: identity.clone(),
        swim_incarnation: member.incarnation(),
        state,
        since: same_state.map_or(now, |view| view.since),
    };
    if same_state == Some(&view) {
        return None;
    }
    Some(ViewChange {
        is_news: same_state.is_none(),
        view,
    })
}
