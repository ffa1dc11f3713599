//! The delivery decisions of a sender that forwards messages to destinations outside its control.
//!
//! The library does no I/O: a [`Scheduler`] is given the time and a batch of [`Event`]s, and returns the [`Action`]s to carry
//! out. It opens no socket, reads no clock and starts no thread; the same settings, seed and events always produce the same
//! actions. The types of its interface are in [`api`]; `docs/design.md` names the published design that it implements, and the
//! deviations from it.
//!
//! Modules depend only on modules below them:
//!
//! - `scheduler` reads events and returns actions;
//! - `acceptance`, `admission`, `dispatch`, `outcomes`, `expiry`, `wakeup`, `endpoint_list`, `learned_state` and `zones` make the
//!   decisions that depend on several components of the state;
//! - `state` holds the components: `endpoints`, `routes`, `messages`, `calls`, `ordering`, `idle_connections`, `tenant_quotas`
//!   and `discovery_polls`;
//! - `window`, `round_trip`, `demand`, `token_bucket`, `slow_start` and `health` track the load and health of one route;
//! - `indices` and `slots` hold the index types and the slot allocation that the tables share.

pub mod api;
pub mod profile;

mod acceptance;
mod admission;
mod calls;
mod demand;
mod discovery_polls;
mod dispatch;
mod endpoint_list;
mod endpoints;
mod expiry;
mod health;
mod idle_connections;
mod indices;
mod learned_state;
mod messages;
mod ordering;
mod outcomes;
mod round_trip;
mod routes;
mod scheduler;
mod slots;
mod slow_start;
mod state;
mod tenant_quotas;
mod token_bucket;
mod wakeup;
mod window;
mod zones;

pub use api::{Action, Event, Settings, SettingsError, Time};
pub use learned_state::{LearnedState, ObservedHealth};
pub use scheduler::Scheduler;
pub use window::Window;

#[doc = include_str!("../../../README.md")]
#[cfg(doctest)]
struct Readme;
