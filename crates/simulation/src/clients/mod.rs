//! The clients of a scenario: random arrivals, resubmissions, and the weight of delivered messages.
//!
//! The load is open: arrivals of new messages do not depend on how fast the sender answers, so a slow sender does not reduce
//! the load by which it is measured. Start at [`Clients`], which is made from a [`Load`].

mod load;
mod population;
mod sampler;
mod schedule;
mod submission;
mod weight;

pub use load::{Class, Hot, Load, Target, zipf};
pub use population::Clients;
pub use submission::{ClientAnswer, Origin, Submission};
