//! Checks on SWIM messages before `foca` handles them. `rest` is the part of a message after its header: the number of updates as
//! two bytes, big-endian, then the updates, then broadcast votes.

use foca::{Header, Member, Message};

use crate::identity::Identity;
use crate::member_table::{MAX_MEMBERS, MemberTable};
use crate::seal::DropReason;
use crate::view::MemberState;

/// More updates than fit into a packet. While the table has room for this many members, no packet needs to be checked.
const MAX_UPDATES_PER_PACKET: usize = 1000;

/// Whether a packet may change the member table. It can't if it has no updates, doesn't notify this member that it is down
/// (`TurnUndead`), and its sender is alive in the table with the same identity and at least the same SWIM incarnation.
pub(super) fn may_change_table(
    table: &MemberTable,
    header: &Header<Identity>,
    rest: &[u8],
) -> bool {
    let update_count = rest.first_chunk::<2>();
    let has_updates = update_count.is_some_and(|count| *count != [0, 0]);
    let is_known = table.get(&header.src.address).is_some_and(|view| {
        view.state == MemberState::Alive
            && view.member == header.src
            && view.swim_incarnation >= header.src_incarnation
    });
    has_updates || !is_known || matches!(header.message, Message::TurnUndead)
}

/// Rejects a packet whose unknown members, with the `stored` ones that `foca` has, would exceed [`MAX_MEMBERS`].
pub(super) fn check_member_bound(
    table: &MemberTable,
    stored: usize,
    source: &Identity,
    rest: &[u8],
) -> Result<(), DropReason> {
    if stored + MAX_UPDATES_PER_PACKET < MAX_MEMBERS {
        return Ok(());
    }
    let Some((update_count, mut rest)) = rest.split_first_chunk::<2>() else {
        return Ok(());
    };
    let is_unknown = |member: &Identity| table.get(&member.address).is_none();
    let mut unknown = usize::from(is_unknown(source));
    for _ in 0..u16::from_be_bytes(*update_count) {
        let (update, after) = postcard::take_from_bytes::<Member<Identity>>(rest)
            .map_err(|_| DropReason::Malformed)?;
        unknown += usize::from(is_unknown(update.id()));
        rest = after;
    }
    if unknown > 0 && stored + unknown > MAX_MEMBERS {
        return Err(DropReason::TooManyMembers);
    }
    Ok(())
}
