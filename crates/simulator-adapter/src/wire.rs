//! The simulator's protocol as serde types, and their translation to and from the scheduler's own.

mod replies;
mod requests;

pub(crate) use replies::{Reply, SenderAction};
pub(crate) use requests::{Batch, Configure, Inventory, Request, Row, SenderEvent, Sync};
