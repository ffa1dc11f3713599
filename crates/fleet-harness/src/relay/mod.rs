//! A network relay on one thread, which applies the scenario's network faults. It relays UDP packets between members, and TCP
//! connections from each sender to each endpoint.
//!
//! The source address of a packet identifies the member that sent it, and the address to which it was sent identifies the
//! receiver, so one socket for each receiver serves all pairs. Packets arrive from the relay's address; members identify each
//! other by a packet's content and not by its source. A cut connection carries no bytes, as when a machine is disconnected, and
//! is reset when the cut ends.

mod command;
mod connections;
mod handle;
mod packets;
mod pair;
mod traffic;
mod worker;

pub use handle::Relay;
pub use traffic::RelayTraffic;
