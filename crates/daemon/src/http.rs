//! HTTP/1.1 messages as bytes: incremental and bounded parsing round `httparse`, and writing.

use std::time::Duration;

/// The largest body taken.
pub const BODY_MOST: usize = 64 * 1024;
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// Interim answers before the real one.
const INTERIM_MOST: usize = 16;
/// A header that only informs: where its value can't be read, it alone is dropped.
pub const INFORMS: &str = "x-pressure";

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

pub const TOO_LARGE: Malformed = Malformed("body too large");

pub type Headers = Vec<(String, Vec<u8>)>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub close: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    pub close: bool,
}

/// A header's text, the first of that name.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(&found.1).ok().map(str::trim)
}

fn own(headers: &[httparse::Header<'_>]) -> Headers {
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

fn length(headers: &Headers, body_most: usize) -> Result<Length, Malformed> {
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
        Some(len) if len > body_most => Err(TOO_LARGE),
        Some(len) => Ok(Length::Known(len)),
        None => Ok(Length::Unstated),
    }
}

/// The chunks' bytes and where they end, once all have come.
fn chunked(bytes: &[u8], body_most: usize) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &bytes[at..];
        let parsed = httparse::parse_chunk_size(rest).map_err(|_| Malformed("chunk size"))?;
        let httparse::Status::Complete((skip, size)) = parsed else {
            return if rest.len() > 256 {
                Err(Malformed("chunk size"))
            } else {
                Ok(None)
            };
        };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > body_most || body.len() + size > body_most {
            return Err(TOO_LARGE);
        }
        at += skip;
        if size == 0 {
            // Trailers are read over.
            let trailers = &bytes[at..];
            if trailers.starts_with(b"\r\n") {
                return Ok(Some((body, at + 2)));
            }
            if trailers.len() > HEAD_MOST {
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
    body_most: usize,
) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    match length {
        Length::Known(len) => Ok(bytes.get(..len).map(|b| (b.to_vec(), len))),
        Length::Chunked => chunked(bytes, body_most),
        Length::Unstated => Ok(Some((Vec::new(), 0))),
    }
}

/// The first whole request in `bytes` and how many bytes it takes; `None` if more must come.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Request::new(&mut slots);
    let head = match parsed.parse(bytes).map_err(|_| Malformed("request head"))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > HEAD_MOST => {
            return Err(Malformed("head too large"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let headers = own(parsed.headers);
    let old = parsed.version == Some(0);
    let close = has_token(&headers, "connection", "close") || old;
    let (method, path) = (
        parsed.method.unwrap_or("").to_owned(),
        parsed.path.unwrap_or("").to_owned(),
    );
    let length = length(&headers, BODY_MOST)?;
    let Some((body, len)) = body(&bytes[head..], length, BODY_MOST)? else {
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

/// The first whole response, as [`request`]; `ended` says that the peer has closed.
pub fn response(bytes: &[u8], ended: bool) -> Result<Option<(Response, usize)>, Malformed> {
    response_within(bytes, ended, BODY_MOST)
}

/// As [`response`], for a body of at most `body_most` bytes.
pub fn response_within(
    bytes: &[u8],
    ended: bool,
    body_most: usize,
) -> Result<Option<(Response, usize)>, Malformed> {
    let mut at = 0;
    // A loop with an end: a run of interim answers must use up neither the stack nor our time.
    for _ in 0..=INTERIM_MOST {
        match one_response(&bytes[at..], ended, body_most)? {
            Some((response, used)) if (100..200).contains(&response.status) => at += used,
            found => return Ok(found.map(|(r, used)| (r, at + used))),
        }
    }
    Err(Malformed("too many interim answers"))
}

fn one_response(
    bytes: &[u8],
    ended: bool,
    body_most: usize,
) -> Result<Option<(Response, usize)>, Malformed> {
    let mut slots = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Response::new(&mut slots);
    let readable: Vec<u8>;
    let mut found = parsed.parse(bytes);
    if found.is_err()
        && let Some(blanked) = without_informing(bytes)
    {
        readable = blanked;
        parsed = httparse::Response::new(&mut slots);
        found = parsed.parse(&readable);
    }
    let head = match found.map_err(|_| Malformed("response head"))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial if bytes.len() > HEAD_MOST => {
            return Err(Malformed("head too large"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let status = parsed.code.unwrap_or(0);
    let headers = own(parsed.headers);
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
        length(&headers, body_most)?
    };
    let unstated = matches!(len, Length::Unstated);
    let whole = if unstated {
        close = true;
        if bytes.len() - head > body_most {
            return Err(TOO_LARGE);
        }
        ended.then(|| (bytes[head..].to_vec(), bytes.len() - head))
    } else {
        body(&bytes[head..], len, body_most)?
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

/// The same bytes with the values of [`INFORMS`] made readable, which means nothing to who reads them.
fn without_informing(bytes: &[u8]) -> Option<Vec<u8>> {
    let mut blanked = bytes.to_vec();
    let (mut at, mut found) = (0, false);
    while let Some(end) = bytes[at..].windows(2).position(|w| w == b"\r\n") {
        let line = &bytes[at..at + end];
        if line.is_empty() {
            break;
        }
        let name = line.split(|&b| b == b':').next().unwrap_or_default();
        if name.eq_ignore_ascii_case(INFORMS.as_bytes()) && name.len() < line.len() {
            blanked[at + name.len() + 1..at + end].fill(b'?');
            found = true;
        }
        at += end + 2;
    }
    found.then_some(blanked)
}

/// The status of a response whose first line has come whole, whatever follows. Interim answers are read over.
pub fn first_line(mut bytes: &[u8]) -> Option<u16> {
    for _ in 0..=INTERIM_MOST {
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

/// A request's bytes. `Content-Length` is added.
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

/// `Retry-After`: seconds, with decimals where the peer writes them, or a date.
pub fn retry_after(headers: &Headers, unix_now: Duration) -> Option<Duration> {
    let text = header(headers, "retry-after")?;
    if let Ok(seconds) = text.parse::<f64>() {
        let sane = seconds.is_finite() && seconds > 0.0;
        return sane.then(|| Duration::from_secs_f64(seconds.min(86_400.0)));
    }
    let at = httpdate::parse_http_date(text).ok()?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?;
    at.checked_sub(unix_now).filter(|w| !w.is_zero())
}
