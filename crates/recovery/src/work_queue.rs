//! What an earlier process took on, in the order in which it is taken up again: by destination, first what can go out for the shortest
//! time, be that to its deadline or to the end of its window for repeats.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_scheduler::Time;

/// Of each destination so many may be in the hands of the decisions and not yet sent: one that goes, and one that follows.
const IN_HAND: usize = 2;
/// All are in hand after so long, whatever the decisions do with them: where a destination is asked for more than it takes, they
/// prefer fresh ones, and what is owed would else wait here until its time is over.
const ALL_WITHIN: Duration = Duration::from_secs(5);
/// Whatever the pace, a message is handed over with this part of its time left: where deadlines or windows are short, a fixed time
/// before them would leave no time for a try, and neither would all of the time above.
const LEFT_LEAST: u32 = 2;

#[derive(Debug, Default)]
struct DestinationQueue {
    waiting: BTreeSet<(Time, String)>,
    in_hand: BTreeSet<String>,
    /// All that there were, and those handed over.
    all: usize,
    submitted: usize,
}

/// See the module's text.
#[derive(Debug)]
pub struct WorkQueue {
    since: Time,
    lines: BTreeMap<u64, DestinationQueue>,
}

impl WorkQueue {
    /// Of a sender that came back then.
    pub fn new(since: Time) -> WorkQueue {
        WorkQueue {
            since,
            lines: BTreeMap::new(),
        }
    }

    /// Adds one that may go out until `last_chance`.
    pub fn add(&mut self, destination: u64, last_chance: Time, id: String) {
        let line = self.lines.entry(destination).or_default();
        line.all += usize::from(line.waiting.insert((last_chance, id)));
    }

    /// This one has been sent, or has ended: another of its destination's may follow.
    pub fn moved(&mut self, destination: u64, id: &str) {
        if let Some(line) = self.lines.get_mut(&destination) {
            line.in_hand.remove(id);
        }
    }

    /// Those to be handed to the decisions now, in order.
    pub fn release(&mut self, now: Time) -> Vec<String> {
        let mut all = Vec::new();
        let passed = (now - self.since).as_secs_f64() / ALL_WITHIN.as_secs_f64();
        for line in self.lines.values_mut() {
            while let Some((last_chance, _)) = line.waiting.first() {
                let behind = (line.submitted as f64) < line.all as f64 * passed;
                if line.in_hand.len() >= IN_HAND
                    && !behind
                    && now < latest(self.since, *last_chance)
                {
                    break;
                }
                line.submitted += 1;
                let Some((_, id)) = line.waiting.pop_first() else {
                    break;
                };
                line.in_hand.insert(id.clone());
                all.push(id);
            }
        }
        self.lines
            .retain(|_, l| !l.waiting.is_empty() || !l.in_hand.is_empty());
        all
    }

    /// When one must be handed over at the latest.
    pub fn due(&self) -> Option<Time> {
        let firsts = self.lines.values().filter_map(|l| l.waiting.first());
        firsts
            .map(|(last_chance, _)| latest(self.since, *last_chance))
            .min()
    }

    /// Messages not handed over yet.
    pub fn waiting(&self) -> usize {
        self.lines.values().map(|l| l.waiting.len()).sum()
    }
}

/// When a message that may go out until then is handed over at the latest, by a sender that came back at `since`.
fn latest(since: Time, last_chance: Time) -> Time {
    since + ((last_chance - since) / LEFT_LEAST).min(ALL_WITHIN)
}
