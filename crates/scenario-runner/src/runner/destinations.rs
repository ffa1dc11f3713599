//! Simulated destinations: they read calls, and close or reset connections as the scenario's faults require.

use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::destination::{Asked, Reply};

use super::connection::{Call, CloseMode, ConnectionId, DestinationRole};
use super::state::Runner;
use super::timers::Timer;
use crate::wire::{DestinationCall, Request, encode_response, push_path};

/// A call that is not passed to the simulated destination but answered immediately with this HTTP status.
struct RejectedCall {
    status: u16,
}

impl Runner<'_> {
    /// Handles the calls that have arrived on a connection, one at a time: the next one is read after the reply to the last.
    pub(super) fn read_calls(&mut self, id: ConnectionId) {
        while self.has_call_to_read(id) {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            match connection.take_request() {
                Ok(None) => return,
                Ok(Some(request)) => {
                    if let Some(role) = connection.destination_mut() {
                        role.request_started = false;
                    }
                    self.on_call(id, &request);
                }
                Err(why) => {
                    self.void(format!("malformed call to a destination: {why}"));
                    return self.close_connection(id, CloseMode::Reset);
                }
            }
        }
    }

    /// Whether bytes of a call can be parsed: there are some, and no call is in flight. Records the first byte of a call.
    fn has_call_to_read(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let (sender, last_used, empty) = (
            connection.sender,
            connection.last_used,
            connection.input.is_empty(),
        );
        let Some(role) = connection.destination_mut() else {
            return false;
        };
        if empty || role.in_flight.is_some() {
            return false;
        }
        let audit_numbers = role.audit_numbers;
        if !std::mem::replace(&mut role.request_started, true) {
            let idle = self.now().saturating_sub(last_used).as_millis();
            let line = format!(
                "first byte of a call on connection {}, idle for {idle} ms",
                audit_numbers.connection
            );
            self.record(Some(sender), audit_numbers.started(), &line);
        }
        true
    }

    /// Handles a complete call: checks and records it, and schedules the reply.
    fn on_call(&mut self, id: ConnectionId, request: &Request) {
        let last_used = self.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.last_used = last_used;
        let sender = connection.sender;
        let Some(&DestinationRole {
            endpoint,
            audit_numbers,
            ..
        }) = connection.destination()
        else {
            return;
        };
        let DestinationCall { ids, batch } = match self.check_call(sender, endpoint, request) {
            Ok(call) => call,
            Err(RejectedCall { status }) => {
                return self.send(id, &encode_response(status, &[], ""));
            }
        };
        let line = format!(
            "{} {} on connection {}",
            request.path,
            ids.join(" "),
            audit_numbers.connection
        );
        self.record(Some(sender), audit_numbers.called(ids.clone()), &line);
        let reply = self.call_destination(endpoint, ids.len());
        self.last_serial += 1;
        let serial = self.last_serial;
        if let Some(role) = self
            .connections
            .get_mut(&id)
            .and_then(|c| c.destination_mut())
        {
            role.in_flight = Some(Call { ids, batch, serial });
        }
        match reply {
            Reply::Answer { at, .. } | Reply::Spoilt { at, .. } => {
                self.replies.insert(serial, reply);
                self.timers.push(
                    at,
                    Timer::Reply {
                        connection: id,
                        serial,
                    },
                );
            }
            Reply::Reset { executed, .. } => {
                self.break_call(id, executed, "reset");
                self.close_connection(id, CloseMode::Reset);
            }
            Reply::Nothing => {}
        }
    }

    /// Checks that a call is valid at this endpoint. A malformed call, or one to the wrong endpoint, makes the run void; a GET (404) and
    /// a batch that is too large (413) do not.
    fn check_call(
        &mut self,
        sender: usize,
        endpoint: usize,
        request: &Request,
    ) -> Result<DestinationCall, RejectedCall> {
        if request.method == "GET" {
            return Err(RejectedCall { status: 404 });
        }
        let call = DestinationCall::parse(request).map_err(|why| {
            self.void(format!(
                "sender {sender}: malformed call to endpoint {endpoint}: {why}"
            ));
            RejectedCall { status: 400 }
        })?;
        let destination = self.endpoints[endpoint].destination;
        let member = &self.scenario.destinations[destination];
        if member.push != request.path.starts_with(&push_path(destination as u64)) {
            let path = &request.path;
            self.void(format!(
                "sender {sender}: call to {path} at endpoint {endpoint}, which belongs to another destination"
            ));
            return Err(RejectedCall { status: 404 });
        }
        if call.batch && call.ids.len() > member.spec.batch {
            return Err(RejectedCall { status: 413 });
        }
        Ok(call)
    }

    /// The destination's reply to a call. Records if the call makes the destination fail under overload.
    fn call_destination(&mut self, endpoint: usize, messages: usize) -> Reply {
        let now = self.now();
        let endpoint_entry = &self.endpoints[endpoint];
        let call = Asked {
            endpoint: endpoint_entry.number,
            messages,
        };
        let (reply, fell) = self.destinations[endpoint_entry.destination].call(now, call);
        if fell {
            let name = &self.scenario.destinations[endpoint_entry.destination].name;
            log::warn!(destination = name.as_str(); "destination {name} failed under overload while it warmed up");
            let destination = endpoint_entry.destination as u64;
            self.record(
                None,
                AuditEvent::Fell { destination },
                "failed under overload while it warmed up",
            );
        }
        reply
    }

    /// Records that the destination ends a connection without a valid reply to its call. `how` is the first word of the recorded text;
    /// `executed` is whether the call was possibly executed.
    pub(super) fn break_call(&mut self, id: ConnectionId, executed: bool, how: &str) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let sender = connection.sender;
        let Some(role) = connection.destination_mut() else {
            return;
        };
        let audit_numbers = role.audit_numbers;
        let ids = role
            .in_flight
            .take()
            .map(|call| call.ids)
            .unwrap_or_default();
        let line = format!(
            "{how} {} on connection {}",
            ids.join(" "),
            audit_numbers.connection
        );
        self.record(Some(sender), audit_numbers.broke(ids, executed), &line);
    }

    /// Resets all connections of an endpoint, unless it is unreachable now: at the start of an outage in which connections are refused,
    /// and at the end of one in which the endpoint was unreachable.
    pub(super) fn reset_connections_of(&mut self, endpoint: usize) {
        let endpoint_entry = &self.endpoints[endpoint];
        if self.destinations[endpoint_entry.destination]
            .state(endpoint_entry.number, self.now())
            .vanished
        {
            return;
        }
        let ids = self.connections_where(|c| {
            c.destination()
                .is_some_and(|role| role.endpoint == endpoint)
        });
        for id in ids {
            self.break_call(id, true, "reset");
            self.close_connection(id, CloseMode::Reset);
        }
    }

    /// Closes a connection if it has been idle since `last_used`.
    pub(super) fn close_idle(&mut self, id: ConnectionId, last_used: Duration) {
        let Some(connection) = self
            .connections
            .get(&id)
            .filter(|c| c.last_used == last_used)
        else {
            return;
        };
        let idle = |role: &DestinationRole| role.in_flight.is_none() && !role.request_started;
        if connection.destination().is_some_and(idle) {
            self.close_connection(id, CloseMode::Orderly);
        }
    }

    /// Records that all endpoints of a destination are up after an outage, for the audit of its slow start.
    pub(super) fn record_recovery(&mut self, destination: usize) {
        let now = self.now();
        let Some(since) = self.destinations[destination].back(now) else {
            return;
        };
        let spec = self.destinations[destination].spec();
        let faults = self.scenario.destinations[destination]
            .faults
            .iter()
            .flatten();
        let outages = faults.filter(|f| f.is_outage() && f.end() <= now);
        let first_start = outages.map(|f| f.start).min().unwrap_or(since);
        let back = AuditEvent::Back {
            destination: destination as u64,
            since,
            down: since.saturating_sub(first_start),
            capacity: spec.capacity,
            cold: spec.back.cold,
            warm: spec.back.warm,
            item: spec.item_cost,
        };
        let line = format!(
            "destination {destination} has been back since {:.3} s",
            since.as_secs_f64()
        );
        self.record(None, back, &line);
    }
}
