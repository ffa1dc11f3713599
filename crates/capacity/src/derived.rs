//! What follows from several figures together, worked out at the planned size.

use crate::figure::Figure;
use crate::page::Stated;
use crate::plan;
use crate::table::number;

/// A discovery holds a watch that tells nothing for so long, in seconds.
const WATCH_HELD: f64 = 3.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// One row: what it is, from what it is worked out, and the value.
struct Derived {
    what: &'static str,
    from: &'static str,
    value: f64,
    unit: &'static str,
    budget: Option<f64>,
}

impl Derived {
    fn line(&self) -> String {
        let budget = self
            .budget
            .map_or("-".into(), |b| format!("{} {}", number(b), self.unit));
        let left = self.budget.map_or("-".into(), |b| number(b / self.value));
        format!(
            "| {} | {} | {} {} | {budget} | {left} |",
            self.what,
            self.from,
            number(self.value),
            self.unit
        )
    }
}

/// What can be worked out from the figures of a run, as Markdown with its head.
pub fn of_run(figures: &[Figure]) -> Vec<String> {
    rows(&|id| {
        figures
            .iter()
            .find(|f| f.quantity.id == id)
            .map(Figure::planned)
    })
}

/// What can be worked out from the figures that a page states.
pub fn of_page(stated: &[Stated]) -> Vec<String> {
    rows(&|id| {
        stated
            .iter()
            .find(|s| s.quantity.id == id)
            .map(|s| s.planned)
    })
}

fn rows(value: &dyn Fn(&str) -> Option<f64>) -> Vec<String> {
    let head = [
        "| worked out | from | at the planned size | budget | factor left |",
        "| --- | --- | --- | --- | --- |",
    ];
    let rows = all(value).into_iter().flatten().map(|d| d.line());
    head.into_iter().map(str::to_owned).chain(rows).collect()
}

fn all(value: &dyn Fn(&str) -> Option<f64>) -> Vec<Option<Derived>> {
    let changes = plan::CHANGES_PER_DAY / SECONDS_PER_DAY;
    // A watch that tells nothing is answered by a list without rows, shorter than one with a change.
    let discovery = || Some(value("destinations.change-bytes")? * (changes + 1.0 / WATCH_HELD));
    let control = |state: &str| Some(value(&format!("members.{state}.bytes"))? + discovery()?);
    let bytes = |what, state: &str| {
        Some(Derived {
            what,
            from: "membership, a held watch each 3 s, 820 changes a day",
            value: control(state)?,
            unit: "B/s",
            budget: Some(plan::CONTROL_BYTES.most),
        })
    };
    vec![
        bytes("control bytes of a sender, quiet", "quiet"),
        bytes("control bytes of a sender, one in ten crashed", "crashes"),
        bytes("control bytes of a sender, a zone of six gone", "zone"),
        bytes("control bytes of a sender, one in thirty gone", "rack"),
        bytes(
            "control bytes of a sender, one in sixteen restarted",
            "restarts",
        ),
        bytes("control bytes of a sender, halves cut", "halves"),
        processor(value, changes),
        memory(value),
        discovery().map(|each| Derived {
            what: "what all senders ask of discovery",
            from: "490 times a held watch each 3 s and 820 changes a day",
            value: each * plan::SENDERS,
            unit: "B/s",
            budget: None,
        }),
        value("destinations.list-bytes").map(|list| Derived {
            what: "a whole list at a sender's control budget",
            from: "`destinations.list-bytes` over 13 KB/s",
            value: list / plan::CONTROL_BYTES.most,
            unit: "s",
            budget: Some(plan::CHANGE_IN_FORCE.most),
        }),
        value("destinations.list-bytes").map(|list| Derived {
            what: "whole lists for a zone that starts again within 10 s, of discovery",
            from: "490 / 6 lists over 10 s",
            value: list * plan::SENDERS / plan::ZONES / plan::READY.most,
            unit: "B/s",
            budget: None,
        }),
        value("backlog.disk").map(|disk| Derived {
            what: "journals of all senders",
            from: "490 times `backlog.disk`",
            value: disk * plan::SENDERS,
            unit: "B",
            budget: None,
        }),
        Some(Derived {
            what: "events a second to a destination, from all senders",
            from: "59,000 over 57,000 destinations",
            value: plan::EVENTS_PER_SECOND / plan::DESTINATIONS,
            unit: "/s",
            budget: None,
        }),
        Some(Derived {
            what: "events a second of one sender to one destination",
            from: "the same over 490 senders",
            value: plan::EVENTS_PER_SECOND / plan::DESTINATIONS / plan::SENDERS,
            unit: "/s",
            budget: None,
        }),
    ]
}

fn processor(value: &dyn Fn(&str) -> Option<f64>, changes: f64) -> Option<Derived> {
    let members = value("members.quiet.processor")?;
    let changes = value("destinations.change-processor")? * changes;
    Some(Derived {
        what: "control processor time of a sender, quiet",
        from: "membership, 820 changes a day",
        value: members + changes,
        unit: "ms/s",
        budget: Some(plan::CONTROL_PROCESSOR.most),
    })
}

fn memory(value: &dyn Fn(&str) -> Option<f64>) -> Option<Derived> {
    Some(Derived {
        what: "control memory of a sender",
        from: "an idle sender with the whole list, and membership",
        value: value("destinations.resident")? + value("members.quiet.resident")?,
        unit: "B",
        budget: Some(plan::CONTROL_MEMORY.most),
    })
}
