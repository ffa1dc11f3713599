//! A checked scenario, with all random choices drawn from the seed.

use std::time::Duration;

use crate::clients::Load;
use crate::destination::Spec;
use crate::directory;
use crate::fault::Fault;
use crate::fleet::{Fleet, NetworkFault, ScheduledAction};

/// A checked scenario. The same file and seed always give the same scenario. Times are since its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name of the scenario, for reports.
    pub name: String,
    /// Time for which new messages arrive.
    pub duration: Duration,
    /// Number of senders.
    pub senders: usize,
    /// Number of simulated members, which take part in membership but deliver nothing. Their numbers follow the senders'.
    pub simulated: usize,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Classes of messages, in the order of [`Load::classes`].
    pub classes: Vec<MessageClass>,
    /// Destinations; the index of each is its number.
    pub destinations: Vec<Member>,
    /// Distinct kinds of the destinations that discovery lists, in the order of the file.
    pub kinds: Vec<String>,
    /// Names of the zones of endpoints.
    pub zones: Vec<String>,
    /// Load from the clients.
    pub load: Load,
    /// Delays and outages of discovery.
    pub directory: directory::Spec,
    /// Changes of the endpoint list, in the order of time.
    pub changes: Vec<ListChange>,
    /// Signals to senders, in the order of time.
    pub signals: Vec<ScheduledSignal>,
    /// Fleet settings; `None` if the senders do not know each other.
    pub fleet: Option<Fleet>,
    /// Faults of network paths, in the order of the file.
    pub network_faults: Vec<NetworkFault>,
    /// Actions on processes, in the order of time.
    pub scheduled_actions: Vec<ScheduledAction>,
}

impl Scenario {
    /// The number of members of the fleet: senders and simulated ones.
    pub fn members(&self) -> usize {
        self.senders + self.simulated
    }
}

/// A destination of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name of the destination.
    pub name: String,
    /// Kind of the destination, by which discovery and settings group destinations.
    pub kind: String,
    /// Index of its tenant in [`Scenario::tenants`].
    pub tenant: usize,
    /// Properties of the simulated destination.
    pub spec: Spec,
    /// Whether it is a push service, which discovery does not list.
    pub push: bool,
    /// Faults of each endpoint.
    pub faults: Vec<Vec<Fault>>,
    /// Index of each endpoint's zone in [`Scenario::zones`].
    pub zones: Vec<usize>,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageClass {
    /// Name of the class.
    pub name: String,
    /// Effect of a repeated delivery.
    pub effect: Effect,
}

/// The repeats that a class allows after an attempt that was possibly executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless and always allowed.
    Safe,
    /// Repeats are allowed while the destination drops duplicates by the idempotency key.
    Keyed {
        /// How long the destination drops duplicates.
        window: Duration,
    },
    /// Repeats are forbidden.
    Unsafe,
}

/// A change of discovery's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// Time of the change.
    pub at: Duration,
    /// Index of the endpoint's destination in [`Scenario::destinations`].
    pub destination: usize,
    /// Index of the endpoint at its destination.
    pub endpoint: usize,
    /// State of the endpoint after the change.
    pub to: To,
}

/// The state of an endpoint in the list after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// The endpoint is in service.
    Up,
    /// The endpoint must receive no new calls.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
    /// The endpoint is replaced by another one with a new id at the same address.
    Replaced,
}

/// A signal to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledSignal {
    /// Time of the signal.
    pub at: Duration,
    /// Number of the sender that receives it.
    pub sender: usize,
    /// The signal.
    pub signal: Signal,
}

/// The signals that a scenario may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: terminate gracefully.
    Term,
    /// SIGKILL: terminate without a shutdown.
    Kill,
    /// SIGHUP: reload the configuration.
    Hup,
}
