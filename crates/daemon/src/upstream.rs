//! Connections to destinations, and the calls in flight on them.

use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_core::mutation::{self, Mutation};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{EndpointId, Settings, Status};

use crate::clock::since_unix_epoch;
use crate::connection::{Connection, ConnectionKind, InFlightCall, MAX_RESPONSE_BYTES};
use crate::connection_table::ConnectionTable;
use crate::destination_protocol::{DestinationResponse, Verdict};
use crate::finished_call::{self, FinishedCall};
use crate::http::{self, Response};

/// However many idle connections turn out dead, one that was used this recently is used again.
const MIN_TRUSTED_IDLE: Duration = Duration::from_millis(100);
/// An idle connection is not used any more this long before the destination closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);

/// Why a call ends without a complete response.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Interruption {
    /// Its deadline has passed.
    OutOfTime,
    /// What arrived is malformed, stalls, or does not end.
    Spoilt,
    /// The peer ended the connection; `written`: the call had been sent completely.
    Ended { written: bool },
}

/// What came of the bytes on a destination's connection.
pub(crate) enum UpstreamEvent {
    Nothing,
    HealthChecked {
        endpoint: EndpointId,
        status: Status,
    },
    CallFinished(FinishedCall),
}

/// The connections to destinations.
pub(crate) struct UpstreamPool {
    max_connections: usize,
    connect_timeout: Duration,
    /// An idle connection is closed after this.
    max_idle: Duration,
    /// A connection that was idle for longer is not written to: as learned from those that turned out dead.
    trusted_idle: Duration,
}

impl UpstreamPool {
    pub(crate) fn new(max_connections: usize, settings: &Settings) -> UpstreamPool {
        let closed_after = settings.conn_idle;
        UpstreamPool {
            max_connections,
            connect_timeout: settings.connect_timeout,
            max_idle: closed_after
                .saturating_sub(IDLE_MARGIN)
                .max(closed_after / 2),
            trusted_idle: Duration::MAX,
        }
    }

    /// When a destination's connection needs attention though nothing happens on it.
    pub(crate) fn deadline(&self, connection: &Connection) -> Option<Time> {
        match &connection.kind {
            ConnectionKind::Destination {
                call: Some(call), ..
            } => {
                let established = connection.established;
                let connect = (!established).then(|| call.started + self.connect_timeout);
                let deadlines = [
                    call.deadline(),
                    connect,
                    connection.stall_deadline(),
                    connection.write_deadline(),
                ];
                deadlines.into_iter().flatten().min()
            }
            ConnectionKind::Destination {
                check: Some(sent), ..
            } => Some(*sent + self.connect_timeout),
            ConnectionKind::Destination { .. } => Some(connection.last_used + self.max_idle),
            _ => None,
        }
    }

    /// Sends a call on an idle connection or a new one; without a connection the call has ended.
    pub(crate) fn start_call(
        &mut self,
        connections: &mut ConnectionTable,
        (endpoint, address): (&EndpointId, &str),
        call: InFlightCall,
        bytes: Vec<u8>,
        now: Time,
    ) -> Result<usize, Box<FinishedCall>> {
        let id = match self.idle_connection(connections, endpoint, address, now) {
            Some(id) => id,
            None => match self.open(connections, endpoint, address, None, now) {
                Ok(id) => id,
                Err(e) => {
                    log::info!("endpoint {endpoint} at {address}: {e}");
                    let finished = FinishedCall::without_response(call, Status::NoConnection);
                    return Err(Box::new(finished));
                }
            },
        };
        if let Some(connection) = connections.get_mut(id) {
            log::trace!(
                "messages {:?}: call to {endpoint} on connection {id}, established: {}",
                call.ids,
                connection.established
            );
            if let ConnectionKind::Destination { call: slot, .. } = &mut connection.kind {
                *slot = Some(call);
            }
            (connection.output, connection.written) = (bytes, 0);
            connection.idle_before_call = now - connection.last_used;
            connection.last_used = now;
        }
        Ok(id)
    }

    /// Sends a health check on a connection of its own.
    pub(crate) fn start_health_check(
        &self,
        connections: &mut ConnectionTable,
        endpoint: &EndpointId,
        address: &str,
        now: Time,
    ) -> io::Result<()> {
        let id = self.open(connections, endpoint, address, Some(now), now)?;
        if let Some(connection) = connections.get_mut(id) {
            connection.output = http::write_request("GET", "/health", address, &[], b"");
        }
        Ok(())
    }

    /// An idle connection to this endpoint that can be trusted; others are closed.
    fn idle_connection(
        &self,
        connections: &mut ConnectionTable,
        endpoint: &EndpointId,
        address: &str,
        now: Time,
    ) -> Option<usize> {
        let max_idle = self.max_idle.min(self.trusted_idle);
        let matches = |connection: &Connection| match &connection.kind {
            ConnectionKind::Destination { address: other, .. } => {
                connection.is_idle_destination() && other == address && connection.established
            }
            _ => false,
        };
        loop {
            let idle = connections.of_endpoint(endpoint, matches);
            let (id, connection) = idle.max_by_key(|(_, connection)| connection.last_used)?;
            // One that the peer has closed, or is about to close, would lose what is written to it.
            let alive = matches!(connection.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            if alive && !connection.ended && now - connection.last_used < max_idle {
                return Some(id);
            }
            connections.close(id);
        }
    }

    fn open(
        &self,
        connections: &mut ConnectionTable,
        endpoint: &EndpointId,
        address: &str,
        check: Option<Time>,
        now: Time,
    ) -> io::Result<usize> {
        let kind = ConnectionKind::Destination {
            endpoint: endpoint.clone(),
            address: address.to_owned(),
            call: None,
            check,
        };
        let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
        // Descriptors are few: the longest idle connection is closed for one that is needed.
        if connections.count(Connection::is_destination) >= self.max_connections {
            let idle = connections.iter().filter(|(_, c)| c.is_idle_destination());
            let longest = idle.min_by_key(|(_, c)| c.last_used).map(|(id, _)| id);
            longest.and_then(|id| connections.close(id));
        }
        connections.connect(kind, address, now)
    }

    /// Cancels a call that is not written completely, so that it is never executed. Its connection is kept unless a part of the
    /// call was sent.
    pub(crate) fn cancel_unwritten(
        connections: &mut ConnectionTable,
        id: usize,
    ) -> Option<FinishedCall> {
        let connection = connections.get_mut(id)?;
        let ConnectionKind::Destination { call, .. } = &mut connection.kind else {
            return None;
        };
        let call = call.take()?;
        if connection.written > 0 {
            connections.close(id);
        } else {
            connection.output.clear();
        }
        Some(FinishedCall::without_response(call, Status::NotSent))
    }

    /// The connections with calls to these endpoints that are not written completely: in the order of the connections, each once.
    pub(crate) fn unwritten_calls(
        connections: &ConnectionTable,
        endpoints: &[EndpointId],
    ) -> BTreeSet<usize> {
        let mut ids = BTreeSet::new();
        for endpoint in endpoints {
            let unwritten = connections.of_endpoint(endpoint, Connection::has_unwritten_call);
            ids.extend(unwritten.map(|(id, _)| id));
        }
        ids
    }

    pub(crate) fn close_idle(connections: &mut ConnectionTable, endpoint: &EndpointId) {
        let idle: Vec<usize> = connections
            .of_endpoint(endpoint, Connection::is_idle_destination)
            .map(|(id, _)| id)
            .collect();
        for id in idle {
            connections.close(id);
        }
    }

    /// Processes what has arrived on a destination's connection.
    pub(crate) fn on_received(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        write_failed: bool,
        now: Time,
    ) -> UpstreamEvent {
        let Some(connection) = connections.get(id) else {
            return UpstreamEvent::Nothing;
        };
        let ended = connection.ended || write_failed;
        if connection.call().is_some() {
            return match self.read_response(connections, id, ended, now) {
                Some(finished) => UpstreamEvent::CallFinished(finished),
                None => UpstreamEvent::Nothing,
            };
        }
        let ConnectionKind::Destination {
            endpoint, check, ..
        } = &connection.kind
        else {
            return UpstreamEvent::Nothing;
        };
        if check.is_some() {
            let endpoint = endpoint.clone();
            let Some(status) = health_status(connection, ended) else {
                return UpstreamEvent::Nothing;
            };
            connections.close(id);
            return UpstreamEvent::HealthChecked { endpoint, status };
        }
        // Idle: closed by the peer, or bytes without a call.
        if ended || !connection.input.is_empty() {
            connections.close(id);
        }
        UpstreamEvent::Nothing
    }

    fn read_response(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        ended: bool,
        now: Time,
    ) -> Option<FinishedCall> {
        let connection = connections.get_mut(id)?;
        let written = connection.is_written();
        let stalled = connection.stall_deadline().is_some_and(|at| at <= now);
        let ConnectionKind::Destination {
            call: Some(call), ..
        } = &mut connection.kind
        else {
            return None;
        };
        // A response after the deadline that the call states does not count: the destination may hold the call for abandoned,
        // and then nobody would be notified of how its messages ended.
        if written && call.deadline().is_some_and(|deadline| deadline <= now) {
            return self.interrupt(connections, id, Interruption::OutOfTime, now);
        }
        match http::response(&connection.input, ended) {
            Ok(Some((response, used))) => {
                self.finish_call(connections, id, ended, (&response, used), now)
            }
            Ok(None) if !ended && !stalled && connection.input.len() < MAX_RESPONSE_BYTES => {
                call.delivered = call.is_delivered_by(&connection.input);
                None
            }
            result => {
                let interruption = if result.is_err() || stalled || !ended {
                    Interruption::Spoilt
                } else {
                    Interruption::Ended { written }
                };
                self.interrupt(connections, id, interruption, now)
            }
        }
    }

    /// A complete response of `used` bytes: the connection is kept if it can be used again.
    fn finish_call(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        ended: bool,
        (response, used): (&Response, usize),
        now: Time,
    ) -> Option<FinishedCall> {
        let connection = connections.get_mut(id)?;
        let written = connection.is_written();
        let ConnectionKind::Destination { endpoint, call, .. } = &mut connection.kind else {
            return None;
        };
        let call = call.take()?;
        let parsed = finished_call::parse_response(endpoint, &call, response, now);
        let trailing = connection.input.len() > used && !mutation::is(Mutation::ReusesSpoilt);
        if response.close || ended || !written || trailing {
            connections.close(id);
        } else {
            connection.input.clear();
            connection.clear_output();
            connection.responses += 1;
            let proven =
                connection.responses > 1 && connection.idle_before_call >= self.trusted_idle / 2;
            if proven {
                self.trusted_idle = self.trusted_idle.saturating_mul(51) / 50;
            }
        }
        Some(FinishedCall::new(call, parsed))
    }

    /// Ends a call without a complete response, and its connection: a response that is still on its way must not be mistaken for
    /// the next call's.
    pub(crate) fn interrupt(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        interruption: Interruption,
        now: Time,
    ) -> Option<FinishedCall> {
        let mut connection = connections.close(id)?;
        let ConnectionKind::Destination { endpoint, call, .. } = &mut connection.kind else {
            return None;
        };
        let call = call.take()?;
        let (reused, begun) = (connection.responses > 0, !connection.input.is_empty());
        let delivered = match interruption {
            Interruption::OutOfTime => call.delivered,
            Interruption::Spoilt | Interruption::Ended { .. } => {
                call.is_delivered_by(&connection.input)
            }
        };
        let status = if delivered {
            Status::Served
        } else {
            interrupted_status(interruption, reused, begun)
        };
        if reused && !begun && matches!(interruption, Interruption::Ended { .. }) {
            // Connections that were idle for as long will be dead, too.
            let half = connection.idle_before_call / 2;
            self.trusted_idle = self.trusted_idle.min(half.max(MIN_TRUSTED_IDLE));
        }
        log::debug!("endpoint {endpoint}: call cancelled, {interruption:?}: {status:?}");
        // A Retry-After holds from when it was written, also in a response that is too late to count.
        let late = http::response(&connection.input, false).ok().flatten();
        let wait = late
            .and_then(|(response, _)| http::retry_after(&response.headers, since_unix_epoch(now)));
        let verdict = Verdict {
            status,
            over: delivered,
        };
        let response = DestinationResponse {
            wait,
            ..DestinationResponse::all(verdict)
        };
        Some(FinishedCall::new(call, response))
    }
}

/// The result of a health check, once there is one.
fn health_status(connection: &Connection, ended: bool) -> Option<Status> {
    match http::response(&connection.input, ended) {
        Ok(Some((response, _))) if response.status == 200 => Some(Status::Served),
        Ok(Some(_)) => Some(Status::Overloaded),
        Ok(None) if !ended && connection.input.len() < MAX_RESPONSE_BYTES => None,
        _ => Some(Status::Reset),
    }
}

/// The status of a call that was not delivered. `reused`: the connection had answered a call before; `begun`: a part of the
/// response has arrived.
fn interrupted_status(interruption: Interruption, reused: bool, begun: bool) -> Status {
    match interruption {
        Interruption::OutOfTime => Status::TimedOut,
        // It was executed. A response that has begun and breaks off says, as a malformed one does, that the destination is there.
        Interruption::Spoilt => Status::Spoilt,
        Interruption::Ended { .. } if begun => Status::Spoilt,
        // A connection that was idle and is dead at its next call says nothing of the destination.
        Interruption::Ended { written } => match (reused, written) {
            (true, false) => Status::NotSent,
            (true, true) => Status::Dropped,
            (false, false) => Status::NoConnection,
            (false, true) => Status::Reset,
        },
    }
}
