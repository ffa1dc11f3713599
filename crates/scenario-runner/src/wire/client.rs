//! Submissions of clients to senders over RESP2, and the answers.

use std::time::Duration;

use cranehill_simulation::clients::{ClientAnswer, Submission};

use super::framed::Framed;

/// The ordering key, which is the first argument, of a message that has none.
const NO_ORDERING_KEY: &str = "0000000000000000";
const LINE_END: &[u8] = b"\r\n";

/// Encodes the `MSG.PUT` request with which a client submits a message.
pub(crate) fn encode_put(submission: &Submission, class: &str, tenant: &str) -> Vec<u8> {
    let ordering_key = submission
        .ordering_key
        .as_deref()
        .unwrap_or(NO_ORDERING_KEY);
    let attributes = attributes(submission, class, tenant);
    let body = body(submission);
    let arguments = [
        b"MSG.PUT" as &[u8],
        ordering_key.as_bytes(),
        submission.id.as_bytes(),
        attributes.as_bytes(),
        &body,
    ];
    let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        bytes.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        bytes.extend_from_slice(argument);
        bytes.extend_from_slice(LINE_END);
    }
    bytes
}

fn attributes(submission: &Submission, class: &str, tenant: &str) -> String {
    let mut attributes = format!(
        "c={class},t={tenant},d={},dest={}",
        submission.time_to_live.as_millis(),
        submission.destination
    );
    if let Some(key) = &submission.key {
        attributes.push_str(&format!(",k={key}"));
    }
    if submission.retry {
        attributes.push_str(",r=1");
    }
    if submission.again {
        attributes.push_str(",again=1");
    }
    attributes
}

/// A body that compresses about as well as a real message.
fn body(submission: &Submission) -> Vec<u8> {
    submission
        .id
        .bytes()
        .cycle()
        .zip(b"episodio de la tarde; ".iter().cycle())
        .map(|(a, b)| if a % 3 == 0 { a } else { *b })
        .take(submission.body)
        .collect()
}

/// Parses a sender's answer to a submission at the start of a buffer; `None` if it is not complete yet. An error reply other than
/// `-BUSY` is [`ClientAnswer::Error`].
pub(crate) fn parse_client_answer(bytes: &[u8]) -> Option<Framed<ClientAnswer>> {
    let line_length = bytes
        .windows(LINE_END.len())
        .position(|window| window == LINE_END)?;
    let line = String::from_utf8_lossy(&bytes[..line_length]).into_owned();
    let line_end = line_length + LINE_END.len();
    if let Some(size) = line.strip_prefix('$') {
        let size: usize = size.parse().ok()?;
        let length = line_end + size + LINE_END.len();
        return (bytes.len() >= length).then_some(Framed {
            value: ClientAnswer::Accepted,
            length,
        });
    }
    let answer = if let Some(rest) = line.strip_prefix("-BUSY") {
        let after = rest.trim().parse::<u64>().ok().map(Duration::from_millis);
        ClientAnswer::Rejected { after }
    } else if line.starts_with('+') {
        ClientAnswer::Accepted
    } else {
        ClientAnswer::Error
    };
    Some(Framed {
        value: answer,
        length: line_end,
    })
}
