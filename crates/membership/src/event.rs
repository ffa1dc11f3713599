//! The inputs and effects of [`crate::Members`].

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::seal::DropReason;
use crate::view::{State, View};

/// An input of [`crate::Members::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A packet arrived. Its source address is not needed: the sender is authenticated by the packet itself.
    PacketReceived(Vec<u8>),
    /// The time of the latest [`Effect::WakeAt`] has come.
    TimerFired,
    /// This sender is about to end: say so to the others and take part no longer.
    Leave,
    /// Replace the payload that is gossiped to all members. At most [`crate::vote::MAX_PAYLOAD`] bytes; a longer one is ignored.
    SetPayload(Vec<u8>),
    /// Ask a few live members for their learned state of destinations.
    RequestLearned,
    /// Send learned state to a member.
    SendLearned {
        /// The member's address.
        to: SocketAddr,
        /// The learned state in pieces of at most [`crate::MAX_LEARNED_PIECE`] bytes, one packet each.
        chunks: Vec<Vec<u8>>,
    },
}

/// An effect that [`crate::Members::step`] asks the caller to carry out, or an event that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a packet.
    Send {
        /// The destination's UDP address.
        to: SocketAddr,
        /// The sealed packet.
        bytes: Vec<u8>,
    },
    /// Pass in [`Input::TimerFired`] at this time. Replaces an earlier request.
    WakeAt(Time),
    /// A member is new, or its state has changed.
    Changed {
        /// The member as we see it now.
        view: View,
        /// Its state before; `None` for a member that was unknown.
        before: Option<State>,
    },
    /// The others had declared us down; we have rejoined.
    Rejoined {
        /// Our new incarnation.
        incarnation: u64,
    },
    /// This process was paused for so long; all timers were postponed by it.
    ProcessPaused(Duration),
    /// A member requests our learned state.
    LearnedRequested {
        /// The member's address.
        by: SocketAddr,
    },
    /// A member sent a piece of its learned state.
    LearnedReceived {
        /// The member's address.
        by: SocketAddr,
        /// The piece, as passed to [`Input::SendLearned`].
        piece: Vec<u8>,
    },
    /// A packet was dropped.
    Dropped(DropReason),
    /// Divide shared limits by this number of senders, ourselves included.
    ShareDivisor(u32),
}
