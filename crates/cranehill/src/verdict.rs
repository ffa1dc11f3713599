//! The result of a sub-command that checks something.

/// Whether all checks of a sub-command passed. It determines the exit code: 0 or 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All checks passed.
    Passed,
    /// An expectation is missed, or a rule is violated.
    Failed,
}

impl Verdict {
    /// `Passed` if `condition` holds.
    pub fn passed_if(condition: bool) -> Verdict {
        if condition {
            Verdict::Passed
        } else {
            Verdict::Failed
        }
    }
}
