//! The command line, start-up and logging of the program `cranehill`, and the tools that come with the sender.

pub mod capacity;
pub mod check;
pub mod cli;
pub mod configuration;
pub mod crash_test;
pub mod fleet_test;
pub mod import_nginx;
pub mod input;
pub mod journal;
pub mod logging;
pub mod measure;
pub mod nginx;
mod progress;
pub mod push_script;
pub mod rehearse;
pub mod serve;
pub mod simulated;
pub mod simulated_server;
mod sync;
pub mod verdict;
