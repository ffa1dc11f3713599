//! Changes of configuration to many real senders that watch one directory.

use std::time::{Duration, Instant};

use cranehill_capacity::Figure;

use crate::sweep::directory::{self, Directory, FIRST_VERSION};
use crate::sweep::sender::{Sender, Setting};
use crate::sweep::{Gathered, SweepArgs, SweepError, seconds};

/// Destinations listed.
const DESTINATIONS: u64 = 100;
const MOST_HELD: u64 = 1000;
const READY_MOST: Duration = Duration::from_secs(30);
/// Changes must be with all senders by then.
const CHANGE_MOST: Duration = Duration::from_secs(30);
/// Changes pushed at once.
const AT_ONCE: u64 = 10;

pub fn play(order: &SweepArgs, progress: &mut impl FnMut(&str)) -> Result<Vec<Figure>, SweepError> {
    let mut gathered = Gathered::new(order.quick);
    for &size in &order.sizes.changes {
        progress(&format!("{size} senders that watch"));
        one(order, size, &mut gathered)?;
    }
    gathered.figures()
}

fn one(order: &SweepArgs, size: u64, gathered: &mut Gathered) -> Result<(), SweepError> {
    let failed = |why: String| SweepError::Failed {
        sweep: "changes",
        size,
        why,
    };
    let directory = Directory::new()?;
    let known = directory::whole(FIRST_VERSION, DESTINATIONS);
    let setting = Setting {
        directory: directory.address,
        known,
        most_held: MOST_HELD,
    };
    let mut senders = Vec::new();
    for _ in 0..size {
        let folder = tempfile::tempdir()?;
        let started = Sender::start(&order.program, folder.path(), &setting, READY_MOST);
        senders.push((started.map_err(|e| failed(e.to_string()))?, folder));
    }
    if !directory.all_watch(senders.len(), READY_MOST) {
        return Err(failed("not all senders watch".into()));
    }
    let in_force = |rows: Vec<String>| -> Result<Duration, SweepError> {
        let begun = Instant::now();
        rows.into_iter().for_each(|row| directory.change(vec![row]));
        match directory.all_watch(senders.len(), CHANGE_MOST) {
            true => Ok(begun.elapsed()),
            false => Err(failed("a change did not come to all senders".into())),
        }
    };
    let before = directory.news_bytes();
    let took = in_force(vec![directory::row(0, "up")])?;
    gathered.note(
        "changes.discovery-bytes",
        size,
        (directory.news_bytes() - before) as f64,
    )?;
    gathered.note("changes.one-in-force", size, seconds(took))?;
    let ten = (0..AT_ONCE)
        .map(|n| directory::row(n % DESTINATIONS, "up"))
        .collect();
    gathered.note("changes.ten-in-force", size, seconds(in_force(ten)?))
}
