//! The verdict of a sub-command that judges something.

/// Whether what was judged is as expected. It decides the exit code: 0 or 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All expectations are met.
    Passed,
    /// An expectation is missed, or a rule is broken.
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
