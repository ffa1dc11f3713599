//! The configuration: classes of message, kinds of destination, limits and the figures of the rules.

use std::time::Duration;

/// Whether a message may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// A repeat within [`Class::window`] is dropped by the destination.
    Idempotent,
    /// A repeat does harm.
    Unsafe,
}

/// Which endpoints of a destination drop a repeat of an idempotent message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those in the zone of the first endpoint.
    Zone,
    /// The same endpoint only.
    Endpoint,
}

/// How the priority weight falls after the latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to [`Class::late_share`] at the deadline.
    Linear,
    /// By half with each further latency objective, never under [`Class::late_share`].
    Halving,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// A message answered within this time earns its full priority weight.
    pub latency_objective: Duration,
    /// How long it may be delivered, counted from when it was first submitted.
    pub deadline: Duration,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For idempotent classes: which endpoints drop repeats.
    pub dedup: DedupScope,
    /// For idempotent classes: how long repeats are dropped, from the first attempt that may have been executed.
    pub window: Duration,
    /// Messages with one ordering key are sent one at a time, in the order accepted.
    pub in_order: bool,
    /// Priority weight of a message answered in time.
    pub priority_weight: f64,
    /// Share of the priority weight left at the deadline.
    pub late_share: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Messages in one call, at most.
    pub per_call: u32,
    /// Endpoints are separate routes, each with its own limit, rate and outages.
    pub apart: bool,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Share of its capacity that a destination has at least when an outage ends.
    pub cold_from: f64,
    /// Time after which it has all of it.
    pub cold: Duration,
    /// Pushed this many times over its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, it falls over.
    pub fall: Duration,
    /// How long an ordering key is paused after an attempt that may still be executed.
    pub key_quiet: Duration,
    /// Where the endpoint list must be polled: the longest time between polls.
    pub must_ask_in: Duration,
    /// Time past the deadline within which a final answer still counts.
    pub grace_to_answer: Duration,
}

/// A tenant's allowance.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages a second within its quota, over all senders; 0 where none is stated.
    pub quota_rps: f64,
}

/// The configuration of a scheduler, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Priority weight of traffic over a tenant's quota, as a fraction of the full one.
    pub over_share_worth: f64,
    /// How the priority weight falls after the latency objective.
    pub decay: Decay,
    /// Calls that may be in flight at once.
    pub slots: u32,
    /// Messages that may be pending, in flight or not.
    pub max_pending: usize,
    /// Attempts for one message, at most.
    pub attempts_cap: u32,
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long an idle connection stays open.
    pub conn_idle: Duration,
    /// Senders in this tier.
    pub instances: u32,
    /// The zone of this sender.
    pub zone: u32,
    /// The endpoint list must be polled; else changes are pushed.
    pub ask_for_list: bool,
    /// The endpoint list states rates.
    pub rates_listed: bool,
    /// Endpoints may be sent health checks.
    pub probes: bool,
    /// Rejected clients are advised when to retry.
    pub retry_after: bool,
    /// The longest such advice that a client heeds.
    pub max_retry_after: Duration,
    /// Least time between batches.
    pub tick: Duration,
    /// The figures of the rules.
    pub rules: Rules,
}

/// Settings that the scheduler cannot work with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: {0}")]
pub struct SettingsError(pub &'static str);
