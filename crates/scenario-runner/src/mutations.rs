//! Mutations: deliberate defects of a sender, each with a scenario and the rule that must detect it.

use cranehill_simulation::audit::Rule;

const DESTINATIONS: &str = include_str!("../../../rehearsals/days/broken-partners.toml");
const RESTARTS: &str = include_str!("../../../rehearsals/days/broken-restarts.toml");
const UNSAFE: &str = include_str!("../../../rehearsals/days/broken-unsafe.toml");
const REPEATED_ANSWERS: &str = include_str!("../../../rehearsals/days/repeated-answers.toml");
const RETURN: &str = include_str!("../../../rehearsals/days/broken-return.toml");
const ORDER: &str = include_str!("../../../rehearsals/days/broken-order.toml");

/// One mutation with its scenario.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Its name, as [`Plan::mutation`](crate::Plan::mutation) and a build with mutations use it.
    pub name: &'static str,
    /// The rule that the sender with the mutation must violate.
    pub rule: Rule,
    /// The text of the scenario file.
    pub scenario: &'static str,
}

/// All mutations, in the order of the senders' own list.
pub const CASES: [Case; 16] = [
    Case {
        name: "ignores-waits",
        rule: Rule::Waits,
        scenario: DESTINATIONS,
    },
    Case {
        name: "sends-to-drained",
        rule: Rule::Drains,
        scenario: DESTINATIONS,
    },
    Case {
        name: "two-copies",
        rule: Rule::SecondCopy,
        scenario: DESTINATIONS,
    },
    Case {
        name: "forgets-journal",
        rule: Rule::OneEnd,
        scenario: RESTARTS,
    },
    Case {
        name: "answers-first",
        rule: Rule::OneEnd,
        scenario: RESTARTS,
    },
    Case {
        name: "drops-reports",
        rule: Rule::OneEnd,
        scenario: DESTINATIONS,
    },
    Case {
        name: "floods-cold",
        rule: Rule::Return,
        scenario: RETURN,
    },
    Case {
        name: "holds-answers",
        rule: Rule::Answers,
        scenario: DESTINATIONS,
    },
    Case {
        name: "reuses-spoilt",
        rule: Rule::Idle,
        scenario: DESTINATIONS,
    },
    Case {
        name: "reuses-at-once",
        rule: Rule::OneEnd,
        scenario: REPEATED_ANSWERS,
    },
    Case {
        name: "repeats-unsafe",
        rule: Rule::Repeats,
        scenario: UNSAFE,
    },
    Case {
        name: "seventh-attempt",
        rule: Rule::Attempts,
        scenario: DESTINATIONS,
    },
    Case {
        name: "leaks-at-stop",
        rule: Rule::OneEnd,
        scenario: RESTARTS,
    },
    Case {
        name: "closes-clients",
        rule: Rule::Answers,
        scenario: DESTINATIONS,
    },
    Case {
        name: "ignores-order",
        rule: Rule::Order,
        scenario: ORDER,
    },
    Case {
        name: "forgets-order",
        rule: Rule::Order,
        scenario: ORDER,
    },
];
