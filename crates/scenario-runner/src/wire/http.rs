//! Parsing of HTTP/1.1 requests, and encoding of responses. Request bodies must have a `Content-Length`; chunked ones are not read.

use super::error::WireError;
use super::framed::Framed;

/// Upper bound on the request line and headers of a request from a sender under test.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Upper bound on the body of a request from a sender under test.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of headers that a request may have.
const MAX_HEADERS: usize = 64;

/// A complete HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    /// The method, in the case in which it was sent.
    pub method: String,
    /// The request target: path and query.
    pub path: String,
    /// Names and values of the headers, in the order in which they were sent.
    pub headers: Vec<(String, String)>,
    /// The body; empty without a `Content-Length`.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of the first header with this name; the case of the name is ignored.
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

/// Parses the request at the start of a buffer; `None` if it is not complete yet.
///
/// # Errors
/// The bytes are not an HTTP request, or its headers or body exceed their limits.
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

/// Encodes a response. `Content-Length` is added to `headers`.
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
