//! The data types of the scheduler's interface: settings, events and actions.

mod actions;
mod endpoint_list;
mod events;
mod identifiers;
mod settings;
mod time;

pub use actions::Action;
pub use endpoint_list::{Condition, Entry};
pub use events::{AcceptedMessage, Event, LoadReport, Outcome, PriorAttempts, Status};
pub use identifiers::{DestinationId, EndpointId, MessageId, OrderingKey};
pub use settings::{
    Class, Decay, DedupScope, DestinationKind, Effect, Rules, Settings, SettingsError, Tenant,
};
pub use time::Time;
