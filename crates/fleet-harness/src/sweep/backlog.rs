//! The backlog of one sender: memory, disk, time to ready after a restart, time in steps, and the order of work after it.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cranehill_capacity::{Axis, Figure, Sample, Samples, catalog};
use cranehill_journal::{Folder, Journal, Options};

use crate::sweep::directory::{Directory, FIRST_VERSION};
use crate::sweep::reducer::{Played, event, mixed};
use crate::sweep::sender::{Sender, Setting, StartError};
use crate::sweep::{Gathered, SweepArgs, SweepError, milliseconds, seconds};

const SWEEP: &str = "backlog";
/// Destinations that the backlog is for.
const DESTINATIONS: u64 = 100;
/// Bytes of an event's body: assumed, as the operators' table does not give it.
const BODY: usize = 256;
/// Records that are written to a journal at once.
const AT_ONCE: u64 = 1_000;
/// Far more than any sweep writes.
const DISK: u64 = 20_000_000_000;
/// Larger sizes are left to the fit once a process would pass this.
const RESIDENT_MOST: f64 = 2e9;
/// Larger sizes are left to the fit once a process takes longer to be ready.
const READY_MOST: Duration = Duration::from_secs(90);
/// How long a sender may work before its memory is read.
const SETTLE: Duration = Duration::from_secs(3);
/// Over which the processor time of a waiting sender is taken.
const IDLE: Duration = Duration::from_secs(2);
/// Turns over which the time of a later turn is taken.
const TURNS: u32 = 5;
/// Events whose order of work is looked at, and sizes beyond which it takes too long.
const FIRST_SENT: usize = 1_000;
const ORDER_MOST: u64 = 100_000;
const ORDER_TURNS: u32 = 5_000;
/// Events that a sender may hold by the settings of the rehearsals: the most that these ever give.
const HELD_MOST: u64 = 20_000;

pub fn play(order: &SweepArgs, progress: &mut impl FnMut(&str)) -> Result<Vec<Figure>, SweepError> {
    let mut gathered = Gathered::new(order.quick);
    let mut before: Option<(u64, f64)> = None;
    for &size in &order.sizes.backlog {
        let expected = before.map_or(0.0, |(size_before, resident)| {
            resident / size_before as f64 * size as f64
        });
        if expected > RESIDENT_MOST {
            gathered.remark(
                SWEEP,
                format!("from {size} on by the fit: resident memory would pass 2 GB"),
            );
            break;
        }
        progress(&format!("{size} events of backlog, a process"));
        match process(order, size, &mut gathered)? {
            Some(resident) => before = Some((size, resident)),
            None => {
                gathered.remark(
                    SWEEP,
                    format!("{size} was not ready within {READY_MOST:?}; from there on by the fit"),
                );
                break;
            }
        }
        progress(&format!("{size} events of backlog, the reducer"));
        reducer(order, size, &mut gathered)?;
    }
    let mut figures = gathered.figures()?;
    progress("largest backlog taken up under the bound on held events");
    figures.push(largest_backlog()?);
    Ok(figures)
}

fn failed(size: u64, why: impl ToString) -> SweepError {
    SweepError::Failed {
        sweep: SWEEP,
        size,
        why: why.to_string(),
    }
}

/// A body that does not compress, so that the journal's size is an upper bound for it.
fn body(number: u64) -> Arc<[u8]> {
    let blocks = 0..(BODY / size_of::<u64>()) as u64;
    blocks
        .flat_map(|block| mixed(number ^ block << 40).to_le_bytes())
        .collect()
}

/// Room for the backlog and some more: the bound on held events is not what is measured here.
fn room_for(size: u64) -> u64 {
    size + size / 4 + 1_000
}

/// Writes a state folder as a sender leaves it that was killed with this backlog; the bytes of its files.
fn write_folder(dir: &Path, size: u64) -> Result<u64, SweepError> {
    let folder = Folder::new(dir, DISK)?;
    let options = Options {
        disk: DISK,
        key: None,
        fresh_key: [7; 32],
        segment: None,
    };
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let (nanos, millis) = (now.as_nanos() as u64, now.as_millis() as u64);
    let opened = Journal::open(folder, &options, millis);
    let mut journal = opened.map_err(|e| failed(size, e))?.0;
    for first in (0..size).step_by(AT_ONCE as usize) {
        let last = (first + AT_ONCE).min(size);
        let records: Vec<_> = (first..last)
            .map(|n| event(n, DESTINATIONS, nanos, &body(n)))
            .collect();
        journal
            .append(millis, &records)
            .map_err(|e| failed(size, e))?;
    }
    drop(journal);
    let files = std::fs::read_dir(dir)?;
    let sizes = files.map(|file| Ok(file?.metadata()?.len()));
    sizes
        .sum::<std::io::Result<u64>>()
        .map_err(SweepError::from)
}

/// The real process over such a folder; its resident memory, or nothing if it was not ready in time.
fn process(
    order: &SweepArgs,
    size: u64,
    gathered: &mut Gathered,
) -> Result<Option<f64>, SweepError> {
    let folder = tempfile::tempdir()?;
    let disk = write_folder(&folder.path().join("state"), size)?;
    // Connections are taken by the system, and nobody ever answers: the backlog stays.
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let directory = Directory::new()?;
    let known = list_at(&silent)?;
    let setting = Setting {
        directory: directory.address,
        known,
        most_held: room_for(size),
    };
    let sender = match Sender::start(&order.program, folder.path(), &setting, READY_MOST) {
        Ok(sender) => sender,
        Err(StartError::Late(_)) => return Ok(None),
        Err(other) => return Err(failed(size, other)),
    };
    gathered.note("backlog.disk", size, disk as f64)?;
    gathered.note("backlog.ready", size, seconds(sender.ready))?;
    sender.settled(SETTLE);
    let before = sender.used();
    let begun = Instant::now();
    std::thread::sleep(IDLE);
    let after = sender.used();
    let busy = milliseconds(after.cpu - before.cpu) / seconds(begun.elapsed());
    gathered.note("backlog.waiting-processor", size, busy)?;
    let resident = after.memory_kb as f64 * 1024.0;
    gathered.note("backlog.resident", size, resident)?;
    Ok(Some(resident))
}

/// The list of the destinations, all at one address.
fn list_at(listener: &TcpListener) -> std::io::Result<String> {
    let address = listener.local_addr()?;
    let row = |n: u64| {
        format!(
            r#"{{"id":"s-{n:08x}","addr":"{address}","zone":"zone-0","kind":"station","cell":{n},"state":"up","weight":40.0,"started_ms":0}}"#
        )
    };
    let rows: Vec<String> = (0..DESTINATIONS).map(row).collect();
    Ok(format!(
        r#"{{"version":{FIRST_VERSION},"full":true,"servers":[{}]}}"#,
        rows.join(",")
    ))
}

/// The reducer alone: time in steps, and the order of work.
fn reducer(order: &SweepArgs, size: u64, gathered: &mut Gathered) -> Result<(), SweepError> {
    if !order.quick {
        let mut played = Played::new(room_for(size), DESTINATIONS).map_err(|e| failed(size, e))?;
        let step = played.recover(size, DESTINATIONS, &body(0));
        gathered.note("backlog.recover-step", size, seconds(step))?;
        gathered.note("backlog.first-turn", size, seconds(played.turn().took))?;
        let later: Duration = (0..TURNS).map(|_| played.turn().took).sum();
        gathered.note("backlog.turn", size, seconds(later / TURNS))?;
    }
    if size <= ORDER_MOST && size >= FIRST_SENT as u64 {
        gathered.note("backlog.out-of-order", size, out_of_order(size)?)?;
    }
    Ok(())
}

/// Of the events that are sent first, the part that is not among those with the earliest deadlines.
fn out_of_order(size: u64) -> Result<f64, SweepError> {
    let mut played = Played::new(room_for(size), DESTINATIONS).map_err(|e| failed(size, e))?;
    played.recover(size, DESTINATIONS, &body(0));
    let mut sent: Vec<String> = Vec::new();
    for _ in 0..ORDER_TURNS {
        let turn = played.turn();
        sent.extend(turn.calls.iter().map(|c| c.0.clone()));
        played.serve(turn.calls);
        if sent.len() >= FIRST_SENT {
            break;
        }
    }
    if sent.len() < FIRST_SENT {
        return Err(failed(
            size,
            format!(
                "only {} events were sent in {ORDER_TURNS} turns",
                sent.len()
            ),
        ));
    }
    sent.truncate(FIRST_SENT);
    let body = body(0);
    let mut events: Vec<(u64, String)> = (0..size)
        .map(|n| event(n, DESTINATIONS, 0, &body))
        .filter_map(|record| match record {
            cranehill_core::Record::Accepted { id, deadline, .. } => Some((deadline, id)),
            _ => None,
        })
        .collect();
    events.sort();
    let earliest: BTreeSet<&String> = events.iter().take(FIRST_SENT).map(|e| &e.1).collect();
    let other = sent.iter().filter(|id| !earliest.contains(id)).count();
    Ok(other as f64 / FIRST_SENT as f64)
}

/// The largest backlog of which a restart gives up at most half untried, where the settings bound what is held.
fn largest_backlog() -> Result<Figure, SweepError> {
    let planned = Axis::Backlog.planned() as u64;
    let mut tried: Vec<Sample> = Vec::new();
    let (mut holds, mut fails) = (HELD_MOST / 2, planned);
    let mut size = HELD_MOST;
    while fails - holds > 1 {
        let part = given_up(size)?;
        tried.push(Sample {
            size: size as f64,
            value: part,
        });
        if part <= 0.5 {
            holds = size
        } else {
            fails = size
        }
        size = if fails == planned {
            (holds * 2).min(planned)
        } else {
            holds + (fails - holds) / 2
        };
        if holds == planned {
            break;
        }
    }
    let reported = [HELD_MOST, HELD_MOST * 2, HELD_MOST * 4, holds, fails].map(|s| s as f64);
    tried.retain(|s| reported.contains(&s.size));
    tried.sort_by(|a, b| a.size.total_cmp(&b.size));
    tried.dedup_by(|a, b| a.size == b.size);
    let id = "backlog.taken-up";
    let quantity = catalog::quantity(id).ok_or(SweepError::Unknown(id))?;
    let samples = Samples::new(tried).map_err(|source| SweepError::Fit { id, source })?;
    let fails = (holds < planned).then_some(fails as f64);
    Ok(Figure::limit(quantity, samples, holds as f64, fails))
}

/// The part of a backlog that a restart gives up with no call.
fn given_up(size: u64) -> Result<f64, SweepError> {
    let mut played = Played::new(HELD_MOST, DESTINATIONS).map_err(|e| failed(size, e))?;
    played.recover(size, DESTINATIONS, &body(0));
    let reports: u64 = (0..TURNS).map(|_| played.turn().given_up).sum();
    Ok(reports as f64 / size as f64)
}
