//! `cranehill journal`: reads a journal's folder, whether or not a sender uses it, and never changes it.

use std::error::Error;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use clap::{Subcommand, ValueEnum};
use cranehill_journal::Key;
use cranehill_journal_tools::{Row, Snapshot, ToolError, export, rows, stats, verify};

use crate::input::{InputError, read_key};
use crate::progress::counting_bar;
use crate::verdict::Verdict;

/// A journal of at most this size is read without a progress bar.
const PROGRESS_BAR_THRESHOLD_BYTES: u64 = 8 * 1024 * 1024;
/// A table of at most this many rows is written without a progress bar.
const PROGRESS_BAR_THRESHOLD_ROWS: u64 = 100_000;

/// The arguments of `journal`.
#[derive(Clone, Debug, clap::Args)]
pub struct JournalArgs {
    #[command(subcommand)]
    action: Action,
    /// File with the operator's key (64 hexadecimal digits), if the journal was written with one.
    #[arg(long, global = true, value_name = "FILE")]
    journal_key: Option<PathBuf>,
}

#[derive(Clone, Debug, Subcommand)]
enum Action {
    /// Read every byte and report damage by segment and offset. Exit code 1 if there is any.
    Verify {
        /// The journal's folder.
        #[arg(value_name = "DIR")]
        dir: PathBuf,
    },
    /// Print sizes, live bytes and counts, by segment and by kind of record.
    Stats {
        /// The journal's folder.
        #[arg(value_name = "DIR")]
        dir: PathBuf,
    },
    /// Print every readable record, one per line.
    Dump {
        /// The journal's folder.
        #[arg(value_name = "DIR")]
        dir: PathBuf,
        /// Print only the records of the message with this id.
        #[arg(long, value_name = "ID")]
        id: Option<String>,
    },
    /// Write every readable record, with message bodies, as JSON Lines or Parquet.
    Export {
        /// The journal's folder.
        #[arg(value_name = "DIR")]
        dir: PathBuf,
        /// Format of the output.
        #[arg(long, value_enum, default_value_t = ExportFormat::Jsonl)]
        format: ExportFormat,
        /// Output file; standard output if not given (JSON Lines only).
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum ExportFormat {
    Jsonl,
    Parquet,
}

/// A folder can't be read, or the output can't be written.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The key can't be read.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The folder can't be read.
    #[error(transparent)]
    Tool(#[from] ToolError),
    /// Standard output can't be written.
    #[error(transparent)]
    Output(io::Error),
    /// A Parquet table can't be written to standard output.
    #[error("--format parquet: expected --out FILE")]
    NoOutputFile,
    /// The output file can't be written.
    #[error("{path}: {source}")]
    Write {
        /// The output file.
        path: PathBuf,
        /// Why it can't be written.
        source: io::Error,
    },
    /// The Parquet table can't be written.
    #[error("{path}: {source}")]
    Parquet {
        /// The output file.
        path: PathBuf,
        /// Why it can't be written.
        source: Box<dyn Error + Send + Sync>,
    },
}

/// Runs an action; `Failed` if `verify` finds damage.
///
/// # Errors
/// If the key or the folder can't be read, or the output can't be written.
pub fn run(args: &JournalArgs) -> Result<Verdict, JournalError> {
    let key = args.journal_key.as_deref().map(read_key).transpose()?;
    match &args.action {
        Action::Verify { dir } => {
            let report = verify(&Snapshot::take(dir, key)?)?;
            print_lines(&report.lines())?;
            return Ok(Verdict::passed_if(report.sound()));
        }
        Action::Stats { dir } => print_lines(&stats(&Snapshot::take(dir, key)?)?.lines())?,
        Action::Dump { dir, id } => {
            let rows = read_rows(dir, key)?;
            let wanted = rows.iter().filter(|row| id.is_none() || row.id == *id);
            print_lines(&wanted.map(Row::line).collect::<Vec<_>>())?;
        }
        Action::Export { dir, format, out } => {
            let rows = read_rows(dir, key)?;
            export_rows(&rows, *format, out.as_deref())?;
        }
    }
    Ok(Verdict::Passed)
}

fn export_rows(rows: &[Row], format: ExportFormat, out: Option<&Path>) -> Result<(), JournalError> {
    match (format, out) {
        (ExportFormat::Jsonl, None) => {
            let mut output = BufWriter::new(io::stdout().lock());
            ignore_broken_pipe(export::json_lines(rows, &mut output))
        }
        (ExportFormat::Parquet, None) => Err(JournalError::NoOutputFile),
        (ExportFormat::Jsonl, Some(path)) => {
            let write = || {
                let mut file = BufWriter::new(File::create(path)?);
                export::json_lines(rows, &mut file)?;
                file.flush()
            };
            write().map_err(|source| write_error(path, source))
        }
        (ExportFormat::Parquet, Some(path)) => export_parquet(rows, path),
    }
}

fn export_parquet(rows: &[Row], path: &Path) -> Result<(), JournalError> {
    let file = File::create(path).map_err(|source| write_error(path, source))?;
    let mut file = BufWriter::new(file);
    let progress_bar = counting_bar(rows.len() as u64, PROGRESS_BAR_THRESHOLD_ROWS, "rows");
    let written = export::parquet(rows, &mut file, |done| progress_bar.set_position(done));
    written.map_err(|e| JournalError::Parquet {
        path: path.to_owned(),
        source: e.into(),
    })?;
    progress_bar.finish_and_clear();
    file.flush().map_err(|source| write_error(path, source))
}

fn write_error(path: &Path, source: io::Error) -> JournalError {
    JournalError::Write {
        path: path.to_owned(),
        source,
    }
}

fn read_rows(dir: &Path, key: Option<Key>) -> Result<Vec<Row>, JournalError> {
    let snapshot = Snapshot::take(dir, key)?;
    let size = snapshot.files.files.values().map(|f| f.len() as u64).sum();
    let progress_bar = counting_bar(size, PROGRESS_BAR_THRESHOLD_BYTES, "bytes");
    let rows = rows(&snapshot, |done, _| progress_bar.set_position(done))?;
    progress_bar.finish_and_clear();
    Ok(rows)
}

fn print_lines(lines: &[String]) -> Result<(), JournalError> {
    let mut output = BufWriter::new(io::stdout().lock());
    let written = lines
        .iter()
        .try_for_each(|line| writeln!(output, "{line}"))
        .and_then(|()| output.flush());
    ignore_broken_pipe(written)
}

/// Treats a closed pipe as success: the reader of the output may stop early, as `head` does.
fn ignore_broken_pipe(written: io::Result<()>) -> Result<(), JournalError> {
    match written {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(JournalError::Output(e)),
        _ => Ok(()),
    }
}
