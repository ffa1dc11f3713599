//! The interface of the decision module: settings in, events in, actions out. Nothing here decides.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A moment on the caller's clock: nanoseconds since any fixed origin.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, span: Duration) -> Time {
        Time(
            self.0
                .saturating_add(u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Time> for Time {
    type Output = Duration;
    /// The span since `earlier`; zero if `earlier` is later.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub String);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}
text_id!(
    /// Names one message; returned unmodified.
    MessageId
);
text_id!(
    /// Names one endpoint; returned unmodified.
    EndpointId
);
text_id!(
    /// What an ordered message is about: messages with one key go one at a time.
    OrderingKey
);

/// Names one destination. A message may go only to endpoints of its own destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DestinationId(pub u64);

/// Whether a message's effect may happen more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat does no harm.
    Safe,
    /// A repeat within [`Class::window`] is dropped by the destination.
    Idempotent,
    /// A repeat does harm.
    Unsafe,
}

/// Which endpoints of a destination drop a keyed repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those in the zone of the first endpoint.
    Zone,
    /// The same endpoint only.
    Endpoint,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Evenly, down to [`Class::late_share`] at the deadline.
    Linear,
    /// By half with each further aim, never under [`Class::late_share`].
    Halving,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// Delivered within this time, it earns its full worth.
    pub latency_objective: Duration,
    /// How long it may be delivered, from when it was first submitted.
    pub deadline: Duration,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub dedup: DedupScope,
    /// For keyed classes: how long repeats are dropped, from the first send that may have been executed.
    pub window: Duration,
    /// Messages with one key go one at a time, in the order taken.
    pub in_order: bool,
    /// Worth when on time.
    pub priority_weight: f64,
    /// Share of the worth left at the deadline.
    pub late_share: f64,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Messages in one call, at most.
    pub per_call: u32,
    /// Endpoints are separate routes, each with its own limit, pace and outages.
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
    /// How long a key rests after an attempt that may still run.
    pub key_quiet: Duration,
    /// Where the list answers only when asked: the longest time to go without asking.
    pub must_ask_in: Duration,
    /// Time past the deadline within which a final answer still counts.
    pub grace_to_answer: Duration,
}

/// A tenant's allowance.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Messages a second within its share, over all senders; 0 for none stated.
    pub quota_rps: f64,
}

/// What a sender is told at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic over a tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// Calls that may be out at once.
    pub slots: u32,
    /// Messages that may be held, sent or not.
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
    /// The list of endpoints comes only when asked for.
    pub ask_for_list: bool,
    /// The list tells rates.
    pub rates_listed: bool,
    /// Endpoints may be probed.
    pub probes: bool,
    /// Clients are told when to return.
    pub retry_after: bool,
    /// The longest such advice that a client heeds.
    pub max_retry_after: Duration,
    /// Least time between batches.
    pub tick: Duration,
    /// The figures of the rules.
    pub rules: Rules,
}

/// Settings that the module cannot work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}
impl std::error::Error for SettingsError {}

/// Whether an endpoint is listed for new work. It says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Listed.
    Ready,
    /// Send nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of endpoints.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its state in the list.
    pub condition: Condition,
    /// Its zone.
    pub zone: u32,
    /// Its destination's kind.
    pub kind: usize,
    /// With [`Settings::rates_listed`]: calls a second that the destination, or the route where routes are
    /// apart, takes from all senders together. It may be rough, and above zero only where it is told.
    pub rate: f64,
}

/// How an attempt, or a probe, concluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Delivered.
    Served,
    /// The destination answered with an error; it may have taken effect.
    Error,
    /// The destination answered, and nothing can be read from it; it may have taken effect. It says nothing of
    /// the destination's health: the answer was spoilt on its way.
    Spoilt,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; it may have taken effect.
    TimedOut,
    /// No connection was possible; it was not executed.
    NoConnection,
    /// The connection broke; it may have taken effect.
    Reset,
    /// A connection that was kept broke under its next call, with no answer; it may have taken effect. It says
    /// nothing of the destination: connections die unseen while idle.
    Dropped,
    /// Called off; it may have taken effect.
    Cancelled,
    /// Never left the sender.
    NotSent,
    /// Whom the message is for is no longer there: it was not executed and never will. It says nothing of the
    /// destination's health.
    RecipientRemoved,
    /// The destination will never take this message as it is; it did not run.
    PermanentError,
}

impl Status {
    /// Whether it is certain that the message had no effect.
    pub fn not_executed(self) -> bool {
        use Status::{NoConnection, NotSent, Overloaded, PermanentError, RecipientRemoved};
        matches!(
            self,
            Overloaded | NoConnection | NotSent | RecipientRemoved | PermanentError
        )
    }
}

/// What a destination tells of its limit: late and noisy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Share of the allowance that is left.
    pub left: f64,
    /// Calls a second that the limit allows; 0 for no limit.
    pub limit: f64,
}

/// A message handed to a sender.
#[derive(Clone, Debug)]
pub struct AcceptedMessage {
    /// Its id.
    pub id: MessageId,
    /// Position in [`Settings::classes`].
    pub class: usize,
    /// Position in [`Settings::tenants`].
    pub tenant: usize,
    /// What it is about, for ordered classes.
    pub ordering_key: Option<OrderingKey>,
    /// Time until it is given up.
    pub time_left: Duration,
    /// Its destination.
    pub destination: DestinationId,
    /// What was done for it before, under the same id: by an earlier process of this sender.
    pub prior: PriorAttempts,
}

/// What was already done for a message when it is handed to a sender.
#[derive(Clone, Debug, Default)]
pub struct PriorAttempts {
    /// Attempts used.
    pub attempts: u32,
    /// An earlier process of this sender took it in.
    pub restored: bool,
    /// How long ago, and where, the first attempt went that may have taken effect.
    pub possibly_executed: Option<(Duration, EndpointId)>,
}

/// How an attempt concluded.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it concluded.
    pub status: Status,
    /// The message is over.
    pub completed: bool,
    /// Time since it was sent.
    pub took: Duration,
    /// For refusals: the wait that was told.
    pub wait: Option<Duration>,
    /// What the destination told of its limit.
    pub report: Option<Report>,
}

/// What a sender sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list.
    List {
        /// The entries replace the list; else they are changes to it.
        whole: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Asking for the list failed, or the subscription broke.
    ListFailed,
    /// A message was handed to this sender, which owes it one final answer.
    Accept(AcceptedMessage),
    /// An attempt concluded.
    Outcome(Outcome),
    /// The client has withdrawn the message.
    Cancelled(MessageId),
    /// A probe concluded.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it concluded.
        status: Status,
    },
    /// From now on shared limits are divided by so many senders, this one included; before, by
    /// [`Settings::instances`].
    SenderCount(u32),
    /// The timer is due.
    Wake,
}

/// What a sender does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// Time-out of the attempt.
        timeout: Duration,
        /// The call that it goes in: all with this number go together, and are waited for until the first of
        /// their time-outs.
        call: u64,
        /// It may have been executed before, and a repeat is harmless only so long: what is not written whole by then (its
        /// connection came up late, say) must not be written at all.
        write_within: Option<Duration>,
    },
    /// Final: handed back; trying again is harmless.
    Reject {
        /// The message.
        id: MessageId,
        /// When the client should come back.
        after: Option<Duration>,
    },
    /// Final: given up, no promise.
    Fail(MessageId),
    /// Ask for an [`Event::Wake`] after this time.
    Timer(Duration),
    /// Close this sender's idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a check.
    CheckHealth(EndpointId),
    /// Ask for the list and its changes.
    Subscribe,
}
