//! The file under `deploy/` that says where Web Push listens and which push services it reaches.

use std::net::{AddrParseError, SocketAddr};

use serde::{Deserialize, Serialize};

use super::vapid::{Vapid, VapidError, VapidFile};
use crate::toml_file::{self, TomlError};

/// Why a Web Push file can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum WebPushFileError {
    /// The text is not the TOML that was expected.
    #[error(transparent)]
    Toml(#[from] TomlError),
    /// The address to listen on can't be used.
    #[error("listen: {0}")]
    Listen(AddressError),
    /// A push service's address can't be used.
    #[error("upstream '{upstream}': {source}")]
    Server {
        /// The push service's name.
        upstream: String,
        /// What is wrong with the address.
        source: AddressError,
    },
    /// Two push services have one name.
    #[error("upstream '{upstream}' is named twice")]
    DuplicateUpstream {
        /// The name of both.
        upstream: String,
    },
    /// A push service has no address.
    #[error("upstream '{upstream}' has no server")]
    NoServer {
        /// Its name.
        upstream: String,
    },
    /// A push service's rate is not a positive number.
    #[error("upstream '{upstream}': rate must be above zero")]
    Rate {
        /// Its name.
        upstream: String,
    },
    /// A path is not absolute.
    #[error("location '{path}': a path must begin with '/'")]
    RelativePath {
        /// The location's path.
        path: String,
    },
    /// A location leads to a push service that the file does not have.
    #[error("location '{path}': no upstream '{upstream}'")]
    UnknownUpstream {
        /// The location's path.
        path: String,
        /// The name that the file does not have.
        upstream: String,
    },
    /// The VAPID key or subject can't be used.
    #[error(transparent)]
    Vapid(#[from] VapidError),
}

/// Why an address can't be used. There is no TLS here, so only plain connections on this machine are safe.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// It can't be parsed.
    #[error("'{text}' is not an address and port")]
    Invalid {
        /// As given.
        text: String,
        /// Why it can't be parsed.
        source: AddrParseError,
    },
    /// It is another machine's.
    #[error("'{text}' is not on this machine")]
    NotLoopback {
        /// As given.
        text: String,
    },
}

/// The file.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Where application servers post to.
    pub listen: Option<String>,
    /// Identifies this sender to the push services.
    pub vapid: Option<VapidFile>,
    /// The push services.
    #[serde(default)]
    pub upstream: Vec<Upstream>,
    /// Which posts go to which push service.
    #[serde(default)]
    pub location: Vec<Location>,
}

/// A push service.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Locations refer to it by this.
    pub name: String,
    /// Calls a second that it takes, where known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Its endpoints.
    pub server: Vec<Server>,
}

/// An endpoint of a push service.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Address and port.
    pub address: String,
    /// Listed, but sent nothing new.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

/// Which posts go to which push service. The longest path that matches counts.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Prefix of the posts' paths.
    pub path: String,
    /// The push service's name.
    pub upstream: String,
    /// What replaces `path` at the push service; the same if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
}

/// Parses and checks the file.
///
/// # Errors
/// The line that is not valid, or the entry that can't be used.
pub fn parse_file(text: &str) -> Result<File, WebPushFileError> {
    let file: File = toml_file::parse(text)?;
    file.check()?;
    Ok(file)
}

impl File {
    /// Checks a file that was not parsed from text.
    ///
    /// # Errors
    /// The first entry that can't be used.
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

    /// Where application servers post to.
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
