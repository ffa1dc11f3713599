//! The sender's files: the configuration that `NODE_CONFIG` names, the Web Push file and the fleet file.
//!
//! The daemon's errors on these files are converted here and nowhere else.

use std::error::Error;
use std::path::{Path, PathBuf};

use cranehill_daemon::config::{self, Config};
use cranehill_daemon::fleet::{self, Fleet};
use cranehill_daemon::webpush;

use crate::input::{InputError, read_key, read_text, variable};

/// An error of the daemon. Its text names the line, the key or the address.
pub type DaemonError = Box<dyn Error + Send + Sync>;

/// One of the sender's files can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// A file can't be read.
    #[error(transparent)]
    Input(#[from] InputError),
    /// The configuration or one of the `NODE_*` environment variables is invalid.
    #[error("{0}")]
    Configuration(#[source] DaemonError),
    /// The Web Push file or the fleet file is invalid.
    #[error("{path}: {source}")]
    File {
        /// The invalid file.
        path: PathBuf,
        /// The cause, with its line or key.
        source: DaemonError,
    },
    /// A fleet file is given without a configuration.
    #[error("{path}: a fleet file needs a configuration, but NODE_CONFIG is not set")]
    FleetWithoutConfiguration {
        /// The fleet file.
        path: PathBuf,
    },
}

/// Reads the configuration; `None` if `NODE_CONFIG` is not set.
///
/// # Errors
/// If the file can't be read, or it or one of the `NODE_*` environment variables is invalid.
pub fn load() -> Result<Option<Config>, ConfigurationError> {
    if variable("NODE_CONFIG").is_none() {
        return Ok(None);
    }
    let config = config::load(variable).map_err(|e| ConfigurationError::Configuration(e.into()))?;
    Ok(Some(config))
}

/// Reads a Web Push file.
///
/// # Errors
/// If the file can't be read or is invalid.
pub fn load_webpush(path: &Path) -> Result<webpush::File, ConfigurationError> {
    let text = read_text(path)?;
    webpush::parse_file(&text).map_err(|e| in_file(path, e.into()))
}

/// Reads a fleet file, and the key file that it names, for the sender of `config`.
///
/// A relative path of the key file is relative to the fleet file.
///
/// # Errors
/// If there is no configuration, a file can't be read, or one of them is invalid.
pub fn load_fleet(path: &Path, config: Option<&Config>) -> Result<Fleet, ConfigurationError> {
    let config = config.ok_or_else(|| ConfigurationError::FleetWithoutConfiguration {
        path: path.to_owned(),
    })?;
    let text = read_text(path)?;
    let file = fleet::parse(&text).map_err(|e| in_file(path, e.into()))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let key = read_key(&folder.join(&file.key))?;
    file.fleet(key, &config.name, &config.platform_settings.settings)
        .map_err(|e| in_file(path, e.into()))
}

fn in_file(path: &Path, source: DaemonError) -> ConfigurationError {
    ConfigurationError::File {
        path: path.to_owned(),
        source,
    }
}
