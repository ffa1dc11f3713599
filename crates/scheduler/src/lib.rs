//! The decisions of a relay that hands messages on to destinations which nobody here controls.
//!
//! The library is sans-IO: a [`Scheduler`] is handed the time and a batch of [`Event`]s, and returns the
//! [`Action`]s to carry out. It opens no socket, reads no clock and starts no thread; the same settings,
//! seed and events always give the same actions. Every decision is in one module, `scheduler`; the types it
//! speaks in are in [`api`]. `docs/design.md` tells which published design it follows and where it departs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod profile;
mod scheduler;
mod state;

pub use api::{Action, Event, Settings, SettingsError, Time};
pub use scheduler::{LearnedState, ObservedHealth, Scheduler, Window};

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;
