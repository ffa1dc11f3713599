//! [`Detachments`]: the endpoints that operators have detached, in the form in which the state file stores them.

use serde::{Deserialize, Serialize};

/// Endpoints detached by operators, and endpoints attached again that are still warming up. The state file stores the
/// field names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detachments {
    /// Ids of the detached endpoints.
    pub out: Vec<String>,
    /// Ids of the endpoints that are warming up, each with the Unix time in nanoseconds of its attachment.
    pub back: Vec<(String, u64)>,
}
