//! The planned size of the fleet and the budgets, as given by the operators.

/// The largest value that a quantity may have, and the source of that requirement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Largest allowed value, in the unit of the quantity.
    pub max: f64,
    /// Document or rule of the operators that gives the budget.
    pub source: &'static str,
}

const PLAN: &str = "operators' table of the planned size";
const RULES: &str = "operators' rules for restarts, drains and lists";

/// Number of senders of the whole fleet.
pub const SENDERS: f64 = 490.0;
/// Events per second of all senders together.
pub const EVENTS_PER_SECOND: f64 = 59_000.0;
/// Average events per second of one sender.
pub const EVENTS_PER_SECOND_OF_A_SENDER: f64 = EVENTS_PER_SECOND / SENDERS;
/// Number of destinations in the endpoint list.
pub const DESTINATIONS: f64 = 57_000.0;
/// Share of the destinations that are down at any time.
pub const DESTINATIONS_DOWN: f64 = 0.016;
/// Number of pending events of all senders together.
pub const BACKLOG: f64 = 1.5e9;
/// Average number of pending events of one sender.
pub const BACKLOG_OF_A_SENDER: f64 = BACKLOG / SENDERS;
/// Number of regions.
pub const REGIONS: f64 = 2.0;
/// Number of zones in all regions together.
pub const ZONES: f64 = 6.0;
/// Changes of configuration per day.
pub const CHANGES_PER_DAY: f64 = 820.0;
/// Number of machines that are reserved for control.
pub const CONTROL_MACHINES: f64 = 5.0;
/// Number of machines that fail per day.
pub const MACHINE_FAILURES_PER_DAY: f64 = 3.0;
/// Number of senders that are restarted or replaced per day.
pub const RESTARTS_PER_DAY: f64 = 30.0;

/// Seconds until a change of configuration is applied by all senders.
pub const CHANGE_IN_FORCE: Budget = Budget {
    max: 7.0,
    source: PLAN,
};
/// Processor time of a sender for control, in milliseconds per second.
pub const CONTROL_PROCESSOR: Budget = Budget {
    max: 13.0,
    source: PLAN,
};
/// Memory of a sender for control, in bytes.
pub const CONTROL_MEMORY: Budget = Budget {
    max: 32e6,
    source: PLAN,
};
/// Bytes per second of a sender for control, both directions together.
pub const CONTROL_BYTES: Budget = Budget {
    max: 13_000.0,
    source: PLAN,
};
/// Seconds from the start of a process until it is ready.
pub const READY: Budget = Budget {
    max: 10.0,
    source: RULES,
};
/// Seconds that one turn of the event loop may take. A draining endpoint must get no new work after this time.
pub const TURN: Budget = Budget {
    max: 0.5,
    source: RULES,
};
/// Memory of a whole sender, in bytes: the upper end of the range in configurations.
pub const SENDER_MEMORY: Budget = Budget {
    max: 192e6,
    source: "bounds of a sender's configuration",
};
/// Processor time of a sender that waits and delivers nothing, in milliseconds per second: one core, of which deliveries need a
/// part.
pub const WAITING_PROCESSOR: Budget = Budget {
    max: 1_000.0,
    source: "bounds of a sender's configuration",
};
/// Share of a shared limit that all live senders together may use during a cut, as a multiple of the limit. A thousandth is added
/// for rounding.
pub const SHARE: Budget = Budget {
    max: 1.001,
    source: "rules: no share is raised by a cut",
};
/// Number of live members that a member does not see as alive after the end of a disturbance.
pub const MISSING_MEMBERS: Budget = Budget {
    max: 0.0,
    source: "membership: views agree after a disturbance",
};
/// Processor cores of a whole sender.
pub const SENDER_CORES: Budget = Budget {
    max: 1.0,
    source: "bounds of a sender's configuration",
};
