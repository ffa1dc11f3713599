//! Web Push posts of clients to senders, and the answers.

use std::str::from_utf8;
use std::time::Duration;

use cranehill_simulation::audit::Answer;
use cranehill_simulation::clients::Submission;

use super::framed::Framed;

/// Headers of one answer.
const MAX_HEADERS: usize = 32;

/// The path under which posts for a destination are accepted and sent on.
pub(crate) fn push_path(destination: u64) -> String {
    format!("/p/{destination}/")
}

/// A Web Push post. Its TTL is in whole seconds, one at least.
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

/// A sender's one answer to a post; `None` if it is not complete.
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
