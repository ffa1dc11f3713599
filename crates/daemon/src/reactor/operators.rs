//! Connections and commands of operators.

use cranehill_core::{Detachments, Input};
use mio::Token;
use mio::net::TcpStream;

use super::Reactor;
use crate::connection::ConnectionKind;
use crate::fleet_endpoint::FleetEndpoint;
use crate::listeners::{self, Accepted};
use crate::operator_protocol::{self, OperatorCommand};
use crate::tokens::OPERATOR;
use crate::{fleet_status, http, operator_connections};

impl Reactor {
    pub(super) fn accept_operators(&mut self, token: Token) {
        loop {
            let listener = if token == OPERATOR {
                self.listeners.operators.as_ref()
            } else {
                self.fleet.as_ref().and_then(FleetEndpoint::status_listener)
            };
            let Some(listener) = listener else { return };
            match listeners::accept(listener) {
                Ok(Accepted::Stream(stream)) => self.add_operator(stream, token == OPERATOR),
                Ok(Accepted::Aborted) => {}
                Ok(Accepted::Nothing) => return,
                Err(e) => {
                    log::error!("operator: connection not accepted: {e}");
                    return;
                }
            }
        }
    }

    fn add_operator(&mut self, stream: TcpStream, all_commands: bool) {
        operator_connections::make_room(&mut self.connections);
        let kind = ConnectionKind::Operator { all_commands };
        let now = self.clock.now();
        match self.connections.add(stream, kind, true, now) {
            Ok(connection) => self.process_connection(connection),
            Err(e) => log::error!("operator: connection not registered: {e}"),
        }
    }

    pub(super) fn serve_operator(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let ConnectionKind::Operator { all_commands } = connection.kind else {
            return;
        };
        if !connection.close_after_write {
            let command = match http::request(&connection.input) {
                Ok(None) if !connection.ended => return,
                Ok(None) => {
                    self.connections.close(id);
                    return;
                }
                Ok(Some((request, _))) => operator_protocol::parse(&request),
                Err(http::Malformed(why)) => Err(operator_protocol::write_bad_request(why)),
            };
            connection.close_after_write = true;
            match command {
                Ok(command) => self.on_operator_command(id, command, all_commands),
                Err(response) => self.respond_to_operator(id, &response),
            }
        }
        let is_finished = self.connections.get(id).is_some_and(|connection| {
            connection.close_after_write && connection.is_written() || connection.ended
        });
        if is_finished {
            self.connections.close(id);
        }
    }

    fn on_operator_command(&mut self, id: usize, command: OperatorCommand, all_commands: bool) {
        let response = match command {
            OperatorCommand::Status => {
                let now = self.clock.now();
                fleet_status::write_status(&self.core, &self.platform_settings, now)
            }
            _ if !all_commands => operator_protocol::write_not_found("only /_status is here\n"),
            OperatorCommand::Ready => {
                if self.shutdown.is_requested() || self.drain.is_active() {
                    operator_protocol::write_not_ready()
                } else {
                    operator_protocol::write_ok()
                }
            }
            OperatorCommand::Drain(active) => {
                self.drain.set(active, &self.connections, self.clock.now());
                operator_protocol::write_ok()
            }
            // `on_detached` sends the response once the core has carried out the command.
            OperatorCommand::Detach(endpoint) => return self.detach(id, endpoint, false),
            OperatorCommand::Attach(endpoint) => return self.detach(id, endpoint, true),
        };
        self.respond_to_operator(id, &response);
    }

    /// Detaches an endpoint, or attaches it, by a command on `connection`.
    fn detach(&mut self, connection: usize, endpoint: String, attach: bool) {
        self.step(Input::Detach {
            connection,
            endpoint,
            attach,
        });
    }

    /// Answers a command to detach or attach on `connection`. The change is persisted before it is confirmed.
    pub(super) fn on_detached(
        &mut self,
        connection: usize,
        known: bool,
        detachments: &Detachments,
    ) {
        let response = if !known {
            operator_protocol::write_not_found("nobody holds such an endpoint\n")
        } else if let Err(e) = self.state_store.write_detachments(detachments) {
            log::error!(
                "operator: the list of detached endpoints can't be written and would be lost at a restart: {e}"
            );
            operator_protocol::write_error("done, but a restart would forget it\n")
        } else {
            let out = &detachments.out;
            log::info!(event = "detached", endpoints = out.len(); "operator: detached endpoints: {out:?}");
            operator_protocol::write_ok()
        };
        self.respond_to_operator(connection, &response);
    }

    fn respond_to_operator(&mut self, id: usize, response: &[u8]) {
        self.connections.send(id, response, self.clock.now());
    }
}
