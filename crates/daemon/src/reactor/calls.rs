//! Destinations: their connections, and the calls out on them.

use super::*;

/// An answer that has begun goes on within this.
const STALL: Duration = Duration::from_millis(400);

/// However many kept connections turn out dead, one that was just used is used again.
const TRUST_LEAST: Duration = Duration::from_millis(100);

/// When an answer that has begun is held for one that does not end. Guards slots against heads without an end
/// and lengths that don't fit, which would keep them until the call's time-out.
pub(super) fn stall(link: &Link) -> Option<Time> {
    (!link.input.is_empty()).then(|| link.used + STALL)
}

/// When a call that is not written whole must not be any more, since a message in it may have been executed before and a repeat
/// would leave the window of its class. Guards against connections that come up late: the decision was in time.
pub(super) fn write_by(link: &Link) -> Option<Time> {
    match &link.role {
        Role::Destination {
            call: Some(out), ..
        } if !link.written_out() => out.attempts.iter().filter_map(|a| a.write_by).min(),
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
        let waits = |l: &Link| {
            matches!(l.role, Role::Destination { call: Some(_), .. }) && !l.written_out()
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
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let Role::Destination { call, .. } = &mut link.role else {
            return;
        };
        let Some(out) = call.take() else { return };
        if link.written > 0 {
            self.drop_link(id);
        } else {
            link.output.clear();
        }
        self.end_call(out, &DestinationResponse::all(Verdict::of(Status::NotSent)));
    }

    pub(super) fn close_idle(&mut self, endpoint: &EndpointId) {
        let idle = |l: &Link| {
            matches!(
                l.role,
                Role::Destination {
                    call: None,
                    check: None,
                    ..
                }
            )
        };
        let ids: Vec<usize> = self.connections(endpoint, idle).collect();
        ids.into_iter().for_each(|id| drop(self.drop_link(id)));
    }

    /// The connections to an endpoint of which this holds.
    fn connections(
        &self,
        endpoint: &EndpointId,
        holds: impl Fn(&Link) -> bool,
    ) -> impl Iterator<Item = usize> {
        self.by_endpoint
            .of(endpoint)
            .filter(move |id| self.links.get(id).is_some_and(&holds))
    }

    /// A connection to this endpoint that is free and can be trusted.
    pub(super) fn free_link(&mut self, endpoint: &EndpointId, address: &str) -> Option<usize> {
        let (now, limit) = (self.clock.now(), self.idle_limit().min(self.trusted_idle));
        loop {
            let fits = |l: &Link| match &l.role {
                Role::Destination {
                    address: a,
                    call: None,
                    check: None,
                    ..
                } => a == address && l.up,
                _ => false,
            };
            let free = self
                .connections(endpoint, fits)
                .filter_map(|id| Some((id, self.links.get(&id)?)));
            let (id, link) = free.max_by_key(|(_, link)| link.used)?;
            // One that the other side has closed, or may be about to close, would lose what is written to it.
            let alive =
                matches!(link.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            if alive && !link.ended && now - link.used < limit {
                return Some(id);
            }
            self.drop_link(id);
        }
    }

    pub(super) fn connect(&mut self, role: Role, address: &str) -> io::Result<usize> {
        let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
        // Descriptors are few: an idle connection makes room for one that is needed.
        if matches!(role, Role::Destination { .. }) {
            let destinations = |l: &&Link| matches!(l.role, Role::Destination { .. });
            let idle = |l: &Link| {
                matches!(
                    l.role,
                    Role::Destination {
                        call: None,
                        check: None,
                        ..
                    }
                )
            };
            if self.links.values().filter(destinations).count() >= self.max_destination_connections
            {
                let longest = self
                    .links
                    .iter()
                    .filter(|(_, l)| idle(l))
                    .min_by_key(|(_, l)| l.used);
                longest
                    .map(|(&id, _)| id)
                    .into_iter()
                    .for_each(|id| drop(self.drop_link(id)));
            }
        }
        self.add_link(TcpStream::connect(address)?, role, false)
    }

    pub(super) fn call(&mut self, endpoint: EndpointId, address: String, attempts: Vec<Attempt>) {
        let now = self.clock.now();
        let bytes = match (&mut self.push, attempts.first()) {
            (Some(push), Some(first)) if first.envelope.is_some() => {
                push.call(&address, first, now)
            }
            _ => destinations::call(&address, &attempts, now),
        };
        let ids = attempts.iter().map(|a| a.id.clone()).collect();
        let out = Out {
            attempts,
            ids,
            started: now,
            delivered: false,
        };
        let id = match self.free_link(&endpoint, &address) {
            Some(id) => id,
            None => {
                let role = Role::Destination {
                    endpoint: endpoint.clone(),
                    address: address.clone(),
                    call: None,
                    check: None,
                };
                match self.connect(role, &address) {
                    Ok(id) => id,
                    Err(e) => {
                        log::info!("partner {endpoint} at {address}: {e}");
                        return self.end_call(
                            out,
                            &DestinationResponse::all(Verdict::of(Status::NoConnection)),
                        );
                    }
                }
            }
        };
        if let Some(link) = self.links.get_mut(&id) {
            log::trace!(
                "notices {:?}: call to {endpoint} on connection {id}, up: {}",
                out.ids,
                link.up
            );
            if let Role::Destination { call, .. } = &mut link.role {
                *call = Some(out);
            }
            link.output = bytes;
            link.written = 0;
            link.gap = now - link.used;
            link.used = now;
        }
        self.pump(id);
    }

    pub(super) fn check(&mut self, endpoint: EndpointId, address: String) {
        let now = self.clock.now();
        let role = Role::Destination {
            endpoint: endpoint.clone(),
            address: address.clone(),
            call: None,
            check: Some(now),
        };
        match self.connect(role, &address) {
            Ok(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.output = http::write_request("GET", "/health", &address, &[], b"");
                }
            }
            Err(_) => self.step(Input::HealthChecked {
                endpoint,
                status: Status::NoConnection,
            }),
        }
    }

    /// Tells the core how a call ended.
    pub(super) fn end_call(&mut self, out: Out, parsed: &DestinationResponse) {
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
                "notice {}: attempt {} ended: {status:?}, over: {over}",
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
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let ended = link.ended || write_broke;
        let written = link.written_out();
        let stalled = stall(link).is_some_and(|t| t <= self.clock.now());
        let Role::Destination {
            endpoint,
            call,
            check,
            ..
        } = &mut link.role
        else {
            return;
        };
        let Some(out) = call else {
            if check.is_some() {
                let status = match http::response(&link.input, ended) {
                    Ok(Some((r, _))) if r.status == 200 => Status::Served,
                    Ok(Some(_)) => Status::Overloaded,
                    Ok(None) if !ended && link.input.len() < ANSWER_MOST => return,
                    _ => Status::Reset,
                };
                let endpoint = endpoint.clone();
                self.drop_link(id);
                return self.step(Input::HealthChecked { endpoint, status });
            }
            // Idle: closed by the other side, or talking out of turn.
            if ended || !link.input.is_empty() {
                self.drop_link(id);
            }
            return;
        };
        // What comes after the wait that the call states is no answer to it any more: the destination may hold it for given up,
        // and then nobody would tell how its messages ended.
        if out.until().is_some_and(|until| until <= self.clock.now()) && written {
            return self.break_off(id, Cut::OutOfTime);
        }
        let push = out.attempts.iter().any(|a| a.envelope.is_some());
        match http::response(&link.input, ended) {
            Ok(Some((response, used))) => {
                let Some(out) = call.take() else { return };
                let ids: Vec<&str> = out.ids.iter().map(String::as_str).collect();
                let parsed = if push {
                    webpush::read(&response, unix_now)
                } else {
                    destinations::read(&response, &ids, unix_now)
                };
                if let Some(wait) = parsed.wait {
                    log::debug!("partner {endpoint}: told to wait {} ms", wait.as_millis());
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
                        "partner {endpoint}: answered {} to {}",
                        response.status,
                        out.ids[0]
                    );
                }
                let trailing = link.input.len() > used && !mutation::is(Mutation::ReusesSpoilt);
                if response.close || ended || !written || trailing {
                    self.drop_link(id);
                } else {
                    link.input.clear();
                    link.output.clear();
                    link.written = 0;
                    link.answered += 1;
                    let proven = link.answered > 1 && link.gap >= self.trusted_idle / 2;
                    if proven {
                        self.trusted_idle = self.trusted_idle.saturating_mul(51) / 50;
                    }
                }
                self.end_call(out, &parsed);
            }
            Ok(None) if !ended && !stalled && link.input.len() < ANSWER_MOST => {
                out.delivered = out.delivers(&link.input);
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
        let Some(mut link) = self.drop_link(id) else {
            return;
        };
        let Role::Destination { endpoint, call, .. } = &mut link.role else {
            return;
        };
        let Some(out) = call.take() else { return };
        let (kept, begun) = (link.answered > 0, !link.input.is_empty());
        let delivered = match cut {
            Cut::OutOfTime => out.delivered,
            Cut::Spoilt | Cut::Ended { .. } => out.delivers(&link.input),
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
            self.trusted_idle = self.trusted_idle.min((link.gap / 2).max(TRUST_LEAST));
        }
        log::debug!("partner {endpoint}: call broken off, {cut:?}: {status:?}");
        // A wait binds from when it was written, also where its answer came too late to count.
        let unix_now = Duration::from_nanos(self.clock.now().0);
        let late = http::response(&link.input, false).ok().flatten();
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
