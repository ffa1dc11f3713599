//! Clients' connections and requests.

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
                Ok(connection) => self.pump(connection),
                Err(e) => log::error!("accept: {e}"),
            }
        }
        // There is no further event for those that still wait.
        self.listeners.accept_again_at(self.clock.now());
    }

    /// Protects the connections against clients that connect and send nothing, or stay after one request: if there are too many, the
    /// connection least likely to be used is closed. False if each has a request in progress.
    fn make_room_for_client(&mut self) -> bool {
        if self.ingress.has_room(&self.connections) {
            return true;
        }
        let now = self.clock.now();
        self.ingress.record_eviction(now);
        for _ in 0..MAX_EVICTION_CANDIDATES {
            let candidate = client_ingress::eviction_candidate(&self.connections, now);
            let Some(id) = candidate else { return false };
            // A request that has arrived and was not read yet must not be lost with its connection.
            self.pump(id);
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
        // The rest waits: one client's stream of requests must not keep the others from their turn.
        self.connections.resume(id);
    }

    pub(super) fn serve_web_push(&mut self, id: usize) {
        loop {
            let progress = self.ingress.serve_web_push(
                &mut self.connections,
                id,
                self.web_push.as_mut(),
                &self.platform_settings,
                self.clock.now(),
            );
            if !self.on_progress(id, progress) {
                return;
            }
        }
    }

    /// Whether there may be another request.
    fn on_progress(&mut self, id: usize, progress: Progress) -> bool {
        match progress {
            Progress::Answered => return true,
            Progress::Submitted(message) => {
                // Web Push has one post at a time.
                let may_pipeline = matches!(message.from, Origin::Client(_));
                self.step(Input::Submitted(message));
                if may_pipeline {
                    client_ingress::refill(&mut self.connections, id);
                }
                return true;
            }
            Progress::Cancelled(message) => self.step(Input::Cancelled(message)),
            Progress::Close => self.close_client(id),
            Progress::TimedOut => self.time_out_client(id),
            Progress::Waiting => {}
        }
        false
    }

    /// Closes a client's connection whose time is over. An incomplete request is answered with the reason.
    pub(super) fn time_out_client(&mut self, id: usize) {
        client_ingress::answer_timeout(&mut self.connections, id, self.clock.now());
        self.close_client(id);
    }

    /// Closes a client's connection once the client has noticed.
    fn close_client(&mut self, id: usize) {
        if client_ingress::begin_close(&mut self.connections, id, self.clock.now()) {
            self.pump(id);
        }
    }

    /// Closes a client's connection unless a request is in progress on it.
    pub(super) fn close_between_requests(&mut self, id: usize) {
        self.pump(id);
        let is_closable = |connection: &Connection| {
            connection.is_idle_client()
                && connection.input.is_empty()
                && !matches!(connection.kind, ConnectionKind::Closing { .. })
        };
        if self.connections.get(id).is_some_and(is_closable) {
            self.close_client(id);
        }
    }

    /// While the sender drains: closes clients' connections between requests.
    pub(super) fn close_draining_clients(&mut self) {
        let now = self.clock.now();
        for id in self.drain.closable(&self.connections, now) {
            self.close_between_requests(id);
        }
    }
}
