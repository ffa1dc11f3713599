//! The clients' protocol over RESP2, with which they submit messages: parsing and writing, without I/O.

use std::sync::Arc;
use std::time::Duration;

use crate::config::PlatformSettings;
use crate::framing::Framed;
use cranehill_core::{Answer, Message, Origin};

/// Limit of one argument. Only a message's body comes near it.
const MAX_ARGUMENT_BYTES: usize = 64 * 1024;
/// Limit on the arguments of a command, including its name.
const MAX_ARGUMENTS: usize = 16;
/// Limit of all arguments of a command together: a body and the arguments before it.
const MAX_COMMAND_BYTES: usize = MAX_ARGUMENT_BYTES + 2048;
/// Limit of a line with a RESP length.
const MAX_LENGTH_LINE_BYTES: usize = 32;
/// Limit of a message's id.
const MAX_ID_BYTES: usize = 64;
/// Limit of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Limit of an ordering key; the platform's ordering keys have 16 characters.
const MAX_ORDERING_KEY_BYTES: usize = 64;
/// Limit of a request in bytes. A connection is closed when an incomplete request reaches it.
pub const MAX_REQUEST_BYTES: usize = MAX_ARGUMENT_BYTES + 4096;

/// A client's request.
#[derive(Debug, PartialEq, Eq)]
pub enum Request {
    /// `PING`: asks whether this sender accepts messages.
    Ping,
    /// `QUIT`: the client is about to close the connection.
    Quit,
    /// `MSG.PUT`: submits a message.
    Put {
        /// The first argument: the ordering key, where the message's class is delivered in order.
        key: Vec<u8>,
        /// The message's id.
        id: String,
        /// Comma-separated `name=value` pairs, parsed by [`message`].
        names: String,
        /// The message's body.
        body: Vec<u8>,
    },
    /// Valid RESP but not a valid command, with the reason. It is answered with an error, and the connection is kept.
    Unknown(&'static str),
}

/// Why bytes are not valid RESP. The connection is closed after the error is sent.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// Why a `MSG.PUT` is rejected. The texts are part of the protocol: they are sent to the client as errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum MessageError {
    /// A part of the comma-separated list has no `=`.
    #[error("a name without a value")]
    NameWithoutValue,
    /// The settings contain no class with the name in `c`.
    #[error("class not known")]
    UnknownClass,
    /// The settings contain no tenant with the name in `t`.
    #[error("station not known")]
    UnknownTenant,
    /// The remaining time (`d`) is not a number of milliseconds.
    #[error("time left not a number")]
    InvalidTime,
    /// The destination (`dest`) is not a number.
    #[error("destination not a number")]
    InvalidDestination,
    /// The idempotency key (`k`) is longer than 128 bytes, or has other characters than graphic ASCII.
    #[error("key not readable")]
    InvalidIdempotencyKey,
    /// The message's class is delivered in order, and the first argument is not an ordering key.
    #[error("the first argument is no key: 1 to 64 characters without spaces")]
    InvalidOrderingKey,
    /// The class (`c`) is missing.
    #[error("class missing")]
    ClassMissing,
    /// The destination (`dest`) is missing.
    #[error("destination missing")]
    DestinationMissing,
    /// The remaining time (`d`) is missing.
    #[error("time left missing")]
    TimeMissing,
    /// No endpoint of the destination is known.
    #[error("destination not known")]
    UnknownDestination,
}

/// The line at offset `at` without its CR LF, and the offset of the next line; `None` if the line is incomplete.
fn read_line(bytes: &[u8], at: usize) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    let rest = &bytes[at..];
    match rest.iter().position(|&b| b == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => {
            Ok(Some((&rest[..end - 1], at + end + 1)))
        }
        Some(_) => Err(ProtocolError("a line must end in CR LF")),
        None if rest.len() > MAX_LENGTH_LINE_BYTES => {
            Err(ProtocolError("a length line is too long"))
        }
        None => Ok(None),
    }
}

/// Parses a RESP length: the type byte, then digits. The length may be at most `max`.
fn parse_length(line: &[u8], type_byte: u8, max: usize) -> Result<usize, ProtocolError> {
    let digits = match line.split_first() {
        Some((&first, digits)) if first == type_byte => digits,
        _ => return Err(ProtocolError("expected an array of bulk strings")),
    };
    let is_valid = !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_valid)
        .and_then(|d| d.parse().ok());
    number
        .filter(|&n| n <= max)
        .ok_or(ProtocolError("a length is not a number in range"))
}

/// The first complete request in `bytes` and its length in bytes; `None` if the request is incomplete.
///
/// # Errors
/// The bytes are not the beginning of a valid RESP array within the limits.
pub fn parse(bytes: &[u8]) -> Result<Option<(Request, usize)>, ProtocolError> {
    frame(bytes).map(Framed::complete)
}

/// The request at the beginning of `bytes`.
///
/// # Errors
/// As [`parse`].
pub fn frame(bytes: &[u8]) -> Result<Framed<Request>, ProtocolError> {
    let line_needed = Framed::Incomplete {
        needed: bytes.len() + 1,
    };
    let Some((head, mut at)) = read_line(bytes, 0)? else {
        return Ok(line_needed);
    };
    let arguments = parse_length(head, b'*', MAX_ARGUMENTS)?;
    let mut parts: Vec<&[u8]> = Vec::with_capacity(arguments);
    let mut total = 0;
    for _ in 0..arguments {
        let Some((head, next)) = read_line(bytes, at)? else {
            return Ok(line_needed);
        };
        let len = parse_length(head, b'$', MAX_ARGUMENT_BYTES)?;
        total += len;
        if total > MAX_COMMAND_BYTES {
            return Err(ProtocolError("the request is too large"));
        }
        let end = next + len + 2;
        let Some(argument) = bytes.get(next..end) else {
            return Ok(Framed::Incomplete { needed: end });
        };
        if &argument[len..] != b"\r\n" {
            return Err(ProtocolError("a bulk string must end in CR LF"));
        }
        parts.push(&argument[..len]);
        at = end;
    }
    Ok(Framed::Complete {
        message: parse_command(&parts),
        length: at,
    })
}

fn parse_command(parts: &[&[u8]]) -> Request {
    let Some(name) = parts.first() else {
        return Request::Unknown("empty command");
    };
    let text = |part: &[u8]| std::str::from_utf8(part).ok().map(str::to_owned);
    if name.eq_ignore_ascii_case(b"PING") {
        Request::Ping
    } else if name.eq_ignore_ascii_case(b"QUIT") {
        Request::Quit
    } else if name.eq_ignore_ascii_case(b"MSG.PUT") {
        let [_, key, id, names, body] = parts else {
            return Request::Unknown("MSG.PUT takes four arguments");
        };
        let is_valid = |id: &String| {
            !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(|b| b.is_ascii_graphic())
        };
        match (text(id).filter(is_valid), text(names)) {
            (Some(id), Some(names)) => Request::Put {
                key: key.to_vec(),
                id,
                names,
                body: body.to_vec(),
            },
            _ => Request::Unknown("id or names not readable"),
        }
    } else {
        Request::Unknown("unknown command")
    }
}

/// Parses an ordering key: graphic ASCII without spaces. A key of zeros only means that the message has no ordering key.
fn ordering_key(key: &[u8]) -> Result<Option<String>, MessageError> {
    let is_valid =
        (1..=MAX_ORDERING_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
    let text = std::str::from_utf8(key).ok().filter(|_| is_valid);
    let text = text.ok_or(MessageError::InvalidOrderingKey)?;
    Ok(Some(text.to_owned()).filter(|_| key.iter().any(|&byte| byte != b'0')))
}

fn parse_number(text: &str, error: MessageError) -> Result<u64, MessageError> {
    text.parse().map_err(|_| error)
}

fn idempotency_key(text: &str) -> Result<String, MessageError> {
    let is_valid =
        text.len() <= MAX_IDEMPOTENCY_KEY_BYTES && text.bytes().all(|b| b.is_ascii_graphic());
    if is_valid {
        Ok(text.to_owned())
    } else {
        Err(MessageError::InvalidIdempotencyKey)
    }
}

/// Builds the message that a `MSG.PUT` on connection `from` submits. `names` is the comma-separated list of `name=value` pairs,
/// `key` the request's first argument. A remaining time longer than the class's deadline is shortened to it.
///
/// # Errors
/// The first pair that is missing or invalid; the error's text is sent to the client.
pub fn message(
    platform_settings: &PlatformSettings,
    from: usize,
    key: &[u8],
    id: String,
    names: &str,
    body: Vec<u8>,
) -> Result<Message, MessageError> {
    let first_argument = key;
    let (mut class, mut tenant, mut remaining_ms, mut destination, mut key) =
        (None, None, None, None, None);
    for pair in names.split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(MessageError::NameWithoutValue)?;
        match name {
            "c" => {
                let known = platform_settings.class(value);
                class = Some(known.ok_or(MessageError::UnknownClass)?);
            }
            "t" => {
                let known = platform_settings.tenant(value);
                tenant = Some(known.ok_or(MessageError::UnknownTenant)?);
            }
            "d" => remaining_ms = Some(parse_number(value, MessageError::InvalidTime)?),
            "dest" => destination = Some(parse_number(value, MessageError::InvalidDestination)?),
            "k" => key = Some(idempotency_key(value)?),
            // Markers of a repeated request, and names that newer clients may add, are ignored.
            _ => {}
        }
    }
    let class = class.ok_or(MessageError::ClassMissing)?;
    let spec = &platform_settings.settings.classes[class];
    let ordering_key = if spec.in_order {
        ordering_key(first_argument)?
    } else {
        None
    };
    let longest = spec.deadline;
    Ok(Message {
        id,
        class,
        tenant: tenant.unwrap_or(0),
        destination: destination.ok_or(MessageError::DestinationMissing)?,
        idempotency_key: key,
        ordering_key,
        body: Arc::from(body),
        time_left: Duration::from_millis(remaining_ms.ok_or(MessageError::TimeMissing)?)
            .min(longest),
        attempts_used: 0,
        envelope: None,
        origin: Origin::Client(from),
    })
}

/// Encodes the answer to a `MSG.PUT`.
pub fn write_answer(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Accepted | Answer::Delivered => b"+OK\r\n".to_vec(),
        Answer::Rejected {
            retry_after: Some(after),
        } => format!("-BUSY {}\r\n", after.as_millis()).into_bytes(),
        Answer::Rejected { retry_after: None } => b"-BUSY\r\n".to_vec(),
        Answer::Failed | Answer::RecipientRemoved | Answer::Expired => b"-ERR failed\r\n".to_vec(),
    }
}

/// Encodes a RESP error with this text.
pub fn write_error(why: &str) -> Vec<u8> {
    format!("-ERR {why}\r\n").into_bytes()
}
