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

/// The exit code of a command that can't be carried out. A failed verdict has 1.
const EXIT_BAD_INPUT: u8 = 2;

#[derive(Parser)]
#[command(
    name = "cranehill",
    about = "Delivers messages to destinations within their deadlines, at the rate that each destination takes",
    disable_version_flag = true
)]
struct Args {
    /// How log lines on standard error look.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    log_format: Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one sender, as the NODE_ variables say.
    Serve(ServeArgs),
    /// Print the version.
    Version,
    /// Turn nginx upstream and location blocks into a Web Push file, on standard output.
    ImportNginx(ImportNginxArgs),
    /// Play days against real senders on loopback and judge every rule; without a file, a short calm day.
    Rehearse(RehearseArgs),
    /// Start many senders that know each other, break ways and processes as a scenario says, and judge what came of it.
    #[command(alias = "rig")]
    FleetTest(FleetTestArgs),
    /// Play the sweeps of the capacity proof, fit them, and hold them against docs/CAPACITY.md.
    Capacity(CapacityArgs),
    /// Look for the highest rate that one sender sustains, and tell what it costs at half of it.
    Measure(MeasureArgs),
    /// Kill a real sender under load again and again, and check that nothing is lost, ended twice or wrongly repeated.
    #[command(alias = "kills")]
    CrashTest(CrashTestArgs),
    /// Look into a journal's folder, at rest or live, without changing it.
    Journal(JournalArgs),
    /// Read the configuration (NODE_CONFIG), a Web Push file and a fleet file, and say what is wrong with them.
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

/// Carries out the command line of this process. An error is one line on standard error and exit code 2.
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
