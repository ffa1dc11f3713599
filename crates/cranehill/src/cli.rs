//! The command line: the sub-commands, and how their results become exit codes.

use std::error::Error;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::capacity::{self, CapacityArgs};
use crate::check::{self, CheckArgs};
use crate::crash_test::{self, CrashTestArgs};
use crate::fleet_test::{self, FleetTestArgs};
use crate::import_nginx::{self, ImportNginxArgs};
use crate::journal::{self, JournalArgs};
use crate::logging::{self, Format};
use crate::measure::{self, MeasureArgs};
use crate::rehearse::{self, RehearseArgs};
use crate::serve::{self, ServeArgs};
use crate::verdict::Verdict;

/// Exit code of a command that can't be carried out. A command whose checks fail exits with 1.
const EXIT_BAD_INPUT: u8 = 2;

#[derive(Parser)]
#[command(
    name = "cranehill",
    about = "Delivers messages to destinations within their deadlines, at the rate that each destination accepts",
    disable_version_flag = true
)]
struct Args {
    /// Format of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    log_format: Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one sender, configured by NODE_CONFIG and the other NODE_* environment variables.
    Serve(ServeArgs),
    /// Print the version.
    Version,
    /// Convert nginx upstream and location blocks to a Web Push file on standard output.
    ImportNginx(ImportNginxArgs),
    /// Run scenarios against real senders on loopback and check every rule; without a file, a short scenario without faults.
    Rehearse(RehearseArgs),
    /// Run a scenario with a fleet of senders, inject its network and process faults, and check the outcome.
    #[command(alias = "rig")]
    FleetTest(FleetTestArgs),
    /// Run the capacity sweeps, fit their figures, and compare them with docs/CAPACITY.md.
    Capacity(CapacityArgs),
    /// Search for the highest rate that one sender, or --senders N, sustains, and measure the cost at half that rate.
    Measure(MeasureArgs),
    /// Kill a real sender under load repeatedly, and check that no message is lost, ends twice or is repeated although unsafe.
    #[command(alias = "kills")]
    CrashTest(CrashTestArgs),
    /// Read a journal's folder, whether or not a sender uses it, without changing it.
    Journal(JournalArgs),
    /// Check the configuration (NODE_CONFIG), a Web Push file and a fleet file, and print a summary or the first error.
    Check(CheckArgs),
}

impl Command {
    fn run(&self) -> Result<Verdict, Box<dyn Error>> {
        match self {
            Command::Serve(args) => serve::run(args)?,
            Command::Version => println!("cranehill {}", env!("CARGO_PKG_VERSION")),
            Command::ImportNginx(args) => import_nginx::run(args)?,
            Command::Rehearse(args) => return Ok(rehearse::run(args)?),
            Command::FleetTest(args) => return Ok(fleet_test::run(args)?),
            Command::Capacity(args) => return Ok(capacity::run(args)?),
            Command::Measure(args) => return Ok(measure::run(args)?),
            Command::CrashTest(args) => return Ok(crash_test::run(args)?),
            Command::Journal(args) => return Ok(journal::run(args)?),
            Command::Check(args) => check::run(args)?,
        }
        Ok(Verdict::Passed)
    }
}

/// Runs the command line of this process. An error is printed as one line on standard error and gives exit code 2.
pub fn main() -> ExitCode {
    let args = Args::parse();
    logging::start(args.log_format);
    match args.command.run() {
        Ok(Verdict::Passed) => ExitCode::SUCCESS,
        Ok(Verdict::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("cranehill: {}", error.to_string().replace('\n', " "));
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}
