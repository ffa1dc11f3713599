//! The fuzz targets' seeds, run by an ordinary test; `JOURNAL_SEEDS=write` makes those anew that come from a scenario.

mod common;

use std::path::{Path, PathBuf};

use common::{KEY, START, Scenario, open};
use cranehill_journal::{Memory, fuzzing};

fn seeds(target: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("fuzz/seeds")
        .join(target)
}

fn each(target: &str, run: impl Fn(&[u8])) -> usize {
    let mut count = 0;
    for entry in std::fs::read_dir(seeds(target)).expect("seeds").flatten() {
        let bytes = std::fs::read(entry.path()).expect("a seed");
        // A panic names the file.
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
        let (mut journal, _) = open(Memory::new(64 * 1024), START);
        let mut scenario = Scenario::new(seed);
        for _ in 0..seed * 3 {
            let records = scenario.tick();
            journal.append(scenario.now, &records).expect("room");
        }
        let files = journal.storage().without_faults();
        let payloads = fuzzing::payloads(&files, &KEY);
        std::fs::write(
            seeds("recover").join(format!("day{seed}")),
            fuzzing::seed_of(&payloads),
        )
        .expect("written");
        std::fs::write(seeds("decode").join(format!("payload{seed}")), &payloads[0])
            .expect("written");
        std::fs::write(
            seeds("decode").join(format!("manifest{seed}")),
            &files.files["manifest"],
        )
        .expect("written");
        let (_, segment) = files.files.iter().next().expect("a segment");
        std::fs::write(
            seeds("decode").join(format!("segment{seed}")),
            &segment[..200.min(segment.len())],
        )
        .expect("written");
    }
}

#[test]
fn no_seed_of_the_fuzzer_breaks_a_decoder_or_a_recovery() {
    if std::env::var("JOURNAL_SEEDS").is_ok_and(|v| v == "write") {
        write_seeds();
    }
    assert!(each("decode", fuzzing::decode) >= 10 && each("recover", fuzzing::recover) >= 6);
}
