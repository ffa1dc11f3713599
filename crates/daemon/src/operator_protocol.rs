//! The operators' commands over HTTP, one request per connection, and their responses. No I/O.

use percent_encoding::percent_decode_str;

use crate::http::{self, Request};

/// A command of an operator.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum OperatorCommand {
    /// `/_ready`: asks whether clients may connect to this sender.
    Ready,
    /// `/_status`: requests this sender's view of the fleet.
    Status,
    /// `/_lameduck/on` and `/_lameduck/off`: starts (`true`) or ends draining.
    Drain(bool),
    /// `/_endpoints/detach/ID`: stops using the endpoint with this percent-decoded id.
    Detach(String),
    /// `/_endpoints/attach/ID`: uses the endpoint again.
    Attach(String),
}

/// Parses a command.
///
/// # Errors
/// The response that names the reason: 400, 404 or 405.
pub(crate) fn parse(request: &Request) -> Result<OperatorCommand, Vec<u8>> {
    let path = request.path.split('?').next().unwrap_or_default();
    let (method, command) = match path {
        "/_ready" => ("GET", Ok(OperatorCommand::Ready)),
        "/_status" => ("GET", Ok(OperatorCommand::Status)),
        "/_lameduck/on" => ("PUT", Ok(OperatorCommand::Drain(true))),
        "/_lameduck/off" => ("PUT", Ok(OperatorCommand::Drain(false))),
        _ => {
            let detach = path.strip_prefix("/_endpoints/detach/");
            let attach = path.strip_prefix("/_endpoints/attach/");
            match (detach, attach) {
                (Some(id), _) => ("PUT", endpoint_id(id).map(OperatorCommand::Detach)),
                (_, Some(id)) => ("PUT", endpoint_id(id).map(OperatorCommand::Attach)),
                _ => return Err(write_not_found("no such call\n")),
            }
        }
    };
    if request.method != method {
        let headers = [("Allow", method.to_owned())];
        return Err(write_response(405, "Method Not Allowed", &headers, ""));
    }
    command
}

fn endpoint_id(text: &str) -> Result<String, Vec<u8>> {
    match percent_decode_str(text).decode_utf8() {
        Ok(id) if !id.is_empty() => Ok(id.into_owned()),
        _ => Err(write_bad_request("the endpoint's id can't be read\n")),
    }
}

/// Encodes a 200: the command was carried out, or the sender is ready.
pub(crate) fn write_ok() -> Vec<u8> {
    write_response(200, "OK", &[], "")
}

/// Encodes a 400: the request is malformed.
pub(crate) fn write_bad_request(why: &str) -> Vec<u8> {
    write_response(400, "Bad Request", &[], why)
}

/// Encodes a 404: the command or the endpoint does not exist.
pub(crate) fn write_not_found(why: &str) -> Vec<u8> {
    write_response(404, "Not Found", &[], why)
}

/// Encodes a 500: the command was carried out, but not persisted.
pub(crate) fn write_error(why: &str) -> Vec<u8> {
    write_response(500, "Internal Server Error", &[], why)
}

/// Encodes a 503: clients must not connect to this sender.
pub(crate) fn write_not_ready() -> Vec<u8> {
    write_response(503, "Service Unavailable", &[], "not for clients\n")
}

fn write_response(status: u16, reason: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let headers = [headers, &[("Connection", "close".to_owned())]].concat();
    http::write_response(status, reason, &headers, body)
}

#[cfg(test)]
mod tests;
