//! Coming back: what a restarted sender may still use, from its own memory and from other members', at what age; in which
//! order it takes up what it owes; and when it is back in full. No clock, socket, thread or file.
//!
//! Start at [`Recovery`] (its states), [`LearnedStateCache`] (what is learned, with its age) and [`WorkQueue`] (the order). [`encode`] and
//! [`decode`] are how what is learned travels and rests.
#![forbid(unsafe_code)]

mod chunks;
mod learned_state_cache;
mod recovery;
mod work_queue;

pub use chunks::{MAX_LEARNED_STATE_BYTES, Unreadable, decode, encode, pack, unpack};
pub use learned_state_cache::{Bounds, LearnedStateCache};
pub use recovery::{Phase, Recovery, Settings};
pub use work_queue::WorkQueue;
