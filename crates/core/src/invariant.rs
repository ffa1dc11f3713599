//! What must hold, counted where it does not.

/// Counts a violation of the field of [`crate::Violations`], and logs it; debug builds stop.
macro_rules! must_hold {
    ($self:ident.$field:ident, $cond:expr, $($what:tt)+) => {
        if !$cond {
            $self.violations.$field += 1;
            log::error!($($what)+);
            debug_assert!(false, $($what)+);
        }
    };
}
