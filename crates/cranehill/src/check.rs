//! `cranehill check`: reads a sender's files as `serve` does and prints a summary of each.

use std::path::PathBuf;

use crate::configuration::{self, ConfigurationError};

/// The arguments of `check`.
#[derive(Clone, Debug, clap::Args)]
pub struct CheckArgs {
    /// Web Push file to check.
    #[arg(long, value_name = "FILE")]
    webpush: Option<PathBuf>,
    /// Fleet file to check; it needs NODE_CONFIG.
    #[arg(long, value_name = "FILE")]
    fleet: Option<PathBuf>,
}

/// A file is invalid, or none is given.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// One of the sender's files can't be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// Neither a configuration nor a Web Push file is given.
    #[error("nothing to check: NODE_CONFIG is not set and no --webpush is given")]
    NothingToCheck,
}

/// Reads the files and prints a line for each; stops at the first error.
pub fn run(args: &CheckArgs) -> Result<(), CheckError> {
    let config = configuration::load()?;
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
    if let Some(path) = &args.webpush {
        let push = configuration::load_webpush(path)?;
        println!(
            "Web Push: {} upstreams, {} locations",
            push.upstream.len(),
            push.location.len()
        );
    }
    if let Some(path) = &args.fleet {
        let fleet = configuration::load_fleet(path, config.as_ref())?;
        println!(
            "fleet: {} at {}, {} seeds",
            fleet.settings.name,
            fleet.settings.address,
            fleet.settings.seeds.len()
        );
    }
    if config.is_none() && args.webpush.is_none() {
        return Err(CheckError::NothingToCheck);
    }
    Ok(())
}
