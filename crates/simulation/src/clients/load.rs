//! The load of a scenario: the rate of messages, and their distribution over classes and destinations.

use std::time::Duration;

/// A class of messages, from the clients' point of view.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective. A message delivered within it has weight 1; the weight halves with each further such time.
    pub latency_objective: Duration,
    /// Time to live, from the first submission.
    pub time_to_live: Duration,
    /// Whether messages have an idempotency key.
    pub keyed: bool,
    /// Number of ordering keys over which the messages are distributed; 0 if they have none.
    pub order_keys: u32,
    /// Weight of the class among all classes when a message is drawn.
    pub share: f64,
    /// Smallest weight of a message delivered after the objective but within its time to live, 0 to 1.
    pub late_share: f64,
}

/// A destination to which clients send messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Number of the destination.
    pub destination: u64,
    /// Index of its tenant.
    pub tenant: usize,
    /// Weight of the destination among those of its tenant when a message is drawn.
    pub weight: f64,
    /// Messages per second that the destination admits. It determines the size of clumps.
    pub max_rate: f64,
    /// Whether messages for it are submitted over Web Push.
    pub push: bool,
}

/// A period in which some destinations receive an extra share of all messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Hot {
    /// Start of the period, since the start of the scenario.
    pub start: Duration,
    /// Length of the period.
    pub length: Duration,
    /// Numbers of the destinations. Each is equally likely; must not be empty.
    pub destinations: Vec<u64>,
    /// Share of all messages that is drawn for them, 0 to 1.
    pub share: f64,
}

/// The load of a scenario, from which [`Clients`](super::Clients) draw messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Messages per second over all tenants, clumps included.
    pub rate: f64,
    /// Weight of each tenant among all tenants when a message is drawn.
    pub tenants: Vec<f64>,
    /// Destinations of messages.
    pub targets: Vec<Target>,
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Index of the class of Web Push posts without a topic (RFC 8030, section 5.4); the next class is that of posts with a
    /// topic. Each class has half of the posts. `None` if there are no push services.
    pub push: Option<usize>,
    /// Share of the messages that arrive in clumps (bursts for one destination), 0 to 1.
    pub clumps: f64,
    /// Smallest and largest size of a clump, in seconds at its destination's [`Target::max_rate`].
    pub clump: (f64, f64),
    /// Periods in which some destinations receive an extra share.
    pub hot: Vec<Hot>,
    /// Smallest and largest size of a body, in bytes.
    pub body: (usize, usize),
    /// Largest number of resubmissions of a message.
    pub retries: u32,
    /// Wait before a resubmission if the rejection states none.
    pub pause: Duration,
    /// Timeout of a client for an answer, after which it closes the connection and submits again.
    pub patience: Duration,
    /// End of the arrivals of new messages, since the start of the scenario.
    pub until: Duration,
}

/// Returns `count` weights by Zipf's law: the n-th is proportional to `1 / n^exponent`, and their sum is 1.
pub fn zipf(count: usize, exponent: f64) -> Vec<f64> {
    let raw: Vec<f64> = (1..=count).map(|n| (n as f64).powf(-exponent)).collect();
    let sum: f64 = raw.iter().sum();
    raw.into_iter()
        .map(|w| w / sum.max(f64::MIN_POSITIVE))
        .collect()
}
