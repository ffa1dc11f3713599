//! Replies of simulated destinations to calls, valid or malformed.

use std::time::Duration;

use cranehill_simulation::audit::{self, AuditEvent};
use cranehill_simulation::destination::{DeliveryOutcome, Reply, Spoilt};

use super::connection::{AuditNumbers, Call, CloseMode, ConnectionId};
use super::state::Runner;
use super::timers::Timer;
use crate::wire::{CallReply, batch_state};

/// An encoded reply, with the data to record for it.
struct WrittenReply {
    bytes: Vec<u8>,
    /// The outcome of each message, in the order of the call.
    outcomes: Vec<DeliveryOutcome>,
    retry_after: Option<Duration>,
    /// Whether more bytes follow the reply, so that the sender must not use the connection again.
    spoilt: bool,
}

impl Runner<'_> {
    /// Sends the reply to a call that is due now, unless the endpoint has become silent or unreachable.
    pub(super) fn on_reply_due(&mut self, id: ConnectionId, serial: u64) {
        let Some(reply) = self.replies.remove(&serial) else {
            return;
        };
        let Some(role) = self.connections.get(&id).and_then(|c| c.destination()) else {
            return;
        };
        if role
            .in_flight
            .as_ref()
            .is_none_or(|call| call.serial != serial)
        {
            return;
        }
        let endpoint_entry = &self.endpoints[role.endpoint];
        let state =
            self.destinations[endpoint_entry.destination].state(endpoint_entry.number, self.now());
        if state.silent || state.vanished {
            return;
        }
        let push = self.scenario.destinations[endpoint_entry.destination].push;
        match reply {
            Reply::Answer {
                outcomes,
                wait,
                report,
                ..
            } => {
                let retry_after = wait.map(|w| if push { in_whole_seconds(w) } else { w });
                self.write_reply(id, |call| WrittenReply {
                    bytes: CallReply {
                        ids: &call.ids,
                        batch: call.batch,
                        outcomes: &outcomes,
                        retry_after,
                        load_report: report,
                        push,
                    }
                    .encode(),
                    outcomes,
                    retry_after,
                    spoilt: false,
                });
            }
            Reply::Spoilt {
                how: Spoilt::Trailing,
                ..
            } => {
                self.write_reply(id, |call| trailing_reply(call, push));
            }
            Reply::Spoilt { how, .. } => self.write_broken_reply(id, how),
            Reply::Reset { .. } | Reply::Nothing => {}
        }
    }

    /// Writes the reply to the call in flight, records it, and handles the next call.
    fn write_reply(&mut self, id: ConnectionId, reply: impl FnOnce(&Call) -> WrittenReply) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let sender = connection.sender;
        let Some(role) = connection.destination_mut() else {
            return;
        };
        let (endpoint, audit_numbers) = (role.endpoint, role.audit_numbers);
        let Some(call) = role.in_flight.take() else {
            return;
        };
        let reply = reply(&call);
        let now = self.now();
        self.send(id, &reply.bytes);
        self.schedule_second_copy(id, endpoint, &reply);
        self.count_deliveries(now, &call, &reply);
        let line = reply_line(&call, &reply, audit_numbers);
        self.record(
            Some(sender),
            audited_reply(call, reply, audit_numbers),
            &line,
        );
        self.schedule_idle_close(id, endpoint);
        self.read_calls(id);
    }

    /// Schedules the second copy of a reply, if the destination's replies arrive twice. A malformed reply does not.
    fn schedule_second_copy(&mut self, id: ConnectionId, endpoint: usize, reply: &WrittenReply) {
        let now = self.now();
        let entry = &self.endpoints[endpoint];
        let delay = self.destinations[entry.destination].second_copy_delay(now, entry.number);
        if let Some(delay) = delay.filter(|_| !reply.spoilt) {
            self.timers.push(
                now + delay,
                Timer::SecondCopy {
                    connection: id,
                    reply: reply.bytes.clone(),
                },
            );
        }
    }

    fn count_deliveries(&mut self, now: Duration, call: &Call, reply: &WrittenReply) {
        let delivered = call
            .ids
            .iter()
            .zip(&reply.outcomes)
            .filter(|(_, outcome)| **outcome == DeliveryOutcome::Done);
        for (id, _) in delivered {
            self.pending.remove(id);
            self.clients.delivered(now, id);
            self.outcome.delivered += 1;
        }
    }

    /// Notes that the connection is in use now, and schedules its end in case it stays idle, if the destination closes idle connections.
    fn schedule_idle_close(&mut self, id: ConnectionId, endpoint: usize) {
        let last_used = self.now();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_used = last_used;
        }
        let endpoint_entry = &self.endpoints[endpoint];
        if let Some(patience) = self.destinations[endpoint_entry.destination]
            .idle_patience(last_used, endpoint_entry.number)
        {
            self.timers.push(
                last_used + patience,
                Timer::CloseIdle {
                    connection: id,
                    last_used,
                },
            );
        }
    }

    /// Writes bytes that are not a valid reply, and closes the connection unless the reply is to stall.
    fn write_broken_reply(&mut self, id: ConnectionId, how: Spoilt) {
        let bytes: &[u8] = match how {
            Spoilt::Garbage => b"\x16\x03\x01garbage\r\n\r\n",
            Spoilt::CutOff => b"HTTP/1.1 5",
            Spoilt::Stalls | Spoilt::Trailing => b"HTTP/1.1 500 Internal",
        };
        self.break_call(id, true, "spoilt");
        self.send(id, bytes);
        if matches!(how, Spoilt::Garbage | Spoilt::CutOff) {
            self.close_connection(id, CloseMode::Orderly);
        }
    }
}

/// Rounds a `Retry-After` up to whole seconds, as a push service sends it.
fn in_whole_seconds(wait: Duration) -> Duration {
    Duration::from_secs(wait.as_millis().div_ceil(1000) as u64)
}

/// A valid successful reply that is followed by further bytes.
fn trailing_reply(call: &Call, push: bool) -> WrittenReply {
    let outcomes = vec![DeliveryOutcome::Done; call.ids.len()];
    let reply = CallReply {
        ids: &call.ids,
        batch: call.batch,
        outcomes: &outcomes,
        retry_after: None,
        load_report: None,
        push,
    };
    let mut bytes = reply.encode();
    bytes.extend_from_slice(b"and more");
    WrittenReply {
        bytes,
        outcomes,
        retry_after: None,
        spoilt: true,
    }
}

fn reply_line(call: &Call, reply: &WrittenReply, audit_numbers: AuditNumbers) -> String {
    let shown: Vec<&str> = reply
        .outcomes
        .iter()
        .map(|outcome| batch_state(*outcome))
        .collect();
    let (outcomes, ids) = (shown.join(" "), call.ids.join(" "));
    format!(
        "{outcomes} to {ids} on connection {}, Retry-After {:?}",
        audit_numbers.connection, reply.retry_after
    )
}

fn audited_reply(call: Call, reply: WrittenReply, audit_numbers: AuditNumbers) -> AuditEvent {
    let outcomes = call
        .ids
        .into_iter()
        .zip(reply.outcomes.into_iter().map(audited_outcome))
        .collect();
    AuditEvent::Replied {
        connection: audit_numbers.connection,
        endpoint: audit_numbers.endpoint,
        destination: audit_numbers.destination,
        outcomes,
        wait: reply.retry_after,
        spoilt: reply.spoilt,
    }
}

fn audited_outcome(outcome: DeliveryOutcome) -> audit::DeliveryOutcome {
    match outcome {
        DeliveryOutcome::Done => audit::DeliveryOutcome::Done,
        DeliveryOutcome::Failed => audit::DeliveryOutcome::Failed,
        DeliveryOutcome::Busy => audit::DeliveryOutcome::Busy,
    }
}
