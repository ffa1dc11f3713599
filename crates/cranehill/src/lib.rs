//! The sender round the decisions of [`tansycroft`]: a core that knows no wire, and its fronts and peers.
#![forbid(unsafe_code)]

pub mod cli;
pub mod clients;
pub mod closing;
pub mod config;
pub mod core;
pub mod directory;
pub mod http;
pub mod ledger;
mod link;
pub mod nginx;
pub mod partners;
pub mod reactor;
pub mod rehearsal;
pub mod webpush;
