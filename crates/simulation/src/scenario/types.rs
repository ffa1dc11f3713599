//! A scenario as it is played: checked, and drawn by its seed.

use std::time::Duration;

use crate::clients::Load;
use crate::destination::Spec;
use crate::directory;
use crate::fault::Fault;
use crate::fleet::{Fleet, NetworkFault, ScheduledAction};

/// A scenario, checked and drawn: the same file and seed give the same one. Times are since its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// How long messages arrive.
    pub duration: Duration,
    /// Number of senders.
    pub senders: usize,
    /// Members of the fleet that deliver nothing; their numbers follow the senders'.
    pub simulated: usize,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Classes of messages, in the order of [`Load::classes`].
    pub classes: Vec<MessageClass>,
    /// Destinations, by their number.
    pub destinations: Vec<Member>,
    /// Kinds of the destinations that discovery lists.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// What clients submit.
    pub load: Load,
    /// Delays and outages of discovery.
    pub directory: directory::Spec,
    /// Changes of the endpoint list, in the order of time.
    pub changes: Vec<ListChange>,
    /// Signals to senders, in the order of time.
    pub signals: Vec<ScheduledSignal>,
    /// How the senders know each other, if they do.
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

/// One destination of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: String,
    /// Index of its tenant.
    pub tenant: usize,
    /// Its properties.
    pub spec: Spec,
    /// A push service, which discovery does not list.
    pub push: bool,
    /// By endpoint: its faults.
    pub faults: Vec<Vec<Fault>>,
    /// By endpoint: the index of its zone.
    pub zones: Vec<usize>,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageClass {
    /// Its name.
    pub name: String,
    /// What a repeat of its messages does.
    pub effect: Effect,
}

/// What a class allows after an attempt that was possibly executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of repeats.
    Safe,
    /// Repeats that the destination drops by their idempotency key.
    Keyed {
        /// How long the destination drops them.
        window: Duration,
    },
    /// No repeat.
    Unsafe,
}

/// A change of discovery's endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// When it is made.
    pub at: Duration,
    /// Index into [`Scenario::destinations`].
    pub destination: usize,
    /// Number of the endpoint at its destination.
    pub endpoint: usize,
    /// Its state from then on.
    pub to: To,
}

/// The state of an endpoint in the list after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// In service.
    Up,
    /// Gets nothing new.
    Draining,
    /// No longer listed.
    Removed,
    /// Replaced by another endpoint, with a new id, at the same address.
    Replaced,
}

/// A signal to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledSignal {
    /// When it is sent.
    pub at: Duration,
    /// To which sender.
    pub sender: usize,
    /// Which signal.
    pub signal: Signal,
}

/// The signals that a scenario may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM
    Term,
    /// SIGKILL
    Kill,
    /// SIGHUP
    Hup,
}
