//! The share of a limit that all members together allow themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::timeline::Timeline;

/// A change of a member's part.
enum Change {
    /// It divides limits by this number of senders.
    Divides(u64),
    /// It stops.
    Leaves,
    /// It starts again, and divides by the number in its settings.
    Returns,
}

/// The largest share at any time, over the members that ran; 1.0 is the limit.
pub(crate) fn largest_share(timeline: &Timeline, members: usize) -> f64 {
    let mut divisors: Vec<Option<u64>> = vec![Some(members as u64); members];
    let mut divided_by: BTreeMap<u64, usize> = BTreeMap::from([(members as u64, members)]);
    let mut largest: f64 = 1.0;
    for (_, member, change) in changes(timeline, members) {
        let after = match change {
            Change::Divides(by) => divisors[member].map(|_| by.max(1)),
            Change::Leaves => None,
            Change::Returns => Some(members as u64),
        };
        if let Some(before) = std::mem::replace(&mut divisors[member], after)
            && let Some(count) = divided_by.get_mut(&before)
        {
            *count -= 1;
        }
        if let Some(after) = after {
            *divided_by.entry(after).or_default() += 1;
        }
        divided_by.retain(|_, count| *count > 0);
        // Summed by divisor: as many members as there are come to exactly one.
        let share = divided_by
            .iter()
            .map(|(by, count)| *count as f64 / *by as f64)
            .sum();
        largest = largest.max(share);
    }
    largest
}

fn changes(timeline: &Timeline, members: usize) -> Vec<(Duration, usize, Change)> {
    let reported = timeline
        .senders
        .iter()
        .map(|&(at, by, senders)| (at, by, Change::Divides(senders)));
    let mut changes: Vec<(Duration, usize, Change)> = reported.collect();
    for (&member, away) in &timeline.away {
        for &(removed, back) in away {
            changes.push((removed, member, Change::Leaves));
            changes.extend(back.map(|back| (back, member, Change::Returns)));
        }
    }
    changes.retain(|change| change.1 < members);
    changes.sort_by_key(|change| change.0);
    changes
}
