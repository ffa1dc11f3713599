//! `cranehill capacity`: the sweeps of the capacity proof against the figures that the page states.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

use cranehill_capacity::compare::{Verdict as FigureVerdict, compare};
use cranehill_capacity::page::{self, PageError, Run, Stated};
use cranehill_capacity::plot::PlotError;
use cranehill_capacity::sizes::{Sizes, SizesError};
use cranehill_capacity::{Figure, Sweep, derived, plot, table};
use cranehill_fleet_harness::sweep::{self, SweepArgs, SweepError};
use serde_json::{Value, json};

use crate::input::{InputError, current_program};
use crate::verdict::Verdict;

/// The page as it was when this program was built.
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const PAGE_NAME: &str = "docs/CAPACITY.md";

/// The arguments of `capacity`.
#[derive(Clone, Debug, clap::Args)]
pub struct CapacityArgs {
    /// Small sizes; counts and bytes alone are judged, never times.
    #[arg(long)]
    quick: bool,
    /// Print JSON in place of the table.
    #[arg(long)]
    json: bool,
    /// Write the page's rows, the figures as JSON and a plot of each sweep there.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Play this sweep alone: destinations, backlog, members, events or changes. May be given again.
    #[arg(long, value_name = "NAME")]
    sweep: Vec<String>,
    /// A file of sizes in place of the usual ones, as `destinations = [10, 100, 1000]`.
    #[arg(long, value_name = "FILE")]
    sizes: Option<PathBuf>,
    /// Hold the figures against this copy of docs/CAPACITY.md in place of the one that this program was built with.
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// Bring the figures in this copy of docs/CAPACITY.md up to date.
    #[arg(long, value_name = "FILE")]
    update: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The sweeps can't be played, or a file of theirs can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// This program's path is unknown.
    #[error(transparent)]
    Input(#[from] InputError),
    /// There is no sweep of this name.
    #[error("--sweep: no sweep '{name}'; there are {}", sweep_names().join(", "))]
    UnknownSweep {
        /// The name.
        name: String,
    },
    /// A sweep that is asked for has no sizes.
    #[error("--sweep: {0}")]
    NoSizes(#[source] SizesError),
    /// The page that this program was built with is wrong.
    #[error("{PAGE_NAME}: {0}")]
    BuiltInPage(#[source] PageError),
    /// A file named by an option can't be read or written, or its text is wrong.
    #[error("{option}: {path}: {source}")]
    File {
        /// The option.
        option: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause, with its line if there is one.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A sweep can't be played.
    #[error(transparent)]
    Sweep(#[from] SweepError),
}

/// The files that `--out` names can't be written.
#[derive(Debug, thiserror::Error)]
enum WriteError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Plot(#[from] PlotError),
}

impl CapacityArgs {
    fn run(&self) -> Run {
        if self.quick { Run::Quick } else { Run::Full }
    }

    /// The sweeps that are asked for; without any, all that this run has sizes for.
    fn sweeps(&self, usual: &Sizes) -> Result<Vec<Sweep>, CapacityError> {
        if self.sweep.is_empty() {
            return Ok(Sweep::ALL
                .into_iter()
                .filter(|sweep| !usual.of(*sweep).is_empty())
                .collect());
        }
        let named = |name: &String| {
            Sweep::named(name).ok_or_else(|| CapacityError::UnknownSweep { name: name.clone() })
        };
        self.sweep.iter().map(named).collect()
    }
}

fn sweep_names() -> Vec<&'static str> {
    Sweep::ALL.iter().map(|sweep| sweep.name()).collect()
}

/// Converts the error on a file that an option names.
fn option_file<E: Into<Box<dyn Error + Send + Sync>>>(
    option: &'static str,
    path: &Path,
) -> impl Fn(E) -> CapacityError {
    move |source| CapacityError::File {
        option,
        path: path.to_owned(),
        source: source.into(),
    }
}

/// Plays the sweeps and prints their figures; `Failed` if a stated figure is missed.
pub fn run(args: &CapacityArgs) -> Result<Verdict, CapacityError> {
    let stated = stated(args)?;
    let usual = if args.quick {
        Sizes::quick()
    } else {
        Sizes::full()
    };
    let sweeps = args.sweeps(&usual)?;
    let sizes = sizes(args.sizes.as_deref(), usual, &sweeps)?;
    let sweep_args = SweepArgs {
        program: current_program()?,
        sizes,
        sweeps,
        quick: args.quick,
        seed: args.seed,
    };
    let figures = sweep::play(&sweep_args, |what| eprintln!("capacity: {what}"))?;
    // The built-in page states figures for the usual sizes only.
    let comparable = args.sizes.is_none() || args.page.is_some();
    let verdicts = if comparable {
        compare(args.run(), &figures, &stated)
    } else {
        Vec::new()
    };
    if let Some(dir) = &args.out {
        write(dir, &figures, &verdicts).map_err(option_file("--out", dir))?;
    }
    if let Some(file) = &args.update {
        update(file, args.run(), &figures)?;
    }
    print(args, &figures, &stated, &verdicts);
    let missed = verdicts.iter().any(FigureVerdict::fails);
    Ok(Verdict::passed_if(!missed))
}

fn stated(args: &CapacityArgs) -> Result<Vec<Stated>, CapacityError> {
    let Some(path) = &args.page else {
        return page::stated(PAGE, args.run()).map_err(CapacityError::BuiltInPage);
    };
    let text = std::fs::read_to_string(path).map_err(option_file("--page", path))?;
    page::stated(&text, args.run()).map_err(option_file("--page", path))
}

fn sizes(file: Option<&Path>, usual: Sizes, sweeps: &[Sweep]) -> Result<Sizes, CapacityError> {
    let Some(path) = file else {
        return usual.read("", sweeps).map_err(CapacityError::NoSizes);
    };
    let text = std::fs::read_to_string(path).map_err(option_file("--sizes", path))?;
    usual
        .read(&text, sweeps)
        .map_err(option_file("--sizes", path))
}

fn print(args: &CapacityArgs, figures: &[Figure], stated: &[Stated], verdicts: &[FigureVerdict]) {
    if args.json {
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

fn as_json(figures: &[Figure], verdicts: &[FigureVerdict]) -> Value {
    let rows: Vec<table::Row<'_>> = figures.iter().map(table::Row::of).collect();
    let verdicts: Vec<String> = verdicts.iter().map(FigureVerdict::to_string).collect();
    json!({"figures": rows, "derived": derived::of_run(figures), "verdicts": verdicts})
}

fn write(dir: &Path, figures: &[Figure], verdicts: &[FigureVerdict]) -> Result<(), WriteError> {
    std::fs::create_dir_all(dir)?;
    let rows: Vec<String> = figures.iter().map(table::row).collect();
    let derived = derived::of_run(figures).join("\n");
    let text = format!("{}\n{}\n\n{derived}\n", table::head(), rows.join("\n"));
    std::fs::write(dir.join("figures.md"), text)?;
    let json = format!("{:#}\n", as_json(figures, verdicts));
    std::fs::write(dir.join("figures.json"), json)?;
    for sweep in Sweep::ALL {
        let drawn: Vec<&Figure> = figures
            .iter()
            .filter(|f| f.quantity.sweep == sweep)
            .collect();
        if !drawn.is_empty() {
            let file = dir.join(format!("{}.svg", sweep.name()));
            std::fs::write(file, plot::svg(&drawn)?)?;
        }
    }
    Ok(())
}

fn update(file: &Path, run: Run, figures: &[Figure]) -> Result<(), CapacityError> {
    let before = std::fs::read_to_string(file).map_err(option_file("--update", file))?;
    let after = page::updated(&before, run, figures).map_err(option_file("--update", file))?;
    std::fs::write(file, after).map_err(option_file("--update", file))
}
