//! Coming back: what a restarted sender may still use, from its own memory and from other members', at what age; in which
//! order it takes up what it owes; and when it is back in full. No clock, socket, thread or file.
//!
//! Start at [`Recovery`] (its states), [`Memory`] (what is learnt, with its age) and [`WorkQueue`] (the order). [`encode`] and
//! [`decode`] are how what is learnt travels and rests.
#![forbid(unsafe_code)]

mod memory;
mod pieces;
mod recovery;
mod work_queue;

pub use memory::{Bounds, Memory};
pub use pieces::{LEARNT_MOST, Unreadable, decode, encode, pack, unpack};
pub use recovery::{Recovery, Settings, Stage};
pub use work_queue::WorkQueue;
