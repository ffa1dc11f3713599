//! The timers of the event loop.

use std::time::Duration;

use cranehill_simulation::fleet::Which;

use super::connection::ConnectionId;
use crate::timer_queue::TimerQueue;

/// What to do when a timer is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    /// Messages are due to be submitted at `at`. The timer is ignored if an earlier one has replaced it.
    Arrival { at: Duration },
    /// A client's wait for the answer to the message `id` times out.
    ClientTimeout {
        connection: ConnectionId,
        id: String,
    },
    /// A message that could not be submitted, because no sender was reachable, counts as unanswered.
    Unrouted { id: String },
    /// A destination replies to a call.
    Reply {
        connection: ConnectionId,
        serial: u64,
    },
    /// The second copy of a reply arrives.
    SecondCopy {
        connection: ConnectionId,
        reply: Vec<u8>,
    },
    /// A destination closes a connection if it was last used at `last_used`.
    CloseIdle {
        connection: ConnectionId,
        last_used: Duration,
    },
    /// A pending watch of the directory is checked.
    Watch { connection: ConnectionId },
    /// The directory's list changes; index into the scenario's changes.
    ListChange(usize),
    /// A sender gets a signal; index into the scenario's signals.
    Signal(usize),
    /// A fault that resets an endpoint's connections starts or ends.
    FaultEdge { endpoint: usize },
    /// An outage of a destination ends.
    OutageEnd { destination: usize },
    /// The runner checks whether a sender has exited after SIGTERM, and kills it if it still runs at `kill_at`.
    AwaitExit { sender: usize, kill_at: Duration },
    /// The load balancer stops sending messages to a sender that got SIGTERM.
    StopRouting { sender: usize },
    /// A sender is started again.
    Start { sender: usize },
    /// An action on senders' processes is performed; index into the scenario's actions.
    FleetAction(usize),
    /// One of the two processes of an upgrade is killed.
    KillDuringUpgrade { sender: usize, which: Which },
    /// A stopped sender gets SIGCONT.
    Resume { sender: usize },
}

/// The timers of the event loop, by time since the start of the scenario.
pub(super) type Timers = TimerQueue<Duration, Timer>;
