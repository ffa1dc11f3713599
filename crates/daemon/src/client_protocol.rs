//! The tenants' programs that hand messages in, over RESP2: pure parsing and writing.

use std::sync::Arc;
use std::time::Duration;

use crate::config::PlatformSettings;
use cranehill_core::{Answer, Message, Origin};

/// The largest body of a message, and room for the words before it.
const MAX_ARGUMENT_BYTES: usize = 64 * 1024;
const MAX_ARGUMENTS: usize = 16;
/// The longest key of a class that keeps its order; those of the platform have 16 characters.
const MAX_ORDERING_KEY_BYTES: usize = 64;
/// The longest request that may be waited for.
pub const REQUEST_MOST: usize = MAX_ARGUMENT_BYTES + 4096;

#[derive(Debug, PartialEq, Eq)]
pub enum Request {
    Ping,
    Quit,
    Put {
        /// The first argument: what the message keeps its order within, where its class keeps one.
        key: Vec<u8>,
        id: String,
        names: String,
        body: Vec<u8>,
    },
    /// Understood as RESP, but not as a command: it gets an error and the connection stays.
    Unknown(&'static str),
}

/// What no answer can repair: the connection ends after it.
#[derive(Debug, PartialEq, Eq)]
pub struct Broken(pub &'static str);

/// A line up to CR LF, and where the next one begins.
fn line(bytes: &[u8], at: usize) -> Result<Option<(&[u8], usize)>, Broken> {
    let rest = &bytes[at..];
    match rest.iter().position(|&b| b == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => {
            Ok(Some((&rest[..end - 1], at + end + 1)))
        }
        Some(_) => Err(Broken("a line must end in CR LF")),
        None if rest.len() > 32 => Err(Broken("a length line is too long")),
        None => Ok(None),
    }
}

fn count(line: &[u8], mark: u8, most: usize) -> Result<usize, Broken> {
    let digits = match line.split_first() {
        Some((&first, digits)) if first == mark => digits,
        _ => return Err(Broken("expected an array of bulk strings")),
    };
    let plain = !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(digits)
        .ok()
        .filter(|_| plain)
        .and_then(|d| d.parse().ok());
    number
        .filter(|&n| n <= most)
        .ok_or(Broken("a length is not a number in range"))
}

/// The first whole request in `bytes` and how many bytes it takes; `None` if more must come.
pub fn parse(bytes: &[u8]) -> Result<Option<(Request, usize)>, Broken> {
    let Some((head, mut at)) = line(bytes, 0)? else {
        return Ok(None);
    };
    let arguments = count(head, b'*', MAX_ARGUMENTS)?;
    let mut parts: Vec<&[u8]> = Vec::with_capacity(arguments);
    let mut total = 0;
    for _ in 0..arguments {
        let Some((head, next)) = line(bytes, at)? else {
            return Ok(None);
        };
        let len = count(head, b'$', MAX_ARGUMENT_BYTES)?;
        total += len;
        if total > MAX_ARGUMENT_BYTES + 2048 {
            return Err(Broken("the request is too large"));
        }
        let Some(argument) = bytes.get(next..next + len + 2) else {
            return Ok(None);
        };
        if &argument[len..] != b"\r\n" {
            return Err(Broken("a bulk string must end in CR LF"));
        }
        parts.push(&argument[..len]);
        at = next + len + 2;
    }
    Ok(Some((command(&parts), at)))
}

fn command(parts: &[&[u8]]) -> Request {
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
        let named = |id: &String| {
            !id.is_empty() && id.len() <= 64 && id.bytes().all(|b| b.is_ascii_graphic())
        };
        match (text(id).filter(named), text(names)) {
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

/// The key of a message whose class keeps its order: text without spaces. Zeros alone are none.
fn ordering_key(key: &[u8]) -> Result<Option<String>, &'static str> {
    let plain =
        (1..=MAX_ORDERING_KEY_BYTES).contains(&key.len()) && key.iter().all(u8::is_ascii_graphic);
    let text = std::str::from_utf8(key).ok().filter(|_| plain);
    let text = text.ok_or("the first argument is no key: 1 to 64 characters without spaces")?;
    Ok(Some(text.to_owned()).filter(|_| key.iter().any(|&byte| byte != b'0')))
}

/// Reads a message's list of names and values. `key` is the request's first argument.
pub fn message(
    platform_settings: &PlatformSettings,
    from: usize,
    key: &[u8],
    id: String,
    names: &str,
    body: Vec<u8>,
) -> Result<Message, &'static str> {
    let first_argument = key;
    let (mut class, mut tenant, mut left, mut destination, mut key) =
        (None, None, None, None, None);
    for pair in names.split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or("a name without a value")?;
        match name {
            "c" => class = Some(platform_settings.class(value).ok_or("class not known")?),
            "t" => tenant = Some(platform_settings.tenant(value).ok_or("station not known")?),
            "d" => left = Some(value.parse::<u64>().map_err(|_| "time left not a number")?),
            "dest" => {
                destination = Some(
                    value
                        .parse::<u64>()
                        .map_err(|_| "destination not a number")?,
                )
            }
            "k" => {
                let plain = value.len() <= 128 && value.bytes().all(|b| b.is_ascii_graphic());
                key = Some(value.to_owned()).filter(|_| plain);
                key.as_ref().ok_or("key not readable")?;
            }
            // Marks of a repeat, and names that newer clients may add, change nothing here.
            _ => {}
        }
    }
    let class = class.ok_or("class missing")?;
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
        destination: destination.ok_or("destination missing")?,
        key,
        ordering_key,
        body: Arc::from(body),
        left: Duration::from_millis(left.ok_or("time left missing")?).min(longest),
        spent: 0,
        envelope: None,
        from: Origin::Client(from),
    })
}

/// The answer's bytes.
pub fn answer(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Accepted | Answer::Delivered => b"+OK\r\n".to_vec(),
        Answer::Rejected { after: Some(after) } => {
            format!("-BUSY {}\r\n", after.as_millis()).into_bytes()
        }
        Answer::Rejected { after: None } => b"-BUSY\r\n".to_vec(),
        Answer::Failed | Answer::RecipientRemoved | Answer::Expired => b"-ERR failed\r\n".to_vec(),
    }
}

pub fn error(why: &str) -> Vec<u8> {
    format!("-ERR {why}\r\n").into_bytes()
}
