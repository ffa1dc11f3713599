//! The sender's configuration: the platform's `NODE_` environment variables, and the JSON file that `NODE_CONFIG` names.

use std::error::Error;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

use cranehill_core::Listing;
use cranehill_scheduler::profile::Profile;
use serde::Deserialize;

use crate::discovery_protocol::{EndpointList, RowError};
pub use crate::platform_settings::PlatformSettings;

/// Why the configuration can't be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// A required environment variable is missing.
    #[error("{variable}: the environment variable is not set")]
    VariableNotSet {
        /// The variable's name.
        variable: &'static str,
    },
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path in `NODE_CONFIG`.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The file was read, but its content is not valid.
    #[error("{path}: {source}")]
    InFile {
        /// The path in `NODE_CONFIG`.
        path: String,
        /// The error in the file.
        source: Box<ConfigError>,
    },
    /// The text is not valid JSON, or lacks a field, or has one of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The platform's settings are out of range or contradictory.
    #[error("{0}")]
    Settings(Box<dyn Error + Send + Sync>),
    /// An entry of the endpoint list in `known` is not valid.
    #[error("known: {0}")]
    KnownEndpoint(#[from] RowError),
    /// An address is set neither by its environment variable nor in the file.
    #[error("{field}: no address is given, neither in the file nor as an environment variable")]
    AddressNotGiven {
        /// The key in the file.
        field: &'static str,
    },
    /// An address can't be parsed.
    #[error("{field}: expected an IP address and port, got '{text}'")]
    InvalidAddress {
        /// The key in the file.
        field: &'static str,
        /// The text that was given.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The operators' address is also that of the clients.
    #[error("operator: {address} is already used by listen, the clients' address")]
    OperatorAddressTaken {
        /// The address of both listeners.
        address: SocketAddr,
    },
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Memory in megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Disk space of the state folder in megabytes (10^6 bytes).
    pub disk_mb: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            sockets: 1024,
            memory_mb: 192.0,
            disk_mb: 3.0,
        }
    }
}

/// The configuration of one sender.
#[derive(Debug)]
pub struct Config {
    /// This sender's name in the fleet.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery, to which final reports are sent as well.
    pub discovery: SocketAddr,
    /// The address of the operators' HTTP interface; `None` disables it.
    pub operator: Option<SocketAddr>,
    /// The state folder, whose files persist across restarts.
    pub state: PathBuf,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The settings of the platform's deployment.
    pub platform_settings: PlatformSettings,
    /// Version of the initial endpoint list; 0 without one.
    pub known_version: u64,
    /// The initial endpoint list, used until discovery answers.
    pub known: Vec<Listing>,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    #[serde(default)]
    seed: serde_json::Value,
    #[serde(default)]
    limits: Limits,
    known: Option<EndpointList>,
    settings: Profile,
}

/// Reads the configuration from the environment variables, which `var` looks up, and from the file that `NODE_CONFIG` names.
///
/// # Errors
/// A required variable is not set, or the file can't be read or is not valid; the error names the variable or the path.
pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = required_variable(&var, "NODE_CONFIG")?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(ConfigError::Unreadable { path, source }),
    };
    parse(&text, var).map_err(|e| ConfigError::InFile {
        path,
        source: Box::new(e),
    })
}

/// Reads the address of discovery from the current file, for a reload. Unlike in [`load`], the file has precedence over
/// `NODE_DISCOVERY`, which dates from the start of the process. The whole file must be valid, since a partially written file may
/// contain any address.
///
/// # Errors
/// As [`load`].
pub fn current_discovery_address(
    var: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    load(|name| var(name).filter(|_| name != "NODE_DISCOVERY")).map(|config| config.discovery)
}

/// Parses the configuration from the file's text and the environment variables. A variable has precedence over the file.
///
/// # Errors
/// The first missing or invalid value.
pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let file: File = serde_json::from_str(text)?;
    let names = file.settings.names();
    let settings = file
        .settings
        .into_settings()
        .map_err(|e| ConfigError::Settings(e.into()))?;
    let platform_settings = PlatformSettings::new(settings, names);
    let (known_version, known) = match file.known {
        Some(list) => (list.version, list.into_listings(&platform_settings)?),
        None => (0, Vec::new()),
    };
    let listen = address("listen", var("NODE_LISTEN").or(file.listen))?;
    let operator = operator_address(var("NODE_OPERATOR").or(file.operator), listen)?;
    Ok(Config {
        name: var("NODE_NAME").unwrap_or(file.name),
        listen,
        operator,
        discovery: address("discovery", var("NODE_DISCOVERY").or(file.discovery))?,
        state: required_variable(&var, "NODE_STATE")?.into(),
        seed: parse_seed(&file.seed),
        limits: file.limits,
        platform_settings,
        known_version,
        known,
    })
}

fn required_variable(
    var: impl Fn(&str) -> Option<String>,
    variable: &'static str,
) -> Result<String, ConfigError> {
    var(variable).ok_or(ConfigError::VariableNotSet { variable })
}

/// Parses a seed: a string of hexadecimal digits, or a number. Anything else is 0.
fn parse_seed(seed: &serde_json::Value) -> u64 {
    match seed {
        serde_json::Value::String(digits) => u64::from_str_radix(digits, 16).unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

fn address(field: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or(ConfigError::AddressNotGiven { field })?;
    match text.parse() {
        Ok(address) => Ok(address),
        Err(source) => Err(ConfigError::InvalidAddress {
            field,
            text,
            source,
        }),
    }
}

/// Parses the operators' address; `None` if it is absent or empty.
fn operator_address(
    text: Option<String>,
    listen: SocketAddr,
) -> Result<Option<SocketAddr>, ConfigError> {
    let Some(text) = text.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let operator = address("operator", Some(text))?;
    // With port 0 the system assigns each listener its own port.
    if operator == listen && operator.port() != 0 {
        return Err(ConfigError::OperatorAddressTaken { address: listen });
    }
    Ok(Some(operator))
}
