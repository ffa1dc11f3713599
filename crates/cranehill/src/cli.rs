//! The command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use cranehill_core::mutation::{self, Mutation};
use cranehill_journal::Key;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::crash_test::{self, Plan};
use crate::logging::{self, Format};
use crate::simulated::SimulatedMembersArgs;
use crate::{capacity, fleet_test, journal, nginx, rehearse, simulated};
use cranehill_daemon::config::{self, Config};
use cranehill_daemon::fleet::{self, Fleet};
use cranehill_daemon::reactor::{self, ControlCommand, Reactor, ReactorOptions, State};
use cranehill_daemon::webpush;
use cranehill_scenario_runner::measure;

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
    Serve {
        /// Also speak Web Push, as this file says. Without NODE_CONFIG, that front alone.
        #[arg(long, value_name = "FILE")]
        webpush: Option<PathBuf>,
        /// The key under which the journal is signed: 64 hexadecimal digits. Without it the folder has its own.
        #[arg(long, value_name = "FILE")]
        journal_key: Option<PathBuf>,
        /// Know the other senders, as this file says.
        #[arg(long, value_name = "FILE")]
        fleet: Option<PathBuf>,
    },
    /// Print the version.
    Version,
    /// Turn nginx upstream and location blocks into a Web Push file, on standard output.
    ImportNginx {
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Play days against real senders on loopback and judge every rule; without a file, a short calm day.
    Rehearse {
        /// Days (.toml) or folders of them, or scripts of pushes (.txt) against one sender and a simulated server push service.
        #[arg(value_name = "FILE")]
        files: Vec<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Play each day so often, with one seed after the other.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
        repeat: u64,
        /// Play so many days at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
        jobs: u16,
        /// So many senders, whatever the day says.
        #[arg(long)]
        senders: Option<usize>,
        /// Hand in at this sender, which runs already, and start none: what can be judged there is.
        #[arg(long, value_name = "ADDRESS", requires = "directory", conflicts_with_all = ["senders", "mutations", "repeat", "jobs"])]
        against: Option<std::net::SocketAddr>,
        /// Where that sender asks for its list of endpoints: the rehearsal answers there.
        #[arg(long, value_name = "ADDRESS")]
        directory: Option<std::net::SocketAddr>,
        /// Write the configuration with which such a sender fits the day, and play nothing.
        #[arg(long, value_name = "FILE", requires = "directory")]
        write_config: Option<PathBuf>,
        /// Write each day's report there: JSON, every event as Parquet, and a page with plots.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Play the broken builds: this program, built with the feature `mutations`, must be caught at each of them, and
        /// the present one must pass the same days.
        #[arg(long, alias = "breakages", value_name = "PROGRAM", conflicts_with_all = ["files", "repeat", "senders"])]
        mutations: Option<PathBuf>,
    },
    /// Start many senders that know each other, break ways and processes as a scenario says, and judge what came of it.
    #[command(alias = "rig")]
    FleetTest {
        /// A scenario's name, or a day's file. Without it, the names.
        #[arg(value_name = "SCENARIO")]
        scenario: Option<String>,
        /// So many senders, whatever the scenario says.
        #[arg(long)]
        nodes: Option<usize>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write the summary, the table, a plot and every sender's log there.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Print the summary as JSON in place of the table.
        #[arg(long)]
        json: bool,
        /// Play the same day with senders that do not know each other.
        #[arg(long)]
        alone: bool,
        #[command(flatten)]
        members: SimulatedMembersArgs,
    },
    /// Play the sweeps of the capacity proof, fit them, and hold them against docs/CAPACITY.md.
    Capacity {
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
    },
    /// Look for the highest rate that one sender sustains, and tell what it costs at half of it.
    Measure {
        /// Over Web Push in place of the first front.
        #[arg(long)]
        push: bool,
        /// Endpoints of the simulated destinations, two for each.
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(2..=2000))]
        endpoints: u16,
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=16))]
        senders: u16,
        /// Seconds that each step hands in.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=600))]
        seconds: u16,
        /// One step at this rate, in place of the search.
        #[arg(long, value_name = "MESSAGES_A_SECOND", value_parser = clap::value_parser!(u32).range(1..=100_000))]
        rate: Option<u32>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Kill a real sender under load again and again, and check that nothing is lost, ended twice or wrongly repeated.
    #[command(alias = "kills")]
    CrashTest {
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u32).range(1..))]
        kills: u32,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Flip a byte of the journal after each so many kills; 0 for never.
        #[arg(long, default_value_t = 0, value_name = "KILLS")]
        flip_every: u32,
        /// Megabytes that the journal's folder may hold.
        #[arg(long, default_value_t = 0.5)]
        disk_mb: f64,
    },
    /// Look into a journal's folder, at rest or live, without changing it.
    Journal {
        #[command(subcommand)]
        action: journal::Action,
        /// The operator's key, if the journal is signed under one: a file with 64 hexadecimal digits.
        #[arg(long, global = true, value_name = "FILE")]
        journal_key: Option<PathBuf>,
    },
    /// Read the configuration (NODE_CONFIG), a Web Push file and a fleet file, and say what is wrong with them.
    Check {
        #[arg(long, value_name = "FILE")]
        webpush: Option<PathBuf>,
        #[arg(long, value_name = "FILE")]
        fleet: Option<PathBuf>,
    },
}

/// What was asked for can't be done as it stands: one line, exit code 2.
const BAD_INPUT: u8 = 2;

pub fn main() -> ExitCode {
    let args = Args::parse();
    logging::start(args.log_format);
    let result = match args.command {
        Command::Serve {
            webpush,
            journal_key,
            fleet,
        } => serve(webpush.as_deref(), journal_key.as_deref(), fleet.as_deref()),
        Command::Version => {
            println!("cranehill {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::ImportNginx { file } => import_nginx(&file),
        Command::Rehearse {
            files,
            seed,
            repeat,
            jobs,
            senders,
            against,
            directory,
            write_config,
            out,
            mutations,
        } => {
            let jobs = jobs.into();
            let order = rehearse::RehearseArgs {
                files,
                seed,
                repeat,
                jobs,
                senders,
                against,
                directory,
                write_config,
                out,
            };
            let played = match &mutations {
                Some(program) => rehearse::mutations(program, &order),
                None => rehearse::all(&order),
            };
            match played {
                Ok(true) => Ok(()),
                Ok(false) => return ExitCode::FAILURE,
                Err(why) => Err(why),
            }
        }
        Command::FleetTest {
            scenario,
            nodes,
            seed,
            out,
            json,
            alone,
            members,
        } => {
            let played = if members.members_only {
                simulated::run(&members, seed, json)
            } else {
                fleet_test::run(&fleet_test::FleetTestArgs {
                    scenario,
                    nodes,
                    simulated: members.simulated,
                    seed,
                    out,
                    json,
                    alone,
                })
            };
            match played {
                Ok(true) => Ok(()),
                Ok(false) => return ExitCode::FAILURE,
                Err(why) => Err(why),
            }
        }
        Command::Measure {
            push,
            endpoints,
            senders,
            seconds,
            rate,
            seed,
        } => {
            let setup = measure::MeasureOptions {
                endpoints: endpoints.into(),
                senders: senders.into(),
                push,
                span: std::time::Duration::from_secs(seconds.into()),
                seed,
            };
            match rehearse::measure(&setup, rate.map(f64::from)) {
                Ok(true) => Ok(()),
                Ok(false) => return ExitCode::FAILURE,
                Err(why) => Err(why),
            }
        }
        Command::Capacity {
            quick,
            json,
            out,
            sweep,
            sizes,
            page,
            update,
            seed,
        } => {
            let order = capacity::CapacityArgs {
                quick,
                json,
                out,
                sweeps: sweep,
                sizes,
                page,
                update,
                seed,
            };
            match capacity::run(&order) {
                Ok(true) => Ok(()),
                Ok(false) => return ExitCode::FAILURE,
                Err(why) => Err(why),
            }
        }
        Command::CrashTest {
            kills,
            seed,
            flip_every,
            disk_mb,
        } => match play_kills(kills, seed, flip_every, disk_mb) {
            Ok(true) => Ok(()),
            Ok(false) => return ExitCode::FAILURE,
            Err(why) => Err(why),
        },
        Command::Journal {
            action,
            journal_key: key,
        } => {
            let key = key.as_deref().map(read_key).transpose();
            match key.and_then(|key| journal::run(&action, key)) {
                Ok(true) => Ok(()),
                Ok(false) => return ExitCode::FAILURE,
                Err(why) => Err(why),
            }
        }
        Command::Check { webpush, fleet } => check(webpush.as_deref(), fleet.as_deref()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("cranehill: {}", why.replace('\n', " "));
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn webpush_file(path: &Path) -> Result<webpush::File, String> {
    webpush::parse_file(&read(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

fn setup(
    config: Option<Config>,
    push: Option<webpush::File>,
    key: Option<Key>,
) -> Result<ReactorOptions, String> {
    let Some(config) = config else {
        let push = push.ok_or("NODE_CONFIG is not set and no --webpush is given")?;
        if push.listen.is_none() {
            return Err("the Web Push file names no address to listen on".into());
        }
        return Ok(ReactorOptions {
            platform_settings: webpush::standalone_settings(),
            seed: u64::from(std::process::id()),
            state: None,
            listen: None,
            discovery: None,
            known_version: 0,
            known: Vec::new(),
            push: Some(push),
            fleet: None,
            operator: None,
            sockets: 1024,
            memory: 192_000_000,
            read_config: None,
        });
    };

    Ok(ReactorOptions {
        platform_settings: config.platform_settings,
        seed: config.seed,
        state: Some(State {
            dir: config.state,
            disk: (config.limits.disk_mb * 1e6) as u64,
            key,
        }),
        listen: Some(config.listen),
        discovery: Some(config.discovery),
        known_version: config.known_version,
        known: config.known,
        push,
        fleet: None,
        operator: config.operator,
        sockets: config.limits.sockets.min(1024),
        memory: (config.limits.memory_mb * 1e6) as usize,
        read_config: Some(Box::new(|| {
            Ok(config::current_discovery_address(variable)?)
        })),
    })
}

fn load_config() -> Result<Option<Config>, String> {
    variable("NODE_CONFIG")
        .map(|_| config::load(variable))
        .transpose()
        .map_err(|e| e.to_string())
}

/// Reads the fleet's file and its key for this sender.
fn fleet_file(path: &Path, config: Option<&Config>) -> Result<Fleet, String> {
    let named = |e: String| format!("{}: {e}", path.display());
    let config = config.ok_or_else(|| {
        named("a fleet is of senders with a configuration; NODE_CONFIG is not set".into())
    })?;
    let file = fleet::parse(&read(path)?).map_err(|e| named(e.to_string()))?;
    let key = read_key(&path.parent().unwrap_or(Path::new("")).join(&file.key))?;
    file.fleet(key, &config.name, &config.platform_settings.settings)
        .map_err(|e| named(e.to_string()))
}

fn serve(webpush: Option<&Path>, key: Option<&Path>, fleet: Option<&Path>) -> Result<(), String> {
    if let Some(name) = variable("CRANEHILL_BREAK") {
        let mutation = Mutation::named(&name)
            .ok_or_else(|| format!("CRANEHILL_BREAK: no mutation '{name}'"))?;
        if !mutation::choose(mutation) {
            return Err(
                "CRANEHILL_BREAK: this build has no mutations (feature `mutations`)".into(),
            );
        }
        log::warn!(mutation = name.as_str(); "this sender breaks a rule on purpose: {name}");
    }
    let push = webpush.map(webpush_file).transpose()?;
    let key = key.map(read_key).transpose()?;
    // Before anything else: a signal that comes while we start must not end the process.
    let mut signals = signal_hook_mio::v1_0::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    let config = load_config()?;
    let fleet = fleet
        .map(|path| fleet_file(path, config.as_ref()))
        .transpose()?;
    let mut reactor = Reactor::new(ReactorOptions {
        fleet,
        ..setup(config, push, key)?
    })
    .map_err(|e| e.to_string())?;
    reactor
        .registry()
        .register(&mut signals, reactor::SIGNALS, mio::Interest::READABLE)
        .map_err(|e| format!("signals: {e}"))?;
    let order = |signal| {
        if signal == SIGHUP {
            ControlCommand::Reload
        } else {
            ControlCommand::Stop
        }
    };
    reactor
        .run(|| signals.pending().map(order).collect())
        .map_err(|e| format!("poll: {e}"))
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_key(path: &Path) -> Result<Key, String> {
    let text = read(path)?;
    let digits: Vec<u32> = text.trim().chars().map_while(|c| c.to_digit(16)).collect();
    if digits.len() != 64 || text.trim().len() != 64 {
        return Err(format!(
            "{}: line 1: not a key of 64 hexadecimal digits",
            path.display()
        ));
    }
    Ok(std::array::from_fn(|i| {
        (digits[i * 2] << 4 | digits[i * 2 + 1]) as u8
    }))
}

fn import_nginx(path: &Path) -> Result<(), String> {
    let named = |e: String| format!("{}: {e}", path.display());
    let imported = nginx::import(&read(path)?).map_err(named)?;
    for (line, what) in &imported.left_out {
        eprintln!("{}: line {line}: not carried over: {what}", path.display());
    }
    print!(
        "{}",
        toml::to_string(&imported.file).map_err(|e| named(e.to_string()))?
    );
    Ok(())
}

fn play_kills(kills: u32, seed: u64, flip_every: u32, disk_mb: f64) -> Result<bool, String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's own file: {e}"))?;
    let bar = indicatif::ProgressBar::new(u64::from(kills));
    let plan = Plan {
        program,
        kills,
        seed,
        flip_every,
        disk_mb,
    };
    let outcome = crash_test::play(&plan, |done| bar.set_position(u64::from(done)))?;
    bar.finish_and_clear();
    println!("seed {seed}, {disk_mb} MB");
    outcome.lines().iter().for_each(|l| println!("{l}"));
    println!("{}", if outcome.holds() { "holds" } else { "BROKEN" });
    Ok(outcome.holds())
}

fn check(webpush: Option<&Path>, fleet: Option<&Path>) -> Result<(), String> {
    let config = load_config()?;
    if let Some(config) = &config {
        let platform_settings = &config.platform_settings;
        println!(
            "configuration of {}: {} classes, {} tenants, {} endpoints known",
            config.name,
            platform_settings.settings.classes.len(),
            platform_settings.names.tenants.len(),
            config.known.len()
        );
    }
    let push = webpush.map(webpush_file).transpose()?;
    if let Some(push) = &push {
        println!(
            "Web Push: {} upstreams, {} locations",
            push.upstream.len(),
            push.location.len()
        );
    }
    if let Some(path) = fleet {
        let fleet = fleet_file(path, config.as_ref())?;
        println!(
            "fleet: {} at {}, {} seeds",
            fleet.settings.name,
            fleet.settings.at,
            fleet.settings.seeds.len()
        );
    }
    if config.is_none() && push.is_none() {
        return Err("nothing to check: NODE_CONFIG is not set and no --webpush is given".into());
    }
    Ok(())
}
