//! The journal against the ledger of release 0.1 and against redb without fsync, all in one run:
//! `cargo bench -p cranehill-journal`. The ratios matter; the times are this machine's.

mod append;
mod baselines;
mod compaction;
mod fixtures;
mod legacy_ledger;
mod recovery;

fn main() {
    // One part by its name, or all of them.
    let wanted: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    let parts: [(&str, fn()); 5] = [
        ("bytes", append::bytes_per_message),
        ("append", append::append),
        ("recovery", recovery::recovery),
        ("amplification", compaction::amplification),
        ("longest", compaction::longest_step),
    ];
    for (name, part) in parts {
        if wanted.is_empty() || wanted.iter().any(|w| w == name) {
            part();
        }
    }
}
