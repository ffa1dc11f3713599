//! A measured quantity: what it is, who pays for it, by which size it grows, and which budget bounds it.

use serde::Serialize;

use crate::plan::{self, Budget};

/// Who pays for a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A sender.
    Sender,
    /// A sender as a member of the fleet.
    Member,
    /// Discovery.
    Discovery,
    /// A sender's journal.
    Journal,
    /// Whoever submits.
    Client,
    /// A destination.
    Destination,
}

/// The size that a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Destinations in the endpoint list.
    Destinations,
    /// Pending messages of one sender.
    Backlog,
    /// Members of the fleet.
    Members,
    /// Messages a second of one sender.
    EventsPerSecond,
    /// Real processes that watch one discovery.
    Watchers,
}

/// A group of measurements that is played together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sweep {
    /// Senders with endpoint lists of different lengths.
    Destinations,
    /// Restarts with backlogs of different sizes.
    Backlog,
    /// Fleets of different sizes.
    Members,
    /// Different rates of messages.
    Events,
    /// Changes of the endpoint list that different numbers of senders watch for.
    Changes,
}

/// The unit of a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes a second.
    #[serde(rename = "B/s")]
    BytesPerSecond,
    /// Packets a second.
    #[serde(rename = "packets/s")]
    PacketsPerSecond,
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// Milliseconds.
    #[serde(rename = "ms")]
    Milliseconds,
    /// Processor time in milliseconds a second.
    #[serde(rename = "ms/s")]
    MillisecondsPerSecond,
    /// Processor cores.
    #[serde(rename = "cores")]
    Cores,
    /// A plain number.
    #[serde(rename = "count")]
    Count,
    /// A part of a whole, 1 being all.
    #[serde(rename = "part")]
    Part,
}

/// What a figure depends on besides the program: what `--quick` may judge and what it may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The same in every run, but for bounded noise of the allocator.
    CountOrBytes,
    /// Depends on the machine and its load.
    Time,
}

/// Whether a larger value is worse or better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Larger is worse.
    Cost,
    /// Larger is better.
    Benefit,
}

/// What is broken by a quantity beyond its budget, the gravest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Consequence {
    /// A rule; or messages are lost.
    Rule,
    /// Only the budget itself.
    Budget,
}

/// One measured quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    /// Names the row on the page; it never changes.
    pub id: &'static str,
    /// The sweep that measures it.
    pub sweep: Sweep,
    /// Who pays for it.
    pub role: Role,
    /// The size that it depends on.
    pub axis: Axis,
    /// Its unit.
    pub unit: Unit,
    /// Whether it depends on the machine.
    pub kind: Kind,
    /// Whether a larger value is worse or better.
    pub direction: Direction,
    /// What it is, in one phrase.
    pub description: &'static str,
    /// What bounds it, if anything does.
    pub budget: Option<Budget>,
    /// What is broken beyond the budget.
    pub consequence: Consequence,
    /// No value is above this, whatever a fit says.
    pub ceiling: f64,
    /// By how much a later run may be worse than the stated figure, as a part of that figure.
    pub bound: f64,
}

impl Axis {
    /// The planned size.
    pub fn planned(self) -> f64 {
        match self {
            Axis::Destinations => plan::DESTINATIONS,
            Axis::Backlog => plan::BACKLOG_OF_A_SENDER,
            Axis::Members | Axis::Watchers => plan::SENDERS,
            Axis::EventsPerSecond => plan::EVENTS_PER_SECOND_OF_A_SENDER,
        }
    }

    /// The size as the page names it.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Destinations => "destinations listed",
            Axis::Backlog => "events held by one sender",
            Axis::Members => "members",
            Axis::EventsPerSecond => "events a second of one sender",
            Axis::Watchers => "senders that watch",
        }
    }
}

impl Sweep {
    /// All sweeps, in the order in which they are played.
    pub const ALL: [Sweep; 5] = [
        Sweep::Destinations,
        Sweep::Backlog,
        Sweep::Members,
        Sweep::Events,
        Sweep::Changes,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Sweep::Destinations => "destinations",
            Sweep::Backlog => "backlog",
            Sweep::Members => "members",
            Sweep::Events => "events",
            Sweep::Changes => "changes",
        }
    }

    /// The sweep of this name.
    pub fn named(name: &str) -> Option<Sweep> {
        Sweep::ALL.into_iter().find(|s| s.name() == name)
    }
}

impl Role {
    /// As on the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::Sender => "sender",
            Role::Member => "member",
            Role::Discovery => "discovery",
            Role::Journal => "journal",
            Role::Client => "client side",
            Role::Destination => "destination",
        }
    }
}

impl Consequence {
    /// As on the page.
    pub fn name(self) -> &'static str {
        match self {
            Consequence::Rule => "a rule, or a loss",
            Consequence::Budget => "a budget",
        }
    }
}

impl Unit {
    /// As on the page; empty for a plain number.
    pub fn name(self) -> &'static str {
        match self {
            Unit::Bytes => "B",
            Unit::BytesPerSecond => "B/s",
            Unit::PacketsPerSecond => "packets/s",
            Unit::Seconds => "s",
            Unit::Milliseconds => "ms",
            Unit::MillisecondsPerSecond => "ms/s",
            Unit::Cores => "cores",
            Unit::Count => "",
            Unit::Part => "of 1",
        }
    }
}
