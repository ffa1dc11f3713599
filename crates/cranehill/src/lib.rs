//! The binary's parts: the command line and the tools that come with the sender.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod cli;
pub mod crash_test;
pub mod fleet_test;
pub mod journal;
pub mod logging;
pub mod nginx;
pub mod rehearsal;
pub mod rehearse;
pub mod simulated;
