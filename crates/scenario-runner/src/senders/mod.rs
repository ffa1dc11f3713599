//! Senders under test: their processes, and the files that configure them.

mod configuration;
mod events;
mod fleet;
mod process;
mod web_push;

#[cfg(test)]
mod tests;

pub(crate) use configuration::{configuration, listed_rate};
pub(crate) use events::{EventSink, ProcessEvent, ProcessEventKind};
pub(crate) use fleet::FleetSettings;
pub(crate) use process::Process;
pub(crate) use web_push::{PushService, web_push_file};
