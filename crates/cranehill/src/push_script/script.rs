//! Parses the lines of a push script.

use std::time::Duration;

use cranehill_daemon::http;

use super::error::{ScriptError, ScriptErrorKind};
use crate::simulated_server::Reply;

/// The longest time to live of a push, with a margin: an expectation waits no longer than this.
pub(super) const MAX_MESSAGE_LIFETIME: Duration = Duration::from_secs(21);
/// Time to live, in seconds, of a push without `ttl=`.
const DEFAULT_TTL: &str = "20";
/// Range of times in a script, in seconds.
const TIME_RANGE: std::ops::RangeInclusive<f64> = 0.0..=60.0;
/// Status of a reply with `retry-after=` if its own status can't be read back.
const UNAVAILABLE: u16 = 503;

/// How a push ended, as the status of its answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushOutcome {
    Delivered,
    Rejected,
    SubscriptionRemoved,
    Expired,
    /// Any other status, such as 400: the request was invalid.
    Invalid,
}

impl PushOutcome {
    /// The names of the outcomes in scripts and reports.
    const NAMES: [(&'static str, PushOutcome); 5] = [
        ("delivered", PushOutcome::Delivered),
        ("refused", PushOutcome::Rejected),
        ("gone", PushOutcome::SubscriptionRemoved),
        ("given-up", PushOutcome::Expired),
        ("invalid", PushOutcome::Invalid),
    ];

    pub(super) fn of_status(status: u16) -> PushOutcome {
        match status {
            201 => PushOutcome::Delivered,
            429 | 503 => PushOutcome::Rejected,
            410 => PushOutcome::SubscriptionRemoved,
            504 => PushOutcome::Expired,
            _ => PushOutcome::Invalid,
        }
    }

    pub(super) fn name(self) -> &'static str {
        Self::NAMES
            .iter()
            .find(|(_, outcome)| *outcome == self)
            .map_or("", |(name, _)| name)
    }

    fn named(text: &str) -> Result<PushOutcome, ScriptErrorKind> {
        let known = Self::NAMES.iter().find(|(name, _)| *name == text);
        known.map(|(_, outcome)| *outcome).ok_or_else(|| {
            let names: Vec<&str> = Self::NAMES.iter().map(|(name, _)| *name).collect();
            ScriptErrorKind::UnknownOutcome {
                outcome: text.to_owned(),
                known: names.join(", "),
            }
        })
    }
}

/// A reply that the script prescribes for the simulated push service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ServiceReply {
    /// The push that it is a reply to; `None` for any push.
    pub(super) push: Option<String>,
    pub(super) reply: Reply,
    pub(super) retry_after: Option<Duration>,
}

/// A push, with the headers and the body of its request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Push {
    pub(super) name: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body: String,
}

/// The expected outcome of a push.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Expectation {
    pub(super) name: String,
    pub(super) outcome: PushOutcome,
    /// Longest time from the start of the push to its answer.
    pub(super) within: Duration,
    /// Requests that the service receives for it; `None` for any number.
    pub(super) attempts: Option<usize>,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Line {
    Service(ServiceReply),
    Push(Push),
    Wait(Duration),
    Expect(Expectation),
}

/// A parsed script: its lines with their numbers.
#[derive(Debug, PartialEq)]
pub struct Script(pub(super) Vec<(usize, Line)>);

/// Parses a script. Empty lines are skipped, and `#` begins a comment.
///
/// # Errors
/// The first line that is invalid.
pub fn parse(text: &str) -> Result<Script, ScriptError> {
    let mut lines = Vec::new();
    let mut pushed: Vec<String> = Vec::new();
    for (number, text) in (1..).zip(text.lines()) {
        let content = text.split('#').next().unwrap_or("");
        let arguments: Vec<&str> = content.split_whitespace().collect();
        if arguments.is_empty() {
            continue;
        }
        let line = parse_line(&arguments)
            .and_then(|line| check_name(line, &mut pushed))
            .map_err(|kind| ScriptError { line: number, kind })?;
        lines.push((number, line));
    }
    Ok(Script(lines))
}

/// Checks that no two pushes have the same name, and that an expectation follows its push.
fn check_name(line: Line, pushed: &mut Vec<String>) -> Result<Line, ScriptErrorKind> {
    match &line {
        Line::Push(push) if pushed.contains(&push.name) => {
            return Err(ScriptErrorKind::DuplicatePush(push.name.clone()));
        }
        Line::Push(push) => pushed.push(push.name.clone()),
        Line::Expect(expectation) if !pushed.contains(&expectation.name) => {
            return Err(ScriptErrorKind::NotPushed(expectation.name.clone()));
        }
        Line::Service(_) | Line::Wait(_) | Line::Expect(_) => {}
    }
    Ok(line)
}

fn parse_line(arguments: &[&str]) -> Result<Line, ScriptErrorKind> {
    match arguments {
        ["service", rest @ ..] => Ok(Line::Service(parse_service(rest)?)),
        ["push", name, options @ ..] => Ok(Line::Push(parse_push(name, options)?)),
        ["wait", time] => Ok(Line::Wait(parse_time(time)?)),
        ["expect", name, outcome, options @ ..] => {
            Ok(Line::Expect(parse_expectation(name, outcome, options)?))
        }
        _ => Err(ScriptErrorKind::UnknownLine(arguments.join(" "))),
    }
}

fn parse_time(text: &str) -> Result<Duration, ScriptErrorKind> {
    let seconds: Option<f64> = text.parse().ok();
    seconds
        .filter(|seconds| TIME_RANGE.contains(seconds))
        .map(Duration::from_secs_f64)
        .ok_or_else(|| ScriptErrorKind::Time(text.to_owned()))
}

fn parse_push(name: &str, options: &[&str]) -> Result<Push, ScriptErrorKind> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if !name.chars().all(is_plain) {
        return Err(ScriptErrorKind::PushName(name.to_owned()));
    }
    let mut headers = vec![("TTL".to_owned(), DEFAULT_TTL.to_owned())];
    let mut body = name.to_owned();
    for option in options {
        match option.split_once('=') {
            Some(("ttl", "none")) => headers.retain(|header| header.0 != "TTL"),
            Some(("ttl", value)) => {
                headers.retain(|header| header.0 != "TTL");
                headers.push(("TTL".into(), value.into()));
            }
            Some(("urgency", value)) => headers.push(("Urgency".into(), value.into())),
            Some(("topic", value)) => headers.push(("Topic".into(), value.into())),
            Some(("body", value)) => body = value.to_owned(),
            _ => return Err(ScriptErrorKind::PushOption((*option).to_owned())),
        }
    }
    Ok(Push {
        name: name.to_owned(),
        headers,
        body,
    })
}

fn parse_expectation(
    name: &str,
    outcome: &str,
    options: &[&str],
) -> Result<Expectation, ScriptErrorKind> {
    let mut expectation = Expectation {
        name: name.to_owned(),
        outcome: PushOutcome::named(outcome)?,
        within: MAX_MESSAGE_LIFETIME,
        attempts: None,
    };
    for pair in options.chunks(2) {
        match pair {
            ["within", time] => expectation.within = parse_time(time)?,
            ["attempts", count] => expectation.attempts = Some(parse_count(count)?),
            _ => return Err(ScriptErrorKind::ExpectOption(pair.join(" "))),
        }
    }
    Ok(expectation)
}

fn parse_count(text: &str) -> Result<usize, ScriptErrorKind> {
    text.parse()
        .map_err(|_| ScriptErrorKind::Count(text.to_owned()))
}

fn parse_service(arguments: &[&str]) -> Result<ServiceReply, ScriptErrorKind> {
    let (reply, options) = match arguments {
        ["silent", options @ ..] => (Reply::Silent, options),
        ["closes", options @ ..] => (Reply::Close, options),
        ["answers", status, options @ ..] => (Reply::status(parse_status(status)?), options),
        _ => return Err(ScriptErrorKind::Service),
    };
    let mut service = ServiceReply {
        push: None,
        reply,
        retry_after: None,
    };
    for option in options {
        match option.split_once('=') {
            Some(("retry-after", value)) => {
                let Reply::Bytes(bytes) = &service.reply else {
                    return Err(ScriptErrorKind::RetryAfterWithoutAnswer);
                };
                let status = http::early_status(bytes).unwrap_or(UNAVAILABLE);
                service.reply = Reply::wait(status, value);
                service.retry_after = Some(parse_time(value)?);
            }
            Some(("to", name)) => service.push = Some(name.to_owned()),
            _ => return Err(ScriptErrorKind::ServiceOption((*option).to_owned())),
        }
    }
    Ok(service)
}

fn parse_status(text: &str) -> Result<u16, ScriptErrorKind> {
    let status: Option<u16> = text.parse().ok();
    status
        .filter(|status| (200..600).contains(status))
        .ok_or(ScriptErrorKind::Status)
}
