//! Who else sends: the members of the fleet, and how many of them a sender must leave room for.
//!
//! Start at [`Members`]: packets and due timers in ([`Input`]), packets, timers and changes out ([`Effect`]). It knows no
//! clock, socket, thread or file. SWIM itself is `foca`'s; here is what goes round it: sealed packets ([`seal`]), the exchange
//! of state by digest ([`anti_entropy`]), votes on who is down ([`vote`], [`voting`]), the bound on bytes ([`token_bucket`]), and the part of a
//! shared limit that is safe to take ([`quota`]).
#![forbid(unsafe_code)]

pub mod anti_entropy;
pub mod digest;
mod event;
mod identity;
pub mod member_table;
mod members;
pub mod quota;
pub mod seal;
mod settings;
pub mod token_bucket;
pub mod vote;
pub mod voting;

pub use event::{Effect, Input};
pub use identity::Identity;
pub use member_table::{State, View};
pub use members::{MAX_LEARNED_PIECE, Members};
pub use seal::DropReason;
pub use settings::{Key, Settings};
