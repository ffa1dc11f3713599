//! A measured quantity: its description, the role whose resource or performance it measures, the size on which it depends, and its
//! budget.

use serde::Serialize;

use crate::plan::{self, Budget};

/// The component whose resource or performance a quantity measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A sender as a whole.
    Sender,
    /// A sender as a member of the fleet.
    Member,
    /// The discovery service.
    Discovery,
    /// A sender's journal.
    Journal,
    /// A client that submits messages.
    Client,
    /// A destination that messages are delivered to.
    Destination,
}

/// The size that a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Number of destinations in the endpoint list.
    Destinations,
    /// Number of pending messages of one sender.
    Backlog,
    /// Number of members of the fleet.
    Members,
    /// Messages per second of one sender.
    EventsPerSecond,
    /// Number of real senders that watch one discovery service.
    Watchers,
}

/// A group of measurements that vary the same size and run together.
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
    /// Changes of the endpoint list, with different numbers of watching senders.
    Changes,
}

/// The unit of a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes per second.
    #[serde(rename = "B/s")]
    BytesPerSecond,
    /// Packets per second.
    #[serde(rename = "packets/s")]
    PacketsPerSecond,
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// Milliseconds.
    #[serde(rename = "ms")]
    Milliseconds,
    /// Processor time in milliseconds per second.
    #[serde(rename = "ms/s")]
    MillisecondsPerSecond,
    /// Processor cores.
    #[serde(rename = "cores")]
    Cores,
    /// A number without a unit.
    #[serde(rename = "count")]
    Count,
    /// A share of a whole, from 0 to 1.
    #[serde(rename = "part")]
    Part,
}

/// Whether a figure depends on the machine. A `--quick` run compares only figures that do not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The same in every run, except for small differences of memory allocation.
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

/// The consequence of a quantity that exceeds its budget, the most severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Consequence {
    /// A rule is violated, or messages are lost.
    Rule,
    /// Only the budget is exceeded.
    Budget,
}

/// A measured quantity and its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantity {
    /// Identifies the row on the page, and must not change.
    pub id: &'static str,
    /// The sweep that measures the quantity.
    pub sweep: Sweep,
    /// The component whose resource or performance is measured.
    pub role: Role,
    /// The size on which the quantity depends.
    pub axis: Axis,
    /// Unit of the quantity's values and of its budget.
    pub unit: Unit,
    /// Whether its values depend on the machine.
    pub kind: Kind,
    /// Whether a larger value is worse or better.
    pub direction: Direction,
    /// Short description for the page.
    pub description: &'static str,
    /// The budget of a [`crate::Finding::Fitted`] value, if there is one.
    pub budget: Option<Budget>,
    /// The consequence of an exceeded budget.
    pub consequence: Consequence,
    /// Largest possible value; a fitted value is capped at it.
    pub max_value: f64,
    /// How much worse a later run may be than the stated figure, as a fraction of that figure.
    pub bound: f64,
}

impl Axis {
    /// The planned size on this axis.
    pub fn planned(self) -> f64 {
        match self {
            Axis::Destinations => plan::DESTINATIONS,
            Axis::Backlog => plan::BACKLOG_OF_A_SENDER,
            Axis::Members | Axis::Watchers => plan::SENDERS,
            Axis::EventsPerSecond => plan::EVENTS_PER_SECOND_OF_A_SENDER,
        }
    }

    /// Name of the size on the page.
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
    /// All sweeps, in the order in which they run.
    pub const ALL: [Sweep; 5] = [
        Sweep::Destinations,
        Sweep::Backlog,
        Sweep::Members,
        Sweep::Events,
        Sweep::Changes,
    ];

    /// Name of the sweep on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Sweep::Destinations => "destinations",
            Sweep::Backlog => "backlog",
            Sweep::Members => "members",
            Sweep::Events => "events",
            Sweep::Changes => "changes",
        }
    }

    /// The sweep with this name on the command line; `None` if there is none.
    pub fn named(name: &str) -> Option<Sweep> {
        Sweep::ALL.into_iter().find(|sweep| sweep.name() == name)
    }
}

impl Role {
    /// Name of the role on the page.
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
    /// Name of the consequence on the page.
    pub fn name(self) -> &'static str {
        match self {
            Consequence::Rule => "a rule, or a loss",
            Consequence::Budget => "a budget",
        }
    }
}

impl Unit {
    /// Name of the unit on the page; empty for [`Unit::Count`].
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
