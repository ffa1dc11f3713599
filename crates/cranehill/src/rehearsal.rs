//! Rehearsals: a script of pushes and of what a push service answers, played against the real sender over
//! loopback sockets. The simulated server push service is also what the project's own tests use.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_daemon::http::{self, Request};
use cranehill_daemon::reactor::{Reactor, ReactorOptions};
use cranehill_daemon::webpush;

/// How a simulated server answers one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Bytes(Vec<u8>),
    /// The connection ends without an answer.
    Close,
    /// No answer ever.
    Silent,
}

impl Reply {
    pub fn status(status: u16) -> Reply {
        Reply::Bytes(http::write_response(status, "Stand-in", &[], ""))
    }

    pub fn wait(status: u16, retry_after: &str) -> Reply {
        Reply::Bytes(http::write_response(
            status,
            "Stand-in",
            &[("Retry-After", retry_after.to_owned())],
            "",
        ))
    }
}

/// A request that a simulated server has seen.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub connection: usize,
    pub request: Request,
}

/// A loopback HTTP server that answers as it is told and remembers what it was asked.
#[derive(Clone)]
pub struct SimulatedServer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SimulatedServer {
    /// Listens on a free port; `answer` is called for each request with its number, from 0.
    pub fn new(
        answer: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static,
    ) -> std::io::Result<SimulatedServer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let stand_in = SimulatedServer {
            address: listener.local_addr()?,
            seen: Arc::default(),
        };
        let (seen, answer) = (stand_in.seen.clone(), Arc::new(answer));
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                let (seen, answer) = (seen.clone(), answer.clone());
                thread::spawn(move || serve(stream, connection, &seen, &*answer));
            }
        });
        Ok(stand_in)
    }

    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }

    /// Waits until so many requests have come; false if they don't within `most`.
    pub fn wait_for(&self, count: usize, most: Duration) -> bool {
        let end = Instant::now() + most;
        while lock(&self.seen).len() < count {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(2));
        }
        true
    }
}

fn serve(
    mut stream: TcpStream,
    connection: usize,
    seen: &Mutex<Vec<Seen>>,
    answer: &(dyn Fn(&Request, usize) -> Reply + Send + Sync),
) {
    let mut input = Vec::new();
    let mut chunk = [0u8; 4096];
    loop {
        match http::request(&input) {
            Ok(Some((request, used))) => {
                input.drain(..used);
                let number = {
                    let mut seen = lock(seen);
                    seen.push(Seen {
                        at: Instant::now(),
                        connection,
                        request: request.clone(),
                    });
                    seen.len() - 1
                };
                match answer(&request, number) {
                    Reply::Bytes(bytes) if stream.write_all(&bytes).is_ok() => {}
                    Reply::Bytes(_) | Reply::Close => return,
                    Reply::Silent => {
                        // Until the other side gives up.
                        while matches!(stream.read(&mut chunk), Ok(n) if n > 0) {}
                        return;
                    }
                }
            }
            Ok(None) => match stream.read(&mut chunk) {
                Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
                _ => return,
            },
            Err(_) => return,
        }
    }
}

/// How a push ended, as its one answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Delivered,
    Refused,
    Gone,
    GivenUp,
    /// Not taken at all: the post itself was wrong.
    Invalid,
}

impl End {
    fn of(status: u16) -> End {
        match status {
            201 => End::Delivered,
            429 | 503 => End::Refused,
            410 => End::Gone,
            504 => End::GivenUp,
            _ => End::Invalid,
        }
    }

    const NAMES: [(&'static str, End); 5] = [
        ("delivered", End::Delivered),
        ("refused", End::Refused),
        ("gone", End::Gone),
        ("given-up", End::GivenUp),
        ("invalid", End::Invalid),
    ];

    fn name(self) -> &'static str {
        Self::NAMES.iter().find(|n| n.1 == self).map_or("", |n| n.0)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Line {
    /// What the service answers next: to anything, or to one push.
    Service {
        to: Option<String>,
        reply: Reply,
        wait: Option<Duration>,
    },
    Push {
        name: String,
        headers: Vec<(String, String)>,
        body: String,
    },
    Wait(Duration),
    Expect {
        name: String,
        end: End,
        within: Duration,
        attempts: Option<usize>,
    },
}

/// A script, line by line.
#[derive(Debug, PartialEq)]
pub struct Script(Vec<(usize, Line)>);

/// What a rehearsal showed.
#[derive(Debug, Default)]
pub struct Report {
    pub lines: Vec<String>,
    pub missed: usize,
}

/// What a message has at most: no expectation need wait longer.
const LONGEST: Duration = Duration::from_secs(21);

fn seconds(text: &str) -> Result<Duration, String> {
    let parsed = text
        .parse::<f64>()
        .ok()
        .filter(|s| (0.0..=60.0).contains(s));
    parsed
        .map(Duration::from_secs_f64)
        .ok_or_else(|| format!("'{text}' is not a time of 0 to 60 seconds"))
}

/// Reads a script; an error names its line.
pub fn parse(text: &str) -> Result<Script, String> {
    let mut lines = Vec::new();
    let mut pushed: Vec<String> = Vec::new();
    for (number, text) in (1..).zip(text.lines()) {
        let arguments: Vec<&str> = text
            .split('#')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        if arguments.is_empty() {
            continue;
        }
        let line = parse_line(&arguments).map_err(|e| format!("line {number}: {e}"))?;
        match &line {
            Line::Push { name, .. } if pushed.contains(name) => {
                return Err(format!("line {number}: '{name}' is pushed twice"));
            }
            Line::Push { name, .. } => pushed.push(name.clone()),
            Line::Expect { name, .. } if !pushed.contains(name) => {
                return Err(format!("line {number}: '{name}' has not been pushed"));
            }
            _ => {}
        }
        lines.push((number, line));
    }
    Ok(Script(lines))
}

fn parse_line(arguments: &[&str]) -> Result<Line, String> {
    match arguments {
        ["service", rest @ ..] => parse_service(rest),
        ["push", name, rest @ ..] => {
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if !name.chars().all(plain) {
                return Err(format!(
                    "'{name}' may hold letters, digits, '-' and '_' only"
                ));
            }
            let (mut headers, mut body) = (
                vec![("TTL".to_owned(), "20".to_owned())],
                (*name).to_owned(),
            );
            for text_token in rest {
                match text_token.split_once('=') {
                    Some(("ttl", "none")) => headers.retain(|h| h.0 != "TTL"),
                    Some(("ttl", value)) => {
                        headers.retain(|h| h.0 != "TTL");
                        headers.push(("TTL".into(), value.into()));
                    }
                    Some(("urgency", value)) => headers.push(("Urgency".into(), value.into())),
                    Some(("topic", value)) => headers.push(("Topic".into(), value.into())),
                    Some(("body", value)) => body = value.to_owned(),
                    _ => {
                        return Err(format!(
                            "'{text_token}' is not ttl=, urgency=, topic= or body="
                        ));
                    }
                }
            }
            Ok(Line::Push {
                name: (*name).to_owned(),
                headers,
                body,
            })
        }
        ["wait", time] => Ok(Line::Wait(seconds(time)?)),
        ["expect", name, end, rest @ ..] => {
            let known = End::NAMES.iter().find(|n| n.0 == *end).map(|n| n.1);
            let end = known.ok_or_else(|| {
                let names: Vec<&str> = End::NAMES.iter().map(|n| n.0).collect();
                format!("'{end}' is none of {}", names.join(", "))
            })?;
            let (mut within, mut attempts) = (LONGEST, None);
            for pair in rest.chunks(2) {
                match pair {
                    ["within", time] => within = seconds(time)?,
                    ["attempts", count] => {
                        attempts = Some(
                            count
                                .parse()
                                .map_err(|_| format!("'{count}' is not a count"))?,
                        );
                    }
                    _ => return Err(format!("'{}' is not understood", pair.join(" "))),
                }
            }
            Ok(Line::Expect {
                name: (*name).to_owned(),
                end,
                within,
                attempts,
            })
        }
        _ => Err(format!(
            "'{}' is not service, push, wait or expect",
            arguments.join(" ")
        )),
    }
}

fn parse_service(arguments: &[&str]) -> Result<Line, String> {
    let (reply, mut rest) = match arguments {
        ["silent", rest @ ..] => (Reply::Silent, rest),
        ["closes", rest @ ..] => (Reply::Close, rest),
        ["answers", status, rest @ ..] => {
            let status = status.parse().ok().filter(|s| (200..600).contains(s));
            (
                Reply::status(status.ok_or("a status is a number from 200 to 599")?),
                rest,
            )
        }
        _ => return Err("the service answers STATUS, is silent, or closes".into()),
    };
    let (mut reply, mut to, mut wait) = (reply, None, None);
    while let [text_token, after @ ..] = rest {
        match text_token.split_once('=') {
            Some(("retry-after", value)) => {
                let Reply::Bytes(bytes) = &reply else {
                    return Err("retry-after needs an answer".into());
                };
                let status = http::early_status(bytes).unwrap_or(503);
                reply = Reply::wait(status, value);
                wait = Some(seconds(value)?);
            }
            Some(("to", name)) => to = Some(name.to_owned()),
            _ => return Err(format!("'{text_token}' is not retry-after= or to=")),
        }
        rest = after;
    }
    Ok(Line::Service { to, reply, wait })
}

#[derive(Default)]
struct Service {
    next: VecDeque<(Option<String>, Reply, Option<Duration>)>,
    waits_until: Option<Instant>,
    /// Posts that came inside a Retry-After wait.
    during_wait: usize,
}

impl Service {
    fn answer(&mut self, request: &Request) -> Reply {
        let now = Instant::now();
        // What was on its way as the wait was told is let through.
        if self.waits_until.is_some_and(|t| now < t) {
            self.during_wait += 1;
        }
        let name = request.path.rsplit('/').next().unwrap_or("");
        let place = self
            .next
            .iter()
            .position(|(to, ..)| to.as_deref().is_none_or(|to| to == name));
        let (_, reply, wait) =
            place
                .and_then(|p| self.next.remove(p))
                .unwrap_or((None, Reply::status(201), None));
        if let Some(wait) = wait {
            self.waits_until = self.waits_until.max(Some(now + wait));
        }
        reply
    }
}

/// Posts over a connection of its own and waits for the one answer: its status, and whether more followed.
fn post(address: SocketAddr, bytes: &[u8]) -> Option<(u16, bool)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .ok()?;
    stream.write_all(bytes).ok()?;
    let (mut input, mut chunk) = (Vec::new(), [0u8; 4096]);
    loop {
        let n = stream.read(&mut chunk).ok()?;
        input.extend_from_slice(&chunk[..n]);
        if let Ok(Some((response, used))) = http::response(&input, n == 0) {
            return Some((response.status, input.len() > used));
        }
        if n == 0 {
            return None;
        }
    }
}

type Ends = Arc<Mutex<BTreeMap<String, (Option<u16>, bool, Duration)>>>;

/// A Web Push sender of its own, before one service at `address`.
pub fn push_setup(address: SocketAddr, vapid: Option<webpush::VapidFile>) -> ReactorOptions {
    let file = webpush::File {
        listen: Some("127.0.0.1:0".into()),
        vapid,
        upstream: vec![webpush::Upstream {
            name: "stand-in".into(),
            rate: None,
            server: vec![webpush::Server {
                address: address.to_string(),
                draining: false,
            }],
        }],
        location: vec![webpush::Location {
            path: "/push/".into(),
            upstream: "stand-in".into(),
            to: Some("/subscription/".into()),
        }],
    };
    ReactorOptions {
        platform_settings: webpush::standalone_settings(),
        seed: 1,
        state: None,
        listen: None,
        discovery: None,
        known_version: 0,
        known: Vec::new(),
        fleet: None,
        operator: None,
        push: Some(file),
        sockets: 1024,
        memory: 192_000_000,
        read_config: None,
    }
}

/// Plays a script and tells how each push ended and which expectations were missed.
pub fn play(script: &Script) -> Result<Report, String> {
    let service: Arc<Mutex<Service>> = Arc::default();
    let answering = service.clone();
    let stand_in = SimulatedServer::new(move |request, _| lock(&answering).answer(request))
        .map_err(|e| e.to_string())?;
    let mut reactor =
        Reactor::new(push_setup(stand_in.address, None)).map_err(|e| e.to_string())?;
    let address = reactor.addresses().1.ok_or("the sender does not listen")?;
    let stop_handle = reactor.stop_handle().map_err(|e| e.to_string())?;
    let running = thread::spawn(move || reactor.run(Vec::new));
    let ends: Ends = Arc::default();
    let mut report = Report::default();
    let mut posts = Vec::new();
    for (number, line) in &script.0 {
        match line {
            Line::Service { to, reply, wait } => {
                lock(&service)
                    .next
                    .push_back((to.clone(), reply.clone(), *wait));
            }
            Line::Push {
                name,
                headers,
                body,
            } => {
                let headers: Vec<(&str, String)> = headers
                    .iter()
                    .map(|(n, v)| (n.as_str(), v.clone()))
                    .collect();
                let path = format!("/push/{name}");
                let bytes = http::write_request(
                    "POST",
                    &path,
                    &address.to_string(),
                    &headers,
                    body.as_bytes(),
                );
                let (ends, name, begun) = (ends.clone(), name.clone(), Instant::now());
                posts.push(thread::spawn(move || {
                    let answer = post(address, &bytes);
                    let (status, more) = (answer.map(|a| a.0), answer.is_some_and(|a| a.1));
                    lock(&ends).insert(name, (status, more, begun.elapsed()));
                }));
            }
            Line::Wait(time) => thread::sleep(*time),
            Line::Expect {
                name,
                end,
                within,
                attempts,
            } => {
                let limit = Instant::now() + LONGEST;
                while !lock(&ends).contains_key(name) && Instant::now() < limit {
                    thread::sleep(Duration::from_millis(5));
                }
                let ended = lock(&ends).get(name).copied();
                let made = attempts_for(&stand_in, name);
                let (missed, text) = judge(name, ended, made, *end, *within, *attempts);
                report.missed += usize::from(missed);
                report.lines.push(format!("line {number}: {text}"));
            }
        }
    }
    for post in posts {
        if post.join().is_err() {
            report.missed += 1;
        }
    }
    let during_wait = lock(&service).during_wait;
    if during_wait > 0 {
        report.missed += 1;
        report.lines.push(format!(
            "MISSED: {during_wait} posts reached the service before its Retry-After had passed"
        ));
    }
    stop_handle.stop();
    match running.join() {
        Ok(Ok(())) => Ok(report),
        Ok(Err(e)) => Err(format!("the sender stopped: {e}")),
        Err(_) => Err("the sender panicked".into()),
    }
}

fn attempts_for(stand_in: &SimulatedServer, name: &str) -> usize {
    stand_in
        .seen()
        .iter()
        .filter(|s| s.request.path.rsplit('/').next() == Some(name))
        .count()
}

fn judge(
    name: &str,
    ended: Option<(Option<u16>, bool, Duration)>,
    made: usize,
    end: End,
    within: Duration,
    attempts: Option<usize>,
) -> (bool, String) {
    let Some((Some(status), more, took)) = ended else {
        return (
            true,
            format!("{name}: MISSED: no answer, expected {}", end.name()),
        );
    };
    let got = End::of(status);
    let right = got == end && took <= within && attempts.is_none_or(|a| a == made) && !more;
    let mut text = format!(
        "{name}: {} ({status}) after {:.2} s, {made} attempts",
        got.name(),
        took.as_secs_f64()
    );
    if !right {
        text.push_str(&format!(
            "; MISSED: expected {} within {:.2} s",
            end.name(),
            within.as_secs_f64()
        ));
        if let Some(count) = attempts {
            text.push_str(&format!(" in {count} attempts"));
        }
    }
    (!right, text)
}
