//! What the sender is told at start: the platform's variables and file.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use cranehill_scheduler::api::Settings;
use cranehill_scheduler::profile::{Names, Profile};
use serde::Deserialize;

use crate::discovery_protocol;
use cranehill_core::Listing;

/// The deployment's settings and the names on its wires.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    pub settings: Settings,
    pub names: Names,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
}

impl PlatformSettings {
    pub fn new(settings: Settings, names: Names) -> PlatformSettings {
        let connection_limits =
            |n: &[String]| n.iter().enumerate().map(|(i, n)| (n.clone(), i)).collect();
        let (classes, tenants) = (
            connection_limits(&names.classes),
            connection_limits(&names.tenants),
        );
        PlatformSettings {
            settings,
            names,
            classes,
            tenants,
        }
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes
            .get(name)
            .copied()
            .filter(|&c| c < self.settings.classes.len())
    }

    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.get(name).copied()
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: f64,
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

/// All that one sender is told.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators reach this sender.
    pub operator: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub platform_settings: PlatformSettings,
    pub known_version: u64,
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
    known: Option<discovery_protocol::List>,
    settings: Profile,
}

fn address(what: &str, text: Option<String>) -> Result<SocketAddr, String> {
    let text = text.ok_or_else(|| format!("{what}: not given"))?;
    text.parse()
        .map_err(|_| format!("{what}: '{text}' is not an address and port"))
}

/// Reads the platform's variables (`var`) and the file that one of them names.
pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = var("NODE_CONFIG").ok_or("NODE_CONFIG: not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text, var).map_err(|e| format!("{path}: {e}"))
}

/// Where the directory is by the file as it is now. The variables were told at start: here the file, which is
/// the newer, goes before them. All of it must be readable: half of a file may name anything.
pub fn directory_now(var: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, String> {
    load(|name| var(name).filter(|_| name != "NODE_DISCOVERY")).map(|config| config.discovery)
}

/// As [`load`], from the file's text. A variable goes before what the file says.
pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let names = file.settings.names();
    let platform_settings = PlatformSettings::new(
        file.settings.into_settings().map_err(|e| e.to_string())?,
        names,
    );
    let seed = match &file.seed {
        serde_json::Value::String(s) => u64::from_str_radix(s, 16).unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    };
    let (known_version, known) = match file.known {
        Some(list) => (list.version, list.into_listings(&platform_settings)?),
        None => (0, Vec::new()),
    };
    let listen = address("listen", var("NODE_LISTEN").or(file.listen))?;
    let operator = var("NODE_OPERATOR")
        .or(file.operator)
        .filter(|o| !o.is_empty());
    let operator = operator
        .map(|text| address("operator", Some(text)))
        .transpose()?;
    if operator.is_some_and(|o| o == listen && o.port() != 0) {
        return Err(format!(
            "operator: {listen} is where clients connect (listen)"
        ));
    }
    Ok(Config {
        name: var("NODE_NAME").unwrap_or(file.name),
        listen,
        operator,
        discovery: address("discovery", var("NODE_DISCOVERY").or(file.discovery))?,
        state: var("NODE_STATE").ok_or("NODE_STATE: not set")?.into(),
        seed,
        limits: file.limits,
        platform_settings,
        known_version,
        known,
    })
}
