//! The timers of the loop, in the order in which they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cranehill_simulation::fleet::Which;

use super::connection::ConnectionId;

/// What is due at some time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Messages are due to be submitted; by `at` a timer that was replaced is known.
    Arrival { at: Duration },
    /// A client stops waiting for the answer to a message.
    ClientTimeout {
        connection: ConnectionId,
        id: String,
    },
    /// A message for which no sender was reachable counts as unanswered.
    Unrouted { id: String },
    /// The reply of a destination to a call.
    Reply {
        connection: ConnectionId,
        serial: u64,
    },
    /// A destination closes a connection that was last used at `used`.
    CloseIdle {
        connection: ConnectionId,
        used: Duration,
    },
    /// A held watch of the directory may have an answer.
    Watch { connection: ConnectionId },
    /// A change of the directory's list, by its index in the scenario.
    ListChange(usize),
    /// A signal to a sender, by its index in the scenario.
    Signal(usize),
    /// A fault that resets an endpoint's connections begins or ends.
    FaultEdge { endpoint: usize },
    /// An outage of a destination ends.
    OutageEnd { destination: usize },
    /// A sender that got SIGTERM is killed if it runs at `kill_at`.
    AwaitExit { sender: usize, kill_at: Duration },
    /// The load balancer stops sending connections to a sender that got SIGTERM.
    StopRouting { sender: usize },
    /// A sender is started again.
    Start { sender: usize },
    /// An action on senders' processes, by its index in the scenario.
    FleetAction(usize),
    /// One of the two processes of an upgrade is killed.
    KillDuringUpgrade { sender: usize, which: Which },
    /// A stopped sender continues.
    Resume { sender: usize },
}

/// Timers by time, and by insertion among those of one time.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    inserted: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    due: Duration,
    order: u64,
    timer: Timer,
}

impl TimerQueue {
    /// Adds a timer.
    pub(super) fn insert(&mut self, due: Duration, timer: Timer) {
        self.inserted += 1;
        self.entries.push(Reverse(Entry {
            due,
            order: self.inserted,
            timer,
        }));
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.entries.peek().map(|Reverse(entry)| entry.due)
    }

    /// The first timer that is due, with its time.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<(Duration, Timer)> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.due, entry.timer))
    }
}
