//! Why a scenario file is rejected, and where.

use super::bounds::{MAX_DESTINATION_ENDPOINTS, MAX_ENDPOINTS, MAX_SENDERS};

/// Why a scenario file is rejected, and where.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {problem}")]
pub struct ScenarioError {
    /// The line in the file, from 1.
    pub line: usize,
    /// What is wrong there.
    pub problem: ScenarioProblem,
}

impl ScenarioError {
    /// An error of the whole file.
    pub(super) fn in_file(problem: ScenarioProblem) -> ScenarioError {
        ScenarioError { line: 1, problem }
    }
}

/// What is wrong with a scenario file. Texts use the words of the file's keys.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ScenarioProblem {
    /// Not TOML, an unknown or missing key, or a value of the wrong form.
    #[error("{message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// The scenario's duration is out of bounds.
    #[error("a day lasts from 1 ms to 60 min")]
    Duration,
    /// The number of senders is out of bounds.
    #[error("a day has 1 to {MAX_SENDERS} senders, not {senders}")]
    SenderCount {
        /// The number that was asked for.
        senders: usize,
    },
    /// Simulated members without a fleet.
    #[error("simulated members need a [fleet]")]
    FleetMissing,
    /// More simulated members than a fleet may have.
    #[error("{simulated} simulated members beside {senders} senders: {max} at most")]
    SimulatedCount {
        /// Simulated members that were asked for.
        simulated: usize,
        /// Senders.
        senders: usize,
        /// The largest number of simulated members.
        max: usize,
    },
    /// A class whose messages expire at once.
    #[error("a notice lasts some time")]
    TimeToLive,
    /// An unknown effect of a class.
    #[error("'{effect}' is not safe, keyed or unsafe")]
    Effect {
        /// As in the file.
        effect: String,
    },
    /// Two destinations of one name.
    #[error("there are two partners '{name}'")]
    DuplicateDestination {
        /// The name.
        name: String,
    },
    /// No destination at all.
    #[error("a day has partners: [[partner]]")]
    NoDestinations,
    /// More endpoints than can be simulated.
    #[error("{total} endpoints; {MAX_ENDPOINTS} at most")]
    TotalEndpoints {
        /// Endpoints of all destinations.
        total: usize,
    },
    /// A number of like destinations that is out of bounds.
    #[error("count is from 1 to {MAX_ENDPOINTS}")]
    DestinationCount,
    /// No destination of this name.
    #[error("no partner '{name}'")]
    UnknownDestination {
        /// As in the file.
        name: String,
    },
    /// No destination of this kind.
    #[error("no partner is of kind '{kind}'")]
    UnknownKind {
        /// As in the file.
        kind: String,
    },
    /// No tenant of this name.
    #[error("no station '{name}'")]
    UnknownTenant {
        /// As in the file.
        name: String,
    },
    /// No endpoint is in this zone.
    #[error("no partner has an endpoint in a zone '{name}'")]
    UnknownZone {
        /// As in the file.
        name: String,
    },
    /// A push service with batches, or with a limit for each endpoint.
    #[error("a push service takes no batches, and its endpoints share its limit")]
    PushService,
    /// The number of a destination's endpoints is out of bounds.
    #[error("a partner has 1 to {MAX_DESTINATION_ENDPOINTS} endpoints")]
    EndpointCount,
    /// A destination without capacity.
    #[error("a partner can do something")]
    Capacity,
    /// A load without messages.
    #[error("there is some load")]
    NoLoad,
    /// A `[[hot]]` table that names no destinations.
    #[error("partners are named for it")]
    HotDestinations,
    /// A share that is not from 0 to 1.
    #[error("{key} is a share from 0 to 1, not {share}")]
    Share {
        /// The key.
        key: &'static str,
        /// As in the file.
        share: f64,
    },
    /// An unknown kind of fault of an endpoint.
    #[error("'{kind}' is not vanish, refuse, silent, shut, fail, spoil, slow, lower or close-idle")]
    FaultKind {
        /// As in the file.
        kind: String,
    },
    /// Not the name of an endpoint.
    #[error("'{text}' is not an endpoint such as \"onda-1/0\"")]
    UnknownEndpoint {
        /// As in the file.
        text: String,
    },
    /// A change of the list that is about a push service.
    #[error("a push service is not in the directory's list")]
    PushServiceListed,
    /// An unknown state in the list.
    #[error("'{state}' is not up, draining, removed or replaced")]
    ListedState {
        /// As in the file.
        state: String,
    },
    /// No sender of this number.
    #[error("sender {sender}: there are {senders}, from 0")]
    UnknownSender {
        /// As in the file.
        sender: usize,
        /// The number of senders.
        senders: usize,
    },
    /// An unknown signal.
    #[error("'{signal}' is not TERM, KILL or HUP")]
    UnknownSignal {
        /// As in the file.
        signal: String,
    },
    /// An unknown kind of fault of the network or of processes.
    #[error("'{kind}' is not cut, drop, delay, stall, reset, stop, kill, term or upgrade")]
    NetworkFaultKind {
        /// As in the file.
        kind: String,
    },
    /// A fault of the network without its duration.
    #[error("it says for how long: lasts")]
    DurationMissing,
    /// A loss of packets without its share.
    #[error("it says how many: share")]
    ShareMissing,
    /// A delay without its length.
    #[error("it says by how much: by")]
    DelayMissing,
    /// An unknown time of a restart.
    #[error("'{keyword}' is neither a span nor \"never\"")]
    Restart {
        /// As in the file.
        keyword: String,
    },
    /// Two things are to be done to one state folder.
    #[error("wipe and cut_journal exclude each other")]
    StateFolder,
    /// An unknown process of an upgrade.
    #[error("'{keyword}' is neither \"old\" nor \"new\"")]
    UpgradeProcess {
        /// As in the file.
        keyword: String,
    },
    /// Numbers of senders that are out of bounds.
    #[error("senders {numbers:?}: there are {senders}, from 0")]
    SenderNumbers {
        /// As in the file.
        numbers: Vec<usize>,
        /// The number of senders.
        senders: usize,
    },
    /// A share of the senders that is not from 0 to 1.
    #[error("{share} is no share from 0 to 1")]
    SenderShare {
        /// As in the file.
        share: f64,
    },
    /// An unknown keyword for senders.
    #[error("'{keyword}' is not \"all\", numbers such as [0, 1], or a share such as 0.4")]
    SenderKeyword {
        /// As in the file.
        keyword: String,
    },
}
