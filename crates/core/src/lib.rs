//! The state of a sender and the one reducer that changes it: [`Core::step`] takes an [`Input`] and returns the
//! [`Effect`]s that follow from it. It does no I/O and reads no clock.
//!
//! [`cranehill_scheduler::Scheduler`] decides when and where a message is sent, and whether it is sent again. A tick
//! has two steps: [`Input::TickEnded`] requests that the tick's [`Record`]s be persisted, and only [`Input::Persisted`]
//! returns the answers, calls and reports that depend on them. Thus no message is acknowledged or sent before the
//! journal has its record.
//!
//! # Modules
//!
//! The reducer is the only module that uses all components. Each component owns its state and does not call the
//! reducer:
//!
//! - messages: pending messages and their order, the backlog, completed ids and final reports;
//! - endpoints: the endpoint list of discovery, and the detachments by operators;
//! - fleet: members, zones and the recovery after a restart;
//! - outbox: records for the journal, and the effects that wait until these are written.

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
