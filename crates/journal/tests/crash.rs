//! Crash tests: a scenario is killed at every file operation and at every byte of its writes. The next process must
//! recover the acknowledged records, or those and a prefix of the batch being written. A failure prints seed, operation
//! and byte, with which [`replay`] repeats that case.

mod common;

use common::{Mismatch, Model, START_MS, Scenario, SharedStorage, compact, open, options};
use cranehill_core::Record;
use cranehill_journal::{
    Crash, DamagedRange, FileOperation, Journal, Memory, OpenError, Recovered,
};

/// The state at a kill: the folder, the acknowledged records, and the batch being written.
struct Killed {
    files: Memory,
    acknowledged: Model,
    writing: Vec<Record>,
    now: u64,
}

/// Runs a scenario until the storage crashes or `ticks` ticks have passed; returns the state and the storage.
fn run_scenario(seed: u64, ticks: usize, crash: Option<Crash>) -> (Killed, Memory) {
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
    let before_start = files.clone();
    let Ok((mut journal, _)) = Journal::open(files, &options(before_start.disk), START_MS) else {
        // Killed during the first start, and the storage is dropped with the journal: the start is repeated on shared
        // storage.
        return first_start(before_start);
    };
    for _ in 0..ticks {
        let records = scenario.tick();
        let persisted = journal.append(scenario.now, &records).is_ok();
        if journal.storage().has_crashed() {
            // A batch that was written completely before the crash may have been acknowledged.
            let writing = if persisted {
                Vec::new()
            } else {
                records.clone()
            };
            if persisted {
                acknowledged.append(&records);
            }
            return killed(journal.storage(), acknowledged, writing, scenario.now);
        }
        assert!(persisted, "seed {seed}: no room for a tick");
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

/// The state after a first start that was killed.
fn first_start(files: Memory) -> (Killed, Memory) {
    let shared = SharedStorage::new(files);
    let _ = Journal::open(shared.clone(), &options(24 * 1024), START_MS);
    let files = shared.0.borrow().clone();
    (
        Killed {
            files: files.without_faults(),
            acknowledged: Model::default(),
            writing: Vec::new(),
            now: START_MS,
        },
        files,
    )
}

/// Why a recovery after a kill is wrong.
#[derive(Debug, thiserror::Error)]
enum RecoveryFault {
    #[error("a kill is reported as damage: {0:?}")]
    Damage(Vec<DamagedRange>),
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
    #[error(transparent)]
    Open(#[from] OpenError),
}

/// Checks that a recovery found the acknowledged records, and any prefix of the batch being written.
fn check(killed: &Killed, found: &Recovered) -> Result<(), RecoveryFault> {
    if !found.damage.is_empty() || found.possibly_executed > 0 || !found.lost_messages.is_empty() {
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

/// All crash points of one operation, with the state that a kill at each byte of it leaves.
fn crash_points(seed: u64, ticks: usize, operation: u64, len: usize) -> Vec<(Crash, Killed)> {
    let at = |bytes| Crash { operation, bytes };
    let (before, _) = run_scenario(seed, ticks, Some(at(0)));
    let (after, _) = run_scenario(seed, ticks, Some(at(len.max(1))));
    let grown = |name: &str| before.files.files.get(name).map_or(0, Vec::len);
    let name = after
        .files
        .files
        .iter()
        .find(|(n, b)| b.len() > grown(n))
        .map(|(n, _)| n.clone());
    let mut all = Vec::new();
    // A kill during an append leaves a prefix of its bytes.
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

/// Repeats one crash point, as printed by a failure.
fn replay(seed: u64, ticks: usize, crash: Crash) -> Result<(), RecoveryFault> {
    let (killed, _) = run_scenario(seed, ticks, Some(crash));
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

/// Guards against records lost or duplicated by a kill, for example a crash during compaction that drops the record of
/// an attempt, so that a message is executed twice.
#[test]
fn a_kill_at_any_byte_loses_no_acknowledged_record_and_adds_none() {
    const TICKS: usize = 60;
    let mut tried = 0;
    for seed in [1, 2] {
        let (whole, files) = run_scenario(seed, TICKS, None);
        let removed = files
            .operations
            .iter()
            .filter(|c| **c == FileOperation::Remove)
            .count();
        assert!(
            removed > 8,
            "seed {seed}: too little compaction, {removed} files removed"
        );
        assert!(whole.acknowledged.messages.len() > 20);
        for (operation, change) in files.operations.iter().enumerate() {
            let len = if let FileOperation::Append(len) = change {
                *len
            } else {
                1
            };
            for (crash, killed) in crash_points(seed, TICKS, operation as u64, len) {
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

/// A process that is killed repeatedly while it starts must not lose further records each time.
#[test]
fn repeatedly_killed_recovery_loses_no_acknowledged_record() {
    const TICKS: usize = 60;
    let (_, files) = run_scenario(7, TICKS, None);
    let last = files.operations.len() as u64;
    for operation in (4..last).step_by(5) {
        let (killed, _) = run_scenario(
            7,
            TICKS,
            Some(Crash {
                operation,
                bytes: 30,
            }),
        );
        // Each operation of the recovery is the point of another kill, to a depth of three recoveries.
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
                        let remaining = shared.0.borrow().without_faults();
                        let (_, found) = open(remaining.clone(), killed.now);
                        if let Err(e) = check(&killed, &found) {
                            panic!(
                                "seed 7, operation {operation}, depth {depth}, then {op}/{bytes}: {e}"
                            );
                        }
                        next.push(remaining);
                    }
                }
            }
            // Only some folders are continued, to bound the number of cases.
            folders = next.into_iter().step_by(11).take(2).collect();
        }
    }
}
