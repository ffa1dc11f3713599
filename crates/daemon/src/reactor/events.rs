//! Dispatches events of the poll by token, and input on connections by kind.

use mio::event::Event;
use mio::{Events, Token};

use cranehill_core::Input;
use cranehill_scheduler::api::Status;

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
use crate::connection_table::Transfer;
use crate::finished_call::FinishedCall;
use crate::tokens::{CLIENTS, FLEET, HANDOVER, OPERATOR, SIGNALS, STATUS, STOP, WEB_PUSH};
use crate::watch::WatchFailure;

impl Reactor {
    pub(super) fn dispatch(&mut self, events: &Events) {
        for event in events {
            self.record_closed_by_client(event);
        }
        let mut tokens: Vec<Token> = events.iter().map(Event::token).collect();
        // Operators' commands are processed before everything that clients and destinations have sent.
        if self.listeners.operators.is_some() {
            tokens.sort_by_key(|token| !self.is_operator_token(*token));
        }
        for token in tokens {
            match token {
                CLIENTS | WEB_PUSH => self.accept_clients(token),
                SIGNALS | STOP => {}
                HANDOVER => {
                    if let Some(handover) = &mut self.handover {
                        handover.notify();
                    }
                }
                FLEET => self.receive_from_fleet(),
                STATUS | OPERATOR => self.accept_operators(token),
                Token(connection) => self.process_connection(connection),
            }
        }
    }

    /// Records that a client has closed its connection, or its sending side. Unread input would hide this from a read.
    fn record_closed_by_client(&mut self, event: &Event) {
        let Token(id) = event.token();
        let Some(connection) = self.connections.get_mut(id).filter(|c| c.is_client()) else {
            return;
        };
        connection.peer_finished |= event.is_read_closed();
        if event.is_write_closed() {
            connection.on_peer_gone();
        }
    }

    fn is_operator_token(&self, token: Token) -> bool {
        match token {
            OPERATOR | STATUS => true,
            Token(connection) => self
                .connections
                .get(connection)
                .is_some_and(Connection::is_operator),
        }
    }

    /// Sends and receives on a connection, and processes what has arrived.
    pub(super) fn process_connection(&mut self, id: usize) {
        let now = self.clock.now();
        let write_deadline = self
            .connections
            .get(id)
            .and_then(Connection::write_deadline);
        if write_deadline.is_some_and(|deadline| deadline <= now) {
            log::debug!(
                "connection {id}: call cancelled, the time in which it may be repeated is over"
            );
            self.cancel_unwritten_call(id);
        }
        match self.connections.transfer(id, &self.clock) {
            Transfer::NotReady => {}
            Transfer::ConnectFailed(e) => self.on_connection_failed(id, &e.to_string()),
            Transfer::Done { write_failed } => self.on_transferred(id, write_failed),
        }
    }

    fn on_transferred(&mut self, id: usize, write_failed: bool) {
        let Some(connection) = self.connections.get(id) else {
            return;
        };
        match connection.kind {
            ConnectionKind::Client { .. } => self.serve_client(id),
            ConnectionKind::WebPushClient { .. } => self.serve_web_push(id),
            ConnectionKind::Destination { .. } => self.on_destination(id, write_failed),
            ConnectionKind::Discovery { .. } | ConnectionKind::FinalReports => {
                self.on_platform(id, write_failed);
            }
            ConnectionKind::Operator { .. } => self.serve_operator(id),
            ConnectionKind::Closing { .. } if connection.ended => {
                self.connections.close(id);
            }
            ConnectionKind::Closing { .. } => {}
        }
    }

    /// Handles a connection that could not be established, or ended without the expected response.
    pub(super) fn on_connection_failed(&mut self, id: usize, why: &str) {
        let Some(connection) = self.connections.close(id) else {
            return;
        };
        match connection.kind {
            ConnectionKind::Destination {
                endpoint,
                call: Some(call),
                ..
            } => {
                log::debug!("endpoint {endpoint}: connection failed: {why}");
                self.finish_call(FinishedCall::without_response(call, Status::NoConnection));
            }
            ConnectionKind::Destination {
                endpoint,
                check: Some(_),
                ..
            } => self.step(Input::HealthChecked {
                endpoint,
                status: Status::NoConnection,
            }),
            ConnectionKind::Discovery { .. } => {
                self.discovery
                    .on_failed(why, WatchFailure::ConnectFailed, self.clock.now());
            }
            ConnectionKind::FinalReports => self.final_reports.on_lost(self.clock.now()),
            ConnectionKind::Destination { .. }
            | ConnectionKind::Client { .. }
            | ConnectionKind::WebPushClient { .. }
            | ConnectionKind::Closing { .. }
            | ConnectionKind::Operator { .. } => {}
        }
    }
}
