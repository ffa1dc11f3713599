//! The relay: one thread with a socket for each path, between every two senders (UDP) and between each sender and each
//! endpoint (TCP). It applies the scenario's network faults.
//!
//! The source address of a packet identifies its sender, the address that it was sent to its receiver: one socket for each
//! receiver serves all pairs. Packets arrive from the relay's address; members use what a packet contains, not its
//! source. A cut connection is silent, as when a machine is disconnected, and reset once the cut ends.

mod command;
mod connections;
mod handle;
mod packets;
mod pair;
mod traffic;
mod worker;

pub use handle::Relay;
pub use traffic::Passed;
