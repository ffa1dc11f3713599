//! The configuration: message classes, destination kinds, limits, and what is assumed of destinations' behavior.

use std::time::Duration;

/// Whether a message may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless at any time.
    Safe,
    /// A repeat within [`Class::dedup_window`] is dropped by the destination.
    Idempotent,
    /// A repeat is harmful; a possibly executed message is never sent again.
    Unsafe,
}

/// Which endpoints of a destination drop a repeat of an idempotent message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints of the destination.
    All,
    /// Endpoints in the same zone as that of the first possibly executed attempt.
    Zone,
    /// Only the endpoint of the first possibly executed attempt.
    Endpoint,
}

/// How the priority weight decreases after the latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Linearly, down to [`Class::min_weight_share`] at the deadline.
    Linear,
    /// Halved with each further latency objective, down to [`Class::min_weight_share`].
    Halving,
}

/// A message class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time within which an answered message has its full priority weight, counted from when it was first submitted.
    pub latency_objective: Duration,
    /// Time within which a message must be delivered, counted from when it was first submitted.
    pub deadline: Duration,
    /// Whether a message may be executed more than once.
    pub effect: Effect,
    /// For idempotent classes: which endpoints drop repeats.
    pub dedup: DedupScope,
    /// For idempotent classes: how long repeats are dropped, counted from when the first possibly executed attempt was sent.
    pub dedup_window: Duration,
    /// Whether messages with the same ordering key are sent one at a time, in the order accepted.
    pub in_order: bool,
    /// Priority weight of a message answered within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that remains until the deadline, 0 to 1.
    pub min_weight_share: f64,
}

/// A destination kind.
#[derive(Clone, Copy, Debug)]
pub struct DestinationKind {
    /// Maximum number of messages in one call.
    pub max_messages_per_call: u32,
    /// Whether each endpoint is a separate route with its own limit, rate and outages.
    pub separate_routes: bool,
}

/// What the scheduler assumes of destinations, and the timing limits it must keep.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Fraction of its capacity that a destination has at least when an outage ends, 0 to 1.
    pub initial_capacity: f64,
    /// Time after the end of an outage until the destination has its full capacity. In between, capacity grows linearly.
    pub warm_up: Duration,
    /// Load, as a multiple of its present capacity, at which a destination fails when it lasts for
    /// [`Rules::overload_duration`].
    pub overload_multiple: f64,
    /// How long a load of [`Rules::overload_multiple`] must last for a destination to fail.
    pub overload_duration: Duration,
    /// How long an ordering key is paused after an attempt that may still be executed.
    pub ordering_pause: Duration,
    /// With [`Settings::poll_endpoint_list`]: the maximum time between polls of the endpoint list.
    pub max_poll_interval: Duration,
    /// Time past the deadline within which a final answer still counts. The scheduler does not use it.
    pub answer_grace: Duration,
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages a second that the tenant may submit to all senders together at full priority weight. With 0, all of its
    /// messages are over quota.
    pub quota_rps: f64,
}

/// The configuration of a scheduler. Fixed at its start, except for `instances`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Message classes; at least one.
    pub classes: Vec<Class>,
    /// Destination kinds. An endpoint with an unlisted kind has one message in each call and shares its route.
    pub kinds: Vec<DestinationKind>,
    /// Tenants; may be empty. An unlisted tenant has no quota.
    pub tenants: Vec<Tenant>,
    /// Factor of the priority weight of messages over their tenant's quota, 0 to 1.
    pub over_quota_factor: f64,
    /// How the priority weight decreases after the latency objective.
    pub decay: Decay,
    /// Maximum number of calls in flight; above zero.
    pub slots: u32,
    /// Maximum number of pending messages, including those in flight; above zero.
    pub max_pending: usize,
    /// Maximum number of attempts for one message; above zero.
    pub max_attempts: u32,
    /// Maximum time for a connection to open. Used by the caller, not by the scheduler.
    pub connect_timeout: Duration,
    /// How long an idle connection stays open.
    pub idle_timeout: Duration,
    /// Number of senders that share quotas and limits, this one included; above zero.
    pub instances: u32,
    /// The zone of this sender.
    pub zone: u32,
    /// Whether the endpoint list must be polled; otherwise changes are pushed.
    pub poll_endpoint_list: bool,
    /// Whether [`Entry::rate`](super::Entry::rate) is used.
    pub rates_listed: bool,
    /// Whether endpoints may be sent health checks. The scheduler does not use it.
    pub health_checks: bool,
    /// Whether rejected clients are advised when to retry.
    pub retry_after: bool,
    /// The longest retry advice that clients follow.
    pub max_retry_after: Duration,
    /// Minimum time between batches.
    pub tick: Duration,
    /// What is assumed of destinations, and the timing limits.
    pub rules: Rules,
}

/// Invalid settings, with what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid settings: {0}")]
pub struct SettingsError(pub &'static str);
