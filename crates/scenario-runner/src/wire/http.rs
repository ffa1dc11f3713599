//! HTTP/1.1 requests and responses.

use super::error::WireError;
use super::framed::Framed;

/// Longer heads and bodies are not from a sender under test.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Headers of one request.
const MAX_HEADERS: usize = 64;

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    /// The method, as it was sent.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Names and values in the order in which they were sent.
    pub headers: Vec<(String, String)>,
    /// The body; empty without `Content-Length`.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of the first header of this name, in any case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(header, _)| header.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// The first request in the buffer; `None` if it is not complete.
///
/// # Errors
/// The bytes are not a request, or its head or body is too long.
pub(crate) fn parse_request(bytes: &[u8]) -> Result<Option<Framed<Request>>, WireError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_length = match parsed.parse(bytes)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            return Err(WireError::HeadTooLong {
                limit: MAX_HEAD_BYTES,
            });
        }
        httparse::Status::Partial => return Ok(None),
    };
    let headers: Vec<(String, String)> = parsed
        .headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_owned(), value)
        })
        .collect();
    let length = head_length + body_length(&headers)?;
    let Some(body) = bytes.get(head_length..length) else {
        return Ok(None);
    };
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        headers,
        body: body.to_vec(),
    };
    Ok(Some(Framed {
        value: request,
        length,
    }))
}

fn body_length(headers: &[(String, String)]) -> Result<usize, WireError> {
    let Some(value) = find_header(headers, "content-length") else {
        return Ok(0);
    };
    let length: usize = value.trim().parse().map_err(|_| WireError::ContentLength {
        value: value.to_owned(),
    })?;
    if length > MAX_BODY_BYTES {
        return Err(WireError::BodyTooLong {
            length,
            limit: MAX_BODY_BYTES,
        });
    }
    Ok(length)
}

/// The bytes of a response with a body.
pub(crate) fn encode_response(status: u16, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Stand-in",
    };
    let mut text = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
