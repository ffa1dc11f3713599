//! Every operation of a scenario, and every byte of its writes, as the point of a kill.
//!
//! The journal is killed, a next process reads the folder, and what it finds must be what was acknowledged, or that and
//! a first part of what was being written. A failure prints seed, operation and byte: [`replay`] repeats just that.

mod common;

use common::{Mismatch, Model, START, Scenario, SharedStorage, compact, open, options};
use cranehill_core::Record;
use cranehill_journal::{Change, Crash, DamagedRange, Journal, Memory, OpenError, Recovered};

/// What a kill interrupted: the folder as it was left, what was acknowledged before, and what was being written.
struct Killed {
    files: Memory,
    acknowledged: Model,
    writing: Vec<Record>,
    now: u64,
}

/// Plays a scenario of so many ticks, until the storage dies or the scenario ends.
fn play(seed: u64, ticks: usize, crash: Option<Crash>) -> (Killed, Memory) {
    let mut files = Memory::new(24 * 1024);
    files.crash = crash;
    let mut scenario = Scenario::new(seed);
    let mut acknowledged = Model::default();
    let killed = |files: &Memory, acknowledged: Model, writing: Vec<Record>, now: u64| {
        (
            Killed {
                files: files.without_faults(),
                acknowledged,
                writing,
                now,
            },
            files.clone(),
        )
    };
    let begun = files.clone();
    let Ok((mut journal, _)) = Journal::open(files, &options(begun.disk), START) else {
        // Killed in its first start: the storage is lost with it, so the same start is repeated on one that is kept.
        return first_start(begun);
    };
    for _ in 0..ticks {
        let records = scenario.tick();
        let kept = journal.append(scenario.now, &records).is_ok();
        if journal.storage().has_crashed() {
            // What went in whole before the death may have been acknowledged or not.
            let writing = if kept { Vec::new() } else { records.clone() };
            if kept {
                acknowledged.append(&records);
            }
            return killed(journal.storage(), acknowledged, writing, scenario.now);
        }
        assert!(kept, "seed {seed}: a tick found no room");
        acknowledged.append(&records);
        for _ in 0..3 {
            journal.compact(scenario.now);
        }
        if journal.storage().has_crashed() {
            return killed(journal.storage(), acknowledged, Vec::new(), scenario.now);
        }
    }
    killed(journal.storage(), acknowledged, Vec::new(), scenario.now)
}

/// The files after a start that was killed.
fn first_start(files: Memory) -> (Killed, Memory) {
    let shared = SharedStorage::new(files);
    let _ = Journal::open(shared.clone(), &options(24 * 1024), START);
    let files = shared.0.borrow().clone();
    (
        Killed {
            files: files.without_faults(),
            acknowledged: Model::default(),
            writing: Vec::new(),
            now: START,
        },
        files,
    )
}

/// Why a recovery after a kill is wrong.
#[derive(Debug, thiserror::Error)]
enum RecoveryFault {
    #[error("a kill passes for damage: {0:?}")]
    Damage(Vec<DamagedRange>),
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
    #[error(transparent)]
    Open(#[from] OpenError),
}

/// What is found is what was acknowledged, and any first part of what was being written.
fn check(killed: &Killed, found: &Recovered) -> Result<(), RecoveryFault> {
    if !found.damage.is_empty() || found.possibly_executed > 0 || !found.lost.is_empty() {
        return Err(RecoveryFault::Damage(found.damage.clone()));
    }
    let mut last = Ok(());
    for part in 0..=killed.writing.len() {
        let mut model = killed.acknowledged.clone();
        model.append(&killed.writing[..part]);
        last = model.check(found, killed.now);
        if last.is_ok() {
            return Ok(());
        }
    }
    Ok(last?)
}

/// All crash points of one operation: the folders that a kill at each byte of it leaves.
fn images(seed: u64, ticks: usize, operation: u64, len: usize) -> Vec<(Crash, Killed)> {
    let at = |bytes| Crash { operation, bytes };
    let (before, _) = play(seed, ticks, Some(at(0)));
    let (after, _) = play(seed, ticks, Some(at(len.max(1))));
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
            let (acknowledged, writing) = (before.acknowledged.clone(), before.writing.clone());
            all.push((
                at(bytes),
                Killed {
                    files,
                    acknowledged,
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
fn replay(seed: u64, ticks: usize, crash: Crash) -> Result<(), RecoveryFault> {
    let (killed, _) = play(seed, ticks, Some(crash));
    recover(&killed)
}

fn recover(killed: &Killed) -> Result<(), RecoveryFault> {
    let (_, found) = Journal::open(
        killed.files.clone(),
        &options(killed.files.disk),
        killed.now,
    )?;
    check(killed, &found)
}

/// A crash during compaction must not forget that a message may already have been executed.
#[test]
fn a_kill_at_any_byte_loses_nothing_acknowledged_and_adds_nothing() {
    const TICKS: usize = 60;
    let mut tried = 0;
    for seed in [1, 2] {
        let (whole, files) = play(seed, TICKS, None);
        let removed = files.log.iter().filter(|c| **c == Change::Remove).count();
        assert!(
            removed > 8,
            "seed {seed}: the scenario has too little compaction, {removed}"
        );
        assert!(whole.acknowledged.messages.len() > 20);
        for (operation, change) in files.log.iter().enumerate() {
            let len = if let Change::Append(len) = change {
                *len
            } else {
                1
            };
            for (crash, killed) in images(seed, TICKS, operation as u64, len) {
                tried += 1;
                if let Err(e) = recover(&killed) {
                    panic!(
                        "seed {seed}, {crash:?}, replayed: {:?}\n{e}",
                        replay(seed, TICKS, crash)
                    );
                }
            }
        }
    }
    assert!(tried > 10_000, "{tried}");
    println!("{tried} crash points");
}

/// A process that is killed again and again while it starts must not lose more each time.
#[test]
fn recovery_that_is_itself_killed_again_and_again_loses_nothing() {
    const TICKS: usize = 60;
    let (_, files) = play(7, TICKS, None);
    let last = files.log.len() as u64;
    for operation in (4..last).step_by(5) {
        let (killed, _) = play(
            7,
            TICKS,
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
                        let shared = SharedStorage::new(files);
                        if let Ok((mut journal, _)) =
                            Journal::open(shared.clone(), &options(folder.disk), killed.now)
                        {
                            compact(&mut journal, 4, killed.now);
                        }
                        let left = shared.0.borrow().without_faults();
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
            // Some of them are continued.
            folders = next.into_iter().step_by(11).take(2).collect();
        }
    }
}
