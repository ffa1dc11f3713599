//! The planned size and the budgets, as the operators give them.

/// A budget and its source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// In the unit of the quantity that it bounds.
    pub max: f64,
    /// Where the operators give it.
    pub source: &'static str,
}

const PLAN: &str = "operators' table of the planned size";
const RULES: &str = "operators' rules for restarts, drains and lists";

/// Senders in all.
pub const SENDERS: f64 = 490.0;
/// Events a second over all senders.
pub const EVENTS_PER_SECOND: f64 = 59_000.0;
/// Events a second of one sender, on average.
pub const EVENTS_PER_SECOND_OF_A_SENDER: f64 = EVENTS_PER_SECOND / SENDERS;
/// Destinations listed.
pub const DESTINATIONS: f64 = 57_000.0;
/// Share of the destinations that is down at any time.
pub const DESTINATIONS_DOWN: f64 = 0.016;
/// Events of backlog over all senders.
pub const BACKLOG: f64 = 1.5e9;
/// Events of backlog of one sender, on average.
pub const BACKLOG_OF_A_SENDER: f64 = BACKLOG / SENDERS;
/// Regions.
pub const REGIONS: f64 = 2.0;
/// Zones over all regions.
pub const ZONES: f64 = 6.0;
/// Changes of configuration a day.
pub const CHANGES_PER_DAY: f64 = 820.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: f64 = 5.0;
/// Machines that fail a day.
pub const MACHINE_FAILURES_PER_DAY: f64 = 3.0;
/// Senders that are restarted or replaced a day.
pub const RESTARTS_PER_DAY: f64 = 30.0;

/// Seconds until a change of configuration is in force everywhere.
pub const CHANGE_IN_FORCE: Budget = Budget {
    max: 7.0,
    source: PLAN,
};
/// Processor time of a sender for control: milliseconds a second.
pub const CONTROL_PROCESSOR: Budget = Budget {
    max: 13.0,
    source: PLAN,
};
/// Memory of a sender for control, in bytes.
pub const CONTROL_MEMORY: Budget = Budget {
    max: 32e6,
    source: PLAN,
};
/// Bytes a second of a sender for control; taken as both directions together.
pub const CONTROL_BYTES: Budget = Budget {
    max: 13_000.0,
    source: PLAN,
};
/// Seconds from the start of a process until it is ready.
pub const READY: Budget = Budget {
    max: 10.0,
    source: RULES,
};
/// Seconds that one turn of the loop may take: new work at a draining endpoint must end within this time.
pub const TURN: Budget = Budget {
    max: 0.5,
    source: RULES,
};
/// Memory of a whole sender, in bytes: the top of the range that configurations give.
pub const SENDER_MEMORY: Budget = Budget {
    max: 192e6,
    source: "bounds of a sender's configuration",
};
/// Processor time of a sender that only waits, in milliseconds a second: one core, of which deliveries need a part.
pub const WAITING_PROCESSOR: Budget = Budget {
    max: 1_000.0,
    source: "bounds of a sender's configuration",
};
/// What all live senders may take together of a shared limit, in times the limit, while a cut lasts; a thousandth is
/// left for rounding.
pub const SHARE: Budget = Budget {
    max: 1.001,
    source: "rules: no share is raised by a cut",
};
/// Live members that a member does not see as alive once a disturbance is over.
pub const MISSING_MEMBERS: Budget = Budget {
    max: 0.0,
    source: "membership: views agree after a disturbance",
};
/// Cores of a whole sender.
pub const SENDER_CORES: Budget = Budget {
    max: 1.0,
    source: "bounds of a sender's configuration",
};
