//! `cranehill capacity`: the sweeps of the capacity proof against the figures that the page states.

use std::path::{Path, PathBuf};

use cranehill_capacity::compare::{Verdict, compare};
use cranehill_capacity::page::{self, Run, Stated};
use cranehill_capacity::sizes::Sizes;
use cranehill_capacity::{Figure, Sweep, derived, plot, table};
use cranehill_fleet_harness::sweep;
use serde_json::json;

/// The page as it was when this program was built.
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const PAGE_NAME: &str = "docs/CAPACITY.md";

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct CapacityArgs {
    pub quick: bool,
    pub json: bool,
    pub out: Option<PathBuf>,
    pub sweeps: Vec<String>,
    pub sizes: Option<PathBuf>,
    pub page: Option<PathBuf>,
    pub update: Option<PathBuf>,
    pub seed: u64,
}

impl CapacityArgs {
    fn run(&self) -> Run {
        if self.quick { Run::Quick } else { Run::Full }
    }

    /// The sweeps that are asked for; without any, all that this run has sizes for.
    fn sweeps(&self, usual: &Sizes) -> Result<Vec<Sweep>, String> {
        if self.sweeps.is_empty() {
            return Ok(Sweep::ALL
                .into_iter()
                .filter(|s| !usual.of(*s).is_empty())
                .collect());
        }
        let named = |name: &String| {
            let names: Vec<&str> = Sweep::ALL.iter().map(|s| s.name()).collect();
            Sweep::named(name).ok_or_else(|| {
                format!("--sweep: no sweep '{name}'; there are {}", names.join(", "))
            })
        };
        self.sweeps.iter().map(named).collect()
    }
}

/// Plays the sweeps and prints what they come to; false if a stated figure is missed.
pub fn run(order: &CapacityArgs) -> Result<bool, String> {
    let stated = stated(order)?;
    let usual = if order.quick {
        Sizes::quick()
    } else {
        Sizes::full()
    };
    let sweeps = order.sweeps(&usual)?;
    let sizes = sizes(order.sizes.as_deref(), usual, &sweeps)?;
    let program = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    let played = sweep::SweepArgs {
        program,
        sizes,
        sweeps,
        quick: order.quick,
        seed: order.seed,
    };
    let figures =
        sweep::play(&played, |what| eprintln!("capacity: {what}")).map_err(|e| e.to_string())?;
    // Other sizes than those of the built-in page are a trial: they are not what it states.
    let trial = order.sizes.is_some() && order.page.is_none();
    let verdicts = if trial {
        Vec::new()
    } else {
        compare(order.run(), &figures, &stated)
    };
    if let Some(dir) = &order.out {
        write(dir, &figures, &verdicts).map_err(|e| format!("--out: {}: {e}", dir.display()))?;
    }
    if let Some(file) = &order.update {
        update(file, order.run(), &figures)
            .map_err(|e| format!("--update: {}: {e}", file.display()))?;
    }
    print(order, &figures, &stated, &verdicts);
    Ok(!verdicts.iter().any(Verdict::fails))
}

fn stated(order: &CapacityArgs) -> Result<Vec<Stated>, String> {
    let Some(path) = &order.page else {
        return page::stated(PAGE, order.run()).map_err(|e| format!("{PAGE_NAME}: {e}"));
    };
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("--page: {}: {e}", path.display()))?;
    page::stated(&text, order.run()).map_err(|e| format!("--page: {}: {e}", path.display()))
}

fn sizes(file: Option<&Path>, usual: Sizes, sweeps: &[Sweep]) -> Result<Sizes, String> {
    let Some(path) = file else {
        return usual.read("", sweeps).map_err(|e| format!("--sweep: {e}"));
    };
    let text =
        std::fs::read_to_string(path).map_err(|e| format!("--sizes: {}: {e}", path.display()))?;
    usual
        .read(&text, sweeps)
        .map_err(|e| format!("--sizes: {}: {e}", path.display()))
}

fn print(order: &CapacityArgs, figures: &[Figure], stated: &[Stated], verdicts: &[Verdict]) {
    if order.json {
        println!("{:#}", as_json(figures, verdicts));
        return;
    }
    println!("{}", table::head());
    figures.iter().for_each(|f| println!("{}", table::row(f)));
    println!();
    derived::of_run(figures)
        .iter()
        .for_each(|row| println!("{row}"));
    verdicts.iter().for_each(|v| println!("{v}"));
    let judged = figures
        .iter()
        .filter(|f| stated.iter().any(|s| s.quantity.id == f.quantity.id))
        .count();
    let missed = verdicts.iter().filter(|v| v.fails()).count();
    println!(
        "{judged} of {} figures are on the page; {missed} missed",
        figures.len()
    );
}

fn as_json(figures: &[Figure], verdicts: &[Verdict]) -> serde_json::Value {
    let rows: Vec<table::Row<'_>> = figures.iter().map(table::Row::of).collect();
    let verdicts: Vec<String> = verdicts.iter().map(Verdict::to_string).collect();
    json!({"figures": rows, "derived": derived::of_run(figures), "verdicts": verdicts})
}

fn write(dir: &Path, figures: &[Figure], verdicts: &[Verdict]) -> std::io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let rows: Vec<String> = figures.iter().map(table::row).collect();
    let derived = derived::of_run(figures).join("\n");
    let text = format!("{}\n{}\n\n{derived}\n", table::head(), rows.join("\n"));
    std::fs::write(dir.join("figures.md"), text)?;
    std::fs::write(
        dir.join("figures.json"),
        format!("{:#}\n", as_json(figures, verdicts)),
    )?;
    for sweep in Sweep::ALL {
        let drawn: Vec<&Figure> = figures
            .iter()
            .filter(|f| f.quantity.sweep == sweep)
            .collect();
        if !drawn.is_empty() {
            let svg = plot::svg(&drawn).map_err(|e| std::io::Error::other(e.to_string()))?;
            std::fs::write(dir.join(format!("{}.svg", sweep.name())), svg)?;
        }
    }
    Ok(())
}

fn update(file: &Path, run: Run, figures: &[Figure]) -> Result<(), String> {
    let before = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let after = page::updated(&before, run, figures).map_err(|e| e.to_string())?;
    std::fs::write(file, after).map_err(|e| e.to_string())
}
