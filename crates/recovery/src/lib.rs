//! Recovery after a restart: which learned state a sender may still use, its own or that of other members; in which order
//! it sends the messages of its earlier process; and when it is back in full service. No I/O, and no clock.
//!
//! Start at [`Recovery`] (the phases), [`LearnedStateCache`] (learned state and its age) and [`WorkQueue`] (the order).
//! [`encode`] and [`decode`] are for packets between members, [`pack`] and [`unpack`] for the state file.

mod encoding;
mod learned_state_cache;
mod recovery;
mod work_queue;

pub use encoding::{DecodeError, MAX_LEARNED_STATE_BYTES, decode, encode, pack, unpack};
pub use learned_state_cache::{Bounds, LearnedStateCache};
pub use recovery::{Phase, Recovery, Settings};
pub use work_queue::WorkQueue;
