//! Errors in scenario files.

use super::bounds::{MAX_DESTINATION_ENDPOINTS, MAX_ENDPOINTS, MAX_SENDERS};

/// An error in a scenario file, with its line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct ScenarioError {
    /// Line number in the file, from 1; 1 for problems of the whole file.
    pub line: usize,
    /// The problem at that line.
    pub problem: ScenarioProblem,
}

impl ScenarioError {
    /// Creates an error that concerns the whole file.
    pub(super) fn in_file(problem: ScenarioProblem) -> ScenarioError {
        ScenarioError { line: 1, problem }
    }
}

/// A problem in a scenario file. Error messages use the file's own terms: a day is a scenario, a partner is a destination, a
/// station is a tenant.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioProblem {
    /// The file is not TOML, a key is unknown or missing, or a value has the wrong form.
    #[error("{message}")]
    Syntax {
        /// Message of the TOML parser.
        message: String,
    },
    /// The duration of the scenario is out of bounds.
    #[error("lasts: expected a duration above 0 and up to 60 min")]
    Duration,
    /// The number of senders is out of bounds.
    #[error("a day has 1 to {MAX_SENDERS} senders, not {senders}")]
    SenderCount {
        /// The requested number of senders.
        senders: usize,
    },
    /// Simulated members were requested, but the file has no fleet.
    #[error("simulated members need a [fleet] table")]
    FleetMissing,
    /// Too many simulated members were requested.
    #[error("{simulated} simulated members beside {senders} senders: {max} at most")]
    SimulatedCount {
        /// The requested number of simulated members.
        simulated: usize,
        /// The number of senders.
        senders: usize,
        /// The largest number of simulated members beside these senders.
        max: usize,
    },
    /// The time to live of a class is 0.
    #[error("lasts: expected a time to live above 0")]
    TimeToLive,
    /// The effect of a class is unknown.
    #[error("effect: '{effect}' is not safe, keyed or unsafe")]
    Effect {
        /// The value in the file.
        effect: String,
    },
    /// Two destinations have the same name.
    #[error("name: there are two partners '{name}'")]
    DuplicateDestination {
        /// The duplicate name.
        name: String,
    },
    /// The file has no destinations.
    #[error("expected at least one [[partner]] table")]
    NoDestinations,
    /// The destinations have too many endpoints altogether.
    #[error("expected at most {MAX_ENDPOINTS} endpoints over all partners, got {total}")]
    TotalEndpoints {
        /// Number of endpoints of all destinations.
        total: usize,
    },
    /// The number of destinations of one table is out of bounds.
    #[error("count: expected 1 to {MAX_ENDPOINTS} partners")]
    DestinationCount,
    /// No destination has this name.
    #[error("partners: there is no partner '{name}'")]
    UnknownDestination {
        /// The name in the file.
        name: String,
    },
    /// No destination has this kind.
    #[error("of_kind: there is no partner of kind '{kind}'")]
    UnknownKind {
        /// The kind in the file.
        kind: String,
    },
    /// No tenant has this name.
    #[error("station: there is no station '{name}'")]
    UnknownTenant {
        /// The name in the file.
        name: String,
    },
    /// No endpoint of any destination is in this zone.
    #[error("zone '{name}' has no endpoint of any partner")]
    UnknownZone {
        /// The name in the file.
        name: String,
    },
    /// A push service has batches, or a limit for each endpoint.
    #[error(
        "push: a push service supports no batches and no limit for each endpoint (expected batch = 1, shared = true)"
    )]
    PushService,
    /// The number of a destination's endpoints is out of bounds.
    #[error("endpoints: expected 1 to {MAX_DESTINATION_ENDPOINTS} endpoints")]
    EndpointCount,
    /// The capacity of a destination is 0.
    #[error("capacity: expected a rate above 0")]
    Capacity,
    /// The rate of the load is 0.
    #[error("rate: expected a rate above 0")]
    NoLoad,
    /// A `[[hot]]` table names no destinations.
    #[error("partners: a [[hot]] table needs at least one partner")]
    HotDestinations,
    /// A share is not from 0 to 1.
    #[error("{key}: expected a share from 0 to 1, got {share}")]
    Share {
        /// The key in the file.
        key: &'static str,
        /// The value in the file.
        share: f64,
    },
    /// The kind of a fault of an endpoint is unknown.
    #[error(
        "kind: '{kind}' is not vanish, refuse, silent, shut, fail, spoil, slow, lower, repeat or close-idle"
    )]
    FaultKind {
        /// The kind in the file.
        kind: String,
    },
    /// The text does not name an endpoint of the scenario.
    #[error("endpoint: '{text}' is not an endpoint of this file, such as \"onda-1/0\"")]
    UnknownEndpoint {
        /// The value in the file.
        text: String,
    },
    /// A change of the endpoint list names a push service.
    #[error("endpoint: a push service is not in the directory's list")]
    PushServiceListed,
    /// The state of an endpoint in the list is unknown.
    #[error("to: '{state}' is not up, draining, removed or replaced")]
    ListedState {
        /// The value in the file.
        state: String,
    },
    /// No sender has this number.
    #[error("sender {sender}: expected a number from 0 and below {senders}")]
    UnknownSender {
        /// The number in the file.
        sender: usize,
        /// The number of senders.
        senders: usize,
    },
    /// The signal is unknown.
    #[error("send: '{signal}' is not TERM, KILL or HUP")]
    UnknownSignal {
        /// The value in the file.
        signal: String,
    },
    /// The kind of a fault of the network or of processes is unknown.
    #[error("kind: '{kind}' is not cut, drop, delay, stall, reset, stop, kill, term or upgrade")]
    NetworkFaultKind {
        /// The kind in the file.
        kind: String,
    },
    /// A fault of the network has no duration.
    #[error("lasts: missing duration of the fault")]
    DurationMissing,
    /// A fault of kind `drop` has no share.
    #[error("share: missing share of lost packets")]
    ShareMissing,
    /// A fault of kind `delay` has no length of the delay.
    #[error("by: missing length of the delay")]
    DelayMissing,
    /// The time of a restart is unknown.
    #[error("back: '{keyword}' is neither a duration such as \"6.5 s\" nor \"never\"")]
    Restart {
        /// The value in the file.
        keyword: String,
    },
    /// A state folder cannot be both deleted and truncated.
    #[error("wipe and cut_journal exclude each other")]
    StateFolder,
    /// The process of an upgrade is unknown.
    #[error("kill: '{keyword}' is neither \"old\" nor \"new\"")]
    UpgradeProcess {
        /// The value in the file.
        keyword: String,
    },
    /// Numbers of senders are out of bounds.
    #[error("senders {numbers:?}: expected numbers from 0 and below {senders}")]
    SenderNumbers {
        /// The numbers in the file.
        numbers: Vec<usize>,
        /// The number of senders.
        senders: usize,
    },
    /// A share of the senders is not from 0 to 1.
    #[error("expected a share of the senders from 0 to 1, got {share}")]
    SenderShare {
        /// The value in the file.
        share: f64,
    },
    /// The keyword for senders is unknown.
    #[error("'{keyword}' is not \"all\", numbers such as [0, 1], or a share such as 0.4")]
    SenderKeyword {
        /// The value in the file.
        keyword: String,
    },
}
