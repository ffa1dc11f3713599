//! Membership of a fleet of senders: which members are alive, and the number of senders that a shared limit is divided by.
//!
//! The entry point is [`Members`], a state machine: the caller passes received packets and fired timers as [`Input`], and
//! carries out the returned [`Effect`]s. The crate uses no clock, socket, thread or file.
//!
//! Failure detection and gossip follow SWIM (Das, Gupta and Motivala, 2002), implemented by the crate `foca`. This crate adds
//!
//! - authenticated packets with replay protection ([`seal`]),
//! - anti-entropy by digest ([`anti_entropy`], [`digest`]) over the [`member_table`] and the votes,
//! - votes on which members are down, replicated to all members ([`vote`], [`down_sets`], [`voting`]),
//! - the quota divisor: the number of senders that a shared limit is divided by ([`quota`]),
//! - a token bucket that limits the bytes that a member sends.

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
pub use members::{MAX_LEARNED_PIECE_BYTES, Members};
pub use seal::{DropReason, Key};
pub use settings::Settings;
pub use view::{MemberState, MemberView};
