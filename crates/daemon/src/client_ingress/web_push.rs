//! Web Push requests of application servers over HTTP.

use super::{Admission, ClientIngress, Progress, reject_malformed, reject_request};
use crate::connection::{Connection, ConnectionKind, MAX_HTTP_MESSAGE_BYTES};
use crate::connection_table::ConnectionTable;
use crate::framing::Framed;
use crate::http::{self, Request};
use crate::webpush::{self, WebPushGateway};

/// How much [`take_unanswered_pushes`] reads of a client that never pauses.
const MAX_UNANSWERED_BYTES: usize = 16 * MAX_HTTP_MESSAGE_BYTES;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl ClientIngress {
    /// Processes the next request in the connection's input.
    pub(crate) fn serve_web_push(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        gateway: Option<&mut WebPushGateway>,
        admission: &Admission<'_>,
    ) -> Progress {
        let now = admission.now;
        let Some(connection) = connections.get_mut(id) else {
            return Progress::Waiting;
        };
        let ConnectionKind::WebPushClient { pending, .. } = &mut connection.kind else {
            return Progress::Waiting;
        };
        if let Some(message) = pending {
            if !connection.ended && !connection.peer_finished {
                return Progress::Waiting;
            }
            // The client has disconnected and can't receive the message's result.
            let message = std::mem::take(message);
            connections.close(id);
            return Progress::Cancelled(message);
        }
        if !connection.is_written() {
            return Progress::Waiting;
        }
        if connection.close_after_write {
            return Progress::Close;
        }
        match http::frame_request(&connection.input) {
            Ok(Framed::Complete { message, length }) => {
                connection.consume(length);
                connection.request_received = true;
                self.on_post(connections, id, message, gateway, admission)
            }
            Ok(Framed::Incomplete { needed }) => {
                if expects_continue(connection) {
                    connections.send(id, CONTINUE, now);
                }
                self.on_incomplete(connections, id, needed, now)
            }
            Err(malformed) => {
                let status = if malformed == http::TOO_LARGE {
                    413
                } else {
                    400
                };
                let answer = webpush::write_error(status, malformed.0);
                reject_malformed(connections, id, &answer, now);
                Progress::Answered
            }
        }
    }

    /// Converts a request to a message for the caller to submit, or answers it with an error.
    fn on_post(
        &mut self,
        connections: &mut ConnectionTable,
        id: usize,
        request: Request,
        gateway: Option<&mut WebPushGateway>,
        admission: &Admission<'_>,
    ) -> Progress {
        // Without Web Push there is no listener for such clients.
        let Some(gateway) = gateway else {
            return Progress::Waiting;
        };
        let now = admission.now;
        let close = request.close;
        let has_room = self.has_room_for_body(admission.core, request.body.len());
        let accepted = gateway.accept(request, id, admission.platform_settings, now);
        let Some(connection) = connections.get_mut(id) else {
            return Progress::Waiting;
        };
        match accepted {
            Ok(message) if has_room => {
                connection.kind = ConnectionKind::WebPushClient {
                    pending: Some(message.id.clone()),
                    close,
                };
                return Progress::Submitted(message);
            }
            Ok(_) => {
                connection.close_after_write |= close;
                let rejection = self.reject_for_memory(admission.core, now);
                connections.send(id, &webpush::write_answer(rejection, ""), now);
            }
            Err(rejection) => {
                connection.close_after_write |= close;
                let answer = webpush::write_error(rejection.status, rejection.reason);
                reject_request(connections, id, &answer, now);
            }
        }
        Progress::Answered
    }
}

/// Reads the requests that have arrived on a connection behind the one in progress, and removes them; returns how many were complete.
pub(crate) fn take_unanswered_pushes(connections: &mut ConnectionTable, id: usize) -> usize {
    let Some(connection) = connections.get_mut(id) else {
        return 0;
    };
    let (mut unanswered, mut taken_bytes) = (0, 0);
    while taken_bytes < MAX_UNANSWERED_BYTES {
        match http::frame_request(&connection.input) {
            Ok(Framed::Complete { length, .. }) => {
                connection.consume(length);
                unanswered += 1;
                taken_bytes += length;
            }
            Ok(Framed::Incomplete { needed }) if connection.read_up_to(needed) => {}
            Ok(Framed::Incomplete { .. }) | Err(_) => break,
        }
    }
    unanswered
}

/// Whether the client waits for `100 Continue` before it sends the body (RFC 9110, section 10.1.1).
fn expects_continue(connection: &Connection) -> bool {
    let head = String::from_utf8_lossy(&connection.input).to_ascii_lowercase();
    head.contains("\r\n\r\n")
        && head.contains("expect: 100-continue")
        && connection.output.is_empty()
}
