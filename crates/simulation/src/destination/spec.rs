//! The properties of a simulated destination.

use std::time::Duration;

use crate::limit::Limit;
use crate::return_guard::Return;

/// A destination as it is set up for a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Number of its endpoints.
    pub endpoints: usize,
    /// Its endpoints have one limit together; otherwise each has its own.
    pub shared: bool,
    /// The limit on calls.
    pub limit: Limit,
    /// Rejected calls use the limit up too.
    pub charge_refused: bool,
    /// Messages a second when warm, over all its endpoints.
    pub capacity: f64,
    /// Calls that may wait at one endpoint.
    pub queue: usize,
    /// Mean time for a call of one message.
    pub pace: Duration,
    /// Coefficient of variation of that time: the standard deviation over the mean, log-normal.
    pub spread: f64,
    /// Connections that one endpoint accepts, idle ones included; `None` for no bound.
    pub connections: Option<usize>,
    /// Probability that a rejection has a `Retry-After`, 0 to 1.
    pub sends_retry_after: f64,
    /// The least and the longest `Retry-After`, where the limit does not determine it.
    pub wait: (Duration, Duration),
    /// Messages that one call may hold.
    pub batch: usize,
    /// What each message of a call after the first adds to its work, in calls of one message.
    pub item_cost: f64,
    /// How often the load report in replies is refreshed; `None` if replies have none.
    pub reports: Option<Duration>,
    /// How it warms up after an outage.
    pub back: Return,
}

impl Default for Spec {
    fn default() -> Spec {
        Spec {
            endpoints: 1,
            shared: true,
            limit: Limit::None,
            charge_refused: false,
            capacity: 10.0,
            queue: 16,
            pace: Duration::from_millis(300),
            spread: 0.4,
            connections: None,
            sends_retry_after: 0.8,
            wait: (Duration::from_millis(640), Duration::from_millis(1500)),
            batch: 1,
            item_cost: 0.1,
            reports: None,
            back: Return::default(),
        }
    }
}
