//! Broken builds: each named breakage with a day on which it shows, and the rules of which one must catch it.

use cranehill_simulation::audit::Rule;

const DESTINATIONS: &str = include_str!("../../../rehearsals/days/broken-partners.toml");
const RESTARTS: &str = include_str!("../../../rehearsals/days/broken-restarts.toml");
const UNSAFE: &str = include_str!("../../../rehearsals/days/broken-unsafe.toml");
const RETURN: &str = include_str!("../../../rehearsals/days/broken-return.toml");

const ORDER: &str = include_str!("../../../rehearsals/days/broken-order.toml");

/// One breakage as a rehearsal plays it.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    pub rule: Rule,
    /// The day's file.
    pub day: &'static str,
}

/// All of them, by the names that a build with breakages knows.
pub const CASES: [Case; 15] = [
    Case {
        name: "ignores-waits",
        rule: Rule::Waits,
        day: DESTINATIONS,
    },
    Case {
        name: "sends-to-drained",
        rule: Rule::Drains,
        day: DESTINATIONS,
    },
    Case {
        name: "two-copies",
        rule: Rule::SecondCopy,
        day: DESTINATIONS,
    },
    Case {
        name: "forgets-journal",
        rule: Rule::OneEnd,
        day: RESTARTS,
    },
    Case {
        name: "answers-first",
        rule: Rule::OneEnd,
        day: RESTARTS,
    },
    Case {
        name: "drops-reports",
        rule: Rule::OneEnd,
        day: DESTINATIONS,
    },
    Case {
        name: "floods-cold",
        rule: Rule::Return,
        day: RETURN,
    },
    Case {
        name: "holds-answers",
        rule: Rule::Answers,
        day: DESTINATIONS,
    },
    Case {
        name: "reuses-spoilt",
        rule: Rule::Idle,
        day: DESTINATIONS,
    },
    Case {
        name: "repeats-unsafe",
        rule: Rule::Repeats,
        day: UNSAFE,
    },
    Case {
        name: "seventh-attempt",
        rule: Rule::Attempts,
        day: DESTINATIONS,
    },
    Case {
        name: "leaks-at-stop",
        rule: Rule::OneEnd,
        day: RESTARTS,
    },
    Case {
        name: "closes-clients",
        rule: Rule::Answers,
        day: DESTINATIONS,
    },
    Case {
        name: "ignores-order",
        rule: Rule::Order,
        day: ORDER,
    },
    Case {
        name: "forgets-order",
        rule: Rule::Order,
        day: ORDER,
    },
];
