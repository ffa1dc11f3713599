//! Requests of the simulator. Times are in nanoseconds, on the simulator's clock.

use std::time::Duration;

use cranehill_scheduler::api::{
    AcceptedMessage, Condition, DestinationId, EndpointId, Entry, Event, MessageId, OrderingKey,
    Outcome, PriorAttempts, Report, Status,
};
use cranehill_scheduler::profile::Profile;
use serde::Deserialize;

use crate::error::AdapterError;

/// Mode of [`Sync`]: the list holds changes.
const SYNC_CHANGES: u8 = 0;
/// Mode of [`Sync`]: polling the list failed.
const SYNC_FAILED: u8 = 3;

/// Requests that all happen at one time.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Batch {
    pub(crate) at_time: u64,
    #[serde(rename = "msgs")]
    pub(crate) requests: Vec<Request>,
}

/// One request of the simulator.
#[derive(Deserialize)]
#[serde(tag = "msg")]
pub(crate) enum Request {
    /// Start a sender.
    Configure(Box<Configure>),
    /// Stop a sender; its state is lost.
    Destroy(SenderRequest),
    /// An endpoint list, for [`Request::Sync`].
    Inventory(Inventory),
    /// A sender's endpoint list has changed.
    Sync(Sync),
    /// A sender accepted a message.
    Accept(Accept),
    /// An attempt ended.
    Returned(Returned),
    /// A client cancelled a message.
    Lapsed(Lapsed),
    /// A sender's timer has fired.
    Wake(SenderRequest),
    /// A health check ended.
    CheckResult(CheckResult),
    /// A connection opened: not used.
    Established(SenderRequest),
    /// Another sender's message: not used.
    Peer(SenderRequest),
}

/// What a request means for one sender.
pub(crate) struct SenderEvent {
    pub(crate) sender: String,
    /// None where the scheduler has no use for it.
    pub(crate) event: Option<Event>,
}

impl SenderEvent {
    /// An event of a sender.
    pub(crate) fn new(sender: String, event: Event) -> SenderEvent {
        SenderEvent {
            sender,
            event: Some(event),
        }
    }
}

/// A request without content that is used.
#[derive(Deserialize)]
pub(crate) struct SenderRequest {
    pub(crate) sender: String,
}

/// See [`Request::Configure`].
#[derive(Deserialize)]
pub(crate) struct Configure {
    pub(crate) sender: String,
    #[serde(rename = "rngSeed")]
    pub(crate) seed: u64,
    #[serde(rename = "profileData")]
    pub(crate) profile: Profile,
}

/// See [`Request::Inventory`].
#[derive(Deserialize)]
pub(crate) struct Inventory {
    #[serde(rename = "rosterId")]
    pub(crate) list: u32,
    pub(crate) rows: Vec<Row>,
}

/// One endpoint of an [`Inventory`].
#[derive(Deserialize)]
pub(crate) struct Row {
    #[serde(rename = "belongsTo")]
    destination: u64,
    endpoint: String,
    condition: u8,
    #[serde(default, rename = "regionPart")]
    zone: u32,
    #[serde(default, rename = "generationHw")]
    kind: usize,
    #[serde(default, rename = "powerHint")]
    rate: f64,
}

impl Row {
    /// The entry of the endpoint list.
    pub(crate) fn into_entry(self) -> Result<Entry, AdapterError> {
        let condition = match self.condition {
            0 => Condition::Removed,
            1 => Condition::Ready,
            2 => Condition::Draining,
            other => return Err(AdapterError::UnknownCondition(other)),
        };
        Ok(Entry {
            endpoint: EndpointId(self.endpoint),
            destination: DestinationId(self.destination),
            condition,
            zone: self.zone,
            kind: self.kind,
            rate: self.rate,
        })
    }
}

/// See [`Request::Sync`].
#[derive(Deserialize)]
pub(crate) struct Sync {
    pub(crate) sender: String,
    mode: u8,
    /// The number of the [`Inventory`].
    #[serde(default, rename = "rosterId")]
    pub(crate) list: u32,
}

impl Sync {
    /// Whether polling the list failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.mode == SYNC_FAILED
    }

    /// Whether the list replaces the present one; else it holds changes.
    pub(crate) fn is_whole(&self) -> bool {
        self.mode != SYNC_CHANGES
    }
}

/// See [`Request::Accept`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Accept {
    sender: String,
    #[serde(rename = "msgId")]
    id: String,
    #[serde(default)]
    class: usize,
    #[serde(default, rename = "org")]
    tenant: usize,
    #[serde(rename = "key")]
    ordering_key: Option<String>,
    #[serde(default)]
    time_left: i64,
    #[serde(default, rename = "calledNode")]
    destination: u64,
}

impl From<Accept> for SenderEvent {
    fn from(accept: Accept) -> SenderEvent {
        let time_left = u64::try_from(accept.time_left).unwrap_or(0);
        let accepted = AcceptedMessage {
            id: MessageId(accept.id),
            class: accept.class,
            tenant: accept.tenant,
            ordering_key: accept.ordering_key.map(OrderingKey),
            time_left: Duration::from_nanos(time_left),
            destination: DestinationId(accept.destination),
            prior: PriorAttempts::default(),
        };
        SenderEvent::new(accept.sender, Event::Accept(accepted))
    }
}

/// See [`Request::Returned`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Returned {
    sender: String,
    #[serde(rename = "msgId")]
    id: String,
    status: WireStatus,
    #[serde(default, rename = "seqNo")]
    attempt: u32,
    #[serde(default, rename = "final")]
    completed: bool,
    #[serde(default, rename = "costTime")]
    took: u64,
    /// With [`WireStatus::TurnedAway`]: the stated wait in milliseconds, 0 for none.
    #[serde(default)]
    detail: u64,
    server_stats: Option<ServerStats>,
}

impl From<Returned> for SenderEvent {
    fn from(returned: Returned) -> SenderEvent {
        let status = Status::from(returned.status);
        let states_wait = status == Status::Overloaded && returned.detail > 0;
        let outcome = Outcome {
            id: MessageId(returned.id),
            attempt: returned.attempt,
            status,
            completed: returned.completed,
            took: Duration::from_nanos(returned.took),
            wait: states_wait.then(|| Duration::from_millis(returned.detail)),
            report: returned.server_stats.and_then(ServerStats::into_report),
        };
        SenderEvent::new(returned.sender, Event::Outcome(outcome))
    }
}

/// What a destination reported with an answer.
#[derive(Deserialize)]
struct ServerStats {
    #[serde(rename = "x0")]
    left: Option<f64>,
    #[serde(rename = "x1")]
    limit: Option<f64>,
}

impl ServerStats {
    /// The report, if it is complete.
    fn into_report(self) -> Option<Report> {
        Some(Report {
            left: self.left?,
            limit: self.limit?,
        })
    }
}

/// See [`Request::Lapsed`].
#[derive(Deserialize)]
pub(crate) struct Lapsed {
    sender: String,
    #[serde(rename = "msgId")]
    id: String,
}

impl From<Lapsed> for SenderEvent {
    fn from(lapsed: Lapsed) -> SenderEvent {
        SenderEvent::new(lapsed.sender, Event::Cancelled(MessageId(lapsed.id)))
    }
}

/// See [`Request::CheckResult`].
#[derive(Deserialize)]
pub(crate) struct CheckResult {
    sender: String,
    endpoint: String,
    status: WireStatus,
}

impl From<CheckResult> for SenderEvent {
    fn from(result: CheckResult) -> SenderEvent {
        let event = Event::HealthChecked {
            endpoint: EndpointId(result.endpoint),
            status: result.status.into(),
        };
        SenderEvent::new(result.sender, event)
    }
}

/// How an attempt or health check ended, as the simulator names it.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireStatus {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
}

impl From<WireStatus> for Status {
    fn from(status: WireStatus) -> Status {
        match status {
            WireStatus::Served => Status::Served,
            WireStatus::ServerError => Status::Error,
            WireStatus::TurnedAway => Status::Overloaded,
            WireStatus::NoAnswer => Status::TimedOut,
            WireStatus::NoConnection => Status::NoConnection,
            WireStatus::ConnectionLost => Status::Reset,
            WireStatus::CalledOff => Status::Cancelled,
            WireStatus::NotSent => Status::NotSent,
        }
    }
}
