//! The connection pool for destinations, and the calls in flight on its connections.

use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_core::mutation::{self, Mutation};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{EndpointId, Settings, Status};

use crate::clock::since_unix_epoch;
use crate::connection::{Connection, ConnectionKind, InFlightCall, MAX_HTTP_MESSAGE_BYTES};
use crate::connection_table::ConnectionTable;
use crate::destination_protocol::{DestinationResponse, Verdict};
use crate::finished_call::{self, FinishedCall};
use crate::http::{self, Response};
use crate::throttled_log::ThrottledLog;

/// Lower limit of [`UpstreamPool::trusted_idle`], however many idle connections turn out to be closed by the peer.
const MIN_TRUSTED_IDLE: Duration = Duration::from_millis(100);
/// An idle connection is not reused within this time before the destination closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);

/// Minimum interval between two log lines about unexpected bytes on idle connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a call ends without a complete response.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Interruption {
    /// The call's deadline has passed.
    OutOfTime,
    /// The response is malformed, stalls, or exceeds the size limit.
    Spoilt,
    /// The peer closed the connection; `written` if the call had been sent completely.
    Ended { written: bool },
}

/// The result of processing the input on a destination's connection.
pub(crate) enum UpstreamEvent {
    Nothing,
    HealthChecked {
        endpoint: EndpointId,
        status: Status,
    },
    CallFinished(FinishedCall),
}

/// The connections to destinations, which are reused for several calls.
pub(crate) struct UpstreamPool {
    max_connections: usize,
    connect_timeout: Duration,
    /// An idle connection is closed after this time.
    max_idle: Duration,
    /// A connection that was idle for longer is not reused. Learned from idle connections that the peer had closed.
    trusted_idle: Duration,
    unexpected_bytes: ThrottledLog,
}

impl UpstreamPool {
    pub(crate) fn new(max_connections: usize, settings: &Settings, now: Time) -> UpstreamPool {
        let closed_after = settings.idle_timeout;
        UpstreamPool {
            max_connections,
            connect_timeout: settings.connect_timeout,
            max_idle: closed_after
                .saturating_sub(IDLE_MARGIN)
                .max(closed_after / 2),
            trusted_idle: Duration::MAX,
            unexpected_bytes: ThrottledLog::new(LOG_INTERVAL, now),
        }
    }

    /// When a destination's connection times out.
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

    /// Starts a call on an idle connection or a new one, and returns the connection's id.
    ///
    /// # Errors
    /// No connection can be opened; the error is the finished call.
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
                    log::info!("endpoint {endpoint} at {address}: connect failed: {e}");
                    let finished = FinishedCall::without_response(call, Status::NoConnection);
                    return Err(Box::new(finished));
                }
            },
        };
        if let Some(connection) = connections.get_mut(id) {
            log::trace!(
                "messages {:?}: calling {endpoint} on connection {id}, established: {}",
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

    /// Starts a health check on a new connection.
    ///
    /// # Errors
    /// No connection can be opened.
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

    /// The most recently used idle connection to this endpoint that can be reused. Those that can't are closed, except those that rest.
    fn idle_connection(
        &mut self,
        connections: &mut ConnectionTable,
        endpoint: &EndpointId,
        address: &str,
        now: Time,
    ) -> Option<usize> {
        let max_idle = self.max_idle.min(self.trusted_idle);
        let matches = |connection: &Connection| match &connection.kind {
            ConnectionKind::Destination { address: other, .. } => {
                connection.is_idle_destination()
                    && other == address
                    && connection.established
                    && !connection.is_resting(now)
            }
            _ => false,
        };
        loop {
            let idle = connections.of_endpoint(endpoint, matches);
            let (id, connection) = idle.max_by_key(|(_, connection)| connection.last_used)?;
            // A call written to a connection that the peer has closed, or is about to close, would be lost.
            let received = connection.stream.peek(&mut [0]);
            let alive = matches!(&received, Err(e) if e.kind() == ErrorKind::WouldBlock);
            if alive && !connection.ended && now - connection.last_used < max_idle {
                return Some(id);
            }
            if matches!(received, Ok(1..)) {
                self.log_unexpected_bytes(connection, now);
            }
            connections.close(id);
        }
    }

    /// Logs bytes that have arrived on an idle connection. If this happens long after the last response, such bytes could also have
    /// arrived during a call, as a response to it.
    fn log_unexpected_bytes(&mut self, connection: &Connection, now: Time) {
        let ConnectionKind::Destination { endpoint, .. } = &connection.kind else {
            return;
        };
        if let Some(connections) = self.unexpected_bytes.record(now) {
            let idle_ms = connection
                .idle_since
                .map_or(0, |since| (now - since).as_millis() as u64);
            log::info!(event = "unexpected-response", connections, idle_ms;
                "endpoint {endpoint}: bytes arrived on an idle connection {idle_ms} ms after its last response; {connections} such connections closed");
        }
    }

    /// Opens a connection to an endpoint; `check` is when its health check is sent, if it is opened for one.
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
        // File descriptors are limited: at the limit, the connection that has been idle longest is closed first.
        if connections.count(Connection::is_destination) >= self.max_connections {
            let idle = connections.iter().filter(|(_, c)| c.is_idle_destination());
            let longest_idle = idle.min_by_key(|(_, c)| c.last_used).map(|(id, _)| id);
            longest_idle.and_then(|id| connections.close(id));
        }
        connections.connect(kind, address, now)
    }

    /// Cancels a call that is not written completely, so that it is not executed. The connection is kept unless a part of the call
    /// was sent.
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
            connection.clear_output();
        }
        Some(FinishedCall::without_response(call, Status::NotSent))
    }

    /// The connections with calls to these endpoints that are not written completely, without duplicates and ordered by id.
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

    /// Processes the input on a destination's connection.
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
        // An idle connection is unusable once the peer has closed it, or has sent bytes that belong to no call.
        if !connection.input.is_empty() {
            self.log_unexpected_bytes(connection, now);
        }
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
        // A response after the deadline stated in the call does not count: the destination may have treated the call as abandoned,
        // and then nobody would be notified of the results of its messages.
        if written && call.deadline().is_some_and(|deadline| deadline <= now) {
            return self.interrupt(connections, id, Interruption::OutOfTime, now);
        }
        match http::response(&connection.input, ended) {
            Ok(Some((response, used))) => {
                self.finish_call(connections, id, ended, (&response, used), now)
            }
            Ok(None) if !ended && !stalled && connection.input.len() < MAX_HTTP_MESSAGE_BYTES => {
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

    /// Finishes a call with a complete response of `used` bytes. The connection is kept if it can be reused.
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
        let trailing =
            connection.input.len() > used && !mutation::is_enabled(Mutation::ReusesSpoilt);
        if response.close || ended || !written || trailing || !parsed.is_of_call {
            connections.close(id);
        } else {
            connection.clear_response();
            connection.clear_output();
            connection.responses += 1;
            connection.idle_since = Some(now);
            let survived_idle =
                connection.responses > 1 && connection.idle_before_call >= self.trusted_idle / 2;
            if survived_idle {
                self.trusted_idle = self.trusted_idle.saturating_mul(51) / 50;
            }
        }
        Some(FinishedCall::new(call, parsed))
    }

    /// Ends a call without a complete response, and closes its connection, so that a late response is not mistaken for that of the
    /// next call.
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
            // Other connections that were idle for as long are probably closed by the peer as well.
            let half = connection.idle_before_call / 2;
            self.trusted_idle = self.trusted_idle.min(half.max(MIN_TRUSTED_IDLE));
        }
        log::debug!("endpoint {endpoint}: call interrupted, {interruption:?}: {status:?}");
        // A Retry-After applies from when it is received, also in a response that is too late to count.
        let late_response = http::response(&connection.input, false).ok().flatten();
        let wait = late_response
            .and_then(|(response, _)| http::retry_after(&response.headers, since_unix_epoch(now)));
        let verdict = Verdict {
            status,
            completed: delivered,
        };
        let response = DestinationResponse {
            retry_after: wait,
            ..DestinationResponse::all(verdict)
        };
        Some(FinishedCall::new(call, response))
    }
}

/// The result of a health check; `None` while its response is incomplete.
fn health_status(connection: &Connection, ended: bool) -> Option<Status> {
    match http::response(&connection.input, ended) {
        Ok(Some((response, _))) if response.status == 200 => Some(Status::Served),
        Ok(Some(_)) => Some(Status::Overloaded),
        Ok(None) if !ended && connection.input.len() < MAX_HTTP_MESSAGE_BYTES => None,
        _ => Some(Status::Reset),
    }
}

/// The status of an interrupted call that was not delivered. `reused` means that the connection has answered a call before, `begun`
/// that a part of the response has arrived.
fn interrupted_status(interruption: Interruption, reused: bool, begun: bool) -> Status {
    match interruption {
        Interruption::OutOfTime => Status::TimedOut,
        // The call was received. A response that is incomplete shows, like a malformed one, that the destination is reachable.
        Interruption::Spoilt => Status::Malformed,
        Interruption::Ended { .. } if begun => Status::Malformed,
        // A reused connection that ends at its next call shows nothing about the destination, which may have closed it while idle.
        Interruption::Ended { written } => match (reused, written) {
            (true, false) => Status::NotSent,
            (true, true) => Status::IdleConnectionBroken,
            (false, false) => Status::NoConnection,
            (false, true) => Status::Reset,
        },
    }
}

#[cfg(test)]
mod tests;
