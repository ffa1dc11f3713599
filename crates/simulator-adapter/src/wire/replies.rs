//! Replies to the simulator. Durations are in nanoseconds.

use std::time::Duration;

use cranehill_scheduler::Action;
use serde::Serialize;

/// Name of the timer. A sender has only one.
const TIMER_NAME: &str = "wake";

/// The reply to one batch: the actions of all senders. Those of each sender are in order.
#[derive(Serialize)]
pub(crate) struct Reply {
    pub(crate) output: Vec<SenderAction>,
}

/// An action of one sender.
#[derive(Serialize)]
pub(crate) struct SenderAction {
    sender: String,
    #[serde(flatten)]
    action: WireAction,
}

impl SenderAction {
    /// Converts an action of the scheduler to the simulator's format.
    pub(crate) fn new(sender: &str, action: Action) -> SenderAction {
        SenderAction {
            sender: sender.to_owned(),
            action: WireAction::from(action),
        }
    }
}

/// An action in the simulator's format. See [`Action`] for the meaning of each.
#[derive(Serialize)]
#[serde(tag = "msg", rename_all_fields = "camelCase")]
enum WireAction {
    Send {
        msg_id: String,
        endpoint: String,
        #[serde(rename = "patience")]
        timeout: u64,
    },
    SayNo {
        msg_id: String,
        #[serde(rename = "stayAway", skip_serializing_if = "Option::is_none")]
        retry_after: Option<u64>,
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

impl From<Action> for WireAction {
    fn from(action: Action) -> WireAction {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                ..
            } => WireAction::Send {
                msg_id: id.0,
                endpoint: endpoint.0,
                timeout: nanoseconds(timeout),
            },
            Action::Reject { id, retry_after } => WireAction::SayNo {
                msg_id: id.0,
                retry_after: retry_after.map(nanoseconds),
            },
            Action::Fail(id) => WireAction::FinishError { msg_id: id.0 },
            Action::Timer(after) => WireAction::Timer {
                span: nanoseconds(after),
                name: TIMER_NAME,
            },
            Action::CloseIdle(endpoint) => WireAction::HangUp {
                endpoint: endpoint.0,
            },
            Action::CheckHealth(endpoint) => WireAction::AskLoad {
                endpoint: endpoint.0,
            },
            Action::PollEndpointList => WireAction::Subscribe { on: true },
        }
    }
}

/// A duration in nanoseconds, limited to the range of `u64`.
fn nanoseconds(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
