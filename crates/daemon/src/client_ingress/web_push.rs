//! Web Push requests of application servers over HTTP.

use cranehill_scheduler::Time;

use super::{ClientIngress, Progress, reject_malformed, reject_request};
use crate::connection::{Connection, ConnectionKind, MAX_HTTP_MESSAGE_BYTES};
use crate::connection_table::ConnectionTable;
use crate::http::{self, Request};
use crate::platform_settings::PlatformSettings;
use crate::webpush::{self, WebPushGateway};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

impl ClientIngress {
    /// Processes the next request in the connection's input.
    pub(crate) fn serve_web_push(
        &self,
        connections: &mut ConnectionTable,
        id: usize,
        gateway: Option<&mut WebPushGateway>,
        platform_settings: &PlatformSettings,
        now: Time,
    ) -> Progress {
        let Some(connection) = connections.get_mut(id) else {
            return Progress::Waiting;
        };
        let ConnectionKind::WebPushClient { pending, .. } = &mut connection.kind else {
            return Progress::Waiting;
        };
        if let Some(message) = pending {
            if !connection.ended {
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
        match http::request(&connection.input) {
            Ok(Some((request, length))) => {
                connection.consume(length);
                connection.request_received = true;
                submit(connections, id, request, gateway, platform_settings, now)
            }
            Ok(None) if connection.ended || connection.input.len() >= MAX_HTTP_MESSAGE_BYTES => {
                Progress::Close
            }
            Ok(None) => {
                if expects_continue(connection) {
                    connections.send(id, CONTINUE, now);
                }
                self.on_incomplete(connections, id)
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
}

/// Removes the complete requests from a connection's input and ends the one in progress; returns how many answers the client still
/// waits for.
pub(crate) fn take_unanswered_pushes(connections: &mut ConnectionTable, id: usize) -> usize {
    let Some(connection) = connections.get_mut(id) else {
        return 0;
    };
    let ConnectionKind::WebPushClient { pending, .. } = &mut connection.kind else {
        return 0;
    };
    let mut unanswered = usize::from(pending.take().is_some());
    while let Ok(Some((_, length))) = http::request(&connection.input) {
        connection.consume(length);
        unanswered += 1;
    }
    unanswered
}

/// Converts a request to a message for the caller to submit, or answers it with an error.
fn submit(
    connections: &mut ConnectionTable,
    id: usize,
    request: Request,
    gateway: Option<&mut WebPushGateway>,
    platform_settings: &PlatformSettings,
    now: Time,
) -> Progress {
    let close_requested = request.close;
    // Without Web Push there is no listener for such clients.
    let Some(gateway) = gateway else {
        return Progress::Waiting;
    };
    match gateway.accept(request, id, platform_settings, now) {
        Ok(message) => {
            if let Some(connection) = connections.get_mut(id) {
                connection.kind = ConnectionKind::WebPushClient {
                    pending: Some(message.id.clone()),
                    close: close_requested,
                };
            }
            Progress::Submitted(message)
        }
        Err(rejection) => {
            if let Some(connection) = connections.get_mut(id) {
                connection.close_after_write |= close_requested;
            }
            let answer = webpush::write_error(rejection.status, rejection.reason);
            reject_request(connections, id, &answer, now);
            Progress::Answered
        }
    }
}

/// Whether the client waits for `100 Continue` before it sends the body (RFC 9110, section 10.1.1).
fn expects_continue(connection: &Connection) -> bool {
    let head = String::from_utf8_lossy(&connection.input).to_ascii_lowercase();
    head.contains("\r\n\r\n")
        && head.contains("expect: 100-continue")
        && connection.output.is_empty()
}
