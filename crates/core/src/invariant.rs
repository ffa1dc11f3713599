//! Invariants of the reducer: where one does not hold, it is counted and logged.

/// How often each invariant was violated since the start. Debug builds panic instead.
#[derive(Debug, Default, Clone, Copy)]
pub struct Violations {
    /// Attempts started for a message that had another one in flight.
    pub second_copy: u64,
    /// Attempts started for a message that is not pending, or finished without having been in flight.
    pub unknown_message: u64,
    /// Attempts started to an endpoint that is not listed.
    pub unlisted_endpoint: u64,
}

/// Counts a violation in a field of [`Violations`] unless the condition holds, and logs it; debug builds panic.
macro_rules! must_hold {
    ($violations:ident.$field:ident, $condition:expr, $($message:tt)+) => {
        if !$condition {
            $violations.$field += 1;
            log::error!($($message)+);
            debug_assert!(false, $($message)+);
        }
    };
}
