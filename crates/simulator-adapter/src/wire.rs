//! The simulator's protocol as serde types, and their conversion to and from the scheduler's types.

mod replies;
mod requests;

pub(crate) use replies::{Reply, SenderAction};
pub(crate) use requests::{
    Batch, Configure, EndpointList, EndpointRow, ListChanged, Request, SenderEvent,
};
