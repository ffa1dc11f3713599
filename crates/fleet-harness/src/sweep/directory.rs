//! A simulated server directory that any number of senders may watch. It counts its bytes and knows which version each has asked
//! on from.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Versions begin here, so that all that a sweep uses have as many digits and messages of one kind are equally long.
pub const FIRST_VERSION: u64 = 100_000;
/// A question that is longer is not one of a sender's.
const HEAD_MOST: usize = 16 * 1024;

/// One destination as it is listed, with an endpoint of its own. All rows have the same length.
pub fn row(number: u64, state: &str) -> String {
    let octet = |power: u32| 100 + (number / 100u64.pow(power)) % 100;
    let (a, b, c, zone) = (octet(2), octet(1), octet(0), number % 6);
    format!(
        r#"{{"id":"s-{number:08x}","addr":"127.{a}.{b}.{c}:8080","zone":"zone-{zone}","kind":"station","cell":{number:>6},"state":"{state}","weight":40.0,"started_ms":0}}"#
    )
}

/// A whole list in the directory's form.
pub fn whole(version: u64, destinations: u64) -> String {
    let rows: Vec<String> = (0..destinations).map(|n| row(n, "up")).collect();
    format!(
        r#"{{"version":{version},"full":true,"servers":[{}]}}"#,
        rows.join(",")
    )
}

/// The bytes of an answer with this body.
pub fn response(body: &str) -> String {
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

/// What one connection last asked for.
#[derive(Clone, Copy, Debug)]
struct Question {
    /// The version that the sender has; `None` for a question for the whole list.
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
    questions: BTreeMap<u64, Question>,
    /// Questions for a version before the present one, since that was made.
    behind: u64,
    /// Bytes of answers that told something new, and of the questions that came after them.
    news: u64,
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
        self.questions
            .values()
            .filter(|q| q.from.is_some_and(|from| from >= self.version))
            .count()
    }
}

/// The directory; its threads end with their connections once it is dropped.
#[derive(Debug)]
pub struct Directory {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// How a whole list fared with the one sender that watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    Taken,
    Refused,
    /// Neither within the time.
    Unknown,
}

fn lock(shared: &(Mutex<State>, Condvar)) -> MutexGuard<'_, State> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Directory {
    pub fn new() -> io::Result<Directory> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let state = State {
            version: FIRST_VERSION,
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let accepted = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = accepted.clone();
                let number = {
                    let mut state = lock(&shared);
                    if state.closed {
                        return;
                    }
                    state.connections += 1;
                    state.connections
                };
                thread::spawn(move || {
                    // A connection that breaks is a sender that has ended or asks anew.
                    let _ = serve(stream, number, &shared);
                    lock(&shared).questions.remove(&number);
                    shared.1.notify_all();
                });
            }
        });
        Ok(Directory { address, shared })
    }

    /// Bytes so far of answers that told something new, and of the questions that came after them. A watch that runs out
    /// untold is not among them: when that happens depends on the clock.
    pub fn news_bytes(&self) -> u64 {
        lock(&self.shared).news
    }

    /// Makes so many rows one change, told to all that watch.
    pub fn change(&self, rows: Vec<String>) {
        let mut state = lock(&self.shared);
        state.version += 1;
        state.behind = 0;
        let version = state.version;
        state.changed.insert(version, rows);
        self.shared.1.notify_all();
    }

    /// Waits until so many senders hold a watch from the present version on; false if they don't in time.
    pub fn all_watch(&self, senders: usize, most: Duration) -> bool {
        self.wait(most, |state| (state.watching() >= senders).then_some(()))
            .is_some()
    }

    /// Answers the next question with a whole list of so many destinations, as after a gap in the versions.
    pub fn give_whole(&self, destinations: u64, most: Duration) -> Reception {
        {
            let mut state = lock(&self.shared);
            state.version += 1;
            state.behind = 0;
            state.whole = Some(whole(state.version, destinations).into());
            self.shared.1.notify_all();
        }
        let received = self.wait(most, |state| {
            // The watch that is held is answered without a new question; the first that comes after it tells.
            match (state.watching(), state.behind) {
                (1.., _) => Some(Reception::Taken),
                (_, 1..) => Some(Reception::Refused),
                _ => None,
            }
        });
        lock(&self.shared).whole = None;
        received.unwrap_or(Reception::Unknown)
    }

    fn wait<T>(&self, most: Duration, mut found: impl FnMut(&State) -> Option<T>) -> Option<T> {
        let end = Instant::now() + most;
        let mut state = lock(&self.shared);
        loop {
            if let Some(found) = found(&state) {
                return Some(found);
            }
            let left = end.checked_duration_since(Instant::now())?;
            let waited = self.shared.1.wait_timeout(state, left);
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

fn serve(mut stream: TcpStream, number: u64, shared: &(Mutex<State>, Condvar)) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = Vec::new();
    let mut reported = false;
    loop {
        let Some(head) = read_head(&mut stream, &mut input)? else {
            return Ok(());
        };
        if reported {
            lock(shared).news += head.len() as u64;
        }
        let (from, hold) = (number_in(&head, "from="), number_in(&head, "hold_ms="));
        let Some(answer) = answered(number, from, hold, shared) else {
            return Ok(());
        };
        reported = matches!(answer, Answer::News(_));
        let text = match &answer {
            Answer::News(body) | Answer::Nothing(body) => response(body),
        };
        if reported {
            // Counted before it is written: whoever has read it may act at once.
            lock(shared).news += text.len() as u64;
        }
        stream.write_all(text.as_bytes())?;
    }
}

/// The body of an answer.
enum Answer {
    News(String),
    Nothing(String),
}

/// Waits for what a question is to be answered with; nothing once the directory is gone.
fn answered(
    number: u64,
    from: Option<u64>,
    hold_ms: Option<u64>,
    shared: &(Mutex<State>, Condvar),
) -> Option<Answer> {
    let end = Instant::now() + Duration::from_millis(hold_ms.unwrap_or(0));
    let mut state = lock(shared);
    state.questions.insert(number, Question { from });
    if from.is_none_or(|from| from < state.version) {
        state.behind += 1;
    }
    shared.1.notify_all();
    loop {
        if state.closed {
            return None;
        }
        if let Some(body) = state.answer(from) {
            // Told from here on: it holds no watch until it asks again.
            state.questions.remove(&number);
            return Some(Answer::News(body));
        }
        let Some(left) = end.checked_duration_since(Instant::now()) else {
            return Some(Answer::Nothing(changes(from.unwrap_or(FIRST_VERSION), &[])));
        };
        state = shared
            .1
            .wait_timeout(state, left)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
    }
}

/// The next question's head; nothing at the connection's end.
fn read_head(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = input.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if input.len() > HEAD_MOST {
            return Err(io::Error::other("a question without an end"));
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
