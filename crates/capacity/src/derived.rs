//! Derives further figures at the planned size from several measured ones.

use crate::figure::Figure;
use crate::plan;
use crate::stated::Stated;
use crate::table::number;

/// Seconds after which discovery answers a watch without a change.
const WATCH_HOLD_SECONDS: f64 = 3.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Changes of configuration per second.
const CHANGES_PER_SECOND: f64 = plan::CHANGES_PER_DAY / SECONDS_PER_DAY;

/// States of the fleet for which a sender's control bytes are derived: the row's label, and the part of the ids of the membership
/// figures that names the state.
const FLEET_STATES: [(&str, &str); 6] = [
    ("control bytes of a sender, quiet", "quiet"),
    ("control bytes of a sender, one in ten crashed", "crashes"),
    ("control bytes of a sender, a zone of six gone", "zone"),
    ("control bytes of a sender, one in thirty gone", "rack"),
    (
        "control bytes of a sender, one in sixteen restarted",
        "restarts",
    ),
    ("control bytes of a sender, halves cut", "halves"),
];

/// A figure computed from measured figures or from the plan, as a row of the page.
struct Derived {
    label: &'static str,
    /// The figures from which the value is derived, as the row names them.
    from: &'static str,
    value: f64,
    unit: &'static str,
    budget: Option<f64>,
}

impl Derived {
    /// The figure as a Markdown row.
    fn row(&self) -> String {
        let (value, unit) = (number(self.value), self.unit);
        let (budget, factor_left) = match self.budget {
            Some(budget) => (
                format!("{} {unit}", number(budget)),
                number(budget / self.value),
            ),
            None => ("-".to_owned(), "-".to_owned()),
        };
        let (label, from) = (self.label, self.from);
        format!("| {label} | {from} | {value} {unit} | {budget} | {factor_left} |")
    }
}

/// All figures that can be derived from those of a run, as a Markdown table.
pub fn of_run(figures: &[Figure]) -> Vec<String> {
    rows(&|id| {
        let figure = figures.iter().find(|figure| figure.quantity.id == id);
        figure.map(Figure::planned)
    })
}

/// All figures that can be derived from those that a page states, as a Markdown table.
pub fn of_page(stated: &[Stated]) -> Vec<String> {
    rows(&|id| {
        let stated = stated.iter().find(|stated| stated.quantity.id == id);
        stated.map(|stated| stated.planned)
    })
}

/// Returns the value of a measured figure at the planned size, by its id; `None` if it was not measured.
type Measured<'a> = &'a dyn Fn(&str) -> Option<f64>;

fn rows(measured: Measured<'_>) -> Vec<String> {
    let head = [
        "| worked out | from | at the planned size | budget | factor left |",
        "| --- | --- | --- | --- | --- |",
    ];
    let derived = FLEET_STATES
        .iter()
        .map(|(label, state)| control_bytes(measured, label, state))
        .chain([control_processor(measured), control_memory(measured)])
        .chain(discovery_loads(measured))
        .chain([journals(measured)])
        .chain(event_rates().map(Some));
    let rows = derived.flatten().map(|derived| derived.row());
    head.into_iter().map(str::to_owned).chain(rows).collect()
}

/// Upper bound of the bytes per second between a sender and discovery. Every watch is counted as one with a change; the answer to a
/// watch without a change is a list without rows, which is shorter.
fn discovery_bytes(measured: Measured<'_>) -> Option<f64> {
    let watches = CHANGES_PER_SECOND + 1.0 / WATCH_HOLD_SECONDS;
    Some(measured("destinations.change-bytes")? * watches)
}

fn control_bytes(measured: Measured<'_>, label: &'static str, state: &str) -> Option<Derived> {
    let membership = measured(&format!("members.{state}.bytes"))?;
    Some(Derived {
        label,
        from: "membership, a held watch each 3 s, 820 changes a day",
        value: membership + discovery_bytes(measured)?,
        unit: "B/s",
        budget: Some(plan::CONTROL_BYTES.max),
    })
}

fn control_processor(measured: Measured<'_>) -> Option<Derived> {
    let membership = measured("members.quiet.processor")?;
    let changes = measured("destinations.change-processor")? * CHANGES_PER_SECOND;
    Some(Derived {
        label: "control processor time of a sender, quiet",
        from: "membership, 820 changes a day",
        value: membership + changes,
        unit: "ms/s",
        budget: Some(plan::CONTROL_PROCESSOR.max),
    })
}

fn control_memory(measured: Measured<'_>) -> Option<Derived> {
    Some(Derived {
        label: "control memory of a sender",
        from: "an idle sender with the whole list, and membership",
        value: measured("destinations.resident")? + measured("members.quiet.resident")?,
        unit: "B",
        budget: Some(plan::CONTROL_MEMORY.max),
    })
}

fn discovery_loads(measured: Measured<'_>) -> [Option<Derived>; 3] {
    let list_bytes = measured("destinations.list-bytes");
    let all_senders = discovery_bytes(measured).map(|each| Derived {
        label: "what all senders ask of discovery",
        from: "490 times a held watch each 3 s and 820 changes a day",
        value: each * plan::SENDERS,
        unit: "B/s",
        budget: None,
    });
    let list_time = list_bytes.map(|list| Derived {
        label: "a whole list at a sender's control budget",
        from: "`destinations.list-bytes` over 13 KB/s",
        value: list / plan::CONTROL_BYTES.max,
        unit: "s",
        budget: Some(plan::CHANGE_IN_FORCE.max),
    });
    let zone_start = list_bytes.map(|list| Derived {
        label: "whole lists for a zone that starts again within 10 s, of discovery",
        from: "490 / 6 lists over 10 s",
        value: list * plan::SENDERS / plan::ZONES / plan::READY.max,
        unit: "B/s",
        budget: None,
    });
    [all_senders, list_time, zone_start]
}

fn journals(measured: Measured<'_>) -> Option<Derived> {
    measured("backlog.disk").map(|disk| Derived {
        label: "journals of all senders",
        from: "490 times `backlog.disk`",
        value: disk * plan::SENDERS,
        unit: "B",
        budget: None,
    })
}

/// Figures that follow from the plan alone.
fn event_rates() -> [Derived; 2] {
    let to_destination = plan::EVENTS_PER_SECOND / plan::DESTINATIONS;
    [
        Derived {
            label: "events a second to a destination, from all senders",
            from: "59,000 over 57,000 destinations",
            value: to_destination,
            unit: "/s",
            budget: None,
        },
        Derived {
            label: "events a second of one sender to one destination",
            from: "the same over 490 senders",
            value: to_destination / plan::SENDERS,
            unit: "/s",
            budget: None,
        },
    ]
}
