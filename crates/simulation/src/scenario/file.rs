//! The tables of a scenario file, as deserialized from TOML. Keys that differ from the field names are given by `rename`.

use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use super::error::{ScenarioError, ScenarioProblem};
use super::fleet_tables::{FleetFile, NetworkFaultFile};
use super::source::Source;
use super::units::{LimitText, Rate, Span};

/// A whole scenario file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    /// Name of the scenario, for reports.
    pub(super) name: String,
    /// Time for which new messages arrive.
    #[serde(default = "default_duration", rename = "lasts")]
    pub(super) duration: Spanned<Span>,
    #[serde(default = "one_sender")]
    pub(super) senders: Spanned<usize>,
    pub(super) load: LoadFile,
    #[serde(default, rename = "station")]
    pub(super) tenant: Vec<Tenant>,
    #[serde(default)]
    pub(super) class: Vec<ClassFile>,
    #[serde(rename = "partner")]
    pub(super) destination: Vec<DestinationFile>,
    #[serde(default)]
    pub(super) fault: Vec<FaultFile>,
    #[serde(default)]
    pub(super) hot: Vec<HotFile>,
    #[serde(default)]
    pub(super) change: Vec<ChangeFile>,
    #[serde(default)]
    pub(super) directory: DirectoryFile,
    #[serde(default)]
    pub(super) signal: Vec<SignalFile>,
    /// Membership of the senders; without it they do not know each other.
    pub(super) fleet: Option<FleetFile>,
    #[serde(default, rename = "break")]
    pub(super) network_faults: Vec<NetworkFaultFile>,
}

/// `[load]`: the rate and the distribution of messages.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LoadFile {
    /// Messages over all tenants, clumps included.
    pub(super) rate: Spanned<Rate>,
    /// Share of the messages that arrive in clumps (bursts for one destination).
    #[serde(default)]
    pub(super) clumps: Option<Spanned<f64>>,
    /// Smallest and largest size of a clump, as time at the rate that its destination admits.
    #[serde(default)]
    pub(super) clump: Option<(Span, Span)>,
    /// Exponent of Zipf's law for the weights of a tenant's destinations.
    #[serde(default)]
    pub(super) zipf: Option<f64>,
    /// Largest number of resubmissions of a message.
    #[serde(default)]
    pub(super) retries: Option<u32>,
    /// Smallest and largest size of a body, in bytes.
    #[serde(default)]
    pub(super) body: Option<(usize, usize)>,
}

/// `[[station]]`: a tenant.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Tenant {
    pub(super) name: Spanned<String>,
    /// Weight among all tenants when a message is drawn.
    pub(super) share: f64,
}

/// `[[class]]`: a class of messages.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassFile {
    pub(super) name: String,
    /// `safe`, `keyed` or `unsafe`: the effect of a repeated delivery.
    #[serde(default = "effect_keyed")]
    pub(super) effect: Spanned<String>,
    /// For `keyed`: how long destinations drop duplicates; the time to live if omitted.
    #[serde(default)]
    pub(super) window: Option<Span>,
    /// Latency objective.
    pub(super) aim: Span,
    /// Time to live.
    #[serde(rename = "lasts")]
    pub(super) duration: Spanned<Span>,
    /// Weight among all classes when a message is drawn.
    #[serde(default = "whole_share")]
    pub(super) share: f64,
    /// Smallest weight in the results of a message that is delivered after its latency objective.
    #[serde(default)]
    pub(super) late_share: Option<f64>,
    /// Number of ordering keys over which its messages are distributed.
    #[serde(default)]
    pub(super) order_keys: u32,
}

/// `[[partner]]`: a destination, or several similar ones. Keys without a comment are fields of [`Spec`](crate::destination::Spec).
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DestinationFile {
    pub(super) name: Spanned<String>,
    /// Name of its tenant; if omitted, tenants are assigned in rotation.
    #[serde(default, rename = "station")]
    pub(super) tenant: Option<Spanned<String>>,
    /// Kind by which discovery and settings group destinations; `station` if omitted, or `push` for a push service.
    #[serde(default)]
    pub(super) kind: Option<Spanned<String>>,
    /// Number of destinations with these properties. A number is appended to the name of each, from `-0` on.
    #[serde(default)]
    pub(super) count: Option<Spanned<usize>>,
    #[serde(default)]
    pub(super) endpoints: Option<Spanned<usize>>,
    #[serde(default)]
    pub(super) shared: Option<bool>,
    #[serde(default)]
    pub(super) limit: Option<LimitText>,
    #[serde(default)]
    pub(super) charge_refused: bool,
    #[serde(default)]
    pub(super) capacity: Option<Spanned<Rate>>,
    #[serde(default)]
    pub(super) queue: Option<usize>,
    #[serde(default)]
    pub(super) pace: Option<Span>,
    #[serde(default)]
    pub(super) spread: Option<f64>,
    #[serde(default)]
    pub(super) connections: Option<usize>,
    #[serde(default, rename = "tells_wait")]
    pub(super) sends_retry_after: Option<Spanned<f64>>,
    #[serde(default)]
    pub(super) wait: Option<(Span, Span)>,
    #[serde(default)]
    pub(super) batch: Option<usize>,
    #[serde(default)]
    pub(super) item_cost: Option<f64>,
    #[serde(default)]
    pub(super) reports: Option<Span>,
    /// Weight among the destinations of its tenant when a message is drawn; by Zipf's law if omitted.
    #[serde(default)]
    pub(super) weight: Option<f64>,
    /// Zones to which the endpoints are assigned in rotation.
    #[serde(default)]
    pub(super) zones: Vec<String>,
    /// Whether it is a push service: clients submit its messages over Web Push, and discovery does not list it.
    #[serde(default)]
    pub(super) push: Option<Spanned<bool>>,
}

/// `[[fault]]`: a fault of endpoints.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultFile {
    /// Kind of the fault, such as `vanish`.
    pub(super) kind: Spanned<String>,
    /// Start of the fault.
    pub(super) at: Spanned<Span>,
    #[serde(rename = "lasts")]
    pub(super) duration: Span,
    /// Names of the affected destinations. Without this and `of_kind`, all destinations are affected.
    #[serde(default, rename = "partners")]
    pub(super) destinations: Vec<Spanned<String>>,
    #[serde(default)]
    pub(super) of_kind: Option<Spanned<String>>,
    /// Affects only endpoints in this zone.
    #[serde(default)]
    pub(super) of_zone: Option<Spanned<String>>,
    /// Affects only the endpoints with these indexes (from 0) at each destination.
    #[serde(default)]
    pub(super) endpoints: Option<Vec<usize>>,
    /// Probability with which each of these endpoints is affected, drawn from the seed.
    #[serde(default)]
    pub(super) part: Option<Spanned<f64>>,
    /// For `fail`, `spoil` and `repeat`: share of the calls or replies affected.
    #[serde(default)]
    pub(super) share: Option<Spanned<f64>>,
    /// For `slow`: factor of the service time. For `lower`: share of the limit that remains.
    #[serde(default)]
    pub(super) factor: Option<f64>,
    /// For `close-idle`: shortest and longest idle timeout. For `repeat`: shortest and longest delay of the second copy.
    #[serde(default)]
    pub(super) after: Option<(Span, Span)>,
}

/// `[[hot]]`: a period in which some destinations receive an extra share of the messages.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HotFile {
    pub(super) at: Span,
    #[serde(rename = "lasts")]
    pub(super) duration: Span,
    #[serde(rename = "partners")]
    pub(super) destinations: Vec<Spanned<String>>,
    /// Share of all messages that is drawn for them.
    pub(super) share: Spanned<f64>,
}

/// `[[change]]`: a change of discovery's endpoint list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeFile {
    pub(super) at: Spanned<Span>,
    /// Name of the destination and index of the endpoint, such as `onda-1/0`.
    pub(super) endpoint: Spanned<String>,
    /// `up`, `draining`, `removed` or `replaced`: state of the endpoint after the change.
    pub(super) to: Spanned<String>,
}

/// `[directory]`: properties of discovery.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DirectoryFile {
    /// Delay between a change and its visibility, by sender; the last delay also applies to all further senders.
    #[serde(default)]
    pub(super) delays: Vec<Span>,
    #[serde(default)]
    pub(super) outage: Vec<OutageFile>,
}

/// `[[directory.outage]]`: a period in which discovery does not answer.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OutageFile {
    pub(super) at: Span,
    #[serde(rename = "lasts")]
    pub(super) duration: Span,
}

/// `[[signal]]`: a signal to a sender's process.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SignalFile {
    pub(super) at: Spanned<Span>,
    /// Number of the sender; the first one if omitted.
    #[serde(default)]
    pub(super) sender: Option<Spanned<usize>>,
    /// `TERM`, `KILL` or `HUP`.
    pub(super) send: Spanned<String>,
}

impl File {
    /// Deserializes the tables.
    ///
    /// # Errors
    /// Returns [`ScenarioProblem::Syntax`] for invalid TOML, an unknown or missing key, or a value of the wrong form.
    pub(super) fn read(source: &Source<'_>) -> Result<File, ScenarioError> {
        toml::from_str(source.text).map_err(|e| ScenarioError {
            line: e.span().map_or(1, |span| source.line(span)),
            problem: ScenarioProblem::Syntax {
                message: e.message().replace('\n', " "),
            },
        })
    }
}

fn default_duration() -> Spanned<Span> {
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
