//! Compares the journal with the ledger of release 0.1 and with redb without fsync in one run:
//! `cargo bench -p cranehill-journal`. Times depend on the machine; the ratios are comparable between machines.

mod append;
mod baselines;
mod compaction;
mod fixtures;
mod legacy_ledger;
mod recovery;

fn main() {
    // Arguments select benchmarks by name; without any, all run.
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let benchmarks: [(&str, fn()); 5] = [
        ("bytes", append::bytes_per_message),
        ("append", append::append),
        ("recovery", recovery::recovery),
        ("amplification", compaction::amplification),
        ("longest", compaction::longest_step),
    ];
    for (name, run) in benchmarks {
        if wanted.is_empty() || wanted.iter().any(|w| w == name) {
            run();
        }
    }
}
