//! The state of the sender and its one reducer. [`Core::step`] is the only place where state changes; what
//! is to be read or written in consequence is returned as effects. It knows no wire, socket, file or clock.
//!
//! Decisions (when, where, whether again, when to give up) are [`cranehill_scheduler::Scheduler`]'s alone. A turn goes in
//! two steps: [`Input::TickEnded`] asks for the turn's records to be kept, and only [`Input::Persisted`] lets out
//! what depends on them: answers, calls and reports. So nothing is promised or sent that the journal lacks.
//!
//! Start at [`Core`], [`Input`] and [`Effect`]; [`Record`] is what the journal keeps.
#![forbid(unsafe_code)]

#[macro_use]
mod invariant;

mod backlog;
mod detach;
mod effect;
mod ended;
mod ends;
mod input;
mod list;
mod listed;
mod message;
pub mod mutation;
mod order;
mod pending;
mod recovery;
mod reducer;
mod turn;
mod zones;

pub use detach::Detachments;
pub use effect::{Attempt, Effect, Record};
pub use input::{AttemptOutcome, Input, Persisted};
pub use list::{EndpointList, ListUpdate};
pub use message::{Answer, Envelope, FinalReport, Listing, Message, Origin};
pub use reducer::{Core, Violations};
