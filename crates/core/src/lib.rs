//! The state of a sender and the one reducer that changes it: [`Core::step`] takes an [`Input`] and returns the
//! [`Effect`]s that follow from it. It does no I/O and reads no clock.
//!
//! When and where a message is sent, and whether it is sent again, is decided by [`cranehill_scheduler::Scheduler`].
//! A tick has two steps: [`Input::TickEnded`] asks for the tick's [`Record`]s to be persisted, and only
//! [`Input::Persisted`] releases the answers, calls and reports that depend on them. So nothing is promised or sent that
//! the journal does not have.
//!
//! # Modules
//!
//! The reducer is the only module that knows all components; each of these owns its state and does not call back:
//!
//! - messages: those that are pending, with their order, the backlog, completed ids and final reports;
//! - endpoints: the list of discovery, and what operators have detached;
//! - the fleet: its members, the zones and the recovery;
//! - the outbox: records for the journal, and the effects that wait for them.

#[macro_use]
mod invariant;

mod backlog;
mod completed;
mod detached_endpoints;
mod detachments;
mod effect;
mod endpoint_list;
mod endpoints;
mod final_reports;
mod fleet;
mod input;
mod message;
mod messages;
pub mod mutation;
mod outbox;
mod outgoing_calls;
mod pending;
mod pending_message;
mod recovered;
mod recovery;
mod reducer;
mod submission_order;
mod zones;

pub use detachments::Detachments;
pub use effect::{Attempt, Effect, Record};
pub use endpoint_list::{EndpointList, ListUpdate};
pub use input::{AttemptOutcome, Input, Persisted};
pub use invariant::Violations;
pub use message::{Answer, Envelope, FinalReport, Listing, Message, Origin};
pub use reducer::Core;
