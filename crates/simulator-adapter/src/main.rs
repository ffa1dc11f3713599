//! The adapter between the simulator's wire and the library: translation only.
#![forbid(unsafe_code)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use cranehill_scheduler::api::{Entry, Event};
use cranehill_scheduler::{Scheduler, Time};
use wire::{Batch, Msg, Reply};

/// The senders hosted by this process. They share nothing: each owns its state and random source.
#[derive(Default)]
struct Host {
    senders: BTreeMap<String, Scheduler>,
    rosters: BTreeMap<u32, Vec<Entry>>,
}

impl Host {
    fn round(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch =
            serde_json::from_str(line).map_err(|e| format!("malformed batch: {e}"))?;
        let now = Time(batch.at_time);
        let mut order: Vec<String> = Vec::new();
        let mut inbox: BTreeMap<String, Vec<Event>> = BTreeMap::new();
        for msg in batch.msgs {
            match msg {
                Msg::Inventory { roster_id, rows } => {
                    let rows = rows
                        .into_iter()
                        .map(wire::Row::into_entry)
                        .collect::<Result<_, _>>()?;
                    self.rosters.insert(roster_id, rows);
                }
                Msg::Configure {
                    sender,
                    rng_seed,
                    profile_data,
                } => {
                    let settings = profile_data.into_settings().map_err(|e| e.to_string())?;
                    let new = Scheduler::new(settings, rng_seed, now).map_err(|e| e.to_string())?;
                    self.senders.insert(sender.clone(), new);
                    inbox.insert(sender.clone(), Vec::new());
                    order.push(sender);
                }
                Msg::Destroy { sender } => {
                    self.senders
                        .remove(&sender)
                        .ok_or_else(|| format!("unknown sender {sender}"))?;
                    inbox.remove(&sender);
                }
                other => {
                    let (sender, event) = other.into_event(&self.rosters)?;
                    if !self.senders.contains_key(&sender) {
                        return Err(format!("unknown sender {sender}"));
                    }
                    // A sender listed twice is served at its first place: its events are gone by the second.
                    let events = inbox.entry(sender.clone()).or_insert_with(|| {
                        order.push(sender);
                        Vec::new()
                    });
                    events.extend(event);
                }
            }
        }
        let mut output = Vec::new();
        for name in order {
            if let (Some(sender), Some(events)) = (self.senders.get_mut(&name), inbox.remove(&name))
            {
                let actions = sender.handle(now, events);
                output.extend(actions.into_iter().map(|a| wire::Out::new(&name, a)));
            }
        }
        serde_json::to_string(&Reply { output }).map_err(|e| e.to_string())
    }
}

fn run() -> Result<(), String> {
    let (stdin, mut stdout) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    for line in stdin.lines() {
        let mut reply = host.round(&line.map_err(|e| e.to_string())?)?;
        reply.push('\n');
        stdout
            .write_all(reply.as_bytes())
            .and_then(|()| stdout.flush())
            .map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("tansycroft-benchlink: {}", why.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
