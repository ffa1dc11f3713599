//! The clients of a scenario: arrivals drawn from a load, resubmissions after rejections, and their patience.
//!
//! The load is open: when a message is submitted does not depend on how fast the sender answers, so a slow sender does not
//! slow down its own measurement. Start at [`Clients`], which is made from a [`Load`].

mod load;
mod population;
mod sampler;
mod schedule;
mod submission;
mod weight;

pub use load::{Class, Hot, Load, Target, zipf};
pub use population::Clients;
pub use submission::{ClientAnswer, Origin, Submission};
