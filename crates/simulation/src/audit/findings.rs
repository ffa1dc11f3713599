//! What the rules' auditors find, and the verdicts that follow.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::rule::Rule;

/// Violations of one rule that a verdict lists; one is enough to fail, and further ones only help to find the cause.
const MAX_LISTED_VIOLATIONS: usize = 100;

/// One violation of a rule, with its proof.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// The message that it is about.
    pub id: Option<String>,
    /// The destination that it is about.
    pub destination: Option<u64>,
    /// When it was noticed, since the start of the scenario.
    pub at: Duration,
    /// What was wrong, in one phrase.
    pub why: String,
    /// Recorded bytes or sentences that prove it, the oldest first.
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

/// The result of an audit for one rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No violation.
    Kept {
        /// How often the rule could have been broken.
        cases: u64,
    },
    /// At least one violation; a bounded number of them is listed.
    Broken(Vec<Violation>),
    /// No violation, but the recording was too late to judge some cases.
    NotJudged {
        /// How many cases were not judged.
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
    /// Counts a case in which the rule could have been broken, and was not.
    pub(super) fn kept(&mut self, rule: Rule) {
        self.cases.entry(rule).or_default().kept += 1;
    }

    /// Adds a violation.
    pub(super) fn broken(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Judges a bound that was exceeded by `excess`, if at all, given the delay of the recording.
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

    /// The verdict on one rule.
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

/// By how much `elapsed` exceeds `bound`; `None` if it does not.
pub(super) fn excess(elapsed: Duration, bound: Duration) -> Option<Duration> {
    elapsed.checked_sub(bound).filter(|e| !e.is_zero())
}
