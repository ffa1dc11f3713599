//! Requests of clients over RESP2.

use std::time::Duration;

use cranehill_core::Answer;
use cranehill_scheduler::Time;

use super::{Admission, ClientIngress, Progress, refill, reject_malformed, reject_request};
use crate::client_protocol::{self, MAX_REQUEST_BYTES, MessageError, Request};
use crate::connection::{Connection, ConnectionKind};
use crate::connection_table::ConnectionTable;
use crate::framing::Framed;

/// How much [`reject_buffered`] reads of a client that never pauses.
const MAX_REJECTED_BYTES: usize = 16 * MAX_REQUEST_BYTES;
/// The answer to `PING` when the process is about to end.
const SHUTTING_DOWN: &str = "shutting down";

/// Reads what has arrived on a connection, and answers every complete request: messages with a rejection, since they would not be
/// sent any more. Returns whether the connection can be closed now; otherwise an earlier request or answer is still in progress.
pub(crate) fn reject_buffered(connections: &mut ConnectionTable, id: usize, now: Time) -> bool {
    let mut rejected_bytes = 0;
    while rejected_bytes < MAX_REJECTED_BYTES {
        let Some(connection) = connections.get_mut(id) else {
            return false;
        };
        if !matches!(connection.kind, ConnectionKind::Client { busy: false })
            || !connection.is_written()
        {
            return false;
        }
        connection.fill();
        let (answers, length) = take_rejections(connection);
        if answers.is_empty() {
            return true;
        }
        rejected_bytes += length;
        connections.send(id, &answers, now);
    }
    true
}

/// Removes all complete requests from a connection's input; a large one is read to its end first. Returns the answers that reject them,
/// and their length in bytes.
fn take_rejections(connection: &mut Connection) -> (Vec<u8>, usize) {
    let rejection = Answer::Rejected { retry_after: None };
    let (mut answers, mut rejected_bytes) = (Vec::new(), 0);
    while !connection.close_after_write {
        let answer = match client_protocol::frame(&connection.input) {
            Ok(Framed::Complete { message, length }) => {
                connection.consume(length);
                rejected_bytes += length;
                match message {
                    Request::Put { .. } => client_protocol::write_answer(rejection),
                    Request::Ping => client_protocol::write_error(SHUTTING_DOWN),
                    Request::Quit => {
                        connection.close_after_write = true;
                        b"+OK\r\n".to_vec()
                    }
                    Request::Unknown(why) => client_protocol::write_error(why),
                }
            }
            Ok(Framed::Incomplete { needed }) if connection.read_up_to(needed) => continue,
            Ok(Framed::Incomplete { .. }) => break,
            Err(client_protocol::ProtocolError(why)) => {
                connection.close_after_write = true;
                connection.clear_input();
                client_protocol::write_error(why)
            }
        };
        answers.extend_from_slice(&answer);
    }
    (answers, rejected_bytes)
}

impl ClientIngress {
    /// Processes the next request in the connection's input.
    pub(crate) fn serve_client(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        admission: &mut Admission<'_>,
    ) -> Progress {
        let Some(connection) = connections.get_mut(id) else {
            return Progress::Waiting;
        };
        if !matches!(connection.kind, ConnectionKind::Client { busy: false })
            || !connection.is_written()
        {
            return Progress::Waiting;
        }
        if connection.close_after_write {
            return Progress::Close;
        }
        match client_protocol::frame(&connection.input) {
            Ok(Framed::Complete { message, length }) => {
                connection.consume(length);
                connection.request_received = true;
                self.on_request(connections, id, message, admission)
            }
            Ok(Framed::Incomplete { needed }) => {
                self.on_incomplete(connections, id, needed, admission.now)
            }
            Err(client_protocol::ProtocolError(why)) => {
                log::debug!("client: {why}");
                let answer = client_protocol::write_error(why);
                reject_malformed(connections, id, &answer, admission.now);
                Progress::Answered
            }
        }
    }

    fn on_request(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        request: Request,
        admission: &mut Admission<'_>,
    ) -> Progress {
        let now = admission.now;
        match request {
            Request::Ping if admission.draining => {
                // After this error the client uses another sender; requests that it still sends here are served.
                if let Some(connection) = connections.get_mut(id) {
                    connection.close_after_write = connection.has_nothing_unread();
                }
                let answer = client_protocol::write_error("emptying, for operators");
                connections.send(id, &answer, now);
                return Progress::Answered;
            }
            Request::Ping => connections.send(id, b"+PONG\r\n", now),
            Request::Quit => {
                if let Some(connection) = connections.get_mut(id) {
                    connection.close_after_write = true;
                }
                connections.send(id, b"+OK\r\n", now);
            }
            Request::Unknown(why) => {
                reject_request(connections, id, &client_protocol::write_error(why), now);
            }
            put @ Request::Put { .. } => {
                if let Some(submitted) = self.on_put(connections, id, put, admission) {
                    return submitted;
                }
            }
        }
        refill(connections, id);
        Progress::Answered
    }

    /// The submitted message; `None` if the request was rejected and answered.
    fn on_put(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        request: Request,
        admission: &mut Admission<'_>,
    ) -> Option<Progress> {
        let Request::Put {
            key,
            id: message_id,
            names,
            body,
        } = request
        else {
            return None;
        };
        let now = admission.now;
        let settings = admission.platform_settings;
        let parsed = client_protocol::message(settings, id, &key, message_id, &names, body);
        // A message to an unknown destination could never be delivered and would only expire.
        let known = parsed.and_then(|message| {
            let is_known = admission.core.is_known_destination(message.destination);
            is_known
                .then_some(message)
                .ok_or(MessageError::UnknownDestination)
        });
        let message = match known {
            Ok(message) => message,
            Err(e) => {
                reject_request(
                    connections,
                    id,
                    &client_protocol::write_error(&e.to_string()),
                    now,
                );
                return None;
            }
        };
        if !self.has_room_for_body(admission.core, message.body.len()) {
            let rejection = self.reject_for_memory(admission.core, now);
            connections.send(id, &client_protocol::write_answer(rejection), now);
            return None;
        }
        // A message must not be accepted if the journal has no room for it.
        if let Err(after) = admission.journal.admit(message.body.len()) {
            self.on_journal_full(connections, id, after, admission);
            return None;
        }
        log::trace!(
            "message {}: submitted on connection {id}, {:?} remaining",
            message.id,
            message.time_left
        );
        if let Some(connection) = connections.get_mut(id) {
            connection.kind = ConnectionKind::Client { busy: true };
        }
        Some(Progress::Submitted(message))
    }

    fn on_journal_full(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        retry_after: Duration,
        admission: &mut Admission<'_>,
    ) {
        let now = admission.now;
        let max_retry_after = admission.platform_settings.settings.max_retry_after;
        if let Some(refused) = self.rejections.record(now) {
            let room = admission.journal.free_bytes();
            log::warn!(refused, room; "journal: full, {room} bytes free; {refused} messages rejected");
        }
        let answer = client_protocol::write_answer(Answer::Rejected {
            retry_after: Some(retry_after.min(max_retry_after)),
        });
        connections.send(id, &answer, now);
    }
}
