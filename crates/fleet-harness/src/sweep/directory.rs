//! A simulated discovery service, the directory, which any number of senders watch by long polling. It counts the bytes of
//! changes, and records the endpoint list version in each sender's last request.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The first version. All versions in a sweep have the same number of digits, so that messages of one kind have the same length.
pub(super) const FIRST_VERSION: u64 = 100_000;
/// Longest head of a request; senders send far shorter ones.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The row of the endpoint list for one destination, which has one endpoint. Rows with equally long states have the same length.
pub(super) fn row(number: u64, state: &str) -> String {
    let octet = |power: u32| 100 + (number / 100u64.pow(power)) % 100;
    let (a, b, c, zone) = (octet(2), octet(1), octet(0), number % 6);
    format!(
        r#"{{"id":"s-{number:08x}","addr":"127.{a}.{b}.{c}:8080","zone":"zone-{zone}","kind":"station","cell":{number:>6},"state":"{state}","weight":40.0,"started_ms":0}}"#
    )
}

/// A full endpoint list as the body of an answer.
pub(super) fn full_list(version: u64, destinations: u64) -> String {
    let rows: Vec<String> = (0..destinations).map(|n| row(n, "up")).collect();
    format!(
        r#"{{"version":{version},"full":true,"servers":[{}]}}"#,
        rows.join(",")
    )
}

/// The HTTP answer with this body.
pub(super) fn response(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// The rows that changed, as the body of an answer.
fn changes(version: u64, rows: &[String]) -> String {
    format!(
        r#"{{"version":{version},"full":false,"servers":[{}]}}"#,
        rows.join(",")
    )
}

/// The last request of a connection.
#[derive(Clone, Copy, Debug)]
struct WatchRequest {
    /// The version that the sender has; `None` in a request for the full list.
    from: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// Changed rows, by the version that the change made.
    changed: BTreeMap<u64, Vec<String>>,
    /// Body that is sent in place of changes to a sender with an earlier version.
    full_list_body: Option<Arc<str>>,
    /// The last request of each open connection that has not been answered with changes since.
    requests: BTreeMap<u64, WatchRequest>,
    /// Requests from an earlier version since the current one was made.
    outdated_requests: u64,
    /// Bytes of answers with changes, and of the requests that followed them.
    change_bytes: u64,
    connections: u64,
    closed: bool,
}

impl State {
    /// The body of the answer for a sender with this version; `None` if it has the current one and must wait.
    fn answer(&self, from: Option<u64>) -> Option<String> {
        if from.is_some_and(|from| from >= self.version) {
            return None;
        }
        if let Some(full_list_body) = &self.full_list_body {
            return Some(full_list_body.to_string());
        }
        let newer = self
            .changed
            .range(from.unwrap_or(0) + 1..)
            .flat_map(|(_, rows)| rows.clone());
        Some(changes(self.version, &newer.collect::<Vec<_>>()))
    }

    /// Number of connections that watch from the current version.
    fn watching(&self) -> usize {
        self.requests
            .values()
            .filter(|request| request.from.is_some_and(|from| from >= self.version))
            .count()
    }
}

/// A running directory. Dropping it ends its threads and connections.
#[derive(Debug)]
pub(super) struct Directory {
    /// Address at which the directory listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// The reaction of the only watching sender to a full list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListOutcome {
    /// The sender watches from the new version.
    Accepted,
    /// The sender requested changes from an earlier version again.
    Rejected,
    /// The sender did neither in time.
    Unknown,
}

fn lock(shared: &(Mutex<State>, Condvar)) -> MutexGuard<'_, State> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Directory {
    /// Starts a directory with an empty list.
    pub(super) fn new() -> io::Result<Directory> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = State {
            version: FIRST_VERSION,
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let accepting = shared.clone();
        thread::spawn(move || accept_all(&listener, &accepting));
        Ok(Directory { address, shared })
    }

    /// Bytes so far of answers with changes, and of the requests that followed them. Watches that time out without a change are not
    /// counted, since their number depends on the clock.
    pub(super) fn change_bytes(&self) -> u64 {
        lock(&self.shared).change_bytes
    }

    /// Makes a new version with these changed rows, and answers all waiting watches.
    pub(super) fn change(&self, rows: Vec<String>) {
        let mut state = lock(&self.shared);
        state.version += 1;
        state.outdated_requests = 0;
        let version = state.version;
        state.changed.insert(version, rows);
        self.shared.1.notify_all();
    }

    /// Waits until `senders` senders watch from the current version, that is, have applied all changes so far and requested the
    /// next one; false on timeout.
    pub(super) fn wait_for_watchers(&self, senders: usize, timeout: Duration) -> bool {
        self.wait(timeout, |state| (state.watching() >= senders).then_some(()))
            .is_some()
    }

    /// Answers the waiting watch with a full list of `destinations`, as after a gap in the versions, and waits for the reaction.
    pub(super) fn send_full_list(&self, destinations: u64, timeout: Duration) -> ListOutcome {
        {
            let mut state = lock(&self.shared);
            state.version += 1;
            state.outdated_requests = 0;
            state.full_list_body = Some(full_list(state.version, destinations).into());
            self.shared.1.notify_all();
        }
        let outcome = self.wait(timeout, |state| {
            // The waiting watch is answered; the sender's next request shows the result.
            match (state.watching(), state.outdated_requests) {
                (1.., _) => Some(ListOutcome::Accepted),
                (_, 1..) => Some(ListOutcome::Rejected),
                _ => None,
            }
        });
        lock(&self.shared).full_list_body = None;
        outcome.unwrap_or(ListOutcome::Unknown)
    }

    /// Waits until `found` returns a value; `None` on timeout.
    fn wait<T>(&self, timeout: Duration, mut found: impl FnMut(&State) -> Option<T>) -> Option<T> {
        let end = Instant::now() + timeout;
        let mut state = lock(&self.shared);
        loop {
            if let Some(found) = found(&state) {
                return Some(found);
            }
            let remaining = end.checked_duration_since(Instant::now())?;
            let waited = self.shared.1.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        lock(&self.shared).closed = true;
        self.shared.1.notify_all();
        // Ends the blocking accept of the listener's thread.
        let _ = TcpStream::connect(self.address);
    }
}

/// Accepts connections and serves each on a separate thread, until the directory is closed.
fn accept_all(listener: &TcpListener, shared: &Arc<(Mutex<State>, Condvar)>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let number = {
            let mut state = lock(shared);
            if state.closed {
                return;
            }
            state.connections += 1;
            state.connections
        };
        let shared = shared.clone();
        thread::spawn(move || {
            // An error on the connection means that the sender ended or reconnects.
            let _ = serve(stream, number, &shared);
            lock(&shared).requests.remove(&number);
            shared.1.notify_all();
        });
    }
}

fn serve(mut stream: TcpStream, number: u64, shared: &(Mutex<State>, Condvar)) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = Vec::new();
    let mut had_changes = false;
    loop {
        let Some(head) = read_head(&mut stream, &mut input)? else {
            return Ok(());
        };
        if had_changes {
            lock(shared).change_bytes += head.len() as u64;
        }
        let (from, hold) = (number_in(&head, "from="), number_in(&head, "hold_ms="));
        let Some(answer) = answered(number, from, hold, shared) else {
            return Ok(());
        };
        had_changes = matches!(answer, Answer::Changes(_));
        let text = match &answer {
            Answer::Changes(body) | Answer::NoChange(body) => response(body),
        };
        if had_changes {
            // Counted before the write: as soon as the sender has read the answer, the counter may be read.
            lock(shared).change_bytes += text.len() as u64;
        }
        stream.write_all(text.as_bytes())?;
    }
}

/// The body of an answer, with or without changes.
enum Answer {
    Changes(String),
    NoChange(String),
}

/// Waits for the answer to a request, for at most `hold_ms` if there is no change; `None` if the directory is closed.
fn answered(
    number: u64,
    from: Option<u64>,
    hold_ms: Option<u64>,
    shared: &(Mutex<State>, Condvar),
) -> Option<Answer> {
    let end = Instant::now() + Duration::from_millis(hold_ms.unwrap_or(0));
    let mut state = lock(shared);
    state.requests.insert(number, WatchRequest { from });
    if from.is_none_or(|from| from < state.version) {
        state.outdated_requests += 1;
    }
    shared.1.notify_all();
    loop {
        if state.closed {
            return None;
        }
        if let Some(body) = state.answer(from) {
            // The connection does not watch until its next request.
            state.requests.remove(&number);
            return Some(Answer::Changes(body));
        }
        let Some(remaining) = end.checked_duration_since(Instant::now()) else {
            return Some(Answer::NoChange(changes(
                from.unwrap_or(FIRST_VERSION),
                &[],
            )));
        };
        state = shared
            .1
            .wait_timeout(state, remaining)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
    }
}

/// Reads the head of the next request; `None` when the connection has ended.
fn read_head(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = input.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if input.len() > MAX_HEAD_BYTES {
            return Err(io::Error::other("request head is too long"));
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => input.extend_from_slice(&chunk[..count]),
        }
    }
}

/// The number after `name` in the request line.
fn number_in(head: &str, name: &str) -> Option<u64> {
    let (_, rest) = head.lines().next()?.split_once(name)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}
