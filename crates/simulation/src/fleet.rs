//! The fleet of a scenario: how senders know each other, and faults between and under them.

use std::collections::BTreeSet;
use std::time::Duration;

/// How the senders know each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Membership's protocol period.
    pub period: Duration,
    /// Membership's bound on a round trip between members.
    pub round_trip: Duration,
    /// How long a silent member is suspected; the sender's default if `None`.
    pub suspicion: Option<Duration>,
    /// Eviction delay.
    pub hold: Duration,
    /// Senders recover in phases after a restart.
    pub recovery: bool,
    /// Senders evacuate zones, and return to them, together.
    pub zones: bool,
}

/// A fault of a network path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PathFault {
    /// Nothing passes.
    Cut,
    /// Some packets are lost; on a connection they are delayed instead.
    Drop {
        /// Share of the packets, 0 to 1.
        share: f64,
    },
    /// Everything is delayed.
    Delay {
        /// By this much.
        by: Duration,
    },
    /// Everything is held back until the end of the fault.
    Stall,
    /// Connections are reset at the beginning of the fault.
    Reset,
}

/// The other side of a network path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    /// These senders.
    Senders(BTreeSet<usize>),
    /// All endpoints, or those of one zone.
    Destinations(Option<usize>),
}

/// A fault of the network paths between two sides. Times are since the start of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkFault {
    /// When it begins.
    pub at: Duration,
    /// When it is over.
    pub until: Duration,
    /// The senders on one side.
    pub from: BTreeSet<usize>,
    /// The other side.
    pub to: Side,
    /// It affects only what is sent from `from` to `to`.
    pub one_way: bool,
    /// What is wrong.
    pub path_fault: PathFault,
}

impl NetworkFault {
    /// Whether it affects what one sender sends to another.
    pub fn between(&self, from: usize, to: usize) -> bool {
        let Side::Senders(others) = &self.to else {
            return false;
        };
        let forward = self.from.contains(&from) && others.contains(&to);
        let backward = self.from.contains(&to) && others.contains(&from);
        forward || (!self.one_way && backward)
    }

    /// Whether it affects what a sender sends to the endpoints of a zone, or what comes `back` from them.
    pub fn at_destinations(&self, sender: usize, zone: usize, back: bool) -> bool {
        let Side::Destinations(only) = self.to else {
            return false;
        };
        let affects_zone = only.is_none_or(|only| only == zone);
        let affects_direction = !(back && self.one_way);
        affects_zone && affects_direction && self.from.contains(&sender)
    }

    /// Whether it is a fault between senders.
    pub fn among_senders(&self) -> bool {
        matches!(self.to, Side::Senders(_))
    }

    /// Whether it is on at `now`.
    pub fn is_on(&self, now: Duration) -> bool {
        self.at <= now && now < self.until
    }
}

/// What becomes of a sender's state folder once its process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    /// It stays.
    Kept,
    /// It is lost.
    Wiped,
    /// One of the journal's segments is truncated at a place that the seed draws.
    Cut,
}

/// One of the two processes of a sender during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Which {
    /// The process that was running.
    Old,
    /// The process that takes over.
    New,
}

/// What is done to a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// SIGSTOP, and later SIGCONT.
    Stop {
        /// Time between the two.
        duration: Duration,
    },
    /// SIGKILL.
    Kill {
        /// How long after its end it is started again; `None` for never.
        back: Option<Duration>,
        /// What becomes of its state folder.
        folder: Folder,
    },
    /// SIGTERM.
    Term {
        /// How long after its end it is started again; `None` for never.
        back: Option<Duration>,
        /// What becomes of its state folder.
        folder: Folder,
    },
    /// A second process is started over the same state folder, as for a new version.
    Upgrade {
        /// Which of the two is killed, and how long after the start of the second one.
        kill: Option<(Which, Duration)>,
    },
}

/// An action on the processes of some senders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledAction {
    /// When, since the start of the scenario.
    pub at: Duration,
    /// To whose processes.
    pub senders: BTreeSet<usize>,
    /// What is done.
    pub action: MemberAction,
}
