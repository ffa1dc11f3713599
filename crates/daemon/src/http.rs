//! HTTP/1.1 messages as bytes: incremental, bounded parsing on `httparse`, and writing.

use std::time::Duration;

use crate::framing::Framed;

/// Limit of the body of a request, and of most responses.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit of a message's head, and of its trailers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit on the header lines in a head.
const MAX_HEADERS: usize = 64;
/// Limit of the line with a chunk's size.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// A longer `Retry-After` is shortened to this, in seconds: one day.
const MAX_RETRY_AFTER_SECONDS: f64 = 86_400.0;
/// Limit on the interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Header with a destination's load report. It is optional, so an invalid value is ignored without rejecting the response.
pub const LOAD_REPORT_HEADER: &str = "x-pressure";

/// Why bytes are not a valid HTTP message. The text is used in logs and in responses.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// The body exceeds the limit.
pub const TOO_LARGE: Malformed = Malformed("body too large");

/// Header names and values, in the order received.
pub type Headers = Vec<(String, Vec<u8>)>;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The request target as sent, with its query.
    pub path: String,
    /// The header fields.
    pub headers: Headers,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
    /// The client asked to close the connection after the response, or uses HTTP/1.0.
    pub close: bool,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
    /// The server closes the connection after this response.
    pub close: bool,
}

/// The trimmed value of the first header with this name; `None` if there is none or its value is not UTF-8.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(&found.1).ok().map(str::trim)
}

fn owned_headers(headers: &[httparse::Header<'_>]) -> Headers {
    headers
        .iter()
        .map(|h| (h.name.to_owned(), h.value.to_vec()))
        .collect()
}

fn has_token(headers: &Headers, name: &str, token: &str) -> bool {
    header(headers, name)
        .is_some_and(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case(token)))
}

/// How the length of a body is determined (RFC 9112, section 6.3).
enum BodyLength {
    /// By `Content-Length`, in bytes.
    Known(usize),
    /// By `Transfer-Encoding: chunked`.
    Chunked,
    /// By neither.
    Unspecified,
}

fn body_length(headers: &Headers, max_body_bytes: usize) -> Result<BodyLength, Malformed> {
    if header(headers, "transfer-encoding").is_some() {
        return if has_token(headers, "transfer-encoding", "chunked") {
            Ok(BodyLength::Chunked)
        } else {
            Err(Malformed("transfer encoding not known"))
        };
    }
    let mut stated: Option<usize> = None;
    for (_, value) in headers
        .iter()
        .filter(|(n, _)| n.eq_ignore_ascii_case("content-length"))
    {
        let text = std::str::from_utf8(value)
            .map_err(|_| Malformed("content length not a number"))?
            .trim();
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Malformed("content length not a number"));
        }
        let len = text.parse().map_err(|_| TOO_LARGE)?;
        if stated.is_some_and(|s| s != len) {
            return Err(Malformed("content lengths differ"));
        }
        stated = Some(len);
    }
    match stated {
        Some(len) if len > max_body_bytes => Err(TOO_LARGE),
        Some(len) => Ok(BodyLength::Known(len)),
        None => Ok(BodyLength::Unspecified),
    }
}

/// Decodes a chunked body; the length is that of its encoding.
fn parse_chunked_body(bytes: &[u8], max_body_bytes: usize) -> Result<Framed<Vec<u8>>, Malformed> {
    let line_needed = Framed::Incomplete {
        needed: bytes.len() + 1,
    };
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &bytes[at..];
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| Malformed("chunk size"))?;
        let httparse::Status::Complete((skip, size)) = parsed else {
            return if rest.len() > MAX_CHUNK_LINE_BYTES {
                Err(Malformed("chunk size"))
            } else {
                Ok(line_needed)
            };
        };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > max_body_bytes || body.len() + size > max_body_bytes {
            return Err(TOO_LARGE);
        }
        at += skip;
        if size == 0 {
            // Trailers are skipped.
            let trailers = &bytes[at..];
            if trailers.starts_with(b"\r\n") {
                return Ok(Framed::Complete {
                    message: body,
                    length: at + 2,
                });
            }
            if trailers.len() > MAX_HEAD_BYTES {
                return Err(Malformed("trailers too large"));
            }
            let end = trailers.windows(4).position(|w| w == b"\r\n\r\n");
            return Ok(end.map_or(line_needed, |end| Framed::Complete {
                message: body,
                length: at + end + 4,
            }));
        }
        let end = at + size + 2;
        let Some(chunk) = bytes.get(at..end) else {
            return Ok(Framed::Incomplete { needed: end });
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(Malformed("chunk end"));
        }
        body.extend_from_slice(&chunk[..size]);
        at = end;
    }
}

/// The body; the length is that of its encoding.
fn parse_body(
    bytes: &[u8],
    length: BodyLength,
    max_body_bytes: usize,
) -> Result<Framed<Vec<u8>>, Malformed> {
    let length = match length {
        BodyLength::Known(length) => length,
        BodyLength::Chunked => return parse_chunked_body(bytes, max_body_bytes),
        BodyLength::Unspecified => 0,
    };
    Ok(match bytes.get(..length) {
        Some(body) => Framed::Complete {
            message: body.to_vec(),
            length,
        },
        None => Framed::Incomplete { needed: length },
    })
}

/// Parses the first request in `bytes`: the request and its length in bytes, or `None` if it is incomplete.
///
/// # Errors
/// The bytes are not the beginning of a valid request within the limits.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Malformed> {
    frame_request(bytes).map(Framed::complete)
}

/// The request at the beginning of `bytes`.
///
/// # Errors
/// As [`request`].
pub fn frame_request(bytes: &[u8]) -> Result<Framed<Request>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut slots);
    let head = match parsed.parse(bytes).map_err(|_| Malformed("request head"))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            return Err(Malformed("head too large"));
        }
        httparse::Status::Partial => {
            return Ok(Framed::Incomplete {
                needed: bytes.len() + 1,
            });
        }
    };
    let headers = owned_headers(parsed.headers);
    let is_http_1_0 = parsed.version == Some(0);
    let close = has_token(&headers, "connection", "close") || is_http_1_0;
    let (method, path) = (
        parsed.method.unwrap_or("").to_owned(),
        parsed.path.unwrap_or("").to_owned(),
    );
    let length = body_length(&headers, MAX_BODY_BYTES)?;
    Ok(match parse_body(&bytes[head..], length, MAX_BODY_BYTES)? {
        Framed::Complete { message, length } => Framed::Complete {
            message: Request {
                method,
                path,
                headers,
                body: message,
                close,
            },
            length: head + length,
        },
        Framed::Incomplete { needed } => Framed::Incomplete {
            needed: head + needed,
        },
    })
}

/// Parses the first final response in `bytes`, like [`request`]. Interim responses before it are skipped. `ended` means that the
/// peer has closed the connection, which ends a body of unspecified length.
///
/// # Errors
/// As [`request`].
pub fn response(bytes: &[u8], ended: bool) -> Result<Option<(Response, usize)>, Malformed> {
    response_within(bytes, ended, MAX_BODY_BYTES)
}

/// Like [`response`], with a limit of `max_body_bytes` on the body.
///
/// # Errors
/// As [`request`].
pub fn response_within(
    bytes: &[u8],
    ended: bool,
    max_body_bytes: usize,
) -> Result<Option<(Response, usize)>, Malformed> {
    let mut at = 0;
    // The number is limited, so that a peer which sends many interim responses does not block the event loop.
    for _ in 0..=MAX_INTERIM_RESPONSES {
        match one_response(&bytes[at..], ended, max_body_bytes)? {
            Some((response, used)) if (100..200).contains(&response.status) => at += used,
            found => return Ok(found.map(|(r, used)| (r, at + used))),
        }
    }
    Err(Malformed("too many interim responses"))
}

fn one_response(
    bytes: &[u8],
    ended: bool,
    max_body_bytes: usize,
) -> Result<Option<(Response, usize)>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut slots);
    let blanked_bytes: Vec<u8>;
    let mut found = parsed.parse(bytes);
    if found.is_err()
        && let Some(blanked) = blank_load_report(bytes)
    {
        blanked_bytes = blanked;
        parsed = httparse::Response::new(&mut slots);
        found = parsed.parse(&blanked_bytes);
    }
    let head = match found.map_err(|_| Malformed("response head"))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            return Err(Malformed("head too large"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = parsed.code.unwrap_or(0);
    let headers = owned_headers(parsed.headers);
    let is_http_1_0 = parsed.version == Some(0);
    if (100..200).contains(&status) {
        return Ok(Some((
            Response {
                status,
                headers,
                body: Vec::new(),
                close: false,
            },
            head,
        )));
    }
    let mut close = has_token(&headers, "connection", "close") || is_http_1_0;
    let has_no_body = status == 204 || status == 304;
    let length = if has_no_body {
        BodyLength::Known(0)
    } else {
        body_length(&headers, max_body_bytes)?
    };
    let ends_with_connection = matches!(length, BodyLength::Unspecified);
    let complete_body = if ends_with_connection {
        close = true;
        if bytes.len() - head > max_body_bytes {
            return Err(TOO_LARGE);
        }
        ended.then(|| (bytes[head..].to_vec(), bytes.len() - head))
    } else {
        parse_body(&bytes[head..], length, max_body_bytes)?.complete()
    };
    Ok(complete_body.map(|(body, len)| {
        (
            Response {
                status,
                headers,
                body,
                close,
            },
            head + len,
        )
    }))
}

/// A copy of the bytes in which the values of [`LOAD_REPORT_HEADER`] are replaced by `?`, so that the head can be parsed; `None`
/// if the header is absent.
fn blank_load_report(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut blanked = bytes.to_vec();
    let (mut at, mut found) = (0, false);
    while let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") {
        let line = &bytes[at..at + end];
        if line.is_empty() {
            break;
        }
        let name = line.split(|&b| b == b':').next().unwrap_or_default();
        if name.eq_ignore_ascii_case(LOAD_REPORT_HEADER.as_bytes()) && name.len() < line.len() {
            blanked[at + name.len() + 1..at + end].fill(b'?');
            found = true;
        }
        at += end + 2;
    }
    found.then_some(blanked)
}

/// The status of a response of which at least the status line is complete. Interim responses are skipped.
pub fn early_status(mut bytes: &[u8]) -> Option<u16> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let line = &bytes[..bytes.iter().position(|&b| b == b'\n')?];
        let rest = line.strip_prefix(b"HTTP/1.")?;
        let [b'0' | b'1', b' ', code @ ..] = rest else {
            return None;
        };
        let (code, after) = code.split_at_checked(3)?;
        let status: u16 = std::str::from_utf8(code).ok()?.parse().ok()?;
        if !matches!(after.first(), None | Some(b' ' | b'\r')) {
            return None;
        }
        if !(100..200).contains(&status) {
            return Some(status);
        }
        bytes = &bytes[bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4..];
    }
    None
}

/// Encodes a request. `Content-Length` is added unless the method is `GET`.
pub fn write_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a response. `Content-Length` is added.
pub fn write_response(
    status: u16,
    reason: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// The wait that `Retry-After` states (RFC 9110, section 10.2.3), counted from `unix_now` (since 1970): seconds, also with
/// decimals, or a date. `None` if it is absent, not valid, or not in the future.
pub fn retry_after(headers: &Headers, unix_now: Duration) -> Option<Duration> {
    let text = header(headers, "retry-after")?;
    if let Ok(seconds) = text.parse::<f64>() {
        let is_valid = seconds.is_finite() && seconds > 0.0;
        return is_valid.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER_SECONDS)));
    }
    let at = httpdate::parse_http_date(text).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?;
    at.checked_sub(unix_now).filter(|w| !w.is_zero())
}
