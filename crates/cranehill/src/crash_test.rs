//! Kills: a real sender under load is killed at random instants, again and again over one folder, and what destinations
//! and the platform saw is held against what was promised. With flips, a byte of its journal is changed between lives.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_daemon::http::{self, Request};
use cranehill_scenario_runner::journal_damage::segments;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::rehearsal::{Reply, SimulatedServer};

/// How long a message may be delivered. Short, so that the last life need not be long.
const DURATION: Duration = Duration::from_millis(3000);
/// After its time an end may take this much longer to arrive.
const GRACE: Duration = Duration::from_millis(2000);
const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
const CLIENTS: usize = 3;
const DESTINATIONS: usize = 3;
/// Smaller than a segment's header: nothing to flip.
const HEADER: u64 = 72;
const ATTEMPTS_MOST: usize = 6;

/// What to play.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program to kill.
    pub program: PathBuf,
    pub kills: u32,
    pub seed: u64,
    /// After each so many kills a byte of the journal is flipped; 0 for never.
    pub flip_every: u32,
    /// Bytes that the journal's folder may hold, in megabytes.
    pub disk_mb: f64,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub kills: u32,
    pub flips: u32,
    /// Messages answered `+OK`, by class.
    pub taken: [u32; 3],
    pub refused: u32,
    pub delivered: u32,
    pub reported: u32,
    /// Neither delivered nor reported.
    pub lost: Vec<String>,
    /// Of class `unsafe`, sent again after an attempt that may have been executed.
    pub repeated: Vec<String>,
    /// Reported with two different ends, or as never run though they had.
    pub second_ends: Vec<String>,
    /// Sent more than six times.
    pub too_often: Vec<String>,
    /// Lines of the senders' logs that tell of damage, and of messages in doubt.
    pub damage_lines: u32,
}

impl Outcome {
    /// Nothing is lost but what a flip hit itself, nothing ends twice, nothing is repeated that must not be.
    pub fn holds(&self) -> bool {
        self.lost.len() <= self.flips as usize
            && self.repeated.is_empty()
            && self.second_ends.is_empty()
            && self.too_often.is_empty()
    }

    pub fn lines(&self) -> Vec<String> {
        let taken: Vec<String> = CLASSES
            .iter()
            .zip(self.taken)
            .map(|(c, n)| format!("{n} {c}"))
            .collect();
        let mut lines = vec![
            format!(
                "{} kills, {} flipped bytes, {} log lines of damage",
                self.kills, self.flips, self.damage_lines
            ),
            format!("accepted: {}; rejected: {}", taken.join(", "), self.refused),
            format!("delivered {}, reported {}", self.delivered, self.reported),
        ];
        for (what, ids) in [
            ("lost", &self.lost),
            ("unsafe and repeated", &self.repeated),
            ("with a second end", &self.second_ends),
            ("sent more than six times", &self.too_often),
        ] {
            let some: Vec<&str> = ids.iter().take(5).map(String::as_str).collect();
            lines.push(
                format!("{what}: {} {}", ids.len(), some.join(" "))
                    .trim_end()
                    .to_owned(),
            );
        }
        lines
    }
}

/// What was seen of one message from outside.
#[derive(Debug, Default)]
struct DeliveryRecord {
    class: usize,
    promised: bool,
    attempts: usize,
    /// Attempts after which it may have been executed.
    executed: usize,
    delivered: bool,
    repeated: bool,
    reports: BTreeSet<String>,
}

#[derive(Default)]
struct DeliveryLog {
    messages: BTreeMap<String, DeliveryRecord>,
    refused: u32,
}

type Shared = Arc<Mutex<DeliveryLog>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The settings of a sender that is killed: three classes, two kinds of destination.
fn configuration(platform: SocketAddr, destinations: &[SocketAddr], disk_mb: f64) -> String {
    let nanos = DURATION.as_nanos();
    let class = |name: &str| {
        format!(
            r#"{{"aim":1000000000,"deadline":{nanos},"dedupScope":"all","effect":"{name}","lateShare":0.4,"name":"{name}","window":{nanos},"worth":1.0}}"#
        )
    };
    let classes: Vec<String> = CLASSES.iter().map(|c| class(c)).collect();
    let servers: Vec<String> = destinations
        .iter()
        .enumerate()
        .map(|(n, address)| {
            let kind = if n == 0 { "bulk-directory" } else { "station" };
            format!(
                r#"{{"id":"s-{n:04x}","addr":"{address}","zone":"z","kind":"{kind}","cell":{n},"state":"up","weight":0.0,"started_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"name":"n0","seed":"1f","listen":"127.0.0.1:0","discovery":"{platform}",
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256,"disk_mb":{disk_mb}}},
"known":{{"version":1,"full":true,"servers":[{}]}},
"settings":{{"classes":[{}],
"familyInfo":{{"callsOut":16,"kindApart":[false,false],"losesWorth":"halving","perCall":[5,1]}},"membershipMode":"push",
"models":["bulk-directory","station"],"nInstances":1,
"policyLimits":{{"attemptsCap":6,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":128,"probes":false,"retryAfter":true}},
"rules":{{"cold":9100000000,"coldFrom":0.23,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000}},
"tenants":[{{"name":"onda-central","quotaRps":1000.0}}],"tick":5000000,"weightKind":"rough","zone":0,"zones":["z"]}}}}"#,
        servers.join(","),
        classes.join(",")
    )
}

/// How a destination treats one message of a call.
#[derive(Clone, Copy, PartialEq)]
enum DeliveryOutcome {
    Done,
    Failed,
    Busy,
}

fn destination(delivery_log: Shared, seed: u64) -> std::io::Result<SimulatedServer> {
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    SimulatedServer::new(move |request, _| {
        let draw: u32 = lock(&rng).random_range(0..100);
        if draw >= 90 {
            thread::sleep(Duration::from_millis(u64::from(draw - 89) * 3));
        }
        let batch = request.path.ends_with("/batch");
        let ids = if batch {
            batch_ids(request)
        } else {
            header(request, "X-Txn").into_iter().collect()
        };
        let outcome = match draw {
            60..70 | 85..90 => DeliveryOutcome::Failed,
            70..85 => DeliveryOutcome::Busy,
            _ => DeliveryOutcome::Done,
        };
        let mut states = Vec::new();
        for (n, id) in ids.iter().enumerate() {
            // A batch that is answered message by message has mixed ends.
            let outcome = if batch && outcome == DeliveryOutcome::Done && n % 3 == 2 {
                DeliveryOutcome::Busy
            } else {
                outcome
            };
            attempt(&mut lock(&delivery_log), id, outcome);
            let state = if outcome == DeliveryOutcome::Done {
                "done"
            } else {
                "busy"
            };
            states.push(format!(r#"{{"id":"{id}","state":"{state}"}}"#));
        }
        match draw {
            60..70 => Reply::status(500),
            70..80 => Reply::status(503),
            80..85 => Reply::wait(429, "0.02"),
            85..90 => Reply::Close,
            _ if batch => Reply::Bytes(http::write_response(
                200,
                "OK",
                &[],
                &format!("[{}]", states.join(",")),
            )),
            _ => Reply::status(200),
        }
    })
}

fn attempt(delivery_log: &mut DeliveryLog, id: &str, outcome: DeliveryOutcome) {
    let seen = delivery_log.messages.entry(id.to_owned()).or_default();
    seen.attempts += 1;
    seen.repeated |= seen.executed > 0;
    seen.executed += usize::from(outcome != DeliveryOutcome::Busy);
    seen.delivered |= outcome == DeliveryOutcome::Done;
}

fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
}

/// The values of `"id"` in a body of ours: ids are hexadecimal, so nothing in it is escaped.
fn ids_in(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let parts = text.split(r#""id":""#).skip(1);
    parts
        .filter_map(|p| Some(p.split_once('"')?.0.to_owned()))
        .collect()
}

fn batch_ids(request: &Request) -> Vec<String> {
    ids_in(&request.body)
}

fn platform(delivery_log: Shared) -> std::io::Result<SimulatedServer> {
    SimulatedServer::new(move |request, number| {
        if request.method == "GET" {
            return Reply::Silent;
        }
        // Some reports must be sent again.
        if number % 9 == 4 {
            return Reply::status(500);
        }
        for line in String::from_utf8_lossy(&request.body).lines() {
            for id in ids_in(line.as_bytes()) {
                let state = if line.contains(r#""returned""#) {
                    "returned"
                } else {
                    "failed"
                };
                lock(&delivery_log)
                    .messages
                    .entry(id)
                    .or_default()
                    .reports
                    .insert(state.to_owned());
            }
        }
        Reply::status(204)
    })
}

/// One life of the sender.
struct SenderProcess {
    child: Child,
    clients: SocketAddr,
    log: thread::JoinHandle<u32>,
}

impl SenderProcess {
    fn begin(program: &Path, folder: &Path) -> Result<SenderProcess, String> {
        let mut child = Command::new(program)
            .arg("serve")
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("NODE_STATE", folder.join("state"))
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let stderr = child.stderr.take().ok_or("the sender has no log")?;
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let mut damage = 0;
        let mut last = String::new();
        for line in lines.by_ref() {
            damage += u32::from(line.contains("damage"));
            if let Some((_, address)) = line.split_once("listening for clients at ") {
                let address = address.split_whitespace().next().unwrap_or_default();
                let clients = address
                    .parse()
                    .map_err(|_| format!("not an address: {address}"))?;
                // The pipe must not fill.
                let log = thread::spawn(move || {
                    damage + lines.filter(|l| l.contains("damage")).count() as u32
                });
                return Ok(SenderProcess {
                    child,
                    clients,
                    log,
                });
            }
            last = line;
        }
        let _ = child.wait();
        Err(format!("the sender did not start: {last}"))
    }

    fn kill(mut self) -> u32 {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.log.join().unwrap_or(0)
    }
}

/// Hands messages in until told to stop or the sender is gone.
fn client(
    to: SocketAddr,
    delivery_log: &Mutex<DeliveryLog>,
    stop: &AtomicBool,
    seed: u64,
    destinations: usize,
    name: &str,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let Ok(mut stream) = TcpStream::connect(to) else {
        return;
    };
    if stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .is_err()
    {
        return;
    }
    for n in 0u32.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let class = rng.random_range(0..3usize);
        let id = format!("{name}{n:06x}{class:02x}");
        let key = if class == 1 {
            format!(",k={id}")
        } else {
            String::new()
        };
        let destination = rng.random_range(0..destinations);
        let names = format!(
            "c={},t=onda-central,d={},dest={destination}{key}",
            CLASSES[class],
            DURATION.as_millis()
        );
        let body = vec![b'a' + (n % 26) as u8; rng.random_range(0..400)];
        let mut request = format!(
            "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n${}\r\n{id}\r\n",
            id.len()
        );
        request.push_str(&format!(
            "${}\r\n{names}\r\n${}\r\n",
            names.len(),
            body.len()
        ));
        let bytes = [request.as_bytes(), &body, b"\r\n"].concat();
        // Known before it is sent: a destination may see it before the answer is here.
        lock(delivery_log)
            .messages
            .entry(id.clone())
            .or_default()
            .class = class;
        if stream.write_all(&bytes).is_err() {
            return;
        }
        match line(&mut stream).as_deref() {
            Some("+OK") => {
                if let Some(seen) = lock(delivery_log).messages.get_mut(&id) {
                    seen.promised = true;
                }
            }
            Some(_) => lock(delivery_log).refused += 1,
            None => return,
        }
        if rng.random_bool(0.3) {
            thread::sleep(Duration::from_micros(rng.random_range(0..4000)));
        }
    }
}

fn line(stream: &mut TcpStream) -> Option<String> {
    let (mut line, mut byte) = (Vec::new(), [0u8; 1]);
    while !line.ends_with(b"\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        line.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Flips one byte of a segment; tells whether there was one.
fn flip(state: &Path, rng: &mut ChaCha8Rng) -> std::io::Result<bool> {
    let files: Vec<_> = segments(state)?
        .into_iter()
        .filter(|(_, size)| *size > HEADER)
        .collect();
    if files.is_empty() {
        return Ok(false);
    }
    let (path, size) = &files[rng.random_range(0..files.len())];
    let at = rng.random_range(HEADER..*size) as usize;
    let mut bytes = std::fs::read(path)?;
    bytes[at] ^= rng.random_range(1..=255u8);
    std::fs::write(path, bytes)?;
    Ok(true)
}

/// Plays a plan; `progress` hears of each kill.
pub fn play(plan: &Plan, mut progress: impl FnMut(u32)) -> Result<Outcome, String> {
    let text = |e: std::io::Error| e.to_string();
    let folder = tempfile::tempdir().map_err(text)?;
    let delivery_log: Shared = Arc::default();
    let platform = platform(delivery_log.clone()).map_err(text)?;
    let mut destinations = Vec::new();
    for n in 0..DESTINATIONS {
        destinations.push(
            destination(delivery_log.clone(), plan.seed.wrapping_add(n as u64)).map_err(text)?,
        );
    }
    let addresses: Vec<SocketAddr> = destinations.iter().map(|p| p.address).collect();
    let config = configuration(platform.address, &addresses, plan.disk_mb);
    std::fs::write(folder.path().join("config.json"), config).map_err(text)?;
    let state = folder.path().join("state");
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut outcome = Outcome::default();
    for kill in 0..plan.kills {
        let process = SenderProcess::begin(&plan.program, folder.path())?;
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (delivery_log, stop, to) =
                    (delivery_log.clone(), stop.clone(), process.clients);
                let seed = rng.random();
                let name = format!("{kill:06x}{n:02x}");
                thread::spawn(move || client(to, &delivery_log, &stop, seed, DESTINATIONS, &name))
            })
            .collect();
        thread::sleep(Duration::from_micros(rng.random_range(1_000..50_000)));
        outcome.damage_lines += process.kill();
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        outcome.kills += 1;
        if plan.flip_every > 0 && kill % plan.flip_every == plan.flip_every - 1 {
            outcome.flips += u32::from(flip(&state, &mut rng).map_err(text)?);
        }
        progress(outcome.kills);
    }
    // The last life works off all that is owed.
    let process = SenderProcess::begin(&plan.program, folder.path())?;
    let end = Instant::now() + DURATION + GRACE;
    let outstanding = |delivery_log: &DeliveryLog| {
        delivery_log
            .messages
            .values()
            .any(|s| s.promised && !s.delivered && s.reports.is_empty())
    };
    while Instant::now() < end && outstanding(&lock(&delivery_log)) {
        thread::sleep(Duration::from_millis(20));
    }
    outcome.damage_lines += process.kill();
    audit(&lock(&delivery_log), &mut outcome);
    Ok(outcome)
}

fn audit(delivery_log: &DeliveryLog, outcome: &mut Outcome) {
    outcome.refused = delivery_log.refused;
    for (id, seen) in &delivery_log.messages {
        if seen.promised {
            outcome.taken[seen.class] += 1;
            outcome.delivered += u32::from(seen.delivered);
            outcome.reported += u32::from(!seen.reports.is_empty());
            if !seen.delivered && seen.reports.is_empty() {
                outcome.lost.push(id.clone());
            }
        }
        let unsafe_class = CLASSES[seen.class] == "unsafe";
        if unsafe_class && seen.repeated {
            outcome.repeated.push(id.clone());
        }
        // `returned` tells the client that it was not executed.
        let denied = unsafe_class && seen.executed > 0 && seen.reports.contains("returned");
        if seen.reports.len() > 1 || denied {
            outcome.second_ends.push(id.clone());
        }
        if seen.attempts > ATTEMPTS_MOST {
            outcome.too_often.push(id.clone());
        }
    }
}
