//! The catalog of all quantities that sweeps measure.

use crate::plan;
use crate::quantity::{Axis, Consequence, Direction, Kind, Quantity, Role, Sweep, Unit};

/// How much worse a count or the size of a message may be in a later run, as a fraction of the stated figure.
const EXACT_BOUND: f64 = 0.02;
/// How much worse a memory figure may be: allocators and page sizes differ.
const MEMORY_BOUND: f64 = 0.25;
/// How much worse a time may be on the same machine.
const TIME_BOUND: f64 = 1.0;

/// How much worse a traffic figure of membership may be: gossip is random.
const MEMBERSHIP_BOUND: f64 = 0.2;

/// Default values of a quantity.
const BASE: Quantity = Quantity {
    id: "",
    sweep: Sweep::Destinations,
    role: Role::Sender,
    axis: Axis::Destinations,
    unit: Unit::Bytes,
    kind: Kind::CountOrBytes,
    direction: Direction::Cost,
    description: "",
    budget: None,
    consequence: Consequence::Budget,
    max_value: f64::INFINITY,
    bound: EXACT_BOUND,
};
/// Default values of a time.
const TIMED: Quantity = Quantity {
    kind: Kind::Time,
    unit: Unit::Seconds,
    bound: TIME_BOUND,
    ..BASE
};
/// Default values of a count or size in the backlog sweep.
const BACKLOG: Quantity = Quantity {
    sweep: Sweep::Backlog,
    axis: Axis::Backlog,
    ..BASE
};
/// Default values of a time in the backlog sweep.
const BACKLOG_TIMED: Quantity = Quantity {
    sweep: Sweep::Backlog,
    axis: Axis::Backlog,
    ..TIMED
};
/// Default values of a count or size in the members sweep.
const MEMBERS: Quantity = Quantity {
    sweep: Sweep::Members,
    axis: Axis::Members,
    role: Role::Member,
    bound: MEMBERSHIP_BOUND,
    ..BASE
};
/// Default values of a time in the members sweep.
const MEMBERS_TIMED: Quantity = Quantity {
    sweep: Sweep::Members,
    axis: Axis::Members,
    role: Role::Member,
    ..TIMED
};

/// All quantities, in the order of the page's rows.
pub const QUANTITIES: &[Quantity] = &[
    Quantity {
        id: "destinations.resident",
        description: "resident memory of an idle sender",
        budget: Some(plan::CONTROL_MEMORY),
        bound: MEMORY_BOUND,
        ..BASE
    },
    Quantity {
        id: "destinations.ready",
        consequence: Consequence::Rule,
        description: "start of the process to its ingress listening, the list being in the configuration",
        budget: Some(plan::READY),
        ..TIMED
    },
    Quantity {
        id: "destinations.list-taken",
        consequence: Consequence::Rule,
        role: Role::Discovery,
        unit: Unit::Count,
        direction: Direction::Benefit,
        description: "most destinations of a whole list that a sender takes from discovery",
        ..BASE
    },
    Quantity {
        id: "destinations.list-bytes",
        role: Role::Discovery,
        description: "a whole list, head and body",
        ..BASE
    },
    Quantity {
        id: "destinations.list-step",
        consequence: Consequence::Rule,
        unit: Unit::Seconds,
        description: "processor time in the reducer of a whole list in which nothing has changed",
        budget: Some(plan::TURN),
        ..TIMED
    },
    Quantity {
        id: "destinations.change-bytes",
        role: Role::Discovery,
        description: "one pushed change: its answer and the next question",
        ..BASE
    },
    Quantity {
        id: "destinations.change-processor",
        unit: Unit::Milliseconds,
        description: "processor time of one pushed change",
        ..TIMED
    },
    Quantity {
        id: "destinations.change-in-force",
        consequence: Consequence::Rule,
        description: "ten changes at once, told to the sender's next question",
        budget: Some(plan::CHANGE_IN_FORCE),
        ..TIMED
    },
    Quantity {
        id: "backlog.resident",
        description: "peak resident memory of a sender that takes the backlog up again",
        budget: Some(plan::SENDER_MEMORY),
        bound: MEMORY_BOUND,
        ..BACKLOG
    },
    Quantity {
        id: "backlog.disk",
        role: Role::Journal,
        description: "the journal's folder",
        ..BACKLOG
    },
    Quantity {
        id: "backlog.ready",
        consequence: Consequence::Rule,
        description: "start of the process to its ingress listening",
        budget: Some(plan::READY),
        ..BACKLOG_TIMED
    },
    Quantity {
        id: "backlog.recover-step",
        consequence: Consequence::Rule,
        description: "processor time in the reducer until what the journal told is held",
        budget: Some(plan::READY),
        ..BACKLOG_TIMED
    },
    Quantity {
        id: "backlog.first-turn",
        consequence: Consequence::Rule,
        description: "processor time of the first turn after a restart",
        budget: Some(plan::TURN),
        ..BACKLOG_TIMED
    },
    Quantity {
        id: "backlog.turn",
        consequence: Consequence::Rule,
        description: "processor time of a later turn that sends nothing",
        budget: Some(plan::TURN),
        ..BACKLOG_TIMED
    },
    Quantity {
        id: "backlog.waiting-processor",
        unit: Unit::MillisecondsPerSecond,
        description: "processor time of a sender that waits with its backlog, no destination answering",
        budget: Some(plan::WAITING_PROCESSOR),
        ..BACKLOG_TIMED
    },
    Quantity {
        id: "backlog.taken-up",
        consequence: Consequence::Rule,
        unit: Unit::Count,
        direction: Direction::Benefit,
        description: "largest backlog of which a restart gives up at most half with no call, the settings' bound on held events being 20,000",
        ..BACKLOG
    },
    Quantity {
        id: "backlog.out-of-order",
        unit: Unit::Part,
        description: "part of the first 1,000 sent that is not among the 1,000 with the earliest deadlines",
        max_value: 1.0,
        ..BACKLOG
    },
    Quantity {
        id: "members.quiet.bytes",
        unit: Unit::BytesPerSecond,
        description: "sent and received by one member",
        budget: Some(plan::CONTROL_BYTES),
        ..MEMBERS
    },
    Quantity {
        id: "members.quiet.packets",
        unit: Unit::PacketsPerSecond,
        description: "sent by one member",
        ..MEMBERS
    },
    Quantity {
        id: "members.quiet.processor",
        unit: Unit::MillisecondsPerSecond,
        description: "processor time of one member",
        budget: Some(plan::CONTROL_PROCESSOR),
        ..MEMBERS_TIMED
    },
    Quantity {
        id: "members.quiet.resident",
        description: "resident memory of one member's state",
        budget: Some(plan::CONTROL_MEMORY),
        bound: MEMORY_BOUND,
        ..MEMBERS
    },
    Quantity {
        id: "members.quiet.missing",
        consequence: Consequence::Rule,
        unit: Unit::Count,
        description: "pairs of live members of which one does not see the other alive, at the end",
        budget: Some(plan::MISSING_MEMBERS),
        ..MEMBERS
    },
    Quantity {
        id: "members.crashes.bytes",
        unit: Unit::BytesPerSecond,
        description: "sent and received by one member, one in ten having crashed",
        budget: Some(plan::CONTROL_BYTES),
        ..MEMBERS
    },
    Quantity {
        id: "members.crashes.processor",
        unit: Unit::MillisecondsPerSecond,
        description: "processor time of one member, one in ten having crashed",
        budget: Some(plan::CONTROL_PROCESSOR),
        ..MEMBERS_TIMED
    },
    Quantity {
        id: "members.crashes.detection",
        description: "crash to down in 99 of 100 live views",
        ..MEMBERS_TIMED
    },
    Quantity {
        id: "members.crashes.missing",
        consequence: Consequence::Rule,
        unit: Unit::Count,
        description: "as in the quiet state, one in ten having crashed",
        budget: Some(plan::MISSING_MEMBERS),
        ..MEMBERS
    },
    Quantity {
        id: "members.zone.bytes",
        unit: Unit::BytesPerSecond,
        description: "sent and received by one member, a zone of six being gone",
        budget: Some(plan::CONTROL_BYTES),
        ..MEMBERS
    },
    Quantity {
        id: "members.zone.missing",
        consequence: Consequence::Rule,
        unit: Unit::Count,
        description: "as in the quiet state, a zone of six being gone",
        budget: Some(plan::MISSING_MEMBERS),
        ..MEMBERS
    },
    Quantity {
        id: "members.rack.bytes",
        unit: Unit::BytesPerSecond,
        description: "sent and received by one member, one in thirty being gone",
        budget: Some(plan::CONTROL_BYTES),
        ..MEMBERS
    },
    Quantity {
        id: "members.rack.missing",
        consequence: Consequence::Rule,
        unit: Unit::Count,
        description: "as in the quiet state, one in thirty being gone",
        budget: Some(plan::MISSING_MEMBERS),
        ..MEMBERS
    },
    Quantity {
        id: "members.restarts.bytes",
        unit: Unit::BytesPerSecond,
        description: "sent and received by one member, one in sixteen having restarted at once",
        budget: Some(plan::CONTROL_BYTES),
        ..MEMBERS
    },
    Quantity {
        id: "members.restarts.missing",
        consequence: Consequence::Rule,
        unit: Unit::Count,
        description: "as in the quiet state, one in sixteen having restarted at once",
        budget: Some(plan::MISSING_MEMBERS),
        ..MEMBERS
    },
    Quantity {
        id: "members.halves.bytes",
        unit: Unit::BytesPerSecond,
        description: "sent and received by one member, two halves being cut from each other",
        budget: Some(plan::CONTROL_BYTES),
        ..MEMBERS
    },
    Quantity {
        id: "members.halves.agreed",
        description: "end of the cut to one view everywhere",
        ..MEMBERS_TIMED
    },
    Quantity {
        id: "members.halves.missing",
        consequence: Consequence::Rule,
        unit: Unit::Count,
        description: "as in the quiet state, after the cut",
        budget: Some(plan::MISSING_MEMBERS),
        ..MEMBERS
    },
    Quantity {
        id: "members.halves.share",
        consequence: Consequence::Rule,
        unit: Unit::Part,
        description: "most that all took together of a shared limit",
        budget: Some(plan::SHARE),
        ..MEMBERS
    },
    Quantity {
        id: "events.cores",
        sweep: Sweep::Events,
        axis: Axis::EventsPerSecond,
        unit: Unit::Cores,
        description: "processor time of a sender",
        budget: Some(plan::SENDER_CORES),
        ..TIMED
    },
    Quantity {
        id: "events.answered",
        sweep: Sweep::Events,
        axis: Axis::EventsPerSecond,
        role: Role::Client,
        unit: Unit::Milliseconds,
        description: "handing in to the answer, 99 of 100",
        ..TIMED
    },
    Quantity {
        id: "events.resident",
        sweep: Sweep::Events,
        axis: Axis::EventsPerSecond,
        description: "resident memory of a sender",
        budget: Some(plan::SENDER_MEMORY),
        bound: MEMORY_BOUND,
        ..BASE
    },
    Quantity {
        id: "changes.one-in-force",
        consequence: Consequence::Rule,
        sweep: Sweep::Changes,
        axis: Axis::Watchers,
        role: Role::Discovery,
        description: "one change, until the last real sender has asked on from it",
        budget: Some(plan::CHANGE_IN_FORCE),
        ..TIMED
    },
    Quantity {
        id: "changes.ten-in-force",
        consequence: Consequence::Rule,
        sweep: Sweep::Changes,
        axis: Axis::Watchers,
        role: Role::Discovery,
        description: "ten changes at once, until the last real sender has asked on from them",
        budget: Some(plan::CHANGE_IN_FORCE),
        ..TIMED
    },
    Quantity {
        id: "changes.discovery-bytes",
        sweep: Sweep::Changes,
        axis: Axis::Watchers,
        role: Role::Discovery,
        description: "of one change, read and written by discovery for all senders",
        ..BASE
    },
];

/// The quantity with this id; `None` if the catalog has none.
pub fn quantity(id: &str) -> Option<&'static Quantity> {
    QUANTITIES.iter().find(|quantity| quantity.id == id)
}
