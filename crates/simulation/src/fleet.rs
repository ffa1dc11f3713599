//! How senders know each other, and what breaks between and under them.

use std::collections::BTreeSet;
use std::time::Duration;

/// How the senders look after each other. Spans that are not given are the sender's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    pub period: Duration,
    pub round_trip: Duration,
    pub suspicion: Option<Duration>,
    pub hold: Duration,
    /// They come back by steps after a restart.
    pub recovery: bool,
    /// They leave zones, and return to them, together.
    pub zones: bool,
}

/// What happens to a way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PathFault {
    /// Nothing gets through.
    Cut,
    /// So many of the packets are lost; what a connection carries comes late instead.
    Drop { share: f64 },
    /// All is late by that.
    Delay { by: Duration },
    /// All is held, and comes at the end.
    Stall,
    /// Connections are reset as it begins.
    Reset,
}

/// The other side of a way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    Senders(BTreeSet<usize>),
    /// All endpoints, or those of one zone.
    Destinations(Option<usize>),
}

/// Ways that are broken for a time.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkFault {
    pub at: Duration,
    pub until: Duration,
    pub from: BTreeSet<usize>,
    pub to: Side,
    /// From one side to the other, and not back.
    pub one_way: bool,
    pub path_fault: PathFault,
}

impl NetworkFault {
    /// Whether it is on the way from one sender to another.
    pub fn between(&self, from: usize, to: usize) -> bool {
        let Side::Senders(others) = &self.to else {
            return false;
        };
        self.from.contains(&from) && others.contains(&to)
            || !self.one_way && self.from.contains(&to) && others.contains(&from)
    }

    /// Whether it is on the way from a sender to the endpoints of a zone, or back.
    pub fn at_destinations(&self, sender: usize, zone: usize, back: bool) -> bool {
        let Side::Destinations(only) = self.to else {
            return false;
        };
        only.is_none_or(|only| only == zone)
            && self.from.contains(&sender)
            && !(back && self.one_way)
    }

    /// Whether it lies between senders.
    pub fn among_senders(&self) -> bool {
        matches!(self.to, Side::Senders(_))
    }

    pub fn duration_at(&self, now: Duration) -> bool {
        self.at <= now && now < self.until
    }
}

/// What becomes of the folder that lasts, once its process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    Kept,
    Wiped,
    /// One of the journal's segments ends at a place that the seed draws.
    Cut,
}

/// Of two processes of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Which {
    Old,
    New,
}

/// What is done to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// SIGSTOP, and SIGCONT at the end.
    Stop { duration: Duration },
    /// SIGKILL; started again so long after its end, or never.
    Kill {
        back: Option<Duration>,
        folder: Folder,
    },
    /// SIGTERM; as before.
    Term {
        back: Option<Duration>,
        folder: Folder,
    },
    /// Started a second time beside itself, over the same folder, as for a new version; one of the two may be killed so
    /// long after that.
    Upgrade { kill: Option<(Which, Duration)> },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledAction {
    pub at: Duration,
    pub senders: BTreeSet<usize>,
    pub action: MemberAction,
}
