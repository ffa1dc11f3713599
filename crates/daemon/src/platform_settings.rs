//! The settings of the platform's deployment, and the names by which the protocols refer to their entries.

use std::collections::HashMap;

use cranehill_scheduler::api::Settings;
use cranehill_scheduler::profile::Names;

/// The settings of the platform's deployment, with the names by which the protocols refer to their entries.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The scheduler's settings.
    pub settings: Settings,
    /// Names of classes, tenants, zones and endpoint kinds, each at its position in the settings.
    pub names: Names,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

impl PlatformSettings {
    /// Builds the lookup tables for the names.
    pub fn new(settings: Settings, names: Names) -> PlatformSettings {
        let (classes, tenants) = (
            positions_by_name(&names.classes),
            positions_by_name(&names.tenants),
        );
        PlatformSettings {
            settings,
            names,
            classes,
            tenants,
        }
    }

    /// The position in the settings of the class with this name; `None` if there is none.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes
            .get(name)
            .copied()
            .filter(|&class| class < self.settings.classes.len())
    }

    /// The position in the settings of the tenant with this name; `None` if there is none.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }

    /// The name of the zone at this position; `?` if it has none.
    pub(crate) fn zone_name(&self, zone: u32) -> &str {
        self.names
            .zones
            .get(zone as usize)
            .map_or("?", String::as_str)
    }
}

fn positions_by_name(names: &[String]) -> HashMap<String, usize> {
    names
        .iter()
        .enumerate()
        .map(|(position, name)| (name.clone(), position))
        .collect()
}
