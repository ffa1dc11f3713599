//! Runs a push script against a sender in this process.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cranehill_daemon::http;
use cranehill_daemon::reactor::{Reactor, ReactorOptions, StopHandle};
use cranehill_daemon::webpush;

use super::error::PlayError;
use super::script::{Expectation, Line, MAX_MESSAGE_LIFETIME, Push, PushOutcome, Script};
use super::service::{PushService, push_name};
use crate::serve::push_only_options;
use crate::simulated_server::SimulatedServer;
use crate::sync::lock;

/// Longer than the time to live of any push, so a response that takes longer is a fault.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Seed of the sender's random choices, the same in each run of a script.
const SENDER_SEED: u64 = 1;
const UPSTREAM_NAME: &str = "stand-in";

/// The results of all expectations of a script.
#[derive(Debug, Default)]
pub struct Report {
    /// A line for each expectation, with its line number in the script.
    pub lines: Vec<String>,
    /// Number of missed expectations, of clients that panicked, and of violations of `Retry-After` (counted once).
    pub missed: usize,
}

/// The sender's answer to a push.
#[derive(Clone, Copy)]
struct PushAnswer {
    /// `None` if the connection ended without a complete response.
    status: Option<u16>,
    /// Whether further bytes followed the response.
    trailing_bytes: bool,
    /// From the start of the push to the answer.
    elapsed: Duration,
}

/// Answers by the name of the push.
type Answers = Arc<Mutex<BTreeMap<String, PushAnswer>>>;

/// The options of a sender of Web Push only, with one push service at `address` for pushes to `/push/`.
pub fn push_setup(address: SocketAddr, vapid: Option<webpush::VapidFile>) -> ReactorOptions {
    let server = webpush::Server {
        address: address.to_string(),
        draining: false,
    };
    let file = webpush::File {
        listen: Some("127.0.0.1:0".into()),
        vapid,
        upstream: vec![webpush::Upstream {
            name: UPSTREAM_NAME.into(),
            rate: None,
            server: vec![server],
        }],
        location: vec![webpush::Location {
            path: "/push/".into(),
            upstream: UPSTREAM_NAME.into(),
            to: Some("/subscription/".into()),
        }],
    };
    push_only_options(file, SENDER_SEED)
}

/// Runs a script. The report has the outcome of each expected push, and whether the expectation was missed.
///
/// # Errors
/// If the simulated service or the sender can't be started, or the sender fails.
pub fn play(script: &Script) -> Result<Report, PlayError> {
    let mut player = Player::start()?;
    for (number, line) in &script.0 {
        player.line(*number, line);
    }
    player.finish()
}

/// A running sender with its simulated push service.
struct Player {
    service: Arc<Mutex<PushService>>,
    server: SimulatedServer,
    sender: SocketAddr,
    stop_handle: StopHandle,
    sender_thread: JoinHandle<io::Result<()>>,
    clients: Vec<JoinHandle<()>>,
    answers: Answers,
    report: Report,
}

impl Player {
    fn start() -> Result<Player, PlayError> {
        let service: Arc<Mutex<PushService>> = Arc::default();
        let answering = service.clone();
        let server = SimulatedServer::new(move |request, _| lock(&answering).answer(request))?;
        let mut reactor = Reactor::new(push_setup(server.address, None))
            .map_err(|e| PlayError::Start(e.into()))?;
        let sender = reactor.addresses().1.ok_or(PlayError::NotListening)?;
        let stop_handle = reactor.stop_handle()?;
        Ok(Player {
            service,
            server,
            sender,
            stop_handle,
            sender_thread: thread::spawn(move || reactor.run(Vec::new)),
            clients: Vec::new(),
            answers: Answers::default(),
            report: Report::default(),
        })
    }

    fn line(&mut self, number: usize, line: &Line) {
        match line {
            Line::Service(reply) => lock(&self.service).add_reply(reply.clone()),
            Line::Push(push) => self.push(push),
            Line::Wait(time) => thread::sleep(*time),
            Line::Expect(expectation) => self.check(number, expectation),
        }
    }

    /// Sends a push on a new connection, from a new thread.
    fn push(&mut self, push: &Push) {
        let headers: Vec<(&str, String)> = push
            .headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.clone()))
            .collect();
        let bytes = http::write_request(
            "POST",
            &format!("/push/{}", push.name),
            &self.sender.to_string(),
            &headers,
            push.body.as_bytes(),
        );
        let (sender, answers, name) = (self.sender, self.answers.clone(), push.name.clone());
        let start = Instant::now();
        self.clients.push(thread::spawn(move || {
            let (status, trailing_bytes) = match post(sender, &bytes) {
                Some((status, trailing_bytes)) => (Some(status), trailing_bytes),
                None => (None, false),
            };
            let answer = PushAnswer {
                status,
                trailing_bytes,
                elapsed: start.elapsed(),
            };
            lock(&answers).insert(name, answer);
        }));
    }

    /// Waits for the answer to a push and adds its comparison with the expectation to the report.
    fn check(&mut self, number: usize, expectation: &Expectation) {
        let end = Instant::now() + MAX_MESSAGE_LIFETIME;
        while !lock(&self.answers).contains_key(&expectation.name) && Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
        }
        let answer = lock(&self.answers).get(&expectation.name).copied();
        let attempts = self.attempts(&expectation.name);
        let comparison = Comparison::new(expectation, answer, attempts);
        self.report
            .lines
            .push(format!("line {number}: {}", comparison.text));
        self.report.missed += usize::from(!comparison.is_met);
    }

    /// Requests for this push that the service has received.
    fn attempts(&self, name: &str) -> usize {
        self.server
            .seen()
            .iter()
            .filter(|seen| push_name(&seen.request) == name)
            .count()
    }

    /// Waits for the answers to all pushes and stops the sender.
    fn finish(mut self) -> Result<Report, PlayError> {
        for client in self.clients {
            self.report.missed += usize::from(client.join().is_err());
        }
        let early = lock(&self.service).requests_while_blocked();
        if early > 0 {
            self.report.missed += 1;
            self.report.lines.push(format!(
                "MISSED: {early} posts reached the service before its Retry-After had passed"
            ));
        }
        self.stop_handle.stop();
        match self.sender_thread.join() {
            Ok(Ok(())) => Ok(self.report),
            Ok(Err(e)) => Err(PlayError::Stopped(e)),
            Err(_) => Err(PlayError::Panicked),
        }
    }
}

/// Sends a request and waits for the response: its status, and whether further bytes follow it.
fn post(address: SocketAddr, bytes: &[u8]) -> Option<(u16, bool)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    let (mut input, mut buffer) = (Vec::new(), [0u8; 4096]);
    loop {
        let n = stream.read(&mut buffer).ok()?;
        input.extend_from_slice(&buffer[..n]);
        if let Ok(Some((response, used))) = http::response(&input, n == 0) {
            return Some((response.status, input.len() > used));
        }
        if n == 0 {
            return None;
        }
    }
}

/// The comparison of a push's answer with its expectation.
struct Comparison {
    is_met: bool,
    /// For the report, without the line number.
    text: String,
}

impl Comparison {
    fn new(expectation: &Expectation, answer: Option<PushAnswer>, attempts: usize) -> Comparison {
        let name = &expectation.name;
        let expected = expectation.outcome.name();
        let Some((answer, status)) = answer.and_then(|a| Some((a, a.status?))) else {
            return Comparison {
                is_met: false,
                text: format!("{name}: MISSED: no answer, expected {expected}"),
            };
        };
        let outcome = PushOutcome::of_status(status);
        let is_met = outcome == expectation.outcome
            && answer.elapsed <= expectation.within
            && expectation.attempts.is_none_or(|count| count == attempts)
            && !answer.trailing_bytes;
        let mut text = format!(
            "{name}: {} ({status}) after {:.2} s, {attempts} attempts",
            outcome.name(),
            answer.elapsed.as_secs_f64()
        );
        if !is_met {
            let within = expectation.within.as_secs_f64();
            text.push_str(&format!(
                "; MISSED: expected {expected} within {within:.2} s"
            ));
            if let Some(count) = expectation.attempts {
                text.push_str(&format!(" in {count} attempts"));
            }
        }
        Comparison { is_met, text }
    }
}
