//! The new process: it waits for the folder, and requests the old process's sockets.

use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use super::lock::{FolderLock, LOCK_FILE};
use super::message::{GREETING, HandoverMessage, MESSAGE_TIMEOUT, SOCKET_FILE, receive};

/// How long a new process waits for the folder: the platform allows 30 s for a start.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Between two requests to an old process that does not answer yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Between two tries of the lock once everything is here: the old process is about to end.
const LOCK_INTERVAL: Duration = Duration::from_millis(2);

/// Why a process does not get the state folder.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HandoverError {
    /// The folder's lock file can't be used.
    #[error("{}: {source}", path.display())]
    Lock {
        /// The lock file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Another process has the folder and did not hand it over in time.
    #[error("{}: another process works there, and did not pass it on", dir.display())]
    NotHandedOver {
        /// The folder.
        dir: PathBuf,
    },
}

/// A client's connection from the old process.
pub(crate) struct InheritedClient {
    pub(crate) stream: TcpStream,
    /// What was read of its next request.
    pub(crate) input: Vec<u8>,
    /// It has sent a request before.
    pub(crate) has_requested: bool,
}

/// What the old process handed over.
#[derive(Default)]
pub(crate) struct InheritedSockets {
    pub(crate) clients: Option<TcpListener>,
    pub(crate) web_push: Option<TcpListener>,
    pub(crate) connections: Vec<InheritedClient>,
    pub(crate) learned_state: Option<Vec<u8>>,
}

/// Acquires the folder for this process: at once where no other works in it, else from the process that does.
pub(crate) fn take_over(dir: &Path) -> Result<(FolderLock, InheritedSockets), HandoverError> {
    if let Some(lock) = try_lock(dir)? {
        return Ok((lock, InheritedSockets::default()));
    }
    log::info!(
        "hand-over: another process works in {}; it is asked to pass on",
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
                Err(e) => log::info!("hand-over: {e}; tried again"),
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
                    has_requested: asked,
                });
            }
            (HandoverMessage::LearnedState(bytes), None) => sockets.learned_state = Some(bytes),
            (HandoverMessage::End, None) => {
                stream.write_all(GREETING)?;
                return Ok(sockets);
            }
            (message, _) => {
                return Err(io::Error::other(format!(
                    "{message:?} with a descriptor amiss"
                )));
            }
        }
    }
}
