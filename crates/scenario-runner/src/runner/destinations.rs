//! Destinations: they read calls, and their connections break by the faults of the scenario.

use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::destination::{Asked, Reply};

use super::connection::{Call, CloseMode, ConnectionId, DestinationRole};
use super::state::Runner;
use super::timers::Timer;
use crate::wire::{DestinationCall, Request, encode_response, push_path};

/// A call that is answered with this status at once.
struct RejectedCall {
    status: u16,
}

impl Runner<'_> {
    /// Reads calls, one at a time: the next one after the reply.
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
                    self.void(format!("a call that can't be read: {why}"));
                    return self.close_connection(id, CloseMode::Reset);
                }
            }
        }
    }

    /// Whether bytes of a call wait to be read. Records its first byte.
    fn has_call_to_read(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let (sender, used, empty) = (
            connection.sender,
            connection.used,
            connection.input.is_empty(),
        );
        let Some(role) = connection.destination_mut() else {
            return false;
        };
        if empty || role.in_flight.is_some() {
            return false;
        }
        let names = role.names;
        if !std::mem::replace(&mut role.request_started, true) {
            let idle = self.now().saturating_sub(used).as_millis();
            let line = format!(
                "first byte of a call on connection {}, idle for {idle} ms",
                names.connection
            );
            self.record(Some(sender), names.started(), &line);
        }
        true
    }

    /// A complete call has arrived.
    fn on_call(&mut self, id: ConnectionId, request: &Request) {
        let used = self.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.used = used;
        let sender = connection.sender;
        let Some(&DestinationRole {
            endpoint, names, ..
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
            names.connection
        );
        self.record(Some(sender), names.called(ids.clone()), &line);
        let reply = self.call_destination(endpoint, ids.len());
        self.next_serial += 1;
        let serial = self.next_serial;
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

    /// Checks that a call is valid at this endpoint. One that no sender may make voids the run.
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
            self.void(format!("sender {sender} to endpoint {endpoint}: {why}"));
            RejectedCall { status: 400 }
        })?;
        let destination = self.endpoints[endpoint].destination;
        let member = &self.scenario.destinations[destination];
        if member.push != request.path.starts_with(&push_path(destination as u64)) {
            let path = &request.path;
            self.void(format!(
                "sender {sender}: {path} to endpoint {endpoint}, which is another destination's"
            ));
            return Err(RejectedCall { status: 404 });
        }
        if call.batch && call.ids.len() > member.spec.batch {
            return Err(RejectedCall { status: 413 });
        }
        Ok(call)
    }

    /// The reply of the destination to a call.
    fn call_destination(&mut self, endpoint: usize, messages: usize) -> Reply {
        let now = self.now();
        let place = &self.endpoints[endpoint];
        let asked = Asked {
            endpoint: place.number,
            messages,
        };
        let (reply, fell) = self.destinations[place.destination].call(now, asked);
        if fell {
            let name = &self.scenario.destinations[place.destination].name;
            log::warn!(destination = name.as_str(); "{name} has fallen over");
            let destination = place.destination as u64;
            self.record(None, AuditEvent::Fell { destination }, "has fallen over");
        }
        reply
    }

    /// Records that a connection ends without a proper reply to its call.
    pub(super) fn break_call(&mut self, id: ConnectionId, executed: bool, how: &str) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let sender = connection.sender;
        let Some(role) = connection.destination_mut() else {
            return;
        };
        let names = role.names;
        let ids = role
            .in_flight
            .take()
            .map(|call| call.ids)
            .unwrap_or_default();
        let line = format!("{how} {} on connection {}", ids.join(" "), names.connection);
        self.record(Some(sender), names.broke(ids, executed), &line);
    }

    /// Resets all connections of an endpoint, at the start of an outage that refuses and at the end of one that is silent.
    pub(super) fn reset_connections_of(&mut self, endpoint: usize) {
        let place = &self.endpoints[endpoint];
        if self.destinations[place.destination]
            .state(place.number, self.now())
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

    /// Closes a connection that has been idle since `used`.
    pub(super) fn close_idle(&mut self, id: ConnectionId, used: Duration) {
        let Some(connection) = self.connections.get(&id).filter(|c| c.used == used) else {
            return;
        };
        let idle = |role: &DestinationRole| role.in_flight.is_none() && !role.request_started;
        if connection.destination().is_some_and(idle) {
            self.close_connection(id, CloseMode::Orderly);
        }
    }

    /// Records that a destination is back after an outage, for the rules on slow starts.
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
        let first = outages.map(|f| f.start).min().unwrap_or(since);
        let back = AuditEvent::Back {
            destination: destination as u64,
            since,
            down: since.saturating_sub(first),
            capacity: spec.capacity,
            cold: spec.back.cold,
            warm: spec.back.warm,
            item: spec.item_cost,
        };
        let line = format!(
            "destination {destination} is back since {:.3} s",
            since.as_secs_f64()
        );
        self.record(None, back, &line);
    }
}
