//! Which senders there are, and by how many of them a shared limit must be divided.
//!
//! Start at [`Members`]: packets and fired timers go in as [`Input`]; packets, timers and changes come out as [`Effect`]. The
//! crate uses no clock, socket, thread or file.
//!
//! Failure detection and gossip are SWIM's, implemented by the crate `foca`. This crate adds
//!
//! - authenticated packets with replay protection ([`seal`]),
//! - anti-entropy by digest ([`anti_entropy`], [`digest`]) over the [`member_table`] and the votes,
//! - votes on which members are down ([`vote`], [`down_sets`], [`voting`]),
//! - the number of senders that a shared limit is safely divided by ([`quota`]),
//! - a limit on the bytes that a member sends.

pub mod anti_entropy;
pub mod digest;
pub mod down_sets;
mod event;
mod identity;
pub mod member_entry;
pub mod member_table;
mod members;
pub mod quota;
mod replay;
pub mod seal;
mod settings;
mod timers;
mod token_bucket;
mod view;
pub mod vote;
mod vote_broadcast;
pub mod voting;

pub use event::{Effect, Input};
pub use identity::Identity;
pub use members::{MAX_LEARNED_PIECE, Members};
pub use seal::{DropReason, Key};
pub use settings::Settings;
pub use view::{State, View};
