//! [`Detachments`]: the endpoints that operators have detached, as the next process reads them from the state file.

use serde::{Deserialize, Serialize};

/// Endpoints detached by operators, and those attached again that are still warming up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detachments {
    /// Endpoints that are detached.
    pub out: Vec<String>,
    /// Endpoints attached again that are warming up, each with the Unix time in nanoseconds of its attachment.
    pub back: Vec<(String, u64)>,
}
