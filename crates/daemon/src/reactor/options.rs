//! What a reactor is started with, and why it can't be.

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

/// What a sender is started with.
pub struct ReactorOptions {
    /// The deployment's settings.
    pub platform_settings: PlatformSettings,
    /// Seed of all random choices.
    pub seed: u64,
    /// The folder that outlasts the process; without one nothing is persisted.
    pub state: Option<State>,
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// Where discovery is, and final reports go.
    pub discovery: Option<SocketAddr>,
    /// Version of the endpoint list known at start; 0 for none.
    pub known_version: u64,
    /// Endpoints known at start.
    pub known: Vec<Listing>,
    /// The Web Push front.
    pub push: Option<webpush::File>,
    /// This sender's part in the fleet.
    pub fleet: Option<Fleet>,
    /// Where operators reach this sender.
    pub operator: Option<SocketAddr>,
    /// File descriptors that the process may use.
    pub sockets: usize,
    /// Bytes that the process may use.
    pub memory: usize,
    /// Reads the configuration again.
    pub read_config: Option<ConfigReader>,
}

/// Why a sender can't be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The system has no poll.
    #[error("poll: {0}")]
    Poll(#[source] io::Error),
    /// Another process has the state folder.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The journal can't be opened.
    #[error(transparent)]
    Journal(#[from] JournalOpenError),
    /// The VAPID key or subject can't be used.
    #[error(transparent)]
    Vapid(#[from] VapidError),
    /// The settings can't be used.
    #[error("{0}")]
    Settings(SettingsError),
    /// A socket can't be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
}
