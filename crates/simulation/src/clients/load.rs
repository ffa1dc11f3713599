//! The load of a scenario: how many messages, of which classes, for which destinations.

use std::time::Duration;

/// One class of messages as clients submit them.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: a message delivered by then counts in full, and half as much with each further such span.
    pub latency_objective: Duration,
    /// Time to live, from the first submission.
    pub time_to_live: Duration,
    /// Messages have an idempotency key.
    pub keyed: bool,
    /// Messages are spread over this many ordering keys; 0 if they have none.
    pub order_keys: u32,
    /// The class's share of all messages, relative to the other classes'.
    pub share: f64,
    /// What a message delivered after the objective counts at least, 0 to 1.
    pub late_share: f64,
}

/// A destination as clients know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The destination's number.
    pub destination: u64,
    /// Index of its tenant.
    pub tenant: usize,
    /// Its share of its tenant's messages, relative to the tenant's other destinations.
    pub weight: f64,
    /// Messages a second that it can take. A clump is what it takes in a few seconds.
    pub takes: f64,
    /// Reached over Web Push.
    pub push: bool,
}

/// A time in which some destinations draw a further share of all messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Hot {
    /// When it begins, since the start of the scenario.
    pub start: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// The destinations; each is as likely as the others.
    pub destinations: Vec<u64>,
    /// Their share of all messages, 0 to 1.
    pub share: f64,
}

/// The load of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Messages a second over all tenants, clumps included.
    pub rate: f64,
    /// The tenants' shares of all messages, relative to each other.
    pub tenants: Vec<f64>,
    /// Where messages may be sent.
    pub targets: Vec<Target>,
    /// The classes of messages.
    pub classes: Vec<Class>,
    /// Index of the class of Web Push posts without a topic. The next class is that of posts with one; each has half of
    /// the posts.
    pub push: Option<usize>,
    /// Share of the messages that arrive in clumps, 0 to 1.
    pub clumps: f64,
    /// The least and the largest size of a clump, in seconds of what its destination takes.
    pub clump: (f64, f64),
    /// Times at which some destinations draw more.
    pub hot: Vec<Hot>,
    /// The least and the largest size of a body, in bytes.
    pub body: (usize, usize),
    /// Resubmissions of a message, at most.
    pub retries: u32,
    /// How long a client waits before a resubmission where the rejection does not say.
    pub pause: Duration,
    /// How long a client waits for an answer before it closes the connection and submits again.
    pub patience: Duration,
    /// No new messages arrive from then on.
    pub until: Duration,
}

/// Weights by Zipf's law: the n-th of `count` is proportional to `1 / n^exponent`, and their sum is 1.
pub fn zipf(count: usize, exponent: f64) -> Vec<f64> {
    let raw: Vec<f64> = (1..=count).map(|n| (n as f64).powf(-exponent)).collect();
    let sum: f64 = raw.iter().sum();
    raw.into_iter()
        .map(|w| w / sum.max(f64::MIN_POSITIVE))
        .collect()
}
