//! The sender on sockets. [`reactor::Reactor`] is where to start: it carries out what `cranehill_core` asks for.
//! `clients`, `destinations`, `directory`, `final_report` and `webpush` each say how one peer speaks, without I/O.
#![forbid(unsafe_code)]

mod by_endpoint;
pub mod clients;
pub mod config;
pub mod destinations;
pub mod directory;
mod file;
pub mod final_report;
pub mod fleet;
mod handover;
pub mod http;
mod link;
pub mod reactor;
mod state_file;
pub mod watch;
pub mod webpush;
