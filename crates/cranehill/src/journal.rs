//! `cranehill journal`: looks into a journal's folder, at rest or live, and never changes it.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};

use clap::{Subcommand, ValueEnum};
use cranehill_journal::Key;
use cranehill_journal_tools::{Snapshot, export, rows, stats, verify};
use indicatif::{ProgressBar, ProgressStyle};

/// Below so many bytes no bar is shown: it would be gone before it is seen.
const LONG: u64 = 8 * 1024 * 1024;

#[derive(Clone, Debug, Subcommand)]
pub enum Action {
    /// Read every byte; name damage by segment and offset. Exit code 1 if there is any.
    Verify {
        #[arg(value_name = "DIR")]
        dir: PathBuf,
    },
    /// Sizes, live bytes and counts, by segment and by kind of fact.
    Stats {
        #[arg(value_name = "DIR")]
        dir: PathBuf,
    },
    /// Every readable fact, one line each.
    Dump {
        #[arg(value_name = "DIR")]
        dir: PathBuf,
        /// Only those of this message.
        #[arg(long, value_name = "ID")]
        id: Option<String>,
    },
    /// Every readable fact, with bodies, as a file for other programs.
    Export {
        #[arg(value_name = "DIR")]
        dir: PathBuf,
        #[arg(long, value_enum, default_value_t = Form::Jsonl)]
        format: Form,
        /// Where to; standard output if not given (JSON lines only).
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Form {
    Jsonl,
    Parquet,
}

/// Carries an action out; false if the folder is damaged.
pub fn run(action: &Action, key: Option<Key>) -> Result<bool, String> {
    match action {
        Action::Verify { dir } => {
            let verdict = verify(&take(dir, key)?).map_err(|e| e.to_string())?;
            print(&verdict.lines())?;
            Ok(verdict.sound())
        }
        Action::Stats { dir } => {
            print(&stats(&take(dir, key)?).map_err(|e| e.to_string())?.lines())?;
            Ok(true)
        }
        Action::Dump { dir, id } => {
            let found = read(dir, key)?;
            let wanted = found.iter().filter(|r| id.is_none() || r.id == *id);
            print(&wanted.map(|r| r.line()).collect::<Vec<_>>())?;
            Ok(true)
        }
        Action::Export { dir, format, out } => {
            let found = read(dir, key)?;
            match (format, out) {
                (Form::Jsonl, None) => {
                    export::json_lines(&found, &mut BufWriter::new(std::io::stdout().lock()))
                        .or_else(quietly)?;
                }
                (Form::Parquet, None) => return Err("a Parquet table needs --out FILE".into()),
                (form, Some(path)) => {
                    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
                    let file = File::create(path).map_err(|e| named(&e))?;
                    let mut file = BufWriter::new(file);
                    match form {
                        Form::Jsonl => {
                            export::json_lines(&found, &mut file).map_err(|e| named(&e))?
                        }
                        Form::Parquet => {
                            let bar = bar(found.len() as u64, found.len() as u64 > 100_000, "rows");
                            export::parquet(&found, &mut file, |done| bar.set_position(done))
                                .map_err(|e| named(&e))?;
                            bar.finish_and_clear();
                        }
                    }
                    file.flush().map_err(|e| named(&e))?;
                }
            }
            Ok(true)
        }
    }
}

fn take(dir: &Path, key: Option<Key>) -> Result<Snapshot, String> {
    Snapshot::take(dir, key).map_err(|e| e.to_string())
}

fn read(dir: &Path, key: Option<Key>) -> Result<Vec<cranehill_journal_tools::Row>, String> {
    let snapshot = take(dir, key)?;
    let size: u64 = snapshot.files.files.values().map(|f| f.len() as u64).sum();
    let bar = bar(size, size > LONG, "bytes");
    let found = rows(&snapshot, |done, _| bar.set_position(done)).map_err(|e| e.to_string())?;
    bar.finish_and_clear();
    Ok(found)
}

/// A bar on standard error; none if that is no terminal, or the work is short.
fn bar(total: u64, long: bool, unit: &str) -> ProgressBar {
    if !long {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(total);
    let template =
        format!("{{elapsed_precise}} {{wide_bar}} {{human_pos}}/{{human_len}} {unit} {{eta}}");
    if let Ok(style) = ProgressStyle::with_template(&template) {
        bar.set_style(style);
    }
    bar
}

fn print(lines: &[String]) -> Result<(), String> {
    let mut out = BufWriter::new(std::io::stdout().lock());
    lines
        .iter()
        .try_for_each(|l| writeln!(out, "{l}"))
        .and_then(|()| out.flush())
        .or_else(quietly)
}

/// Whoever reads our output may stop early, as `head` does.
fn quietly(e: std::io::Error) -> Result<(), String> {
    if e.kind() == std::io::ErrorKind::BrokenPipe {
        Ok(())
    } else {
        Err(e.to_string())
    }
}
