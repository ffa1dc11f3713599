//! The sender on sockets. [`reactor::Reactor`] is where to start: it carries out what `cranehill_core` asks for.
//! `clients`, `destinations`, `directory`, `final_report` and `webpush` each say how one peer speaks, without I/O.

pub mod client_protocol;
mod clock;
pub mod config;
mod connection;
mod connection_index;
pub mod destination_protocol;
pub mod discovery_protocol;
pub mod final_report_protocol;
pub mod final_report_queue;
pub mod fleet;
mod handover;
pub mod http;
pub mod platform_settings;
pub mod reactor;
mod state_file;
mod time_span;
pub mod toml_file;
pub mod watch;
pub mod webpush;
