//! The inputs and effects of [`crate::Members`].

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::seal::DropReason;
use crate::view::{MemberState, MemberView};

/// An input of [`crate::Members::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// A packet arrived. Its source address isn't needed: the packet contains its sender's identity and is authenticated.
    PacketReceived(Vec<u8>),
    /// The time of the latest [`Effect::WakeAt`] was reached. Also the first input after [`crate::Members::new`].
    TimerFired,
    /// This process is about to end: announce that to the other members. All later inputs are ignored.
    Leave,
    /// Replace the payload that this member broadcasts to all others. At most [`crate::vote::MAX_PAYLOAD_BYTES`] bytes; a longer
    /// one is ignored.
    SetPayload(Vec<u8>),
    /// Request the learned state of destinations from up to three live members, chosen at random.
    RequestLearnedState,
    /// Send learned state to a member, in answer to [`Effect::LearnedStateRequested`].
    SendLearnedState {
        /// The UDP address of the member that requested it.
        to: SocketAddr,
        /// The learned state in pieces of at most [`crate::MAX_LEARNED_PIECE_BYTES`] bytes, one packet each. Lost packets aren't
        /// sent again.
        chunks: Vec<Vec<u8>>,
    },
}

/// An action that [`crate::Members::step`] requests of the caller, or an event that it reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a UDP packet.
    Send {
        /// The UDP address of the receiving member.
        to: SocketAddr,
        /// The sealed packet, at most [`crate::seal::MAX_PACKET_BYTES`] bytes.
        bytes: Vec<u8>,
    },
    /// Pass [`Input::TimerFired`] to [`crate::Members::step`] at this time. Replaces an earlier request.
    WakeAt(Time),
    /// A member is new, has a new incarnation, or has changed its state.
    MemberChanged {
        /// The member in its new state.
        view: MemberView,
        /// Its previous state; `None` if the member was unknown.
        previous_state: Option<MemberState>,
    },
    /// This member has taken a new incarnation, because others had declared it down or knew a later incarnation of it.
    Rejoined {
        /// The new incarnation.
        incarnation: u64,
    },
    /// This process was paused for this long; all timers were postponed by the same time.
    ProcessPaused(Duration),
    /// A member requests this one's learned state; answer with [`Input::SendLearnedState`].
    LearnedStateRequested {
        /// The UDP address of the requesting member.
        by: SocketAddr,
    },
    /// A member sent a piece of its learned state.
    LearnedStateReceived {
        /// The UDP address of the member that sent it.
        by: SocketAddr,
        /// The piece, as passed to [`Input::SendLearnedState`].
        piece: Vec<u8>,
    },
    /// A received packet was dropped, for this reason.
    Dropped(DropReason),
    /// The quota divisor has changed: divide shared limits by this number of senders, this one included.
    QuotaDivisorChanged(u32),
}
