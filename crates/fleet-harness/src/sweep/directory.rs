//! A simulated directory that any number of senders may watch. It counts its bytes, and knows the version from which each
//! sender watches.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Versions begin here, so that all that a sweep uses have as many digits and messages of one kind are equally long.
pub(super) const FIRST_VERSION: u64 = 100_000;
/// A longer request is not from a sender.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// One destination as it is listed, with an endpoint of its own. All rows have the same length.
pub(super) fn row(number: u64, state: &str) -> String {
    let octet = |power: u32| 100 + (number / 100u64.pow(power)) % 100;
    let (a, b, c, zone) = (octet(2), octet(1), octet(0), number % 6);
    format!(
        r#"{{"id":"s-{number:08x}","addr":"127.{a}.{b}.{c}:8080","zone":"zone-{zone}","kind":"station","cell":{number:>6},"state":"{state}","weight":40.0,"started_ms":0}}"#
    )
}

/// A whole list in the directory's form.
pub(super) fn whole(version: u64, destinations: u64) -> String {
    let rows: Vec<String> = (0..destinations).map(|n| row(n, "up")).collect();
    format!(
        r#"{{"version":{version},"full":true,"servers":[{}]}}"#,
        rows.join(",")
    )
}

/// The bytes of an answer with this body.
pub(super) fn response(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn changes(version: u64, rows: &[String]) -> String {
    format!(
        r#"{{"version":{version},"full":false,"servers":[{}]}}"#,
        rows.join(",")
    )
}

/// The last request of a connection.
#[derive(Clone, Copy, Debug)]
struct WatchRequest {
    /// The version that the sender has; `None` for a request of the whole list.
    from: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// Changes by the version that each made.
    changed: BTreeMap<u64, Vec<String>>,
    /// The body that answers a sender that lacks the present version, in place of changes.
    whole: Option<Arc<str>>,
    /// By connection that is open.
    requests: BTreeMap<u64, WatchRequest>,
    /// Requests from an earlier version since the present one was made.
    behind: u64,
    /// Bytes of answers with changes, and of the requests that followed them.
    change_bytes: u64,
    connections: u64,
    closed: bool,
}

impl State {
    /// The answer that a sender with this version gets now, if there is one.
    fn answer(&self, from: Option<u64>) -> Option<String> {
        if from.is_some_and(|from| from >= self.version) {
            return None;
        }
        if let Some(whole) = &self.whole {
            return Some(whole.to_string());
        }
        let newer = self
            .changed
            .range(from.unwrap_or(0) + 1..)
            .flat_map(|(_, rows)| rows.clone());
        Some(changes(self.version, &newer.collect::<Vec<_>>()))
    }

    fn watching(&self) -> usize {
        self.requests
            .values()
            .filter(|request| request.from.is_some_and(|from| from >= self.version))
            .count()
    }
}

/// The directory; its threads end with their connections once it is dropped.
#[derive(Debug)]
pub(super) struct Directory {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// What the one sender that watches did with a whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reception {
    /// The sender watches from the new version on.
    Accepted,
    /// The sender requested changes from an earlier version again.
    Rejected,
    /// Neither in time.
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

    /// Bytes so far of answers with changes, and of the requests that followed them. A watch that times out without a change does
    /// not count, as that depends on the clock.
    pub(super) fn change_bytes(&self) -> u64 {
        lock(&self.shared).change_bytes
    }

    /// Makes one change of these rows; all senders that watch are notified.
    pub(super) fn change(&self, rows: Vec<String>) {
        let mut state = lock(&self.shared);
        state.version += 1;
        state.behind = 0;
        let version = state.version;
        state.changed.insert(version, rows);
        self.shared.1.notify_all();
    }

    /// Waits until `senders` senders watch from the present version on; false if they don't in time.
    pub(super) fn all_watch(&self, senders: usize, timeout: Duration) -> bool {
        self.wait(timeout, |state| (state.watching() >= senders).then_some(()))
            .is_some()
    }

    /// Answers the next request with a whole list of `destinations`, as after a gap in the versions.
    pub(super) fn send_whole(&self, destinations: u64, timeout: Duration) -> Reception {
        {
            let mut state = lock(&self.shared);
            state.version += 1;
            state.behind = 0;
            state.whole = Some(whole(state.version, destinations).into());
            self.shared.1.notify_all();
        }
        let received = self.wait(timeout, |state| {
            // The held watch is answered without a new request; the first one after it shows the result.
            match (state.watching(), state.behind) {
                (1.., _) => Some(Reception::Accepted),
                (_, 1..) => Some(Reception::Rejected),
                _ => None,
            }
        });
        lock(&self.shared).whole = None;
        received.unwrap_or(Reception::Unknown)
    }

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
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves each connection on a thread of its own, until the directory is closed.
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
            // A connection that breaks is of a sender that has ended or connects again.
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
            // Counted before it is written: whoever has read it may act at once.
            lock(shared).change_bytes += text.len() as u64;
        }
        stream.write_all(text.as_bytes())?;
    }
}

/// The body of an answer.
enum Answer {
    Changes(String),
    NoChange(String),
}

/// Waits for the answer to a request; `None` once the directory has ended.
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
        state.behind += 1;
    }
    shared.1.notify_all();
    loop {
        if state.closed {
            return None;
        }
        if let Some(body) = state.answer(from) {
            // It does not watch until its next request.
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

/// The head of the next request; `None` at the connection's end.
fn read_head(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = input.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if input.len() > MAX_HEAD_BYTES {
            return Err(io::Error::other("a request without an end"));
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => input.extend_from_slice(&chunk[..count]),
        }
    }
}

fn number_in(head: &str, name: &str) -> Option<u64> {
    let (_, rest) = head.lines().next()?.split_once(name)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}
