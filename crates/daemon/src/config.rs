//! The sender's configuration: the platform's `NODE_` variables and the JSON file that one of them names.

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
    /// A variable that has no default is missing.
    #[error("{variable}: not set")]
    VariableNotSet {
        /// Its name.
        variable: &'static str,
    },
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// As the variable names it.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The file can be read, and its content can't be used.
    #[error("{path}: {source}")]
    InFile {
        /// As the variable names it.
        path: String,
        /// What is wrong in it.
        source: Box<ConfigError>,
    },
    /// The text is not the JSON that was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The platform's settings contradict themselves.
    #[error("{0}")]
    Settings(Box<dyn Error + Send + Sync>),
    /// An endpoint known at start is not a valid row.
    #[error("known: {0}")]
    KnownEndpoint(#[from] RowError),
    /// An address is given neither by variable nor in the file.
    #[error("{field}: not given")]
    AddressNotGiven {
        /// The file's key.
        field: &'static str,
    },
    /// An address can't be parsed.
    #[error("{field}: '{text}' is not an address and port")]
    InvalidAddress {
        /// The file's key.
        field: &'static str,
        /// As given.
        text: String,
        /// Why it can't be parsed.
        source: AddrParseError,
    },
    /// Operators and clients can't share one address.
    #[error("operator: {address} is where clients connect (listen)")]
    OperatorAddressTaken {
        /// The address of both.
        address: SocketAddr,
    },
}

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Size of the state folder, in megabytes.
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
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is, and final reports go.
    pub discovery: SocketAddr,
    /// Where operators reach this sender.
    pub operator: Option<SocketAddr>,
    /// The folder that outlasts the process.
    pub state: PathBuf,
    /// Seed of all random choices.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    /// The deployment's settings.
    pub platform_settings: PlatformSettings,
    /// Version of the endpoint list known at start; 0 for none.
    pub known_version: u64,
    /// Endpoints known at start.
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

/// Reads the platform's variables (`var`) and the file that `NODE_CONFIG` names.
///
/// # Errors
/// What is missing, or can't be read or used, with the file's path.
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

/// The address of discovery by the file as it is now. `NODE_DISCOVERY` is from the start of the process, so the file, which
/// is newer, has precedence. The whole file must be valid: a half-written one may name any address.
///
/// # Errors
/// As [`load`].
pub fn current_discovery_address(
    var: impl Fn(&str) -> Option<String>,
) -> Result<SocketAddr, ConfigError> {
    load(|name| var(name).filter(|_| name != "NODE_DISCOVERY")).map(|config| config.discovery)
}

/// As [`load`], from the file's text. A variable has precedence over the file.
///
/// # Errors
/// What is missing in the text or can't be used.
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

/// Hexadecimal digits in a string, or a number.
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

/// Nobody's where the text is empty.
fn operator_address(
    text: Option<String>,
    listen: SocketAddr,
) -> Result<Option<SocketAddr>, ConfigError> {
    let Some(text) = text.filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let operator = address("operator", Some(text))?;
    // Port 0 gives each its own port.
    if operator == listen && operator.port() != 0 {
        return Err(ConfigError::OperatorAddressTaken { address: listen });
    }
    Ok(Some(operator))
}
