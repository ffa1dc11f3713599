//! `cranehill capacity`: runs the capacity sweeps and compares their figures with those stated in docs/CAPACITY.md.

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

/// The capacity page, compiled into this program.
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const PAGE_NAME: &str = "docs/CAPACITY.md";

/// The arguments of `capacity`.
#[derive(Clone, Debug, clap::Args)]
pub struct CapacityArgs {
    /// Use small sizes; compare only counts and bytes with the page, not times.
    #[arg(long)]
    quick: bool,
    /// Print JSON instead of the table.
    #[arg(long)]
    json: bool,
    /// Write the page's rows, the figures as JSON and a plot of each sweep to this folder.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Run only this sweep: destinations, backlog, members, events or changes. Can be given more than once.
    #[arg(long, value_name = "NAME")]
    sweep: Vec<String>,
    /// TOML file with sizes that replace the default ones, such as `destinations = [10, 100, 1000]`.
    #[arg(long, value_name = "FILE")]
    sizes: Option<PathBuf>,
    /// Compare the figures with this copy of docs/CAPACITY.md instead of the one compiled into this program.
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// Replace the figures in this copy of docs/CAPACITY.md with the measured ones.
    #[arg(long, value_name = "FILE")]
    update: Option<PathBuf>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The sweeps can't be run, or a file named by an option can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// The path of this program can't be determined.
    #[error(transparent)]
    Input(#[from] InputError),
    /// `--sweep` names no existing sweep.
    #[error("--sweep: no sweep '{name}'; expected one of {}", sweep_names().join(", "))]
    UnknownSweep {
        /// The name given.
        name: String,
    },
    /// A sweep named by `--sweep` has no sizes in this kind of run.
    #[error("--sweep: {0}")]
    NoSizes(#[source] SizesError),
    /// The page compiled into this program is invalid.
    #[error("{PAGE_NAME}: {0}")]
    BuiltInPage(#[source] PageError),
    /// A file named by an option can't be read or written, or its text is invalid.
    #[error("{option}: {path}: {source}")]
    File {
        /// The option, such as `--sizes`.
        option: &'static str,
        /// The file that it names.
        path: PathBuf,
        /// The cause, with the line for an invalid text.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A sweep can't be run, or its figures can't be fitted.
    #[error(transparent)]
    Sweep(#[from] SweepError),
}

/// A file in the folder of `--out` can't be written.
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

    /// The sweeps named by `--sweep`; without that option, all that have default sizes in this kind of run.
    fn sweeps(&self, default_sizes: &Sizes) -> Result<Vec<Sweep>, CapacityError> {
        if self.sweep.is_empty() {
            return Ok(Sweep::ALL
                .into_iter()
                .filter(|sweep| !default_sizes.of(*sweep).is_empty())
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

/// Adds the option and the path to an error on a file.
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

/// Runs the sweeps and prints their figures; `Failed` if a figure stated on the page is missed.
pub fn run(args: &CapacityArgs) -> Result<Verdict, CapacityError> {
    let stated = stated(args)?;
    let default_sizes = if args.quick {
        Sizes::quick()
    } else {
        Sizes::full()
    };
    let sweeps = args.sweeps(&default_sizes)?;
    let sizes = sizes(args.sizes.as_deref(), default_sizes, &sweeps)?;
    let sweep_args = SweepArgs {
        program: current_program()?,
        sizes,
        sweeps,
        quick: args.quick,
        seed: args.seed,
    };
    let figures = sweep::play(&sweep_args, |what| eprintln!("capacity: {what}"))?;
    // The built-in page states figures for the default sizes only.
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

fn sizes(
    file: Option<&Path>,
    default_sizes: Sizes,
    sweeps: &[Sweep],
) -> Result<Sizes, CapacityError> {
    let Some(path) = file else {
        return default_sizes
            .read("", sweeps)
            .map_err(CapacityError::NoSizes);
    };
    let text = std::fs::read_to_string(path).map_err(option_file("--sizes", path))?;
    default_sizes
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
    let stated_figures = figures
        .iter()
        .filter(|f| stated.iter().any(|s| s.quantity.id == f.quantity.id))
        .count();
    let missed = verdicts.iter().filter(|v| v.fails()).count();
    println!(
        "{stated_figures} of {} figures are stated on the page; {missed} missed",
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
