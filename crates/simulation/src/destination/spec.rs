//! The properties of a simulated destination.

use std::time::Duration;

use crate::limit::Limit;
use crate::return_guard::Return;

/// The properties of a simulated destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Number of endpoints.
    pub endpoints: usize,
    /// All endpoints share one limit; otherwise each has its own.
    pub shared: bool,
    /// Admission limit on the calls of all senders together.
    pub limit: Limit,
    /// Rejected calls count towards the limit too.
    pub charge_refused: bool,
    /// Messages per second when warm, over all endpoints.
    pub capacity: f64,
    /// Calls that may wait for a worker at one endpoint.
    pub queue: usize,
    /// Mean service time of a call of one message.
    pub pace: Duration,
    /// Coefficient of variation (standard deviation over mean) of the service time, which is log-normal.
    pub spread: f64,
    /// Largest number of connections to one endpoint, idle ones included; `None` for no bound.
    pub connections: Option<usize>,
    /// Probability that a rejection has a `Retry-After`, 0 to 1.
    pub sends_retry_after: f64,
    /// Shortest and longest `Retry-After`, where the limit does not determine it.
    pub wait: (Duration, Duration),
    /// Largest number of messages in one call.
    pub batch: usize,
    /// Cost of each message of a call after the first, in calls of one message.
    pub item_cost: f64,
    /// Interval at which the load report in replies is refreshed; `None` if replies have no load report.
    pub reports: Option<Duration>,
    /// Slow start after an outage.
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
