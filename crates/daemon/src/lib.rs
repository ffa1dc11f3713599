//! The daemon: one event loop that carries out the effects of `cranehill_core` on sockets and files.
//!
//! [`reactor::Reactor`] is the entry point: it owns the components with sockets, files and timers, and passes inputs and effects
//! between them and the core. [`client_protocol`], [`destination_protocol`], [`discovery_protocol`], [`final_report_protocol`],
//! [`http`] and [`webpush`] are codecs without I/O; [`config`] and [`fleet`] read the operators' files.

mod client_ingress;
mod client_memory;
pub mod client_protocol;
mod clock;
pub mod config;
mod config_reload;
mod connection;
mod connection_index;
mod connection_table;
pub mod destination_protocol;
mod discovery_client;
pub mod discovery_protocol;
mod drain;
pub mod final_report_protocol;
pub mod final_report_queue;
mod final_report_sender;
mod finished_call;
pub mod fleet;
mod fleet_endpoint;
mod fleet_log;
mod fleet_status;
pub mod framing;
mod handover;
mod handover_endpoint;
pub mod http;
mod journal_writer;
mod listeners;
mod operator_connections;
mod operator_protocol;
pub mod platform_settings;
pub mod reactor;
mod shutdown;
mod state_file;
mod state_store;
mod throttled_log;
mod time_span;
mod tokens;
pub mod toml_file;
mod upstream;
pub mod watch;
pub mod webpush;
