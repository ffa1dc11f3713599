//! The new process's side of a hand-over: it requests the old process's sockets, and acquires the state folder's lock.

use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use super::lock::{FolderLock, LOCK_FILE};
use super::message::{GREETING, HandoverMessage, MESSAGE_TIMEOUT, SOCKET_FILE, receive};

/// Limit on the time that a new process waits for the folder's lock. The platform allows 30 s for a start.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Interval between requests to an old process that does not answer yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between attempts to lock the folder once everything is received, since the old process is about to end.
const LOCK_INTERVAL: Duration = Duration::from_millis(2);

/// Why a process can't acquire the state folder.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HandoverError {
    /// The folder's lock file can't be used.
    #[error("{}: {source}", path.display())]
    Lock {
        /// Path of the lock file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// Another process holds the folder's lock, and did not release it within the time limit.
    #[error("{}: another process uses this state folder and did not hand it over within {MAX_WAIT:?}", dir.display())]
    NotHandedOver {
        /// The state folder.
        dir: PathBuf,
    },
}

/// A client connection received from the old process.
pub(crate) struct InheritedClient {
    pub(crate) stream: TcpStream,
    /// Bytes of the client's next request that the old process has read.
    pub(crate) input: Vec<u8>,
    /// The client has sent a complete request before.
    pub(crate) request_received: bool,
}

/// Everything received from the old process.
#[derive(Default)]
pub(crate) struct InheritedSockets {
    pub(crate) clients: Option<TcpListener>,
    pub(crate) web_push: Option<TcpListener>,
    pub(crate) connections: Vec<InheritedClient>,
    pub(crate) learned_state: Option<Vec<u8>>,
}

/// Acquires the folder's lock. If another process holds it, requests a hand-over from that process, and waits until the lock is
/// free.
pub(crate) fn acquire_folder(dir: &Path) -> Result<(FolderLock, InheritedSockets), HandoverError> {
    if let Some(lock) = try_lock(dir)? {
        return Ok((lock, InheritedSockets::default()));
    }
    log::info!(
        "hand-over: another process uses {}; requesting a hand-over",
        dir.display()
    );
    let deadline = Instant::now() + MAX_WAIT;
    let mut inherited = None;
    loop {
        if let Some(lock) = try_lock(dir)? {
            return Ok((lock, inherited.unwrap_or_default()));
        }
        if inherited.is_none() {
            match request_sockets(dir) {
                Ok(sockets) => inherited = Some(sockets),
                Err(e) => log::info!("hand-over: request failed: {e}; retrying"),
            }
        }
        if Instant::now() >= deadline {
            return Err(HandoverError::NotHandedOver {
                dir: dir.to_owned(),
            });
        }
        std::thread::sleep(if inherited.is_some() {
            LOCK_INTERVAL
        } else {
            RETRY_INTERVAL
        });
    }
}

fn try_lock(dir: &Path) -> Result<Option<FolderLock>, HandoverError> {
    FolderLock::try_acquire(dir).map_err(|source| HandoverError::Lock {
        path: dir.join(LOCK_FILE),
        source,
    })
}

fn request_sockets(dir: &Path) -> io::Result<InheritedSockets> {
    let mut stream = UnixStream::connect(dir.join(SOCKET_FILE))?;
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT))?;
    stream.write_all(GREETING)?;
    let mut sockets = InheritedSockets::default();
    loop {
        match receive(&mut stream)? {
            (HandoverMessage::Listener { push: false }, Some(descriptor)) => {
                sockets.clients = Some(descriptor.into());
            }
            (HandoverMessage::Listener { push: true }, Some(descriptor)) => {
                sockets.web_push = Some(descriptor.into());
            }
            (HandoverMessage::Client { input, asked }, Some(descriptor)) => {
                sockets.connections.push(InheritedClient {
                    stream: descriptor.into(),
                    input,
                    request_received: asked,
                });
            }
            (HandoverMessage::LearnedState(bytes), None) => sockets.learned_state = Some(bytes),
            (HandoverMessage::End, None) => {
                stream.write_all(GREETING)?;
                return Ok(sockets);
            }
            (message, _) => {
                return Err(io::Error::other(format!(
                    "expected one descriptor with a listener or client and none otherwise, got {message:?}"
                )));
            }
        }
    }
}
