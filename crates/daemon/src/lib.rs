//! The sender on sockets. [`reactor::Reactor`] is where to start: it carries out what `cranehill_core` asks for.
//! `clients`, `destinations`, `directory`, `final_report` and `webpush` each say how one peer speaks, without I/O.
#![forbid(unsafe_code)]

pub mod client_protocol;
pub mod config;
mod connection;
mod connection_index;
pub mod destination_protocol;
pub mod discovery_protocol;
pub mod final_report_protocol;
pub mod fleet;
mod handover;
pub mod http;
pub mod reactor;
mod state_file;
mod time_span;
pub mod watch;
pub mod webpush;
