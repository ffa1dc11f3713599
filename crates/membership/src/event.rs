//! What [`crate::Members`] is told, and what it asks for.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::member_table::{State, View};
use crate::seal::DropReason;

/// What [`crate::Members`] is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A packet came. Where from does not matter: what counts is in it.
    PacketReceived(Vec<u8>),
    /// The time that [`Effect::WakeAt`] named has come.
    TimerFired,
    /// This sender is about to end.
    Leave,
    /// Tell all members this payload in place of the one before; [`crate::vote::MAX_PAYLOAD`] bytes at most, a longer one is not sent.
    SetPayload(Vec<u8>),
    /// Ask a few members for what they have learned of destinations.
    RequestLearned,
    /// Tell a member what was learned, in pieces of [`crate::MAX_LEARNED_PIECE`] bytes at most.
    SendLearned {
        to: SocketAddr,
        chunks: Vec<Vec<u8>>,
    },
}

/// What [`crate::Members`] asks for and tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    WakeAt(Time),
    /// A member is new, or not what it was.
    Changed {
        view: View,
        before: Option<State>,
    },
    /// Others held us to be down; we are back under this incarnation.
    Rejoined {
        incarnation: u64,
    },
    /// We were held up for so long; our timers moved by it.
    ProcessPaused(Duration),
    /// A member asks for what we have learned.
    LearnedRequested {
        by: SocketAddr,
    },
    /// A member told a piece of what it has learned.
    LearnedReceived {
        by: SocketAddr,
        piece: Vec<u8>,
    },
    /// A packet was dropped.
    Dropped(DropReason),
    /// Leave room for so many senders in all, ourselves included.
    ShareDivisor(u32),
}
