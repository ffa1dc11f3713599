//! The tables of a scenario file that concern the fleet.

use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use super::error::{ScenarioError, ScenarioProblem};
use super::source::Source;
use super::units::Span;
use crate::fleet::Fleet;

/// `[fleet]`: settings for membership and recovery.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    /// Protocol period of membership (SWIM).
    period: Option<Span>,
    /// Upper bound that membership assumes for a round trip between members.
    round_trip: Option<Span>,
    /// How long a silent member is suspected before it counts as down.
    suspicion: Option<Span>,
    /// Eviction delay of members that are down.
    hold: Option<Span>,
    /// Whether senders recover in phases after a restart.
    #[serde(default)]
    recovery: bool,
    /// Whether senders evacuate zones, and return to them, together.
    #[serde(default)]
    zones: bool,
}

impl FleetFile {
    /// The fleet settings, with defaults for the keys that the file omits.
    pub(super) fn fleet(&self) -> Fleet {
        let span = |span: Option<Span>, default_ms| {
            span.map_or(Duration::from_millis(default_ms), |span| span.0)
        };
        Fleet {
            period: span(self.period, 1000),
            round_trip: span(self.round_trip, 300),
            suspicion: self.suspicion.map(|s| s.0),
            hold: span(self.hold, 30_000),
            recovery: self.recovery,
            zones: self.zones,
        }
    }
}

/// `[[break]]`: a fault of the network, or an action on processes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NetworkFaultFile {
    pub(super) kind: Spanned<String>,
    pub(super) at: Spanned<Span>,
    #[serde(rename = "lasts")]
    duration: Option<Span>,
    /// Senders on one side of the paths, or whose processes are acted on; all members if omitted.
    #[serde(alias = "senders")]
    pub(super) from: Option<Spanned<SenderSelection>>,
    /// The other side of the paths.
    pub(super) to: Option<Spanned<SenderSelection>>,
    /// With `to = "partners"`: affects only endpoints in this zone.
    pub(super) zone: Option<Spanned<String>>,
    /// Affects only traffic from `from` to `to`; otherwise both directions.
    #[serde(default)]
    pub(super) one_way: bool,
    /// For `drop`: share of the packets that are lost.
    pub(super) share: Option<Spanned<f64>>,
    /// For `delay`: the added delay.
    pub(super) by: Option<Span>,
    /// For `kill` and `term`: time until the sender is started again.
    pub(super) back: Option<Spanned<Restart>>,
    /// For `kill` and `term`: the state folder is deleted before the restart.
    #[serde(default)]
    pub(super) wipe: bool,
    /// For `kill` and `term`: the journal is damaged before the restart.
    #[serde(default)]
    pub(super) cut_journal: bool,
    /// For `upgrade`: which process is killed.
    pub(super) kill: Option<Spanned<String>>,
    /// For `upgrade`: time of the kill after the start of the new process.
    pub(super) after: Option<Span>,
}

impl NetworkFaultFile {
    /// The duration of a fault whose kind requires one.
    ///
    /// # Errors
    /// Fails if the table has no duration.
    pub(super) fn duration(&self, source: &Source<'_>) -> Result<Duration, ScenarioError> {
        let missing = || source.error(&self.kind, ScenarioProblem::DurationMissing);
        self.duration.map(|d| d.0).ok_or_else(missing)
    }
}

/// A selection of senders: the keyword `all`, numbers, or a share drawn from the seed. For the other side of a path, also the
/// keywords `others` and `partners`.
#[derive(Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "expected senders: \"all\", numbers such as [0, 1], or a share such as 0.4"
)]
pub(super) enum SenderSelection {
    Share(f64),
    Numbers(Vec<usize>),
    Keyword(String),
}

/// When a sender is started again after its process has ended.
#[derive(Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "back: expected a duration such as \"6.5 s\", or \"never\""
)]
pub(super) enum Restart {
    After(Span),
    Keyword(String),
}
