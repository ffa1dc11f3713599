//! `cranehill serve`: runs one sender.

use std::io;
use std::path::PathBuf;

use cranehill_core::mutation::{self, Mutation};
use cranehill_daemon::config::{self, Config};
use cranehill_daemon::reactor::{self, ControlCommand, Reactor, ReactorOptions, State};
use cranehill_daemon::webpush;
use cranehill_journal::Key;
use mio::Interest;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;

use crate::configuration::{self, ConfigurationError, DaemonError};
use crate::input::{InputError, read_key, variable};

/// Environment variable with the name of the mutation to activate, in a build with the feature `mutations`.
const MUTATION_VARIABLE: &str = "CRANEHILL_BREAK";
/// Upper bound on a sender's open sockets, also if its configuration allows more.
const MAX_SOCKETS: usize = 1024;
/// Memory limit in bytes of a sender of Web Push only, which has no configuration that states one.
const PUSH_ONLY_MEMORY: usize = 192_000_000;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The arguments of `serve`.
#[derive(Clone, Debug, clap::Args)]
pub struct ServeArgs {
    /// Also accept Web Push, as configured in this file. Without NODE_CONFIG, accept Web Push only.
    #[arg(long, value_name = "FILE")]
    webpush: Option<PathBuf>,
    /// File with the key of the journal's keyed hashes (64 hexadecimal digits). Without it, the folder's own key is used.
    #[arg(long, value_name = "FILE")]
    journal_key: Option<PathBuf>,
    /// Join the fleet of senders that is configured in this file.
    #[arg(long, value_name = "FILE")]
    fleet: Option<PathBuf>,
}

/// The sender can't start, or its event loop failed.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The journal's key can't be read.
    #[error(transparent)]
    Input(#[from] InputError),
    /// One of the sender's files can't be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// Neither a configuration nor a Web Push file is given.
    #[error("nothing to serve: NODE_CONFIG is not set and no --webpush is given")]
    NothingToServe,
    /// Without a configuration, the Web Push file must have a `listen` address.
    #[error(
        "the Web Push file has no `listen` address, which is required if NODE_CONFIG is not set"
    )]
    NoListenAddress,
    /// There is no mutation of this name.
    #[error("{MUTATION_VARIABLE}: no mutation '{0}'")]
    UnknownMutation(String),
    /// A mutation is named, but this build has none.
    #[error("{MUTATION_VARIABLE}: this build has no mutations (feature `mutations`)")]
    BuiltWithoutMutations,
    /// Signal handlers can't be installed or registered.
    #[error("can't handle signals: {0}")]
    Signals(#[source] io::Error),
    /// The sender can't start: an address can't be bound, or its folder or its journal can't be used.
    #[error("{0}")]
    Start(#[source] DaemonError),
    /// The event loop failed.
    #[error("the event loop failed: {0}")]
    Poll(#[source] io::Error),
}

/// Runs a sender until SIGTERM or SIGINT stops it.
///
/// # Errors
/// If a file or an environment variable is invalid, the sender can't start, or its event loop fails.
pub fn run(args: &ServeArgs) -> Result<(), ServeError> {
    choose_mutation()?;
    let push = args
        .webpush
        .as_deref()
        .map(configuration::load_webpush)
        .transpose()?;
    let key = args.journal_key.as_deref().map(read_key).transpose()?;
    // Installed before the configuration is read and the sender starts: a signal during that time must not end the
    // process.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(ServeError::Signals)?;
    let config = configuration::load()?;
    let fleet = args
        .fleet
        .as_deref()
        .map(|path| configuration::load_fleet(path, config.as_ref()))
        .transpose()?;
    let options = ReactorOptions {
        fleet,
        ..reactor_options(config, push, key)?
    };
    let mut reactor = Reactor::new(options).map_err(|e| ServeError::Start(e.into()))?;
    reactor
        .registry()
        .register(&mut signals, reactor::SIGNALS, Interest::READABLE)
        .map_err(ServeError::Signals)?;
    reactor
        .run(|| signals.pending().map(control_command).collect())
        .map_err(ServeError::Poll)
}

fn control_command(signal: i32) -> ControlCommand {
    if signal == SIGHUP {
        ControlCommand::Reload
    } else {
        ControlCommand::Stop
    }
}

fn choose_mutation() -> Result<(), ServeError> {
    let Some(name) = variable(MUTATION_VARIABLE) else {
        return Ok(());
    };
    let Some(mutation) = Mutation::from_name(&name) else {
        return Err(ServeError::UnknownMutation(name));
    };
    if !mutation::enable(mutation) {
        return Err(ServeError::BuiltWithoutMutations);
    }
    log::warn!(mutation = name.as_str(); "mutation active: {name}; this sender deliberately violates a rule");
    Ok(())
}

fn reactor_options(
    config: Option<Config>,
    push: Option<webpush::File>,
    key: Option<Key>,
) -> Result<ReactorOptions, ServeError> {
    match (config, push) {
        (Some(config), push) => Ok(platform_options(config, push, key)),
        (None, Some(push)) if push.listen.is_none() => Err(ServeError::NoListenAddress),
        (None, Some(push)) => Ok(push_only_options(push, u64::from(std::process::id()))),
        (None, None) => Err(ServeError::NothingToServe),
    }
}

fn platform_options(
    config: Config,
    push: Option<webpush::File>,
    key: Option<Key>,
) -> ReactorOptions {
    let limits = config.limits;
    ReactorOptions {
        platform_settings: config.platform_settings,
        seed: config.seed,
        state: Some(State {
            dir: config.state,
            disk: (limits.disk_mb * BYTES_PER_MEGABYTE) as u64,
            key,
        }),
        listen: Some(config.listen),
        discovery: Some(config.discovery),
        known_version: config.known_version,
        initial_endpoints: config.known,
        web_push: push,
        fleet: None,
        operator: config.operator,
        max_descriptors: limits.sockets.min(MAX_SOCKETS),
        memory_bytes: (limits.memory_mb * BYTES_PER_MEGABYTE) as usize,
        read_config: Some(Box::new(|| {
            config::current_discovery_address(variable).map_err(Into::into)
        })),
    }
}

/// The options of a sender of Web Push only: without a configuration, a journal or a fleet.
pub(crate) fn push_only_options(push: webpush::File, seed: u64) -> ReactorOptions {
    ReactorOptions {
        platform_settings: webpush::standalone_settings(),
        seed,
        state: None,
        listen: None,
        discovery: None,
        known_version: 0,
        initial_endpoints: Vec::new(),
        web_push: Some(push),
        fleet: None,
        operator: None,
        max_descriptors: MAX_SOCKETS,
        memory_bytes: PUSH_ONLY_MEMORY,
        read_config: None,
    }
}
