//! The fleet of a scenario: membership settings, faults of network paths, and actions on the senders' processes.

use std::collections::BTreeSet;
use std::time::Duration;

/// The fleet's settings for membership and recovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Protocol period of membership (SWIM).
    pub period: Duration,
    /// Upper bound that membership assumes for a round trip between members.
    pub round_trip: Duration,
    /// How long a silent member is suspected before it counts as down; `None` for the sender's default.
    pub suspicion: Option<Duration>,
    /// Eviction delay of members that are down.
    pub hold: Duration,
    /// Whether senders recover in phases after a restart.
    pub recovery: bool,
    /// Whether senders evacuate zones, and return to them, together.
    pub zones: bool,
}

/// A fault of a network path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PathFault {
    /// All packets are lost.
    Cut,
    /// A share of the packets is lost; data on a connection is delayed instead.
    Drop {
        /// Share of the packets that are lost, 0 to 1.
        share: f64,
    },
    /// All traffic is delayed.
    Delay {
        /// Added delay.
        by: Duration,
    },
    /// All traffic is held until the fault ends.
    Stall,
    /// Connections are reset when the fault begins.
    Reset,
}

/// The peers on the other side of a network path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    /// The senders with these numbers.
    Senders(BTreeSet<usize>),
    /// All endpoints of destinations, or those in the zone with this index.
    Destinations(Option<usize>),
}

/// A fault of the network paths between two sides. Times are since the start of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkFault {
    /// When the fault begins.
    pub at: Duration,
    /// When the fault ends (exclusive).
    pub until: Duration,
    /// Numbers of the senders on one side of the paths.
    pub from: BTreeSet<usize>,
    /// The other side of the paths.
    pub to: Side,
    /// Whether it affects only traffic from `from` to `to`; otherwise both directions.
    pub one_way: bool,
    /// The kind of fault.
    pub path_fault: PathFault,
}

impl NetworkFault {
    /// Whether the fault affects traffic from sender `from` to sender `to`.
    pub fn between(&self, from: usize, to: usize) -> bool {
        let Side::Senders(others) = &self.to else {
            return false;
        };
        let forward = self.from.contains(&from) && others.contains(&to);
        let backward = self.from.contains(&to) && others.contains(&from);
        forward || (!self.one_way && backward)
    }

    /// Whether the fault affects traffic from a sender to the endpoints of a zone or, if `back` is set, from them to the
    /// sender.
    pub fn at_destinations(&self, sender: usize, zone: usize, back: bool) -> bool {
        let Side::Destinations(only) = self.to else {
            return false;
        };
        let affects_zone = only.is_none_or(|only| only == zone);
        let affects_direction = !(back && self.one_way);
        affects_zone && affects_direction && self.from.contains(&sender)
    }

    /// Whether the fault is between senders, not between senders and destinations.
    pub fn among_senders(&self) -> bool {
        matches!(self.to, Side::Senders(_))
    }

    /// Whether the fault is active at `now`, a time since the start of the scenario.
    pub fn is_on(&self, now: Duration) -> bool {
        self.at <= now && now < self.until
    }
}

/// The state of a sender's state folder after its process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    /// The folder is unchanged.
    Kept,
    /// The folder's contents are deleted.
    Wiped,
    /// The journal is damaged at an offset drawn from the seed: an older segment is truncated there, or an incomplete frame is
    /// appended to the newest one.
    Cut,
}

/// One of the two processes of a sender during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Which {
    /// The process that ran before the upgrade.
    Old,
    /// The process that the upgrade starts.
    New,
}

/// An action on a sender's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// SIGSTOP, and later SIGCONT.
    Stop {
        /// Time between the two signals.
        duration: Duration,
    },
    /// SIGKILL.
    Kill {
        /// Time from the end of the process until the sender is started again; `None` for never.
        back: Option<Duration>,
        /// State of its state folder afterwards.
        folder: Folder,
    },
    /// SIGTERM.
    Term {
        /// Time from the end of the process until the sender is started again; `None` for never.
        back: Option<Duration>,
        /// State of its state folder afterwards.
        folder: Folder,
    },
    /// A second process is started on the same state folder, as in an upgrade to a new version.
    Upgrade {
        /// Which of the two processes is killed, and how long after the start of the second one; `None` if neither is.
        kill: Option<(Which, Duration)>,
    },
}

/// An action on the processes of some senders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledAction {
    /// Time of the action, since the start of the scenario.
    pub at: Duration,
    /// Numbers of the senders whose processes are affected.
    pub senders: BTreeSet<usize>,
    /// The action.
    pub action: MemberAction,
}
