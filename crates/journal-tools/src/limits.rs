//! Limits of the tools.

/// Attempts to read a folder that a sender writes to. An attempt fails if the manifest is replaced during it.
pub(crate) const MAX_ATTEMPTS: u32 = 20;
