//! Those who hand messages in, over either front: their connections, and how much of us one of them gets.

use super::*;

/// Requests of one client that are dealt with before others have their turn.
const REQUESTS_A_TURN: usize = 16;
/// Connections taken in one turn; the rest wait in the system's queue.
const ACCEPTS_A_TURN: usize = 64;
/// A connection's first request is here within this, or the connection ends: callers come to hand something
/// in, and those who only hold a place must not keep the others out.
const FIRST_REQUEST: Duration = Duration::from_millis(2200);
/// A further request that has begun is whole, and an answer is read, within this.
const SLOW_CLIENT: Duration = Duration::from_secs(2);
/// A connection that has asked and asks no more is kept so long.
const IDLE_CLIENT: Duration = Duration::from_secs(4);
/// A client whose connection we end has seen that within this: it waits no longer than 400 ms for an answer.
const LINGER: Duration = Duration::from_millis(500);
/// Errors that one connection gets before it ends.
const FAULTS_MOST: u32 = 16;
/// So long after connecting, a caller's first request may still be on its way.
const FRESH: Duration = Duration::from_millis(300);
/// Connections looked at for one that may end.
const CHOICES: usize = 4;
/// A request that has not come whole is much from here on.
const MUCH: usize = 8 * 1024;

/// How long we wait for a client from [`Connection::since`] on.
pub(super) fn patience(connection: &Connection) -> Duration {
    match () {
        () if !connection.written_out() => SLOW_CLIENT,
        () if !connection.asked => FIRST_REQUEST,
        () if !connection.input.is_empty() => SLOW_CLIENT,
        () => IDLE_CLIENT,
    }
}

pub(super) fn of_client(connection: &Connection) -> bool {
    matches!(
        connection.kind,
        ConnectionKind::Client { .. }
            | ConnectionKind::Pusher { .. }
            | ConnectionKind::Ending { .. }
    )
}

/// Whether nothing is open on a client's connection, so that it may end at any time.
pub(super) fn free(connection: &Connection) -> bool {
    let waits = matches!(
        connection.kind,
        ConnectionKind::Client { busy: false }
            | ConnectionKind::Pusher { busy: None, .. }
            | ConnectionKind::Ending { .. }
    );
    waits && connection.written_out()
}

/// Whether a client must still hear from us, or we from it, before the process may end. Who waits for a push's end is told
/// at the end.
pub(super) fn open(connection: &Connection) -> bool {
    match &connection.kind {
        ConnectionKind::Ending { .. } => true,
        ConnectionKind::Pusher { busy: Some(_), .. } => false,
        _ => of_client(connection) && !free(connection),
    }
}

/// Whether a client has sent nothing yet beyond what was dealt with: what is unread must not go with its connection.
fn nothing_unread(connection: &mut Connection) -> bool {
    connection.fill();
    connection.input.is_empty()
}

/// In which order connections without a request end where places run out: those that are ending; those that never asked, once they
/// had time to; those that may end at any time by the platform's rules; who asked lately; and fresh ones, whose
/// request is on its way and would fail. When a sender stops, all its clients come to another at once.
fn spared(connection: &Connection, now: Time) -> (u8, Time) {
    let waited = now - connection.since;
    let class = match connection.asked {
        _ if matches!(connection.kind, ConnectionKind::Ending { .. }) => 0,
        false if waited >= FRESH => 1,
        true if waited >= SLOW_CLIENT => 2,
        true => 3,
        false => 4,
    };
    (class, connection.since)
}

impl Reactor {
    pub(super) fn accept(&mut self, token: Token) {
        for _ in 0..ACCEPTS_A_TURN {
            let listener = if token == CLIENTS {
                &self.clients
            } else {
                &self.pushes
            };
            let Some(listener) = listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue;
                }
                Err(e) => {
                    // Out of descriptors: what waits is asked for again, since no event will tell.
                    log::error!("accept: {e}");
                    self.accept_again = Some(self.clock.now() + Duration::from_millis(50));
                    return;
                }
            };
            if !self.make_place() {
                continue;
            }
            let kind = match token {
                CLIENTS => ConnectionKind::Client { busy: false },
                _ => ConnectionKind::Pusher {
                    busy: None,
                    close: false,
                },
            };
            match self.add_connection(stream, kind, true) {
                Ok(connection) => self.pump(connection),
                Err(e) => log::error!("accept: {e}"),
            }
        }
        // No further event tells of those who still wait.
        self.accept_again = Some(self.clock.now());
    }

    /// Guards the places against those who connect and ask nothing, or ask once and stay: when all are taken,
    /// the connection least likely to be used ends. False if each has a request open.
    fn make_place(&mut self) -> bool {
        if self.connections.values().filter(|l| of_client(l)).count() < self.clients_most {
            return true;
        }
        self.evicted_connections += 1;
        let now = self.clock.now();
        // One line a second: a flood must not become a flood of lines.
        if now >= self.next_eviction_warning {
            log::warn!(
                "accept: all {} places taken; {} closed",
                self.clients_most,
                self.evicted_connections
            );
            self.next_eviction_warning = now + Duration::from_secs(1);
            self.evicted_connections = 0;
        }
        for _ in 0..CHOICES {
            let idlest = self
                .connections
                .iter()
                .filter(|(_, l)| free(l))
                .min_by_key(|(_, l)| spared(l, now));
            let Some((&id, _)) = idlest else { return false };
            // A request that has come and was not read yet must not be lost with its connection.
            self.pump(id);
            if self.connections.get(&id).is_none_or(free) {
                self.drop_connection(id);
                return true;
            }
        }
        false
    }

    /// A client has had its time. One that began a request is told why it ends.
    pub(super) fn out_of_patience(&mut self, id: usize) {
        if let Some(connection) = self
            .connections
            .get(&id)
            .filter(|l| l.written_out() && !l.input.is_empty())
        {
            let bytes = match connection.kind {
                ConnectionKind::Client { .. } => {
                    client_protocol::write_error("the request did not come whole in time")
                }
                _ => webpush::write_error(408, "the request did not come whole in time"),
            };
            self.say(id, &bytes);
        }
        self.end_client(id);
    }

    /// Ends a client's connection from our side. What it sends before it has seen that is read and thrown away: a close
    /// over bytes that were not read resets the connection, and takes answers along that are still on their way.
    pub(super) fn end_client(&mut self, id: usize) {
        let until = self.clock.now() + LINGER;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        // Who has left, or does not read its answers, is not waited for.
        if connection.ended
            || !connection.written_out()
            || connection.stream.shutdown(Shutdown::Write).is_err()
        {
            self.drop_connection(id);
            return;
        }
        connection.kind = ConnectionKind::Ending { until };
        self.pump(id);
    }

    pub(super) fn on_ending(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.ended {
            self.drop_connection(id);
            return;
        }
        let more = connection.input.len() >= connection.room();
        connection.input = Vec::new();
        // No event tells of what did not fit.
        if more {
            self.resume.push(id);
        }
    }

    pub(super) fn answer(&mut self, id: usize, bytes: Vec<u8>) {
        if mutation::is(Mutation::HoldsAnswers) {
            return;
        }
        if mutation::is(Mutation::ClosesClients) && mutation::one_in(3) {
            self.drop_connection(id);
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match &mut connection.kind {
            ConnectionKind::Client { busy } => *busy = false,
            ConnectionKind::Pusher { busy, close } => {
                *busy = None;
                connection.close_after |= *close;
            }
            _ => return,
        }
        // At the end of the process, and while the sender is emptied, a connection closes between requests.
        let over = self.clients.is_none() && self.pushes.is_none() || self.draining_since.is_some();
        connection.close_after |= over && nothing_unread(connection);
        self.say(id, &bytes);
        // Not dealt with here: a client that pipelines what is answered at once would have us call ourselves
        // until the stack is full.
        self.resume.push(id);
    }

    /// Queues bytes and writes what goes at once.
    pub(super) fn say(&mut self, id: usize, bytes: &[u8]) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.written_out() {
            connection.output.clear();
            connection.written = 0;
        }
        connection.output.extend_from_slice(bytes);
        (connection.used, connection.since) = (now, now);
        if !connection.flush() {
            // Nobody will read it: without this the connection would wait for ever to be written to.
            connection.ended = true;
            connection.output.clear();
            connection.written = 0;
        }
    }

    pub(super) fn on_client(&mut self, id: usize) {
        for _ in 0..REQUESTS_A_TURN {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            let written = connection.written_out();
            let ConnectionKind::Client { busy } = &mut connection.kind else {
                return;
            };
            if *busy || !written {
                return;
            }
            if connection.close_after {
                return self.end_client(id);
            }
            let parsed = client_protocol::parse(&connection.input);
            let request = match parsed {
                Ok(Some((request, used))) => {
                    consume(&mut connection.input, used);
                    connection.asked = true;
                    request
                }
                Ok(None)
                    if connection.ended
                        || connection.input.len() >= client_protocol::MAX_REQUEST_BYTES =>
                {
                    return self.end_client(id);
                }
                Ok(None) => return self.check_unread(id),
                Err(client_protocol::Broken(why)) => {
                    log::debug!("client: {why}");
                    connection.close_after = true;
                    connection.input.clear();
                    self.say(id, &client_protocol::write_error(why));
                    continue;
                }
            };
            let link_id = id;
            let wrong = match request {
                client_protocol::Request::Ping if self.draining_since.is_some() => {
                    // Who asks is told to send others elsewhere; what comes here all the same is served.
                    connection.close_after = nothing_unread(connection);
                    self.say(id, &client_protocol::write_error("emptying, for operators"));
                    continue;
                }
                client_protocol::Request::Ping => {
                    self.say(id, b"+PONG\r\n");
                    None
                }
                client_protocol::Request::Quit => {
                    connection.close_after = true;
                    self.say(id, b"+OK\r\n");
                    None
                }
                client_protocol::Request::Unknown(why) => Some(why),
                client_protocol::Request::Put {
                    key,
                    id: name,
                    names,
                    body,
                } => {
                    // What the journal can't hold must not be accepted.
                    let now = self.clock.now();
                    let room = self
                        .journal
                        .as_mut()
                        .map_or(Ok(()), |j| j.admit(body.len()));
                    match client_protocol::message(
                        &self.platform_settings,
                        id,
                        &key,
                        name,
                        &names,
                        body,
                    ) {
                        // Accepted, it could only be given up: nobody knows where it should go.
                        Ok(message) if !self.core.knows(message.destination) => {
                            Some("destination not known")
                        }
                        Ok(message) if room.is_ok() => {
                            log::trace!(
                                "message {}: submitted on connection {link_id}, {:?} remaining",
                                message.id,
                                message.left
                            );
                            *busy = true;
                            self.step(Input::Submitted(message));
                            None
                        }
                        Ok(_) => {
                            let most = self.platform_settings.settings.max_retry_after;
                            let after = room.err().map(|after| after.min(most));
                            self.rejected_messages += 1;
                            if now >= self.next_rejection_warning {
                                let (refused, stats) = (
                                    self.rejected_messages,
                                    self.journal.as_mut().map(|j| j.stats()),
                                );
                                let room = stats.map_or(0, |s| s.room);
                                log::warn!(refused, room; "journal: full, {room} bytes free; {refused} messages rejected");
                                (self.rejected_messages, self.next_rejection_warning) =
                                    (0, now + Duration::from_secs(1));
                            }
                            self.say(
                                id,
                                &client_protocol::write_answer(core::Answer::Rejected { after }),
                            );
                            None
                        }
                        Err(why) => Some(why),
                    }
                }
            };
            if let Some(why) = wrong {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.faults += 1;
                    // Who sends nothing else would have us answer at its full speed.
                    connection.close_after |= connection.faults >= FAULTS_MOST;
                }
                self.say(id, &client_protocol::write_error(why));
            }
            // More may have waited for room in the buffer.
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.fill();
            }
        }
        // The rest waits: one client's stream of requests must not keep the others from their turn.
        self.resume.push(id);
    }

    /// Guards memory against many clients that each leave a large request unfinished.
    fn check_unread(&mut self, id: usize) {
        let much = self
            .connections
            .get(&id)
            .is_some_and(|l| l.input.len() > MUCH);
        let unread = || {
            self.connections
                .values()
                .filter(|l| of_client(l))
                .map(|l| l.input.capacity())
                .sum::<usize>()
        };
        if much && unread() > self.unread_most {
            log::info!("client: too much unfinished; one that sends more is closed");
            self.out_of_patience(id);
        }
    }

    pub(super) fn on_pusher(&mut self, id: usize) {
        while let Some(connection) = self.connections.get_mut(&id) {
            let written = connection.written_out();
            let ConnectionKind::Pusher { busy, close } = &mut connection.kind else {
                return;
            };
            if let Some(message) = busy {
                // Whoever waited has left: nobody would hear of the message's end.
                if connection.ended {
                    let message = std::mem::take(message);
                    self.drop_connection(id);
                    self.step(Input::Cancelled(message));
                }
                return;
            }
            if !written {
                return;
            }
            if connection.close_after {
                return self.end_client(id);
            }
            let request = match http::request(&connection.input) {
                Ok(Some((request, used))) => {
                    consume(&mut connection.input, used);
                    connection.asked = true;
                    request
                }
                Ok(None) if connection.ended || connection.input.len() >= ANSWER_MOST => {
                    return self.end_client(id);
                }
                Ok(None) => {
                    // RFC 9110: a client that waits for leave to send its body gets it.
                    let head = String::from_utf8_lossy(&connection.input).to_ascii_lowercase();
                    if head.contains("\r\n\r\n")
                        && head.contains("expect: 100-continue")
                        && connection.output.is_empty()
                    {
                        self.say(id, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    return self.check_unread(id);
                }
                Err(wrong) => {
                    connection.close_after = true;
                    connection.input.clear();
                    let status = if wrong == http::TOO_LARGE { 413 } else { 400 };
                    self.say(id, &webpush::write_error(status, wrong.0));
                    continue;
                }
            };
            *close = request.close;
            let Some(push) = &mut self.push else { return };
            match push.accept(request, id, &self.platform_settings, self.clock.now()) {
                Ok(message) => {
                    *busy = Some(message.id.clone());
                    self.step(Input::Submitted(message));
                }
                Err(webpush::Rejection {
                    status,
                    reason: why,
                }) => {
                    connection.faults += 1;
                    connection.close_after |= *close || connection.faults >= FAULTS_MOST;
                    self.say(id, &webpush::write_error(status, why));
                }
            }
        }
    }
}
