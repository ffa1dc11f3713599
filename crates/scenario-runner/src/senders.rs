//! Real senders as processes: configured, started, told to end, started again.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::Sender as Channel;
use std::thread;
use std::time::Duration;

use cranehill_simulation::fleet::Fleet;
use cranehill_simulation::limit::Limit;
use cranehill_simulation::scenario::{Effect, Member, MessageClass, Scenario};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::RunError;
use crate::journal_damage::{Damage, damage};
use crate::resource_usage::{self, ResourceUsage};

/// What is heard of a sender's process, with the number of its life ([`Process::is_of`]).
pub type IncarnationEvent = (u32, ProcessEvent);

/// What is heard of a sender's process.
#[derive(Clone, Debug)]
pub enum ProcessEvent {
    /// It listens for clients there.
    Ready(usize, SocketAddr),
    /// It listens for Web Push there.
    Pushes(usize, SocketAddr),
    /// It tells operators its view of the fleet there.
    Status(usize, SocketAddr),
    /// A line of its log that warns.
    Warned(usize, String),
    /// Any line, where all are kept.
    Line(usize, String),
    /// Its log has ended.
    Ended(usize),
}

impl ProcessEvent {
    /// Whom it is about, if it depends on the life: a line of a log counts whenever it is heard.
    pub fn of_incarnation(&self) -> Option<usize> {
        match self {
            ProcessEvent::Ready(sender, _)
            | ProcessEvent::Pushes(sender, _)
            | ProcessEvent::Status(sender, _)
            | ProcessEvent::Ended(sender) => Some(*sender),
            ProcessEvent::Warned(..) | ProcessEvent::Line(..) => None,
        }
    }

    /// What a line of a log tells us, if anything.
    fn of(index: usize, line: &str) -> Option<ProcessEvent> {
        let listens = |what: &str| -> Option<SocketAddr> {
            let rest = line.split_once(what)?.1;
            let end = rest
                .find(|c: char| !c.is_ascii_hexdigit() && !".:[]".contains(c))
                .unwrap_or(rest.len());
            rest[..end].parse().ok()
        };
        if let Some(at) = listens("listening for clients at ") {
            return Some(ProcessEvent::Ready(index, at));
        }
        if let Some(at) = listens("listening for Web Push at ") {
            return Some(ProcessEvent::Pushes(index, at));
        }
        if let Some(at) = listens("fleet: status at ") {
            return Some(ProcessEvent::Status(index, at));
        }
        let warns = ["WARN", "ERROR", "panicked"]
            .iter()
            .any(|w| line.contains(w));
        warns.then(|| ProcessEvent::Warned(index, line.to_owned()))
    }
}

/// Memory and descriptors that a sender is told that it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub disk_mb: f64,
    /// Calls out at once; `None` for what the day's load needs.
    pub calls_out: Option<usize>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            memory_mb: 64.0,
            sockets: 512,
            disk_mb: 1.0,
            calls_out: None,
        }
    }
}

/// One sender.
#[derive(Debug)]
pub struct Process {
    pub index: usize,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    /// The process before this one, and its life, while there are two.
    old: Option<(Child, u32)>,
    /// It has an operators' address.
    pub operated: bool,
    /// One more with each start and each end.
    incarnation: u32,
    /// Speaks Web Push too.
    push: bool,
    /// Knows the others; every line of its log is kept.
    fleet: bool,
    pub address: Option<SocketAddr>,
    pub pushes: Option<SocketAddr>,
    pub status: Option<SocketAddr>,
}

/// Where one sender meets the others.
#[derive(Clone, Debug)]
pub struct FleetPlace {
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub fleet: Fleet,
}

impl FleetPlace {
    /// The operators' file for it.
    fn file(&self) -> String {
        let Fleet {
            period,
            round_trip,
            suspicion,
            hold,
            recovery,
            zones,
        } = &self.fleet;
        let ms = |d: &Duration| format!("\"{} ms\"", d.as_millis());
        let mut text = format!(
            "listen = \"{}\"\nadvertise = \"{}\"\nseeds = {:?}\nkey = \"fleet.key\"\nstatus = \"127.0.0.1:0\"\n\
             period = {}\nround_trip = {}\nhold = {}\n",
            self.listen,
            self.advertise,
            self.seeds
                .iter()
                .map(SocketAddr::to_string)
                .collect::<Vec<_>>(),
            ms(period),
            ms(round_trip),
            ms(hold)
        );
        if let Some(suspicion) = suspicion {
            text.push_str(&format!("suspicion = {}\n", ms(suspicion)));
        }
        if *recovery {
            text.push_str("[recovery]\n");
        }
        if *zones {
            text.push_str("[zones]\n");
        }
        text
    }
}

/// The key of rehearsed fleets: nothing secret travels between them.
const FLEET_KEY: &str = "7265686561727365206f6e206c6f6f706261636b2c207265686561727365212e";

impl Process {
    pub fn new(index: usize, program: &Path, folder: &Path) -> Process {
        let folder = folder.join(format!("sender-{index}"));
        Process {
            index,
            program: program.to_owned(),
            folder,
            child: None,
            old: None,
            operated: false,
            incarnation: 0,
            push: false,
            fleet: false,
            address: None,
            pushes: None,
            status: None,
        }
    }

    /// Writes its configuration, and the files of its second front and of its fleet if it has these.
    pub fn configure(
        &mut self,
        config: &Value,
        push: Option<&str>,
        fleet: Option<&FleetPlace>,
    ) -> std::io::Result<()> {
        std::fs::create_dir_all(&self.folder)?;
        if let Some(fleet) = fleet {
            self.fleet = true;
            std::fs::write(self.folder.join("fleet.toml"), fleet.file())?;
            std::fs::write(self.folder.join("fleet.key"), FLEET_KEY)?;
        }
        if let Some(push) = push {
            self.push = true;
            std::fs::write(self.folder.join("webpush.toml"), push)?;
        }
        std::fs::write(self.folder.join("config.json"), config.to_string())
    }

    /// Starts it; a mutation is for builds that have some.
    pub fn start(
        &mut self,
        heard: Channel<IncarnationEvent>,
        waker: Arc<mio::Waker>,
        mutation: Option<&str>,
    ) -> Result<(), RunError> {
        let named = |source| RunError::Sender {
            program: self.program.clone(),
            source,
        };
        let mut command = Command::new(&self.program);
        if self.fleet {
            command.args(["--log-format", "json"]);
        }
        command
            .arg("serve")
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("NODE_STATE", self.folder.join("state"))
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        if self.operated {
            command.env("NODE_OPERATOR", "127.0.0.1:0");
        }
        if self.push {
            command
                .arg("--webpush")
                .arg(self.folder.join("webpush.toml"));
        }
        if self.fleet {
            command.arg("--fleet").arg(self.folder.join("fleet.toml"));
        }
        if let Some(mutation) = mutation {
            command.env("CRANEHILL_BREAK", mutation);
        }
        let mut child = command.spawn().map_err(named)?;
        if let Some(stderr) = child.stderr.take() {
            self.incarnation += 1;
            let (index, incarnation, keep) = (self.index, self.incarnation, self.fleet);
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let client_answer = ProcessEvent::of(index, &line);
                    let line = keep.then_some(ProcessEvent::Line(index, line));
                    if client_answer.is_none() && line.is_none() {
                        continue;
                    }
                    if client_answer
                        .into_iter()
                        .chain(line)
                        .any(|h| heard.send((incarnation, h)).is_err())
                        || waker.wake().is_err()
                    {
                        return;
                    }
                }
                let _ = heard.send((incarnation, ProcessEvent::Ended(index)));
                let _ = waker.wake();
            });
        }
        self.child = Some(child);
        Ok(())
    }

    /// Resource usage of its process; zero if there is none.
    pub fn resource_usage(&self) -> ResourceUsage {
        self.child
            .as_ref()
            .map_or_else(ResourceUsage::default, |c| {
                resource_usage::of_process(c.id())
            })
    }

    /// Both fronts are open, as far as it has them.
    pub fn is_ready(&self) -> bool {
        self.address.is_some() && (self.pushes.is_some() || !self.push)
    }

    /// Whether its process is there still.
    pub fn is_running(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|c| !matches!(c.try_wait(), Ok(None)));
        if ended {
            self.child = None;
            (self.address, self.pushes, self.status) = (None, None, None);
        }
        !ended
    }

    /// Whether a word is of the present life. What an earlier one said before its end may be heard only after it: taken for
    /// the present one's, its address would send clients to where nobody, or somebody else's sender, listens by then.
    pub fn is_of(&self, incarnation: u32) -> bool {
        incarnation == self.incarnation
    }

    pub fn kill(&mut self) {
        self.incarnation += 1;
        for mut child in self
            .child
            .take()
            .into_iter()
            .chain(self.old.take().map(|o| o.0))
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        (self.address, self.pushes, self.status) = (None, None, None);
    }

    /// Started once more, beside itself.
    pub fn start_successor(
        &mut self,
        heard: Channel<IncarnationEvent>,
        waker: Arc<mio::Waker>,
        mutation: Option<&str>,
    ) -> Result<(), RunError> {
        self.old = self.child.take().map(|child| (child, self.incarnation));
        self.start(heard, waker, mutation)
    }

    /// Ends the old one of two by SIGTERM, if it is there still; it has passed all on by then.
    pub fn end_old(&mut self) {
        if let Some((child, _)) = &self.old {
            let _ = Command::new("kill")
                .args(["-TERM", &child.id().to_string()])
                .status();
        }
    }

    /// Kills the old one of two; false if there is none any more.
    pub fn kill_old(&mut self) -> bool {
        let Some((mut child, _)) = self.old.take() else {
            return false;
        };
        let there = matches!(child.try_wait(), Ok(None));
        let _ = child.kill();
        let _ = child.wait();
        there
    }

    /// Kills the new one of two; false if the old one is gone, so that nobody goes on.
    pub fn kill_new(&mut self) -> bool {
        let Some((mut old, incarnation)) = self.old.take() else {
            return false;
        };
        if !matches!(old.try_wait(), Ok(None)) {
            return false;
        }
        if let Some(mut child) = self.child.replace(old) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.incarnation = incarnation;
        true
    }

    /// Its lasting folder is lost.
    pub fn wipe(&self) {
        let _ = std::fs::remove_dir_all(self.folder.join("state"));
    }

    /// Damages its journal ([`damage`]).
    pub fn damage_journal(&self, rng: &mut ChaCha8Rng) -> std::io::Result<Option<Damage>> {
        damage(&self.folder.join("state"), rng)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How long a key rests after an attempt that may still run.
const KEY_REST: Duration = Duration::from_millis(100);

/// The configuration of one sender: `list` is the directory's list with the addresses that it is to use.
pub fn configuration(
    scenario: &Scenario,
    index: usize,
    discovery: SocketAddr,
    list: &Value,
    limits: Limits,
) -> Value {
    let nanos = |d: Duration| d.as_nanos() as u64;
    // The second front brings its own classes.
    let known = scenario.load.push.unwrap_or(scenario.classes.len());
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .zip(&scenario.load.classes)
        .take(known)
        .map(|(MessageClass { name, effect }, class)| {
            let (effect, window) = match effect {
                Effect::Safe => ("safe", class.time_to_live),
                Effect::Keyed { window } => ("keyed", *window),
                Effect::Unsafe => ("unsafe", class.time_to_live),
            };
            json!({"name": name, "effect": effect, "window": nanos(window), "aim": nanos(class.latency_objective),
                "byArrival": class.order_keys > 0,
                "deadline": nanos(class.time_to_live), "dedupScope": "all", "lateShare": class.late_share, "worth": 1.0})
        })
        .collect();
    let per_call: Vec<usize> = scenario
        .kinds
        .iter()
        .map(|k| {
            of_kind(scenario, k)
                .map(|m| m.spec.batch)
                .max()
                .unwrap_or(1)
        })
        .collect();
    let apart: Vec<bool> = scenario
        .kinds
        .iter()
        .map(|k| of_kind(scenario, k).all(|m| !m.spec.shared))
        .collect();
    let tenants: Vec<Value> = scenario
        .tenants
        .iter()
        .zip(&scenario.load.tenants)
        .map(|(name, share)| json!({"name": name, "quotaRps": scenario.load.rate * share}))
        .collect();
    let (slots, held) = sizes(scenario);
    let slots = limits.calls_out.unwrap_or(slots);
    let probes = false;
    let rules = scenario
        .destinations
        .first()
        .map(|m| m.spec.back)
        .unwrap_or_default();
    json!({
        "name": format!("n{index}"),
        "seed": format!("{index:x}f"),
        "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets, "disk_mb": limits.disk_mb},
        "known": list,
        "settings": {
            "classes": classes,
            "familyInfo": {"callsOut": slots, "kindApart": apart, "losesWorth": "halving", "perCall": per_call},
            "membershipMode": "push",
            "models": scenario.kinds,
            "nInstances": scenario.members(),
            "policyLimits": {"attemptsCap": 6, "connIdle": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64,
                "maxRetryAfter": 2_000_000_000u64, "mostHeld": held, "probes": probes, "retryAfter": true},
            "rules": {"cold": nanos(rules.warm), "coldFrom": rules.cold, "fall": nanos(rules.fall),
                "fallMultiple": rules.multiple, "graceToAnswer": 20_000_000, "keyQuiet": nanos(KEY_REST)},
            "tenants": tenants,
            "tick": 5_000_000,
            "weightKind": "rough",
            "zone": index % scenario.zones.len().max(1),
            "zones": scenario.zones,
        },
    })
}

/// A push service as one sender reaches it.
#[derive(Clone, Debug)]
pub struct PushService {
    /// Index into [`Scenario::destinations`].
    pub destination: usize,
    pub addresses: Vec<SocketAddr>,
}

/// The second front of one sender: its push services by their addresses; `None` if the day has none.
pub fn push_file(scenario: &Scenario, services: &[PushService]) -> Option<String> {
    if services.is_empty() {
        return None;
    }
    let mut text = String::from("listen = \"127.0.0.1:0\"\n");
    for PushService {
        destination,
        addresses,
    } in services
    {
        let member = &scenario.destinations[*destination];
        text.push_str(&format!(
            "[[upstream]]\nname = \"p{destination}\"\nrate = {:?}\n",
            rough_rate(member)
        ));
        for address in addresses {
            text.push_str(&format!("[[upstream.server]]\naddress = \"{address}\"\n"));
        }
        let path = crate::wire::push_path(*destination as u64);
        text.push_str(&format!(
            "[[location]]\npath = \"{path}\"\nupstream = \"p{destination}\"\n"
        ));
    }
    Some(text)
}

fn of_kind<'a>(scenario: &'a Scenario, kind: &'a str) -> impl Iterator<Item = &'a Member> {
    scenario.destinations.iter().filter(move |m| m.kind == kind)
}

/// Slots for calls and places for messages of one sender: twice what its part of the load keeps busy, ten seconds of it.
fn sizes(scenario: &Scenario) -> (usize, usize) {
    let weight: f64 = scenario.load.targets.iter().map(|t| t.weight).sum();
    let pace = |n: usize| scenario.destinations[n].spec.pace.as_secs_f64();
    let mean: f64 = scenario
        .load
        .targets
        .iter()
        .enumerate()
        .map(|(n, t)| t.weight * pace(n))
        .sum::<f64>()
        / weight.max(1e-9);
    let part = scenario.load.rate / scenario.senders as f64;
    let slots = (part * mean * 2.2).ceil().max(6.0) as usize;
    (
        slots.min(400),
        ((part * 10.0).ceil().max(12.0) as usize).min(20_000),
    )
}

/// The rate that the list gives for a destination: rough.
pub fn rough_rate(member: &Member) -> f64 {
    let batch = member.spec.batch as f64;
    match member.spec.limit {
        Limit::None => member.spec.capacity,
        Limit::Rate { per_second, .. } => (per_second * batch).min(member.spec.capacity),
        Limit::Count { calls, span } => {
            (f64::from(calls) * batch / span.as_secs_f64()).min(member.spec.capacity)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A sender that is killed right after it said where it listens: its words are heard later, and are not its successor's.
    #[test]
    fn events_of_an_earlier_process_are_distinguished() {
        let folder = std::env::temp_dir();
        let mut process = Process::new(0, Path::new("/bin/sh"), &folder);
        let (heard, events) = std::sync::mpsc::channel();
        let poll = mio::Poll::new().expect("a poll");
        let waker = Arc::new(mio::Waker::new(poll.registry(), mio::Token(0)).expect("a waker"));
        process
            .start(heard.clone(), waker.clone(), None)
            .expect("it starts");
        process.kill();
        let (first, ended) = events.recv().expect("its log ends");
        assert_eq!(
            (ended.of_incarnation(), process.is_of(first)),
            (Some(0), false)
        );
        process.start(heard, waker, None).expect("it starts again");
        assert!(!process.is_of(first));
        assert!(events.recv().is_ok_and(|(second, _)| process.is_of(second)));
    }
}
