//! Invariants of the reducer: a violation is counted and logged.

/// Number of violations of each invariant since the start of the process. Debug builds panic at a violation.
#[derive(Debug, Default, Clone, Copy)]
pub struct Violations {
    /// An attempt was started for a message that had another attempt in flight.
    pub second_copy: u64,
    /// An attempt was started for a message that is not pending, or an attempt finished that was not in flight.
    pub unknown_message: u64,
    /// An attempt was started to an endpoint that is not listed.
    pub unlisted_endpoint: u64,
}

/// If the condition is false, increments a field of [`Violations`] and logs an error; debug builds panic.
macro_rules! must_hold {
    ($violations:ident.$field:ident, $condition:expr, $($message:tt)+) => {
        if !$condition {
            $violations.$field += 1;
            log::error!($($message)+);
            debug_assert!(false, $($message)+);
        }
    };
}
