//! The options of a reactor, and the errors at its start.

use std::io;
use std::net::SocketAddr;

use cranehill_core::Listing;
use cranehill_scheduler::SettingsError;

use crate::config_reload::ConfigReader;
use crate::fleet::Fleet;
use crate::handover::HandoverError;
use crate::journal_writer::{JournalOpenError, State};
use crate::listeners::ListenError;
use crate::platform_settings::PlatformSettings;
use crate::webpush::{self, VapidError};

/// The options with which a sender is started.
pub struct ReactorOptions {
    /// The settings of the platform's deployment.
    pub platform_settings: PlatformSettings,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The state folder; without one nothing is persisted.
    pub state: Option<State>,
    /// The address on which clients connect.
    pub listen: Option<SocketAddr>,
    /// The address of discovery, to which final reports are sent as well.
    pub discovery: Option<SocketAddr>,
    /// Version of the initial endpoint list; 0 without one.
    pub known_version: u64,
    /// The initial endpoint list, used until discovery answers.
    pub initial_endpoints: Vec<Listing>,
    /// The Web Push file; without it the sender serves no Web Push.
    pub web_push: Option<webpush::File>,
    /// The fleet file; without it the sender is not in a fleet.
    pub fleet: Option<Fleet>,
    /// The address of the operators' HTTP interface. Without one, no hand-over is possible.
    pub operator: Option<SocketAddr>,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Reads the configuration at a reload.
    pub read_config: Option<ConfigReader>,
}

/// Why a sender can't be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The poll can't be created.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// The state folder's lock can't be acquired.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The journal can't be opened.
    #[error(transparent)]
    Journal(#[from] JournalOpenError),
    /// The VAPID key or subject is not valid.
    #[error(transparent)]
    Vapid(#[from] VapidError),
    /// The scheduler rejects the settings.
    #[error("{0}")]
    Settings(SettingsError),
    /// A listening socket can't be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
}
