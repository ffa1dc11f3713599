//! What the timers of the loop do.

use std::time::Duration;

use cranehill_simulation::fleet::Which;

use super::connection::ConnectionId;
use crate::timer_queue::TimerQueue;

/// What is due at some time.
#[derive(Clone, Debug, PartialEq, Eq)]
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

/// The timers of the loop, by the time since the scenario began.
pub(super) type Timers = TimerQueue<Duration, Timer>;
