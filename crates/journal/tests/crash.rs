//! Every operation of a scripted day, and every byte of its writes, as the point of a kill.
//!
//! The journal is killed, a next process reads the folder, and what it finds must be what was promised, or that and a
//! first part of what was being written. A failure prints seed, operation and byte: [`replay`] plays just that.

mod common;

use common::*;
use cranehill_core::Record;
use cranehill_journal::{Change, Crash, Journal, Memory, Recovered};

/// What a kill interrupted: the folder as it was left, what was promised before, and what was being written.
struct Killed {
    files: Memory,
    promised: Model,
    writing: Vec<Record>,
    now: u64,
}

/// Plays a day of so many turns, until the storage dies or the day ends.
fn play(seed: u64, turns: usize, crash: Option<Crash>) -> (Killed, Memory) {
    let mut files = Memory::new(24 * 1024);
    files.crash = crash;
    let mut day = Scenario::new(seed);
    let mut promised = Model::default();
    let killed = |files: &Memory, promised: Model, writing: Vec<Record>, now: u64| {
        (
            Killed {
                files: files.after_death(),
                promised,
                writing,
                now,
            },
            files.clone(),
        )
    };
    let begun = files.clone();
    let mut journal = match Journal::open(files, &options(begun.disk), START) {
        Ok((journal, _)) => journal,
        // Killed in its first start: the storage went with it, so the same start is played on one that is kept.
        Err(_) => return first_start(begun),
    };
    for _ in 0..turns {
        let records = day.turn();
        let kept = journal.append(day.now, &records).is_ok();
        if journal.storage().is_dead() {
            // What went in whole before the death may have been promised or not.
            let writing = if kept { Vec::new() } else { records.clone() };
            if kept {
                promised.take(&records);
            }
            return killed(journal.storage(), promised, writing, day.now);
        }
        assert!(kept, "seed {seed}: a turn found no room");
        promised.take(&records);
        for _ in 0..3 {
            journal.compact(day.now);
        }
        if journal.storage().is_dead() {
            return killed(journal.storage(), promised, Vec::new(), day.now);
        }
    }
    killed(journal.storage(), promised, Vec::new(), day.now)
}

/// The files after a start that was killed.
fn first_start(files: Memory) -> (Killed, Memory) {
    let shared = Shared::new(files);
    let _ = Journal::open(shared.clone(), &options(24 * 1024), START);
    let files = shared.0.borrow().clone();
    (
        Killed {
            files: files.after_death(),
            promised: Model::default(),
            writing: Vec::new(),
            now: START,
        },
        files,
    )
}

/// What is found is what was promised, and any first part of what was being written.
fn check(killed: &Killed, found: &Recovered) -> Result<(), String> {
    if !found.damage.is_empty() || found.doubted > 0 || !found.lost.is_empty() {
        return Err(format!("a kill passes for damage: {:?}", found.damage));
    }
    let mut why = String::new();
    for part in 0..=killed.writing.len() {
        let mut model = killed.promised.clone();
        model.take(&killed.writing[..part]);
        match model.agrees(found, killed.now) {
            Ok(()) => return Ok(()),
            Err(e) => why = e,
        }
    }
    Err(why)
}

/// All crash points of one operation: the folders that a kill at each byte of it leaves.
fn images(seed: u64, turns: usize, operation: u64, len: usize) -> Vec<(Crash, Killed)> {
    let at = |bytes| Crash { operation, bytes };
    let (before, _) = play(seed, turns, Some(at(0)));
    let (after, _) = play(seed, turns, Some(at(len.max(1))));
    let grown = |name: &str| before.files.files.get(name).map_or(0, Vec::len);
    let name = after
        .files
        .files
        .iter()
        .find(|(n, b)| b.len() > grown(n))
        .map(|(n, _)| n.clone());
    let mut all = Vec::new();
    // A kill in the middle of an append leaves some of its bytes.
    if let Some(name) = name.filter(|_| len > 1) {
        let old = grown(&name);
        for bytes in 1..len {
            let mut files = after.files.clone();
            files
                .files
                .get_mut(&name)
                .expect("the file")
                .truncate(old + bytes);
            let (promised, writing) = (before.promised.clone(), before.writing.clone());
            all.push((
                at(bytes),
                Killed {
                    files,
                    promised,
                    writing,
                    now: before.now,
                },
            ));
        }
    }
    all.push((at(0), before));
    all.push((at(len.max(1)), after));
    all
}

/// Plays one crash point, as a failure prints it.
fn replay(seed: u64, turns: usize, crash: Crash) -> Result<(), String> {
    let (killed, _) = play(seed, turns, Some(crash));
    recover(&killed)
}

fn recover(killed: &Killed) -> Result<(), String> {
    let (_, found) = Journal::open(
        killed.files.clone(),
        &options(killed.files.disk),
        killed.now,
    )
    .map_err(|e| e.to_string())?;
    check(killed, &found)
}

/// The operators' fear: a crash during compaction forgets that a message may already have taken effect.
#[test]
fn after_a_kill_at_any_byte_of_a_day_all_that_was_promised_is_there_and_nothing_else() {
    const TURNS: usize = 60;
    let mut tried = 0;
    for seed in [1, 2] {
        let (whole, files) = play(seed, TURNS, None);
        let removed = files.log.iter().filter(|c| **c == Change::Remove).count();
        assert!(
            removed > 8,
            "seed {seed}: the day has too little compaction, {removed}"
        );
        assert!(whole.promised.messages.len() > 20);
        for (operation, change) in files.log.iter().enumerate() {
            let len = if let Change::Append(len) = change {
                *len
            } else {
                1
            };
            for (crash, killed) in images(seed, TURNS, operation as u64, len) {
                tried += 1;
                if let Err(e) = recover(&killed) {
                    panic!(
                        "seed {seed}, {crash:?}, replayed: {:?}\n{e}",
                        replay(seed, TURNS, crash)
                    );
                }
            }
        }
    }
    assert!(tried > 10_000, "{tried}");
    println!("{tried} crash points");
}

/// A machine that goes on dying while it starts must not lose more each time.
#[test]
fn recovery_that_is_itself_killed_again_and_again_loses_nothing() {
    const TURNS: usize = 60;
    let (_, files) = play(7, TURNS, None);
    let last = files.log.len() as u64;
    for operation in (4..last).step_by(5) {
        let (killed, _) = play(
            7,
            TURNS,
            Some(Crash {
                operation,
                bytes: 30,
            }),
        );
        // The first recovery's operations, each as a point of a second kill, and so on three deep.
        let mut folders = vec![killed.files.clone()];
        for depth in 0..3 {
            let mut next = Vec::new();
            for folder in &folders {
                for op in 0..8 {
                    for bytes in [0, 1, 40, 100] {
                        let mut files = folder.clone();
                        files.crash = Some(Crash {
                            operation: op,
                            bytes,
                        });
                        let shared = Shared::new(files);
                        if let Ok((mut journal, _)) =
                            Journal::open(shared.clone(), &options(folder.disk), killed.now)
                        {
                            compact(&mut journal, 4, killed.now);
                        }
                        let left = shared.0.borrow().after_death();
                        let (_, found) = open(left.clone(), killed.now);
                        if let Err(e) = check(&killed, &found) {
                            panic!(
                                "seed 7, operation {operation}, depth {depth}, then {op}/{bytes}: {e}"
                            );
                        }
                        next.push(left);
                    }
                }
            }
            // Some of them go on.
            folders = next.into_iter().step_by(11).take(2).collect();
        }
    }
}
