//! Operators: their calls, one on a connection, at the second address and, for the fleet's view alone, at the fleet's.

use super::*;
use crate::http::Request;
use percent_encoding::percent_decode_str;
use serde_json::json;

/// Operators' connections at once: each asks once and ends.
pub(super) const MOST: usize = 8;
/// A call must have come, and its answer been read, in this time. Those who wait for answers do so for 1 s.
pub(super) const PATIENCE: Duration = Duration::from_secs(2);
/// From a call to empty this sender until connections end: the front asks every 100 ms whether we take more, and sends
/// new connections for 200 ms after a no.
const FRONT: Duration = Duration::from_millis(400);
/// How often what is left is looked through while the sender empties.
const LOOK: Duration = Duration::from_millis(20);
/// A client that has just connected has its request on the way.
const FRESH: Duration = Duration::from_millis(300);

/// What is asked for. Ids are as they are named, percent signs decoded.
#[derive(Debug, PartialEq, Eq)]
enum Call {
    Ready,
    Status,
    Drain(bool),
    Detach(String),
    Attach(String),
}

/// Tells the core what an earlier process had detached.
pub(super) fn detached_before(dir: &std::path::Path, core: &mut Core) {
    let read = state_file::DETACHED
        .read(dir)
        .map(|bytes| bytes.map(|b| serde_json::from_slice(&b)));
    match read
        .map_err(|e| e.to_string())
        .and_then(|r| r.transpose().map_err(|e| e.to_string()))
    {
        Ok(None) => {}
        Ok(Some(before)) => {
            let before: core::Detachments = before;
            if !before.out.is_empty() {
                let out = &before.out;
                log::info!(event = "detached", endpoints = out.len(); "operator: detached still: {out:?}");
            }
            core.detached_before(before);
        }
        Err(e) => {
            log::error!(
                "operator: the detached endpoints can't be read, so all listed endpoints are used: {e}"
            )
        }
    }
}

fn status(code: u16, reason: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let close = [headers, &[("Connection", "close".to_owned())]].concat();
    http::write_response(code, reason, &close, body)
}

fn yes() -> Vec<u8> {
    status(200, "OK", &[], "")
}

/// Reads a call; else the answer that says what is wrong with it.
fn read(request: &Request) -> Result<Call, Vec<u8>> {
    let path = request.path.split('?').next().unwrap_or_default();
    let id = |text: &str| match percent_decode_str(text).decode_utf8() {
        Ok(id) if !id.is_empty() => Ok(id.into_owned()),
        _ => Err(status(
            400,
            "Bad Request",
            &[],
            "the endpoint's id can't be read\n",
        )),
    };
    let (method, call) = match path {
        "/_ready" => ("GET", Ok(Call::Ready)),
        "/_status" => ("GET", Ok(Call::Status)),
        "/_lameduck/on" => ("PUT", Ok(Call::Drain(true))),
        "/_lameduck/off" => ("PUT", Ok(Call::Drain(false))),
        _ => match (
            path.strip_prefix("/_endpoints/detach/"),
            path.strip_prefix("/_endpoints/attach/"),
        ) {
            (Some(name), _) => ("PUT", id(name).map(Call::Detach)),
            (_, Some(name)) => ("PUT", id(name).map(Call::Attach)),
            _ => return Err(status(404, "Not Found", &[], "no such call\n")),
        },
    };
    if request.method != method {
        return Err(status(
            405,
            "Method Not Allowed",
            &[("Allow", method.to_owned())],
            "",
        ));
    }
    call
}

impl Reactor {
    /// Whether an event is an operator's, and so goes before all others of its turn.
    pub(super) fn is_operators(&self, token: Token) -> bool {
        match token {
            OPERATOR | STATUS => true,
            Token(connection) => self
                .connections
                .get(&connection)
                .is_some_and(|l| matches!(l.kind, ConnectionKind::Operator { .. })),
        }
    }

    pub(super) fn accept_operators(&mut self, token: Token) {
        loop {
            let listener = match token {
                OPERATOR => self.operators.as_ref(),
                _ => self.fleet.as_ref().and_then(fleet::End::status),
            };
            let Some(listener) = listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue;
                }
                Err(e) => {
                    if e.kind() != ErrorKind::WouldBlock {
                        log::error!("operator: {e}");
                    }
                    return;
                }
            };
            // Who holds a place and asks nothing makes room for who comes.
            let ours = |l: &Connection| matches!(l.kind, ConnectionKind::Operator { .. });
            let pending: Vec<usize> = self
                .connections
                .iter()
                .filter(|(_, l)| ours(l))
                .map(|(&id, _)| id)
                .collect();
            if pending.len() >= MOST {
                self.drop_connection(pending[0]);
            }
            match self.add_connection(
                stream,
                ConnectionKind::Operator {
                    all: token == OPERATOR,
                },
                true,
            ) {
                Ok(connection) => self.pump(connection),
                Err(e) => log::error!("operator: {e}"),
            }
        }
    }

    pub(super) fn on_operator(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let ConnectionKind::Operator { all } = connection.kind else {
            return;
        };
        if !connection.close_after {
            let call = match http::request(&connection.input) {
                Ok(None) if !connection.ended => return,
                Ok(None) => return drop(self.drop_connection(id)),
                Ok(Some((request, _))) => read(&request),
                Err(http::Malformed(why)) => Err(status(400, "Bad Request", &[], why)),
            };
            connection.close_after = true;
            match call {
                Ok(Call::Status) => {
                    let answer = self.status();
                    self.say(id, &answer);
                }
                Ok(_) if !all => self.say(
                    id,
                    &status(404, "Not Found", &[], "only /_status is here\n"),
                ),
                Ok(Call::Ready) if self.stopping.is_none() && self.draining_since.is_none() => {
                    self.say(id, &yes())
                }
                Ok(Call::Ready) => self.say(
                    id,
                    &status(503, "Service Unavailable", &[], "not for clients\n"),
                ),
                Ok(Call::Drain(on)) => {
                    self.set_draining(on);
                    self.say(id, &yes());
                }
                Ok(Call::Detach(endpoint)) => self.step(Input::Detach {
                    by: id,
                    endpoint,
                    back: false,
                }),
                Ok(Call::Attach(endpoint)) => self.step(Input::Detach {
                    by: id,
                    endpoint,
                    back: true,
                }),
                Err(answer) => self.say(id, &answer),
            }
        }
        if self
            .connections
            .get(&id)
            .is_some_and(|l| l.close_after && l.written_out() || l.ended)
        {
            self.drop_connection(id);
        }
    }

    /// What a call to detach or attach came to. What was done is in the folder first, or is answered as not done.
    pub(super) fn detached(&mut self, by: usize, known: bool, now: &core::Detachments) {
        let kept = match (&self.state_dir, known) {
            (Some(dir), true) => state_file::DETACHED.write(dir, json!(now).to_string().as_bytes()),
            _ => Ok(()),
        };
        let answer = match (kept, known) {
            (Ok(()), true) => {
                let out = &now.out;
                log::info!(event = "detached", endpoints = out.len(); "operator: detached now: {out:?}");
                yes()
            }
            (Ok(()), false) => status(404, "Not Found", &[], "nobody holds such an endpoint\n"),
            (Err(e), _) => {
                log::error!(
                    "operator: the detached endpoints can't be written and would be lost at a restart: {e}"
                );
                status(
                    500,
                    "Internal Server Error",
                    &[],
                    "done, but a restart would forget it\n",
                )
            }
        };
        self.say(by, &answer);
    }

    fn set_draining(&mut self, on: bool) {
        let clients = self
            .connections
            .values()
            .filter(|l| client_ingress::of_client(l))
            .count();
        match (on, self.draining_since) {
            (true, None) => {
                self.draining_since = Some(self.clock.now());
                log::info!(event = "draining", clients; "operator: draining, {clients} client connections");
            }
            (false, Some(_)) => {
                self.draining_since = None;
                log::info!(event = "draining-ended", clients; "operator: draining ended");
            }
            _ => {}
        }
    }

    /// When an emptying sender looks through its clients again.
    pub(super) fn empty_due(&self, now: Time) -> Option<Time> {
        let from = self.draining_since? + FRONT;
        if now < from {
            return Some(from);
        }
        self.connections
            .values()
            .any(client_ingress::of_client)
            .then_some(now + LOOK)
    }

    /// Ends clients' connections between requests: what has been read is answered first.
    pub(super) fn empty(&mut self) {
        let now = self.clock.now();
        let Some(since) = self.draining_since.filter(|since| now >= *since + FRONT) else {
            return;
        };
        let fresh = |l: &Connection| !l.asked && now - l.since < FRESH && l.since >= since;
        let ids: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| client_ingress::free(l) && !fresh(l))
            .map(|(&id, _)| id)
            .collect();
        ids.into_iter().for_each(|id| self.end_between(id));
    }

    /// Ends a client's connection unless something is open on it.
    pub(super) fn end_between(&mut self, id: usize) {
        self.pump(id);
        let over = |l: &Connection| {
            client_ingress::free(l)
                && l.input.is_empty()
                && !matches!(l.kind, ConnectionKind::Ending { .. })
        };
        if self.connections.get(&id).is_some_and(over) {
            self.end_client(id);
        }
    }
}

#[cfg(test)]
mod tests;
