//! Cases and violations that the rules' auditors find, and the resulting verdicts.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::rule::Rule;

/// Violations of one rule that a verdict lists. One is enough to fail; further ones only help to find the cause.
const MAX_LISTED_VIOLATIONS: usize = 100;

/// A violation of a rule, with the records that prove it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Id of the message concerned, if there is one.
    pub id: Option<String>,
    /// Number of the destination concerned, if there is one.
    pub destination: Option<u64>,
    /// Time of the record that shows the violation, since the start of the scenario.
    pub at: Duration,
    /// Description of the violation in one phrase.
    pub why: String,
    /// Evidence from the records: bytes from the wire, or sentences.
    pub wire: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at.as_secs_f64();
        write!(f, "{seconds:.3} s: {}: {}", self.rule, self.why)?;
        if let Some(id) = &self.id {
            write!(f, " (message {id})")?;
        }
        if let Some(destination) = self.destination {
            write!(f, " (destination {destination})")?;
        }
        self.wire.iter().try_for_each(|w| write!(f, "\n    {w}"))
    }
}

/// The result of an audit of one rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The rule was kept in all cases.
    Kept {
        /// Number of cases in which the rule could have been violated.
        cases: u64,
    },
    /// The rule was violated. Lists the first violations, a bounded number of them.
    Broken(Vec<Violation>),
    /// No violation was found, but the delay of the recording left some cases undecided.
    NotJudged {
        /// Number of undecided cases.
        cases: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct CaseCounts {
    kept: u64,
    not_judged: u64,
}

/// Collects the cases and violations of all rules.
#[derive(Debug, Default)]
pub(super) struct Findings {
    violations: Vec<Violation>,
    cases: BTreeMap<Rule, CaseCounts>,
}

impl Findings {
    /// Counts a case in which the rule was kept.
    pub(super) fn kept(&mut self, rule: Rule) {
        self.cases.entry(rule).or_default().kept += 1;
    }

    /// Adds a violation.
    pub(super) fn broken(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Judges one case of a time bound. It is kept if there is no `excess`, undecided if the excess is within the delay of the
    /// recording, and otherwise a violation.
    pub(super) fn judge(
        &mut self,
        rule: Rule,
        excess: Option<Duration>,
        recording_delay: Duration,
        violation: impl FnOnce() -> Violation,
    ) {
        match excess {
            None => self.kept(rule),
            Some(excess) if excess <= recording_delay => {
                self.cases.entry(rule).or_default().not_judged += 1;
            }
            Some(_) => self.broken(violation()),
        }
    }

    /// The verdict on a rule from all cases so far.
    pub(super) fn verdict(&self, rule: Rule) -> Verdict {
        let of_rule = self.violations.iter().filter(|v| v.rule == rule);
        let violations: Vec<Violation> = of_rule.take(MAX_LISTED_VIOLATIONS).cloned().collect();
        let cases = self.cases.get(&rule).copied().unwrap_or_default();
        if !violations.is_empty() {
            Verdict::Broken(violations)
        } else if cases.not_judged > 0 {
            Verdict::NotJudged {
                cases: cases.not_judged,
            }
        } else {
            Verdict::Kept { cases: cases.kept }
        }
    }
}

/// The time by which `elapsed` exceeds `bound`; `None` if it does not.
pub(super) fn excess(elapsed: Duration, bound: Duration) -> Option<Duration> {
    elapsed.checked_sub(bound).filter(|e| !e.is_zero())
}
