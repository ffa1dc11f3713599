//! Connections and requests of clients.

use cranehill_core::{Input, Origin};
use mio::Token;

use super::Reactor;
use crate::client_ingress::{
    self, Admission, MAX_ACCEPTS_PER_ITERATION, MAX_EVICTION_CANDIDATES,
    MAX_REQUESTS_PER_ITERATION, Progress,
};
use crate::connection::{Connection, ConnectionKind};
use crate::listeners::Accepted;
use crate::tokens::CLIENTS;

impl Reactor {
    pub(super) fn accept_clients(&mut self, token: Token) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let stream = match self.listeners.accept_client(token, self.clock.now()) {
                Accepted::Stream(stream) => stream,
                Accepted::Aborted => continue,
                Accepted::Nothing => return,
            };
            if !self.make_room_for_client() {
                continue;
            }
            let kind = if token == CLIENTS {
                ConnectionKind::Client { busy: false }
            } else {
                ConnectionKind::WebPushClient {
                    pending: None,
                    close: false,
                }
            };
            let now = self.clock.now();
            match self.connections.add(stream, kind, true, now) {
                Ok(connection) => self.process_connection(connection),
                Err(e) => log::error!("accept: client connection not registered: {e}"),
            }
        }
        // The poll reports no further event for connections that are already waiting.
        self.listeners.retry_accept_at(self.clock.now());
    }

    /// Makes room for one more client connection: at the limit, an idle connection is closed, in the order of
    /// [`client_ingress::eviction_candidate`]. Otherwise clients that connect without sending requests would block all others. Returns
    /// false if every connection examined has a request in progress.
    fn make_room_for_client(&mut self) -> bool {
        if self.ingress.has_room(&self.connections) {
            return true;
        }
        let now = self.clock.now();
        self.ingress.record_eviction(now);
        for _ in 0..MAX_EVICTION_CANDIDATES {
            let candidate = client_ingress::eviction_candidate(&self.connections, now);
            let Some(id) = candidate else { return false };
            // A request that has arrived but is not read yet must not be lost by closing its connection.
            self.process_connection(id);
            let connection = self.connections.get(id);
            if connection.is_none_or(Connection::is_idle_client) {
                self.connections.close(id);
                return true;
            }
        }
        false
    }

    pub(super) fn serve_client(&mut self, id: usize) {
        for _ in 0..MAX_REQUESTS_PER_ITERATION {
            let mut admission = Admission {
                platform_settings: &self.platform_settings,
                core: &self.core,
                journal: &mut self.journal,
                draining: self.drain.is_active(),
                now: self.clock.now(),
            };
            let progress = self
                .ingress
                .serve_client(&mut self.connections, id, &mut admission);
            if !self.on_progress(id, progress) {
                return;
            }
        }
        // Further requests wait for the next iteration, so that one client's pipelined requests don't block other connections.
        self.connections.resume(id);
    }

    pub(super) fn serve_web_push(&mut self, id: usize) {
        loop {
            let admission = Admission {
                platform_settings: &self.platform_settings,
                core: &self.core,
                journal: &mut self.journal,
                draining: self.drain.is_active(),
                now: self.clock.now(),
            };
            let progress = self.ingress.serve_web_push(
                &mut self.connections,
                id,
                self.web_push.as_mut(),
                &admission,
            );
            if !self.on_progress(id, progress) {
                return;
            }
        }
    }

    /// Acts on the result of a request; returns whether another request may be buffered.
    fn on_progress(&mut self, id: usize, progress: Progress) -> bool {
        match progress {
            Progress::Answered | Progress::MoreReceived => return true,
            Progress::Submitted(message) => {
                // A Web Push client has one request at a time.
                let may_pipeline = matches!(message.origin, Origin::Client(_));
                self.step(Input::Submitted(message));
                if may_pipeline {
                    client_ingress::refill(&mut self.connections, id);
                }
                return true;
            }
            Progress::Cancelled(message) => self.step(Input::Cancelled(message)),
            Progress::Close => self.close_client(id),
            Progress::Waiting => {}
        }
        false
    }

    /// Closes a client's connection that timed out. An incomplete request is answered with an error first; one that waits for room is
    /// rejected, unless another one has to make room for it.
    pub(super) fn time_out_client(&mut self, id: usize) {
        let now = self.clock.now();
        let room_deadline = self
            .connections
            .get(id)
            .and_then(|c| c.allowance.deadline());
        if room_deadline.is_some_and(|deadline| deadline <= now) {
            let rejected = self
                .ingress
                .on_room_timeout(&mut self.connections, id, &self.core, now);
            self.close_client(rejected);
            return;
        }
        client_ingress::answer_timeout(&mut self.connections, id, now);
        self.close_client(id);
    }

    /// Half-closes a client's connection, then waits for the client to close its side.
    fn close_client(&mut self, id: usize) {
        if client_ingress::begin_close(&mut self.connections, id, self.clock.now()) {
            self.process_connection(id);
        }
    }

    /// Answers every request that has arrived on a client's connection, rejecting the messages, and closes the connection. One with an
    /// earlier request in progress is left as it is: its answer comes with the next tick.
    pub(super) fn reject_and_close(&mut self, id: usize) {
        let now = self.clock.now();
        if client_ingress::reject_buffered(&mut self.connections, id, now) {
            self.close_client(id);
        }
    }

    /// Closes a client's connection unless a request is in progress on it.
    pub(super) fn close_between_requests(&mut self, id: usize) {
        self.process_connection(id);
        let is_closable = |connection: &Connection| {
            connection.is_idle_client()
                && connection.input.is_empty()
                && !matches!(connection.kind, ConnectionKind::Closing { .. })
        };
        if self.connections.get(id).is_some_and(is_closable) {
            self.close_client(id);
        }
    }

    /// Closes client connections between requests while the sender drains.
    pub(super) fn close_draining_clients(&mut self) {
        let now = self.clock.now();
        for id in self.drain.closable(&self.connections, now) {
            self.close_between_requests(id);
        }
    }
}
