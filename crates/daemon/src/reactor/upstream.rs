//! Destinations: their connections, and the calls out on them.

use super::*;

/// An answer that has begun goes on within this.
const STALL: Duration = Duration::from_millis(400);

/// However many kept connections turn out dead, one that was just used is used again.
const TRUST_LEAST: Duration = Duration::from_millis(100);

/// When an answer that has begun is held for one that does not end. Guards slots against heads without an end
/// and lengths that don't fit, which would keep them until the call's time-out.
pub(super) fn stall(connection: &Connection) -> Option<Time> {
    (!connection.input.is_empty()).then(|| connection.used + STALL)
}

/// When a call that is not written whole must not be any more, since a message in it may have been executed before and a repeat
/// would leave the window of its class. Guards against connections that come up late: the decision was in time.
pub(super) fn write_by(connection: &Connection) -> Option<Time> {
    match &connection.kind {
        ConnectionKind::Destination {
            call: Some(out), ..
        } if !connection.written_out() => out.attempts.iter().filter_map(|a| a.write_by).min(),
        _ => None,
    }
}

/// Why a call ends without a whole answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cut {
    /// Its time is over.
    OutOfTime,
    /// What came can't be read, stalls, or does not end.
    Spoilt,
    /// The other side ended the connection; `written`: all of the call had gone out.
    Ended { written: bool },
}

impl Reactor {
    /// Ends calls that are not written yet: they would arrive inside a Retry-After wait, or at an endpoint that drains or is
    /// gone.
    pub(super) fn hold_back(&mut self, endpoints: &[EndpointId]) {
        let waits = |l: &Connection| {
            matches!(l.kind, ConnectionKind::Destination { call: Some(_), .. }) && !l.written_out()
        };
        // In the order of the connections, each once, however the endpoints are named.
        let ids: BTreeSet<usize> = endpoints
            .iter()
            .flat_map(|e| self.connections(e, waits))
            .collect();
        ids.into_iter().for_each(|id| self.withhold(id));
    }

    /// Ends a call that is not written whole, so that it never runs. Its connection is kept, unless part of it is on it.
    pub(super) fn withhold(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let ConnectionKind::Destination { call, .. } = &mut connection.kind else {
            return;
        };
        let Some(out) = call.take() else { return };
        if connection.written > 0 {
            self.drop_connection(id);
        } else {
            connection.output.clear();
        }
        self.end_call(out, &DestinationResponse::all(Verdict::of(Status::NotSent)));
    }

    pub(super) fn close_idle(&mut self, endpoint: &EndpointId) {
        let idle = |l: &Connection| {
            matches!(
                l.kind,
                ConnectionKind::Destination {
                    call: None,
                    check: None,
                    ..
                }
            )
        };
        let ids: Vec<usize> = self.connections(endpoint, idle).collect();
        ids.into_iter()
            .for_each(|id| drop(self.drop_connection(id)));
    }

    /// The connections to an endpoint of which this holds.
    fn connections(
        &self,
        endpoint: &EndpointId,
        holds: impl Fn(&Connection) -> bool,
    ) -> impl Iterator<Item = usize> {
        self.connection_index
            .of(endpoint)
            .filter(move |id| self.connections.get(id).is_some_and(&holds))
    }

    /// A connection to this endpoint that is free and can be trusted.
    pub(super) fn free_connection(
        &mut self,
        endpoint: &EndpointId,
        address: &str,
    ) -> Option<usize> {
        let (now, limit) = (self.clock.now(), self.idle_limit().min(self.trusted_idle));
        loop {
            let fits = |l: &Connection| match &l.kind {
                ConnectionKind::Destination {
                    address: a,
                    call: None,
                    check: None,
                    ..
                } => a == address && l.up,
                _ => false,
            };
            let free = self
                .connections(endpoint, fits)
                .filter_map(|id| Some((id, self.connections.get(&id)?)));
            let (id, connection) = free.max_by_key(|(_, connection)| connection.used)?;
            // One that the other side has closed, or may be about to close, would lose what is written to it.
            let alive = matches!(connection.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            if alive && !connection.ended && now - connection.used < limit {
                return Some(id);
            }
            self.drop_connection(id);
        }
    }

    pub(super) fn connect(&mut self, kind: ConnectionKind, address: &str) -> io::Result<usize> {
        let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
        // Descriptors are few: an idle connection makes room for one that is needed.
        if matches!(kind, ConnectionKind::Destination { .. }) {
            let destinations =
                |l: &&Connection| matches!(l.kind, ConnectionKind::Destination { .. });
            let idle = |l: &Connection| {
                matches!(
                    l.kind,
                    ConnectionKind::Destination {
                        call: None,
                        check: None,
                        ..
                    }
                )
            };
            if self.connections.values().filter(destinations).count()
                >= self.max_destination_connections
            {
                let longest = self
                    .connections
                    .iter()
                    .filter(|(_, l)| idle(l))
                    .min_by_key(|(_, l)| l.used);
                longest
                    .map(|(&id, _)| id)
                    .into_iter()
                    .for_each(|id| drop(self.drop_connection(id)));
            }
        }
        self.add_connection(TcpStream::connect(address)?, kind, false)
    }

    pub(super) fn call(&mut self, endpoint: EndpointId, address: String, attempts: Vec<Attempt>) {
        let now = self.clock.now();
        let bytes = match (&mut self.push, attempts.first()) {
            (Some(push), Some(first)) if first.envelope.is_some() => {
                push.write_call(&address, first, now)
            }
            _ => destination_protocol::write_call(&address, &attempts, now),
        };
        let ids = attempts.iter().map(|a| a.id.clone()).collect();
        let out = InFlightCall {
            attempts,
            ids,
            started: now,
            delivered: false,
        };
        let id = match self.free_connection(&endpoint, &address) {
            Some(id) => id,
            None => {
                let kind = ConnectionKind::Destination {
                    endpoint: endpoint.clone(),
                    address: address.clone(),
                    call: None,
                    check: None,
                };
                match self.connect(kind, &address) {
                    Ok(id) => id,
                    Err(e) => {
                        log::info!("endpoint {endpoint} at {address}: {e}");
                        return self.end_call(
                            out,
                            &DestinationResponse::all(Verdict::of(Status::NoConnection)),
                        );
                    }
                }
            }
        };
        if let Some(connection) = self.connections.get_mut(&id) {
            log::trace!(
                "messages {:?}: call to {endpoint} on connection {id}, established: {}",
                out.ids,
                connection.up
            );
            if let ConnectionKind::Destination { call, .. } = &mut connection.kind {
                *call = Some(out);
            }
            connection.output = bytes;
            connection.written = 0;
            connection.gap = now - connection.used;
            connection.used = now;
        }
        self.pump(id);
    }

    pub(super) fn check(&mut self, endpoint: EndpointId, address: String) {
        let now = self.clock.now();
        let kind = ConnectionKind::Destination {
            endpoint: endpoint.clone(),
            address: address.clone(),
            call: None,
            check: Some(now),
        };
        match self.connect(kind, &address) {
            Ok(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.output = http::write_request("GET", "/health", &address, &[], b"");
                }
            }
            Err(_) => self.step(Input::HealthChecked {
                endpoint,
                status: Status::NoConnection,
            }),
        }
    }

    /// Tells the core how a call ended.
    pub(super) fn end_call(&mut self, out: InFlightCall, parsed: &DestinationResponse) {
        let now = self.clock.now();
        let mut ends = Vec::new();
        for attempt in out.attempts {
            let place = out.ids.iter().position(|id| *id == attempt.id).unwrap_or(0);
            let Verdict { status, over } = parsed
                .verdicts
                .get(place)
                .or(parsed.verdicts.first())
                .copied()
                .unwrap_or(Verdict::of(Status::Error));
            log::trace!(
                "message {}: attempt {} finished: {status:?}, completed: {over}",
                attempt.id,
                attempt.number
            );
            ends.push(AttemptOutcome {
                id: attempt.id,
                attempt: attempt.number,
                status,
                over,
                took: now - out.started,
                retry_after: parsed.wait,
                report: parsed.report,
            });
        }
        self.step(Input::AttemptsFinished(ends));
    }

    pub(super) fn on_destination(&mut self, id: usize, write_broke: bool) {
        let unix_now = Duration::from_nanos(self.clock.now().0);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let ended = connection.ended || write_broke;
        let written = connection.written_out();
        let stalled = stall(connection).is_some_and(|t| t <= self.clock.now());
        let ConnectionKind::Destination {
            endpoint,
            call,
            check,
            ..
        } = &mut connection.kind
        else {
            return;
        };
        let Some(out) = call else {
            if check.is_some() {
                let status = match http::response(&connection.input, ended) {
                    Ok(Some((r, _))) if r.status == 200 => Status::Served,
                    Ok(Some(_)) => Status::Overloaded,
                    Ok(None) if !ended && connection.input.len() < ANSWER_MOST => return,
                    _ => Status::Reset,
                };
                let endpoint = endpoint.clone();
                self.drop_connection(id);
                return self.step(Input::HealthChecked { endpoint, status });
            }
            // Idle: closed by the other side, or talking out of turn.
            if ended || !connection.input.is_empty() {
                self.drop_connection(id);
            }
            return;
        };
        // What comes after the wait that the call states is no answer to it any more: the destination may hold it for given up,
        // and then nobody would tell how its messages ended.
        if out.until().is_some_and(|until| until <= self.clock.now()) && written {
            return self.break_off(id, Cut::OutOfTime);
        }
        let push = out.attempts.iter().any(|a| a.envelope.is_some());
        match http::response(&connection.input, ended) {
            Ok(Some((response, used))) => {
                let Some(out) = call.take() else { return };
                let ids: Vec<&str> = out.ids.iter().map(String::as_str).collect();
                let parsed = if push {
                    webpush::read_response(&response, unix_now)
                } else {
                    destination_protocol::read(&response, &ids, unix_now)
                };
                if let Some(wait) = parsed.wait {
                    log::debug!(
                        "endpoint {endpoint}: Retry-After of {} ms",
                        wait.as_millis()
                    );
                }
                if let [
                    Verdict {
                        status: Status::PermanentError,
                        ..
                    },
                    ..,
                ] = parsed.verdicts[..]
                {
                    log::error!(
                        "endpoint {endpoint}: answered {} to {}",
                        response.status,
                        out.ids[0]
                    );
                }
                let trailing =
                    connection.input.len() > used && !mutation::is(Mutation::ReusesSpoilt);
                if response.close || ended || !written || trailing {
                    self.drop_connection(id);
                } else {
                    connection.input.clear();
                    connection.output.clear();
                    connection.written = 0;
                    connection.answered += 1;
                    let proven = connection.answered > 1 && connection.gap >= self.trusted_idle / 2;
                    if proven {
                        self.trusted_idle = self.trusted_idle.saturating_mul(51) / 50;
                    }
                }
                self.end_call(out, &parsed);
            }
            Ok(None) if !ended && !stalled && connection.input.len() < ANSWER_MOST => {
                out.delivered = out.delivers(&connection.input);
            }
            result => {
                let cut = if result.is_err() || stalled || !ended {
                    Cut::Spoilt
                } else {
                    Cut::Ended { written }
                };
                self.break_off(id, cut);
            }
        }
    }

    /// Ends a call whose answer has not come whole, and its connection: an answer that is still on its way must not be
    /// read for the next call's.
    pub(super) fn break_off(&mut self, id: usize, cut: Cut) {
        let Some(mut connection) = self.drop_connection(id) else {
            return;
        };
        let ConnectionKind::Destination { endpoint, call, .. } = &mut connection.kind else {
            return;
        };
        let Some(out) = call.take() else { return };
        let (kept, begun) = (connection.answered > 0, !connection.input.is_empty());
        let delivered = match cut {
            Cut::OutOfTime => out.delivered,
            Cut::Spoilt | Cut::Ended { .. } => out.delivers(&connection.input),
        };
        let status = match cut {
            _ if delivered => Status::Served,
            Cut::OutOfTime => Status::TimedOut,
            // It ran. An answer that has begun and breaks off says, as a spoilt one does, that the destination is there.
            Cut::Spoilt => Status::Spoilt,
            Cut::Ended { .. } if begun => Status::Spoilt,
            // A connection that was kept and is dead at its next call says nothing of the destination.
            Cut::Ended { written } => match (kept, written) {
                (true, false) => Status::NotSent,
                (true, true) => Status::Dropped,
                (false, false) => Status::NoConnection,
                (false, true) => Status::Reset,
            },
        };
        if kept && !begun && matches!(cut, Cut::Ended { .. }) {
            // Those kept as long will be dead, too.
            self.trusted_idle = self.trusted_idle.min((connection.gap / 2).max(TRUST_LEAST));
        }
        log::debug!("endpoint {endpoint}: call cancelled, {cut:?}: {status:?}");
        // A wait binds from when it was written, also where its answer came too late to count.
        let unix_now = Duration::from_nanos(self.clock.now().0);
        let late = http::response(&connection.input, false).ok().flatten();
        let wait = late.and_then(|(response, _)| http::retry_after(&response.headers, unix_now));
        self.end_call(
            out,
            &DestinationResponse {
                wait,
                ..DestinationResponse::all(Verdict {
                    status,
                    over: delivered,
                })
            },
        );
    }
}
