//! Parses a sender's settings from JSON.

use std::fmt;

use cranehill_scheduler::api::Settings;
use cranehill_scheduler::profile::Profile;
use serde_json::Value;

/// The scheduler or the reducer rejected settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct InvalidSettings {
    reason: String,
}

impl InvalidSettings {
    pub(crate) fn new(reason: impl fmt::Display) -> InvalidSettings {
        InvalidSettings {
            reason: reason.to_string(),
        }
    }
}

/// Parses the scheduler's settings from a JSON settings object.
pub(crate) fn parse_settings(settings: Value) -> Result<Settings, InvalidSettings> {
    let profile: Profile = serde_json::from_value(settings).map_err(InvalidSettings::new)?;
    profile.into_settings().map_err(InvalidSettings::new)
}
