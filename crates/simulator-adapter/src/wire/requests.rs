//! Requests of the simulator. Times are in nanoseconds, on the simulator's clock.

use std::time::Duration;

use cranehill_scheduler::api::{
    AcceptedMessage, Condition, DestinationId, EndpointId, Entry, Event, LoadReport, MessageId,
    OrderingKey, Outcome, PriorAttempts, Status,
};
use cranehill_scheduler::profile::Profile;
use serde::Deserialize;

use crate::error::AdapterError;

/// Mode of a [`ListChanged`] request: the list contains changes.
const MODE_CHANGES: u8 = 0;
/// Mode of a [`ListChanged`] request: polling the list failed.
const MODE_FAILED: u8 = 3;

/// A batch of requests that all happen at the same time.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Batch {
    pub(crate) at_time: u64,
    #[serde(rename = "msgs")]
    pub(crate) requests: Vec<Request>,
}

/// A request of the simulator.
#[derive(Deserialize)]
#[serde(tag = "msg")]
pub(crate) enum Request {
    /// Start a sender, or restart it without its state.
    Configure(Box<Configure>),
    /// Stop a sender and delete its state.
    Destroy(SenderRequest),
    /// Define an endpoint list, for use by [`Request::ListChanged`].
    #[serde(rename = "Inventory")]
    EndpointList(EndpointList),
    /// A sender's endpoint list has changed, or polling it failed.
    #[serde(rename = "Sync")]
    ListChanged(ListChanged),
    /// A sender accepted a message.
    Accept(Accept),
    /// An attempt finished.
    #[serde(rename = "Returned")]
    AttemptFinished(AttemptFinished),
    /// A client cancelled a message.
    #[serde(rename = "Lapsed")]
    Cancelled(Cancelled),
    /// A sender's timer has fired.
    Wake(SenderRequest),
    /// A health check finished.
    CheckResult(CheckResult),
    /// A connection was opened. Ignored.
    #[serde(rename = "Established")]
    ConnectionOpened(SenderRequest),
    /// A message from another sender. Ignored.
    #[serde(rename = "Peer")]
    PeerMessage(SenderRequest),
}

/// The sender that a request is for, and the event to pass to its scheduler.
pub(crate) struct SenderEvent {
    pub(crate) sender: String,
    /// `None` if the scheduler ignores the request.
    pub(crate) event: Option<Event>,
}

impl SenderEvent {
    /// An event for a sender.
    pub(crate) fn new(sender: String, event: Event) -> SenderEvent {
        SenderEvent {
            sender,
            event: Some(event),
        }
    }
}

/// A request of which only the sender is used.
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

/// See [`Request::EndpointList`].
#[derive(Deserialize)]
pub(crate) struct EndpointList {
    #[serde(rename = "rosterId")]
    pub(crate) number: u32,
    pub(crate) rows: Vec<EndpointRow>,
}

/// One endpoint of an [`EndpointList`].
#[derive(Deserialize)]
pub(crate) struct EndpointRow {
    #[serde(rename = "belongsTo")]
    destination: u64,
    endpoint: String,
    /// 0 for removed, 1 for ready, 2 for draining.
    condition: u8,
    #[serde(default, rename = "regionPart")]
    zone: u32,
    #[serde(default, rename = "generationHw")]
    kind: usize,
    #[serde(default, rename = "powerHint")]
    rate: f64,
}

impl EndpointRow {
    /// Converts the row to the scheduler's type.
    ///
    /// # Errors
    ///
    /// Fails if the condition is unknown.
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

/// See [`Request::ListChanged`].
#[derive(Deserialize)]
pub(crate) struct ListChanged {
    pub(crate) sender: String,
    mode: u8,
    /// Number of the [`EndpointList`].
    #[serde(default, rename = "rosterId")]
    pub(crate) list: u32,
}

impl ListChanged {
    /// Whether polling the list failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.mode == MODE_FAILED
    }

    /// Whether the list replaces the present one; otherwise it contains changes.
    pub(crate) fn is_whole(&self) -> bool {
        self.mode != MODE_CHANGES
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
    /// Time until the deadline; a negative one counts as zero.
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

/// See [`Request::AttemptFinished`].
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct AttemptFinished {
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
    /// With [`WireStatus::TurnedAway`]: the Retry-After time in milliseconds, 0 for none. Unused with other statuses.
    #[serde(default)]
    detail: u64,
    server_stats: Option<ServerStats>,
}

impl From<AttemptFinished> for SenderEvent {
    fn from(attempt: AttemptFinished) -> SenderEvent {
        let status = Status::from(attempt.status);
        let has_retry_after = status == Status::Overloaded && attempt.detail > 0;
        let outcome = Outcome {
            id: MessageId(attempt.id),
            attempt: attempt.attempt,
            status,
            completed: attempt.completed,
            elapsed: Duration::from_nanos(attempt.took),
            retry_after: has_retry_after.then(|| Duration::from_millis(attempt.detail)),
            report: attempt.server_stats.and_then(ServerStats::into_report),
        };
        SenderEvent::new(attempt.sender, Event::Outcome(outcome))
    }
}

/// A destination's report on its rate limit.
#[derive(Deserialize)]
struct ServerStats {
    /// Fraction of the limit that is unused.
    #[serde(rename = "x0")]
    left: Option<f64>,
    /// Calls a second that the destination allows; 0 for no limit.
    #[serde(rename = "x1")]
    limit: Option<f64>,
}

impl ServerStats {
    /// The report, or `None` if a value is missing.
    fn into_report(self) -> Option<LoadReport> {
        Some(LoadReport {
            remaining_share: self.left?,
            limit: self.limit?,
        })
    }
}

/// See [`Request::Cancelled`].
#[derive(Deserialize)]
pub(crate) struct Cancelled {
    sender: String,
    #[serde(rename = "msgId")]
    id: String,
}

impl From<Cancelled> for SenderEvent {
    fn from(cancelled: Cancelled) -> SenderEvent {
        SenderEvent::new(cancelled.sender, Event::Cancelled(MessageId(cancelled.id)))
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

/// Result of an attempt or health check, in the simulator's format. See [`Status`] for the meaning of each.
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
