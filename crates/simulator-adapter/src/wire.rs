//! The simulator's wire as serde types, and their translation to and from the library's own.

use std::collections::BTreeMap;
use std::time::Duration;

use cranehill_scheduler::api::{
    self, AcceptedMessage, Action, Condition, DestinationId, EndpointId, Entry, Event, MessageId,
    OrderingKey, PriorAttempts, Report, Status,
};
use cranehill_scheduler::profile::Profile;
use serde::{Deserialize, Serialize};

fn ns(n: u64) -> Duration {
    Duration::from_nanos(n)
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Batch {
    pub at_time: u64,
    pub msgs: Vec<Msg>,
}

#[derive(Deserialize)]
#[serde(tag = "msg", rename_all_fields = "camelCase")]
pub enum Msg {
    Configure {
        sender: String,
        rng_seed: u64,
        profile_data: Box<Profile>,
    },
    Destroy {
        sender: String,
    },
    Inventory {
        roster_id: u32,
        rows: Vec<Row>,
    },
    Sync {
        sender: String,
        mode: u8,
        #[serde(default)]
        roster_id: u32,
    },
    Accept {
        sender: String,
        msg_id: String,
        #[serde(default)]
        class: usize,
        #[serde(default)]
        org: usize,
        key: Option<String>,
        #[serde(default)]
        time_left: i64,
        #[serde(default)]
        called_node: u64,
    },
    Returned {
        sender: String,
        msg_id: String,
        status: Outcome,
        #[serde(default)]
        seq_no: u32,
        #[serde(default, rename = "final")]
        over: bool,
        #[serde(default)]
        cost_time: u64,
        #[serde(default)]
        detail: u64,
        server_stats: Option<Stats>,
    },
    Lapsed {
        sender: String,
        msg_id: String,
    },
    Wake {
        sender: String,
    },
    CheckResult {
        sender: String,
        endpoint: String,
        status: Outcome,
    },
    Established {
        sender: String,
    },
    Peer {
        sender: String,
    },
}

impl Msg {
    /// The sender concerned, and the event if it is one that the library takes.
    pub fn into_event(
        self,
        rosters: &BTreeMap<u32, Vec<Entry>>,
    ) -> Result<(String, Option<Event>), String> {
        Ok(match self {
            Msg::Sync {
                sender, mode: 3, ..
            } => (sender, Some(Event::ListFailed)),
            Msg::Sync {
                sender,
                mode,
                roster_id,
            } => {
                let entries = rosters
                    .get(&roster_id)
                    .ok_or_else(|| format!("unknown list {roster_id}"))?
                    .clone();
                (
                    sender,
                    Some(Event::List {
                        whole: mode != 0,
                        entries,
                    }),
                )
            }
            Msg::Accept {
                sender,
                msg_id,
                class,
                org,
                key,
                time_left,
                called_node,
            } => {
                let taken = AcceptedMessage {
                    id: MessageId(msg_id),
                    class,
                    tenant: org,
                    ordering_key: key.map(OrderingKey),
                    time_left: ns(u64::try_from(time_left).unwrap_or(0)),
                    destination: DestinationId(called_node),
                    prior: PriorAttempts::default(),
                };
                (sender, Some(Event::Accept(taken)))
            }
            Msg::Returned {
                sender,
                msg_id,
                status,
                seq_no,
                over,
                cost_time,
                detail,
                server_stats,
            } => {
                let status = Status::from(status);
                let outcome = api::Outcome {
                    id: MessageId(msg_id),
                    attempt: seq_no,
                    status,
                    completed: over,
                    took: ns(cost_time),
                    wait: (status == Status::Overloaded && detail > 0)
                        .then(|| Duration::from_millis(detail)),
                    report: server_stats.and_then(Stats::into_report),
                };
                (sender, Some(Event::Outcome(outcome)))
            }
            Msg::Lapsed { sender, msg_id } => (sender, Some(Event::Cancelled(MessageId(msg_id)))),
            Msg::Wake { sender } => (sender, Some(Event::Wake)),
            Msg::CheckResult {
                sender,
                endpoint,
                status,
            } => (
                sender,
                Some(Event::HealthChecked {
                    endpoint: EndpointId(endpoint),
                    status: status.into(),
                }),
            ),
            Msg::Established { sender } | Msg::Peer { sender } => (sender, None),
            Msg::Configure { .. } | Msg::Destroy { .. } | Msg::Inventory { .. } => {
                return Err("not an event of a running sender".into());
            }
        })
    }
}

#[derive(Deserialize)]
pub struct Stats {
    x0: Option<f64>,
    x1: Option<f64>,
}

impl Stats {
    fn into_report(self) -> Option<Report> {
        Some(Report {
            left: self.x0?,
            limit: self.x1?,
        })
    }
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Served,
    ServerError,
    TurnedAway,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotSent,
}

impl From<Outcome> for Status {
    fn from(o: Outcome) -> Status {
        match o {
            Outcome::Served => Status::Served,
            Outcome::ServerError => Status::Error,
            Outcome::TurnedAway => Status::Overloaded,
            Outcome::NoAnswer => Status::TimedOut,
            Outcome::NoConnection => Status::NoConnection,
            Outcome::ConnectionLost => Status::Reset,
            Outcome::CalledOff => Status::Cancelled,
            Outcome::NotSent => Status::NotSent,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    belongs_to: u64,
    endpoint: String,
    condition: u8,
    #[serde(default)]
    region_part: u32,
    #[serde(default)]
    generation_hw: usize,
    #[serde(default)]
    power_hint: f64,
}

impl Row {
    pub fn into_entry(self) -> Result<Entry, String> {
        let condition = match self.condition {
            0 => Condition::Removed,
            1 => Condition::Ready,
            2 => Condition::Draining,
            c => return Err(format!("unknown condition {c}")),
        };
        Ok(Entry {
            endpoint: EndpointId(self.endpoint),
            destination: DestinationId(self.belongs_to),
            condition,
            zone: self.region_part,
            kind: self.generation_hw,
            rate: self.power_hint,
        })
    }
}

#[derive(Serialize)]
pub struct Reply {
    pub output: Vec<Out>,
}

#[derive(Serialize)]
pub struct Out {
    sender: String,
    #[serde(flatten)]
    act: ScheduledAction,
}

#[derive(Serialize)]
#[serde(tag = "msg", rename_all_fields = "camelCase")]
enum ScheduledAction {
    Send {
        msg_id: String,
        endpoint: String,
        patience: u64,
    },
    SayNo {
        msg_id: String,
        #[serde(skip_serializing_if = "Option::is_none")]
        stay_away: Option<u64>,
    },
    FinishError {
        msg_id: String,
    },
    Timer {
        span: u64,
        name: &'static str,
    },
    HangUp {
        endpoint: String,
    },
    AskLoad {
        endpoint: String,
    },
    Subscribe {
        on: bool,
    },
}

impl Out {
    pub fn new(sender: &str, action: Action) -> Out {
        let span = |d: Duration| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX);
        let act = match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                ..
            } => ScheduledAction::Send {
                msg_id: id.0,
                endpoint: endpoint.0,
                patience: span(timeout),
            },
            Action::Reject { id, after } => ScheduledAction::SayNo {
                msg_id: id.0,
                stay_away: after.map(span),
            },
            Action::Fail(id) => ScheduledAction::FinishError { msg_id: id.0 },
            Action::Timer(after) => ScheduledAction::Timer {
                span: span(after),
                name: "wake",
            },
            Action::CloseIdle(endpoint) => ScheduledAction::HangUp {
                endpoint: endpoint.0,
            },
            Action::CheckHealth(endpoint) => ScheduledAction::AskLoad {
                endpoint: endpoint.0,
            },
            Action::Subscribe => ScheduledAction::Subscribe { on: true },
        };
        Out {
            sender: sender.to_owned(),
            act,
        }
    }
}
