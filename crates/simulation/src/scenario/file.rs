//! The tables of a day's file, as they are written.

use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use super::fleet::{FleetFile, NetworkFaultFile};
use super::source::{ScenarioError, Source};
use super::units::{LimitText, Rate, Span};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    pub name: String,
    #[serde(default = "default_length")]
    #[serde(rename = "lasts")]
    pub duration: Spanned<Span>,
    #[serde(default = "one_sender")]
    pub senders: Spanned<usize>,
    pub load: LoadFile,
    #[serde(default)]
    #[serde(rename = "station")]
    pub tenant: Vec<Tenant>,
    #[serde(default)]
    pub class: Vec<ClassFile>,
    #[serde(rename = "partner")]
    pub destination: Vec<DestinationFile>,
    #[serde(default)]
    pub fault: Vec<FaultFile>,
    #[serde(default)]
    pub hot: Vec<HotFile>,
    #[serde(default)]
    pub change: Vec<ChangeFile>,
    #[serde(default)]
    pub directory: DirectoryFile,
    #[serde(default)]
    pub signal: Vec<SignalFile>,
    /// The senders know each other.
    pub fleet: Option<FleetFile>,
    #[serde(default, rename = "break")]
    pub network_faults: Vec<NetworkFaultFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadFile {
    pub rate: Spanned<Rate>,
    #[serde(default)]
    pub clumps: Option<Spanned<f64>>,
    #[serde(default)]
    pub clump: Option<(Span, Span)>,
    #[serde(default)]
    pub zipf: Option<f64>,
    #[serde(default)]
    pub retries: Option<u32>,
    #[serde(default)]
    pub body: Option<(usize, usize)>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Tenant {
    pub name: Spanned<String>,
    pub share: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassFile {
    pub name: String,
    #[serde(default = "effect_keyed")]
    pub effect: Spanned<String>,
    #[serde(default)]
    pub window: Option<Span>,
    pub aim: Span,
    #[serde(rename = "lasts")]
    pub duration: Spanned<Span>,
    #[serde(default = "whole_share")]
    pub share: f64,
    #[serde(default)]
    pub late_share: Option<f64>,
    /// Its messages keep their order within each of so many keys.
    #[serde(default)]
    pub order_keys: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DestinationFile {
    pub name: Spanned<String>,
    #[serde(default)]
    #[serde(rename = "station")]
    pub tenant: Option<Spanned<String>>,
    #[serde(default)]
    pub kind: Option<Spanned<String>>,
    /// So many destinations alike, named with a number behind.
    #[serde(default)]
    pub count: Option<Spanned<usize>>,
    #[serde(default)]
    pub endpoints: Option<Spanned<usize>>,
    #[serde(default)]
    pub shared: Option<bool>,
    #[serde(default)]
    pub limit: Option<LimitText>,
    #[serde(default)]
    pub charge_refused: bool,
    #[serde(default)]
    pub capacity: Option<Spanned<Rate>>,
    #[serde(default)]
    pub queue: Option<usize>,
    #[serde(default)]
    pub pace: Option<Span>,
    #[serde(default)]
    pub spread: Option<f64>,
    #[serde(default)]
    pub connections: Option<usize>,
    #[serde(default)]
    #[serde(rename = "tells_wait")]
    pub sends_retry_after: Option<Spanned<f64>>,
    #[serde(default)]
    pub wait: Option<(Span, Span)>,
    #[serde(default)]
    pub batch: Option<usize>,
    #[serde(default)]
    pub item_cost: Option<f64>,
    #[serde(default)]
    pub reports: Option<Span>,
    #[serde(default)]
    pub weight: Option<f64>,
    /// The zones of its endpoints, in turn.
    #[serde(default)]
    pub zones: Vec<String>,
    /// A push service: posts for it come over Web Push, and the directory does not know it.
    #[serde(default)]
    pub push: Option<Spanned<bool>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultFile {
    pub kind: Spanned<String>,
    pub at: Spanned<Span>,
    #[serde(rename = "lasts")]
    pub duration: Span,
    /// One of these says where.
    #[serde(default)]
    #[serde(rename = "partners")]
    pub destinations: Vec<Spanned<String>>,
    #[serde(default)]
    pub of_kind: Option<Spanned<String>>,
    /// Only endpoints of this zone.
    #[serde(default)]
    pub of_zone: Option<Spanned<String>>,
    /// Only these endpoints of each destination, from 0.
    #[serde(default)]
    pub endpoints: Option<Vec<usize>>,
    /// Share of the endpoints that it strikes, drawn by the seed.
    #[serde(default)]
    pub part: Option<Spanned<f64>>,
    /// For `fail` and `spoil`: share of the calls.
    #[serde(default)]
    pub share: Option<Spanned<f64>>,
    /// For `slow`, and for `lower`: the share of the limit that is left.
    #[serde(default)]
    pub factor: Option<f64>,
    /// For `close-idle`.
    #[serde(default)]
    pub after: Option<(Span, Span)>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HotFile {
    pub at: Span,
    #[serde(rename = "lasts")]
    pub duration: Span,
    #[serde(rename = "partners")]
    pub destinations: Vec<Spanned<String>>,
    pub share: Spanned<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeFile {
    pub at: Spanned<Span>,
    /// A destination's name and the number of its endpoint: `onda-1/0`.
    pub endpoint: Spanned<String>,
    pub to: Spanned<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DirectoryFile {
    #[serde(default)]
    pub delays: Vec<Span>,
    #[serde(default)]
    pub outage: Vec<OutageFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OutageFile {
    pub at: Span,
    #[serde(rename = "lasts")]
    pub duration: Span,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SignalFile {
    pub at: Spanned<Span>,
    #[serde(default)]
    pub sender: Option<Spanned<usize>>,
    pub send: Spanned<String>,
}

impl File {
    /// Reads the tables; an unknown or missing field is an error.
    pub fn read(source: &Source<'_>) -> Result<File, ScenarioError> {
        toml::from_str(source.text).map_err(|e| ScenarioError {
            line: e.span().map_or(1, |span| source.line(span)),
            why: e.message().replace('\n', " "),
        })
    }
}

fn default_length() -> Spanned<Span> {
    Spanned::new(0..0, Span(Duration::from_secs(30)))
}

fn one_sender() -> Spanned<usize> {
    Spanned::new(0..0, 1)
}

fn effect_keyed() -> Spanned<String> {
    Spanned::new(0..0, "keyed".into())
}

fn whole_share() -> f64 {
    1.0
}
