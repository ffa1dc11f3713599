//! Submissions of clients to senders over Web Push (RFC 8030), and the answers.

use std::str::from_utf8;
use std::time::Duration;

use cranehill_simulation::audit::Answer;
use cranehill_simulation::clients::Submission;

use super::framed::Framed;

/// Number of headers that an answer may have.
const MAX_HEADERS: usize = 32;

/// The path prefix of a destination's push resources, both at the sender and at the push service.
pub(crate) fn push_path(destination: u64) -> String {
    format!("/p/{destination}/")
}

/// Encodes the request that posts a message. `ttl` is sent in whole seconds, rounded down; `topic` adds a `Topic` header with the
/// message id.
pub(crate) fn encode_post(submission: &Submission, ttl: Duration, topic: bool) -> Vec<u8> {
    let path = push_path(submission.destination);
    let topic = if topic {
        format!("Topic: {}\r\n", submission.id)
    } else {
        String::new()
    };
    let head = format!(
        "POST {path}{} HTTP/1.1\r\nHost: sender\r\nTTL: {}\r\n{topic}Content-Encoding: aes128gcm\r\nContent-Length: {}\r\n\r\n",
        submission.id,
        ttl.as_secs(),
        submission.body
    );
    let mut bytes = head.into_bytes();
    bytes.extend(submission.id.bytes().cycle().take(submission.body));
    bytes
}

/// Parses a sender's answer to a post at the start of a buffer; `None` if it is not complete yet. Bytes that are not an HTTP response,
/// and unexpected statuses, are [`Answer::Error`].
pub(crate) fn parse_post_answer(bytes: &[u8]) -> Option<Framed<Answer>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return None,
        Err(_) => {
            return Some(Framed {
                value: Answer::Error,
                length: bytes.len(),
            });
        }
    };
    let header = |name: &str| number_header(parsed.headers, name);
    let length = head_length + header("content-length").unwrap_or(0) as usize;
    let answer = match parsed.code {
        Some(201) => Answer::Delivered,
        Some(503) => Answer::Rejected {
            after: header("retry-after").map(Duration::from_secs),
        },
        Some(410 | 504) => Answer::Failed,
        _ => Answer::Error,
    };
    (bytes.len() >= length).then_some(Framed {
        value: answer,
        length,
    })
}

fn number_header(headers: &[httparse::Header<'_>], name: &str) -> Option<u64> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    from_utf8(header.value).ok()?.trim().parse().ok()
}
