//! Limits.

/// Attempts to read a live folder before giving up: each change of its manifest spoils one.
pub(crate) const MAX_ATTEMPTS: u32 = 20;
