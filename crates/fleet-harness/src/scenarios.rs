//! The scenarios that are built into the program.

/// Name and TOML text of each built-in scenario.
pub const SCENARIOS: [(&str, &str); 17] = [
    (
        "membership",
        include_str!("../../../rehearsals/fleet/membership.toml"),
    ),
    (
        "crashes",
        include_str!("../../../rehearsals/fleet/crashes.toml"),
    ),
    ("loss", include_str!("../../../rehearsals/fleet/loss.toml")),
    (
        "one-way",
        include_str!("../../../rehearsals/fleet/one-way.toml"),
    ),
    (
        "partition",
        include_str!("../../../rehearsals/fleet/partition.toml"),
    ),
    (
        "crash-storm",
        include_str!("../../../rehearsals/fleet/crash-storm.toml"),
    ),
    (
        "mass-restart",
        include_str!("../../../rehearsals/fleet/mass-restart.toml"),
    ),
    (
        "zone-down",
        include_str!("../../../rehearsals/fleet/zone-down.toml"),
    ),
    (
        "zone-flap",
        include_str!("../../../rehearsals/fleet/zone-flap.toml"),
    ),
    (
        "one-sender-cut",
        include_str!("../../../rehearsals/fleet/one-sender-cut.toml"),
    ),
    (
        "journal-cut",
        include_str!("../../../rehearsals/fleet/journal-cut.toml"),
    ),
    (
        "cold-return",
        include_str!("../../../rehearsals/fleet/cold-return.toml"),
    ),
    (
        "state-lost",
        include_str!("../../../rehearsals/fleet/state-lost.toml"),
    ),
    ("rack", include_str!("../../../rehearsals/fleet/rack.toml")),
    (
        "zone-killed",
        include_str!("../../../rehearsals/fleet/zone-killed.toml"),
    ),
    (
        "halves",
        include_str!("../../../rehearsals/fleet/halves.toml"),
    ),
    (
        "restarts-flapping",
        include_str!("../../../rehearsals/fleet/restarts-flapping.toml"),
    ),
];

/// The TOML text of the built-in scenario of this name.
pub fn scenario(name: &str) -> Option<&'static str> {
    SCENARIOS
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, text)| *text)
}
