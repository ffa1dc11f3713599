//! The agent of discovery on the sender's machine, which also takes the notices.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// An endpoint in the list.
#[derive(Clone)]
pub struct Entry {
    pub id: &'static str,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub cell: u64,
    pub state: &'static str,
    /// The rough rate, in calls a second.
    pub weight: f64,
}

impl Entry {
    fn json(&self) -> String {
        let Entry {
            id,
            address,
            kind,
            cell,
            state,
            weight,
        } = self;
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"z","kind":"{kind}","cell":{cell},"state":"{state}","weight":{weight:.1},"started_ms":0}}"#
        )
    }
}

/// The list in discovery's form.
pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let rows: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, rows.join(","))
}

/// What a list tells, for the record.
fn told(version: u64, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(|e| format!("{} {}", e.id, e.state)).collect();
    format!(
        "has told version {version}: {}",
        if entries.is_empty() {
            "no change".into()
        } else {
            entries.join(", ")
        }
    )
}

#[derive(Default)]
struct List {
    version: u64,
    entries: BTreeMap<&'static str, Entry>,
    changes: Vec<(u64, Entry)>,
    notices: BTreeMap<String, (Duration, String)>,
}

#[derive(Clone)]
pub struct Agent {
    name: &'static str,
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Record,
}

impl Agent {
    pub fn start(name: &'static str, version: u64, entries: &[Entry], record: &Record) -> Result<Agent, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("agent: {e}"))?;
        let list = List {
            version,
            entries: entries.iter().map(|e| (e.id, e.clone())).collect(),
            ..List::default()
        };
        let agent = Agent {
            name,
            address: listener.local_addr().map_err(|e| e.to_string())?,
            list: Arc::new((Mutex::new(list), Condvar::new())),
            record: record.clone(),
        };
        let accepting = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(agent)
    }

    /// Changes entries of the list, in one new version.
    pub fn change(&self, entries: &[Entry]) {
        let mut list = self.list.0.lock().unwrap();
        list.version += 1;
        let version = list.version;
        for entry in entries {
            self.record.add(
                self.name,
                &format!(
                    "version {version}: {} at {}, cell {}, is {}",
                    entry.id, entry.address, entry.cell, entry.state
                ),
            );
            list.changes.push((version, entry.clone()));
            if entry.state == "removed" {
                list.entries.remove(entry.id);
            } else {
                list.entries.insert(entry.id, entry.clone());
            }
        }
        self.list.1.notify_all();
    }

    /// The cells in the list of the endpoints at this address.
    pub fn cells_at(&self, address: SocketAddr) -> Vec<u64> {
        let list = self.list.0.lock().unwrap();
        list.entries.values().filter(|e| e.address == address).map(|e| e.cell).collect()
    }

    /// The time and state of the first notice of a message.
    pub fn notice(&self, id: &str) -> Option<(Duration, String)> {
        self.list.0.lock().unwrap().notices.get(id).cloned()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = http::read_request(&mut stream, &mut buffer) {
            let sent = if request.path == "/v1/notices" {
                self.take_notices(&String::from_utf8_lossy(&request.body));
                http::respond(&mut stream, 204, "", "")
            } else {
                self.record.add(self.name, &format!("asked: {} {}", request.method, request.path));
                let (body, told) = self.answer(request.parameter("from"), request.parameter("hold_ms"));
                let sent = http::respond(&mut stream, 200, "", &body);
                if sent.is_ok() {
                    self.record.add(self.name, &told);
                }
                sent
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// The list or the changes since a version, and what that tells the sender.
    fn answer(&self, from: Option<u64>, hold_ms: Option<u64>) -> (String, String) {
        let mut list = self.list.0.lock().unwrap();
        let Some(from) = from else {
            let entries: Vec<Entry> = list.entries.values().cloned().collect();
            return (list_json(list.version, true, &entries), told(list.version, &entries));
        };
        let end = Instant::now() + Duration::from_millis(hold_ms.unwrap_or(0));
        while list.version <= from && Instant::now() < end {
            let wait = end.saturating_duration_since(Instant::now());
            list = self.list.1.wait_timeout(list, wait).unwrap().0;
        }
        // The entries that changed since, each as it is now.
        let mut changed: BTreeMap<&str, Entry> = BTreeMap::new();
        for (version, entry) in &list.changes {
            if *version > from {
                changed.insert(entry.id, entry.clone());
            }
        }
        let entries: Vec<Entry> = changed.into_values().collect();
        (list_json(list.version, false, &entries), told(list.version, &entries))
    }

    fn take_notices(&self, body: &str) {
        for line in body.lines() {
            let value = |name: &str| {
                let rest = line.split_once(&format!("\"{name}\":\""))?.1;
                Some(rest.split_once('"')?.0.to_owned())
            };
            if let (Some(id), Some(state)) = (value("id"), value("state")) {
                self.record.add(self.name, &format!("notice: {line}"));
                let at = self.record.now();
                let mut list = self.list.0.lock().unwrap();
                list.notices.entry(id).or_insert((at, state));
            }
        }
    }
}
