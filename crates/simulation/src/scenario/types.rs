//! A day as it is played: checked, and drawn by its seed.

use std::time::Duration;

use crate::clients::Load;
use crate::destination::Spec;
use crate::directory;
use crate::fault::Fault;
use crate::fleet::{Fleet, NetworkFault, ScheduledAction};

/// A day, checked and drawn: the same file and seed give the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: String,
    pub duration: Duration,
    pub senders: usize,
    /// Members of the fleet beside the senders that hand nothing on; their numbers follow the senders'.
    pub simulated: usize,
    pub tenants: Vec<String>,
    pub classes: Vec<MessageClass>,
    /// Destinations by their number, which is what a message is sent to.
    pub destinations: Vec<Member>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub load: Load,
    pub directory: directory::Spec,
    /// Changes of the directory's list, in the order of time.
    pub changes: Vec<ListChange>,
    /// Signals to senders, in the order of time.
    pub signals: Vec<ScheduledSignal>,
    /// How the senders know each other, if they do.
    pub fleet: Option<Fleet>,
    /// Ways that break, in the order of the file.
    pub network_faults: Vec<NetworkFault>,
    /// What is done to processes, in the order of time.
    pub scheduled_actions: Vec<ScheduledAction>,
}

impl Scenario {
    /// All members of the fleet.
    pub fn members(&self) -> usize {
        self.senders + self.simulated
    }
}

/// One destination of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub name: String,
    pub kind: String,
    pub tenant: usize,
    pub spec: Spec,
    /// A push service behind the second front, unknown to the directory.
    pub push: bool,
    /// By endpoint.
    pub faults: Vec<Vec<Fault>>,
    /// By endpoint: its place among the day's zones.
    pub zones: Vec<usize>,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageClass {
    pub name: String,
    pub effect: Effect,
}

/// What a class allows after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed { window: Duration },
    Unsafe,
}

/// A change of the directory's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListChange {
    pub at: Duration,
    /// Index into [`Scenario::destinations`].
    pub destination: usize,
    /// The endpoint's number at its destination.
    pub endpoint: usize,
    pub to: To,
}

/// What an endpoint is listed as after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    Up,
    Draining,
    Removed,
    /// Another one, with a new id, at the same address.
    Replaced,
}

/// A signal to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledSignal {
    pub at: Duration,
    pub sender: usize,
    pub signal: Signal,
}

/// The signals that a day may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Term,
    Kill,
    Hup,
}
