//! Runs the seeds of the fuzz targets as an ordinary test. With `JOURNAL_SEEDS=write` the seeds that are generated from
//! scenarios are written again first.

mod common;

use std::path::{Path, PathBuf};

use common::{KEY, START_MS, Scenario, open};
use cranehill_journal::{Memory, fuzzing};

fn seed_folder(target: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("fuzz/seeds")
        .join(target)
}

fn run_each_seed(target: &str, run: impl Fn(&[u8])) -> usize {
    let mut count = 0;
    for entry in std::fs::read_dir(seed_folder(target))
        .expect("seeds")
        .flatten()
    {
        let bytes = std::fs::read(entry.path()).expect("a seed");
        // Printed so that the output of a panic shows the file.
        println!("{}", entry.path().display());
        run(&bytes);
        for cut in 0..bytes.len().min(64) {
            run(&bytes[..cut]);
        }
        count += 1;
    }
    count
}

fn write_seeds() {
    for seed in 1..=6u64 {
        let (mut journal, _) = open(Memory::new(64 * 1024), START_MS);
        let mut scenario = Scenario::new(seed);
        for _ in 0..seed * 3 {
            let records = scenario.tick();
            journal.append(scenario.now, &records).expect("room");
        }
        let files = journal.storage().without_faults();
        let payloads = fuzzing::payloads(&files, &KEY);
        std::fs::write(
            seed_folder("recover").join(format!("day{seed}")),
            fuzzing::seed_of(&payloads),
        )
        .expect("written");
        std::fs::write(
            seed_folder("decode").join(format!("payload{seed}")),
            &payloads[0],
        )
        .expect("written");
        std::fs::write(
            seed_folder("decode").join(format!("manifest{seed}")),
            &files.files["manifest"],
        )
        .expect("written");
        let (_, segment) = files.files.iter().next().expect("a segment");
        std::fs::write(
            seed_folder("decode").join(format!("segment{seed}")),
            &segment[..200.min(segment.len())],
        )
        .expect("written");
    }
}

#[test]
fn fuzz_seeds_pass_all_decoders_and_recovery() {
    if std::env::var("JOURNAL_SEEDS").is_ok_and(|v| v == "write") {
        write_seeds();
    }
    assert!(
        run_each_seed("decode", fuzzing::decode) >= 10
            && run_each_seed("recover", fuzzing::recover) >= 6
    );
}
