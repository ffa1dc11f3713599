//! The rules that an audit checks.

use std::fmt;

/// A rule that the operators set for senders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted message is delivered or reported, and its final reports are all of one kind.
    OneEnd,
    /// Each message ends within its time to live and a grace period.
    InTime,
    /// At most one attempt of a message is in flight.
    SecondCopy,
    /// No possibly executed message is repeated if its class forbids that.
    Repeats,
    /// A message has at most [`RuleLimits::max_attempts`](super::RuleLimits::max_attempts) attempts.
    Attempts,
    /// A draining or removed endpoint receives no new calls after a grace period.
    Drains,
    /// No call to a destination before its `Retry-After` (RFC 9110, section 10.2.3) has passed.
    Waits,
    /// Senders that saw a destination fail do not overload it while it warms up.
    Return,
    /// No call on a connection that was idle too long, or that received further bytes after its last reply.
    Idle,
    /// Each submission is answered in time.
    Answers,
    /// Messages of one ordering key are delivered one at a time, in the order of submission.
    Order,
}

impl Rule {
    /// All rules, in the order in which reports list them.
    pub const ALL: [Rule; 11] = [
        Rule::OneEnd,
        Rule::InTime,
        Rule::SecondCopy,
        Rule::Repeats,
        Rule::Attempts,
        Rule::Drains,
        Rule::Waits,
        Rule::Return,
        Rule::Idle,
        Rule::Answers,
        Rule::Order,
    ];

    /// The rule in one phrase, as reports show it.
    pub fn description(self) -> &'static str {
        match self {
            Rule::OneEnd => "every accepted message has one end",
            Rule::InTime => "every end comes in time",
            Rule::SecondCopy => "never two attempts of a message at once",
            Rule::Repeats => "no repeat that its class forbids",
            Rule::Attempts => "six attempts at most",
            Rule::Drains => "nothing new to a draining endpoint after 500 ms",
            Rule::Waits => "Retry-After waits are respected",
            Rule::Return => "no returning destination is overloaded",
            Rule::Idle => "no connection is used that was idle too long, or spoilt",
            Rule::Answers => "every request is answered, in time",
            Rule::Order => "messages of one ordering key go one at a time, in submission order",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.description())
    }
}
