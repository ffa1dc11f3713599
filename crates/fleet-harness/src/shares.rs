//! The sum of all members' shares of a shared limit. A member's share is the limit divided by the member's quota divisor.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::timeline::Timeline;

/// A change of one member's share.
enum Change {
    /// The member's quota divisor changed to this number of senders.
    DivisorChanged(u64),
    /// The member ended or was suspended, and has no share.
    Stopped,
    /// The member runs again. Its quota divisor is the number of senders in its settings.
    Restarted,
}

/// The largest sum of the running members' shares at any time; 1.0 is the whole limit.
pub(crate) fn largest_share(timeline: &Timeline, members: usize) -> f64 {
    let mut divisors: Vec<Option<u64>> = vec![Some(members as u64); members];
    let mut members_by_divisor: BTreeMap<u64, usize> = BTreeMap::from([(members as u64, members)]);
    let mut largest: f64 = 1.0;
    for (_, member, change) in changes(timeline, members) {
        let after = match change {
            Change::DivisorChanged(by) => divisors[member].map(|_| by.max(1)),
            Change::Stopped => None,
            Change::Restarted => Some(members as u64),
        };
        if let Some(before) = std::mem::replace(&mut divisors[member], after)
            && let Some(count) = members_by_divisor.get_mut(&before)
        {
            *count -= 1;
        }
        if let Some(after) = after {
            *members_by_divisor.entry(after).or_default() += 1;
        }
        members_by_divisor.retain(|_, count| *count > 0);
        // Summed by divisor, so that n members that divide by n add up to exactly 1.0 without rounding errors.
        let share = members_by_divisor
            .iter()
            .map(|(by, count)| *count as f64 / *by as f64)
            .sum();
        largest = largest.max(share);
    }
    largest
}

/// All members' changes, ordered by time.
fn changes(timeline: &Timeline, members: usize) -> Vec<(Duration, usize, Change)> {
    let divisor_changes = timeline
        .senders
        .iter()
        .map(|&(at, by, senders)| (at, by, Change::DivisorChanged(senders)));
    let mut changes: Vec<(Duration, usize, Change)> = divisor_changes.collect();
    for (&member, absences) in &timeline.absences {
        for &(stopped, restarted) in absences {
            changes.push((stopped, member, Change::Stopped));
            changes.extend(restarted.map(|restarted| (restarted, member, Change::Restarted)));
        }
    }
    changes.retain(|change| change.1 < members);
    changes.sort_by_key(|change| change.0);
    changes
}
