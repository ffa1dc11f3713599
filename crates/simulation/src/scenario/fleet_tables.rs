//! The tables of a scenario file that are about the fleet.

use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use super::error::{ScenarioError, ScenarioProblem};
use super::source::Source;
use super::units::Span;
use crate::fleet::Fleet;

/// `[fleet]`
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    period: Option<Span>,
    round_trip: Option<Span>,
    suspicion: Option<Span>,
    hold: Option<Span>,
    #[serde(default)]
    recovery: bool,
    #[serde(default)]
    zones: bool,
}

impl FleetFile {
    /// The fleet, with defaults for what the file leaves out.
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
    #[serde(alias = "senders")]
    pub(super) from: Option<Spanned<SenderSelection>>,
    pub(super) to: Option<Spanned<SenderSelection>>,
    /// With `to = "partners"`: only endpoints of this zone.
    pub(super) zone: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) one_way: bool,
    /// For `drop`: share of the packets.
    pub(super) share: Option<Spanned<f64>>,
    /// For `delay`.
    pub(super) by: Option<Span>,
    /// For `kill` and `term`.
    pub(super) back: Option<Spanned<Restart>>,
    #[serde(default)]
    pub(super) wipe: bool,
    #[serde(default)]
    pub(super) cut_journal: bool,
    /// For `upgrade`: which process is killed.
    pub(super) kill: Option<Spanned<String>>,
    /// For `upgrade`: how long after its start.
    pub(super) after: Option<Span>,
}

impl NetworkFaultFile {
    /// How long it lasts, where its kind needs that.
    pub(super) fn duration(&self, source: &Source<'_>) -> Result<Duration, ScenarioError> {
        let missing = || source.error(&self.kind, ScenarioProblem::DurationMissing);
        self.duration.map(|d| d.0).ok_or_else(missing)
    }
}

/// Which senders: `all`, `others`, `partners`, numbers, or a share that the seed draws.
#[derive(Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "senders are \"all\", numbers such as [0, 1], or a share such as 0.4"
)]
pub(super) enum SenderSelection {
    Share(f64),
    Numbers(Vec<usize>),
    Keyword(String),
}

/// When a process is started again.
#[derive(Debug, Deserialize)]
#[serde(untagged, expecting = "back is a span such as \"6.5 s\", or \"never\"")]
pub(super) enum Restart {
    After(Span),
    Keyword(String),
}
