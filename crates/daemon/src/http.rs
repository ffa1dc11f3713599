//! HTTP/1.1 messages as bytes: incremental, bounded parsing on `httparse`, and writing.

use std::time::Duration;

/// The largest body of a request, and of most responses.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The largest head, and the largest trailers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Header lines in a head.
const MAX_HEADERS: usize = 64;
/// The longest line with a chunk's size.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The longest `Retry-After`, in seconds: a day.
const MAX_RETRY_AFTER_SECONDS: f64 = 86_400.0;
/// Interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// A header that only informs: where its value can't be parsed, it alone is dropped.
pub const LOAD_REPORT_HEADER: &str = "x-pressure";

/// Why bytes are no HTTP message; in the field's terms, for logs and responses.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// A body larger than is read.
pub const TOO_LARGE: Malformed = Malformed("body too large");

/// Names and values in the order received.
pub type Headers = Vec<(String, Vec<u8>)>;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Such as `GET`.
    pub method: String,
    /// The target as sent, with its query.
    pub path: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body, without the framing of chunks.
    pub body: Vec<u8>,
    /// The connection ends after the response.
    pub close: bool,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its body, without the framing of chunks.
    pub body: Vec<u8>,
    /// The connection ends after it.
    pub close: bool,
}

/// The value of the first header of that name; `None` if it is not UTF-8.
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

enum Length {
    Known(usize),
    Chunked,
    Unstated,
}

fn length(headers: &Headers, max_body_bytes: usize) -> Result<Length, Malformed> {
    if header(headers, "transfer-encoding").is_some() {
        return if has_token(headers, "transfer-encoding", "chunked") {
            Ok(Length::Chunked)
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
        Some(len) => Ok(Length::Known(len)),
        None => Ok(Length::Unstated),
    }
}

/// The chunks' bytes and where they end, once all have come.
fn chunked(bytes: &[u8], max_body_bytes: usize) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &bytes[at..];
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| Malformed("chunk size"))?;
        let httparse::Status::Complete((skip, size)) = parsed else {
            return if rest.len() > MAX_CHUNK_LINE_BYTES {
                Err(Malformed("chunk size"))
            } else {
                Ok(None)
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
                return Ok(Some((body, at + 2)));
            }
            if trailers.len() > MAX_HEAD_BYTES {
                return Err(Malformed("trailers too large"));
            }
            return Ok(trailers
                .windows(4)
                .position(|w| w == b"\r\n\r\n")
                .map(|p| (body, at + p + 4)));
        }
        let Some(chunk) = bytes.get(at..at + size + 2) else {
            return Ok(None);
        };
        if !chunk.ends_with(b"\r\n") {
            return Err(Malformed("chunk end"));
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
    }
}

fn body(
    bytes: &[u8],
    length: Length,
    max_body_bytes: usize,
) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    match length {
        Length::Known(len) => Ok(bytes.get(..len).map(|b| (b.to_vec(), len))),
        Length::Chunked => chunked(bytes, max_body_bytes),
        Length::Unstated => Ok(Some((Vec::new(), 0))),
    }
}

/// The first complete request in `bytes` and its length; `None` if more must arrive.
///
/// # Errors
/// The bytes are not, and will not become, a request within the bounds.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut slots);
    let head = match parsed.parse(bytes).map_err(|_| Malformed("request head"))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > MAX_HEAD_BYTES => {
            return Err(Malformed("head too large"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let headers = owned_headers(parsed.headers);
    let old = parsed.version == Some(0);
    let close = has_token(&headers, "connection", "close") || old;
    let (method, path) = (
        parsed.method.unwrap_or("").to_owned(),
        parsed.path.unwrap_or("").to_owned(),
    );
    let length = length(&headers, MAX_BODY_BYTES)?;
    let Some((body, len)) = body(&bytes[head..], length, MAX_BODY_BYTES)? else {
        return Ok(None);
    };
    Ok(Some((
        Request {
            method,
            path,
            headers,
            body,
            close,
        },
        head + len,
    )))
}

/// The first complete response, as [`request`]; `ended` says that the peer has closed the connection.
///
/// # Errors
/// As [`request`].
pub fn response(bytes: &[u8], ended: bool) -> Result<Option<(Response, usize)>, Malformed> {
    response_within(bytes, ended, MAX_BODY_BYTES)
}

/// As [`response`], for a body of at most `max_body_bytes` bytes.
///
/// # Errors
/// As [`request`].
pub fn response_within(
    bytes: &[u8],
    ended: bool,
    max_body_bytes: usize,
) -> Result<Option<(Response, usize)>, Malformed> {
    let mut at = 0;
    // Bounded: a run of interim responses must exhaust neither the stack nor the time of others.
    for _ in 0..=MAX_INTERIM_RESPONSES {
        match one_response(&bytes[at..], ended, max_body_bytes)? {
            Some((response, used)) if (100..200).contains(&response.status) => at += used,
            found => return Ok(found.map(|(r, used)| (r, at + used))),
        }
    }
    Err(Malformed("too many interim answers"))
}

fn one_response(
    bytes: &[u8],
    ended: bool,
    max_body_bytes: usize,
) -> Result<Option<(Response, usize)>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut slots);
    let readable: Vec<u8>;
    let mut found = parsed.parse(bytes);
    if found.is_err()
        && let Some(blanked) = without_load_report(bytes)
    {
        readable = blanked;
        parsed = httparse::Response::new(&mut slots);
        found = parsed.parse(&readable);
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
    let old = parsed.version == Some(0);
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
    let mut close = has_token(&headers, "connection", "close") || old;
    let none = status == 204 || status == 304;
    let len = if none {
        Length::Known(0)
    } else {
        length(&headers, max_body_bytes)?
    };
    let unstated = matches!(len, Length::Unstated);
    let whole = if unstated {
        close = true;
        if bytes.len() - head > max_body_bytes {
            return Err(TOO_LARGE);
        }
        ended.then(|| (bytes[head..].to_vec(), bytes.len() - head))
    } else {
        body(&bytes[head..], len, max_body_bytes)?
    };
    Ok(whole.map(|(body, len)| {
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

/// The same bytes with the values of [`LOAD_REPORT_HEADER`] replaced by ones that can be parsed and mean nothing.
fn without_load_report(bytes: &[u8]) -> Option<Vec<u8>> {
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

/// The status of a response whose first line is complete, whatever follows. Interim responses are skipped.
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

/// A request's bytes. `Content-Length` is added unless the method is `GET`.
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

/// A response's bytes. `Content-Length` is added.
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

/// The wait that `Retry-After` states from `unix_now` (since 1970) on: seconds, with decimals where the peer writes them, or a
/// date.
pub fn retry_after(headers: &Headers, unix_now: Duration) -> Option<Duration> {
    let text = header(headers, "retry-after")?;
    if let Ok(seconds) = text.parse::<f64>() {
        let sane = seconds.is_finite() && seconds > 0.0;
        return sane.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER_SECONDS)));
    }
    let at = httpdate::parse_http_date(text).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?;
    at.checked_sub(unix_now).filter(|w| !w.is_zero())
}
