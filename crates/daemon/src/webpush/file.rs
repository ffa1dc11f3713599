//! The operators' Web Push file: the address to listen on, and the push services to which requests are forwarded.

use std::net::{AddrParseError, SocketAddr};

use serde::{Deserialize, Serialize};

use super::vapid::{Vapid, VapidError, VapidFile};
use crate::toml_file::{self, TomlError};

/// Why a Web Push file can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum WebPushFileError {
    /// The text is not valid TOML, or has unknown or invalid keys.
    #[error(transparent)]
    Toml(#[from] TomlError),
    /// The address to listen on is not valid.
    #[error("listen: {0}")]
    Listen(AddressError),
    /// A push service's address is not valid.
    #[error("upstream '{upstream}': {source}")]
    Server {
        /// The push service's name.
        upstream: String,
        /// Why the address is not valid.
        source: AddressError,
    },
    /// Two push services have the same name.
    #[error("upstream '{upstream}': the name is used more than once")]
    DuplicateUpstream {
        /// The push services' name.
        upstream: String,
    },
    /// A push service has no address.
    #[error("upstream '{upstream}': expected at least one server")]
    NoServer {
        /// The push service's name.
        upstream: String,
    },
    /// A push service's rate is not a positive number.
    #[error("upstream '{upstream}': expected a positive number as rate")]
    Rate {
        /// The push service's name.
        upstream: String,
    },
    /// A path is not absolute.
    #[error("location '{path}': expected paths that begin with '/'")]
    RelativePath {
        /// The location's path.
        path: String,
    },
    /// A location refers to a push service that the file does not contain.
    #[error("location '{path}': there is no upstream '{upstream}'")]
    UnknownUpstream {
        /// The location's path.
        path: String,
        /// The push service's name in the location.
        upstream: String,
    },
    /// The VAPID key or subject is not valid.
    #[error(transparent)]
    Vapid(#[from] VapidError),
}

/// Why an address is not valid. Connections are without TLS, so only loopback addresses are allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// The address can't be parsed.
    #[error("expected an IP address and port, got '{text}'")]
    Invalid {
        /// The text in the file.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The address is not a loopback address.
    #[error("expected a loopback address, got '{text}'")]
    NotLoopback {
        /// The text in the file.
        text: String,
    },
}

/// The content of a Web Push file.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The address on which application servers connect; `None` disables Web Push.
    pub listen: Option<String>,
    /// The key and contact that identify this sender to push services (VAPID).
    pub vapid: Option<VapidFile>,
    /// The push services.
    #[serde(default)]
    pub upstream: Vec<Upstream>,
    /// The mapping from request paths to push services.
    #[serde(default)]
    pub location: Vec<Location>,
}

/// A push service.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The name by which locations refer to the push service.
    pub name: String,
    /// The calls a second that the push service accepts, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// The push service's endpoints.
    pub server: Vec<Server>,
}

/// An endpoint of a push service.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// IP address and port; loopback only.
    pub address: String,
    /// No new calls are sent to this endpoint.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

/// Maps the requests whose path has a prefix to a push service. The longest matching prefix has precedence.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Prefix of the request path.
    pub path: String,
    /// The push service's name.
    pub upstream: String,
    /// Replaces the prefix `path` in requests to the push service; `None` keeps it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
}

/// Parses and checks the file.
///
/// # Errors
/// The first line or entry that is not valid.
pub fn parse_file(text: &str) -> Result<File, WebPushFileError> {
    let file: File = toml_file::parse(text)?;
    file.check()?;
    Ok(file)
}

impl File {
    /// Checks the content, also of a file that was not parsed from text.
    ///
    /// # Errors
    /// The first entry that is not valid.
    pub fn check(&self) -> Result<(), WebPushFileError> {
        if let Some(listen) = &self.listen {
            check_loopback(listen).map_err(WebPushFileError::Listen)?;
        }
        for (position, upstream) in self.upstream.iter().enumerate() {
            let mut earlier = self.upstream[..position].iter();
            if earlier.any(|other| other.name == upstream.name) {
                let upstream = upstream.name.clone();
                return Err(WebPushFileError::DuplicateUpstream { upstream });
            }
            upstream.check()?;
        }
        for location in &self.location {
            self.check_location(location)?;
        }
        if let Some(vapid) = &self.vapid {
            Vapid::new(vapid)?;
        }
        Ok(())
    }

    /// The address on which application servers connect; `None` if it is absent or not valid.
    pub fn listen(&self) -> Option<SocketAddr> {
        self.listen.as_ref()?.parse().ok()
    }

    fn check_location(&self, location: &Location) -> Result<(), WebPushFileError> {
        let path = location.path.clone();
        let target = location.to.as_ref();
        if !path.starts_with('/') || target.is_some_and(|to| !to.starts_with('/')) {
            return Err(WebPushFileError::RelativePath { path });
        }
        if !self.upstream.iter().any(|u| u.name == location.upstream) {
            let upstream = location.upstream.clone();
            return Err(WebPushFileError::UnknownUpstream { path, upstream });
        }
        Ok(())
    }
}

impl Upstream {
    fn check(&self) -> Result<(), WebPushFileError> {
        let upstream = self.name.clone();
        if self.server.is_empty() {
            return Err(WebPushFileError::NoServer { upstream });
        }
        if self
            .rate
            .is_some_and(|rate| !rate.is_finite() || rate <= 0.0)
        {
            return Err(WebPushFileError::Rate { upstream });
        }
        for server in &self.server {
            check_loopback(&server.address).map_err(|source| WebPushFileError::Server {
                upstream: upstream.clone(),
                source,
            })?;
        }
        Ok(())
    }
}

fn check_loopback(text: &str) -> Result<(), AddressError> {
    let address: SocketAddr = text.parse().map_err(|source| AddressError::Invalid {
        text: text.to_owned(),
        source,
    })?;
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(AddressError::NotLoopback {
            text: text.to_owned(),
        })
    }
}
