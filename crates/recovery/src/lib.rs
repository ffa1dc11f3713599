//! Coming back: what a restarted sender may still use, from its own memory and from other members', at what age; in which
//! order it takes up what it owes; and when it is back in full. No clock, socket, thread or file.
//!
//! Start at [`Recovery`] (its states), [`Memory`] (what is learned, with its age) and [`WorkQueue`] (the order). [`encode`] and
//! [`decode`] are how what is learned travels and rests.
#![forbid(unsafe_code)]

mod chunks;
mod memory;
mod recovery;
mod work_queue;

pub use chunks::{MAX_LEARNED_STATE_BYTES, Unreadable, decode, encode, pack, unpack};
pub use memory::{Bounds, Memory};
pub use recovery::{Recovery, Settings, Stage};
pub use work_queue::WorkQueue;
