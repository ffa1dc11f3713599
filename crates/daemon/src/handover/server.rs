//! The old process's side of a hand-over: the Unix socket on which a new process requests its sockets.

use std::io::{self, ErrorKind, Read};
use std::os::fd::BorrowedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;

use super::message::{GREETING, HandoverMessage, SOCKET_FILE, send};

/// Timeout for the greeting of a peer that has connected. A new process sends it immediately.
const GREETING_TIMEOUT: Duration = Duration::from_millis(50);

/// Listens for a new process, and sends it everything that is handed over.
pub(crate) struct HandoverServer {
    listener: UnixListener,
    /// The connection to the process that has requested a hand-over.
    requester: Option<UnixStream>,
}

impl HandoverServer {
    /// Listens on a socket in the folder, whose lock this process must hold.
    pub(crate) fn open(dir: &Path) -> io::Result<HandoverServer> {
        let path = dir.join(SOCKET_FILE);
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        listener.set_nonblocking(true)?;
        Ok(HandoverServer {
            listener,
            requester: None,
        })
    }

    /// The listening socket, to be registered with the poll.
    pub(crate) fn listener(&self) -> &UnixListener {
        &self.listener
    }

    /// Whether a process has requested a hand-over and is still connected.
    pub(crate) fn is_requested(&mut self) -> bool {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.requester.is_none() && has_greeted(&stream) {
                self.requester = Some(stream);
            }
        }
        // The requester sends nothing before the end of a hand-over, so anything that can be read means that it has disconnected.
        self.requester
            .take_if(|s| !matches!(s.read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock));
        self.requester.is_some()
    }

    /// Sends the learned state of destinations.
    pub(crate) fn send_learned_state(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.send(&HandoverMessage::LearnedState(bytes), None)
    }

    /// Sends the listener for clients, or for Web Push.
    pub(crate) fn send_listener(
        &mut self,
        listener: BorrowedFd<'_>,
        web_push: bool,
    ) -> io::Result<()> {
        self.send(
            &HandoverMessage::Listener { push: web_push },
            Some(listener),
        )
    }

    /// Sends a client connection, with the bytes read of its next request.
    pub(crate) fn send_client(
        &mut self,
        stream: BorrowedFd<'_>,
        input: Vec<u8>,
        request_received: bool,
    ) -> io::Result<()> {
        let message = HandoverMessage::Client {
            input,
            asked: request_received,
        };
        self.send(&message, Some(stream))
    }

    /// Sends the last message, and waits until the new process confirms that it has received everything.
    pub(crate) fn finish(&mut self) -> io::Result<()> {
        self.send(&HandoverMessage::End, None)?;
        let mut confirmation = [0; GREETING.len()];
        self.requester()?.read_exact(&mut confirmation)?;
        if confirmation == *GREETING {
            Ok(())
        } else {
            Err(ErrorKind::InvalidData.into())
        }
    }

    /// Disconnects the requester, which may request the hand-over again.
    pub(crate) fn disconnect_requester(&mut self) {
        self.requester = None;
    }

    fn requester(&mut self) -> io::Result<&mut UnixStream> {
        self.requester
            .as_mut()
            .ok_or_else(|| ErrorKind::NotConnected.into())
    }

    fn send(
        &mut self,
        message: &HandoverMessage,
        descriptor: Option<BorrowedFd<'_>>,
    ) -> io::Result<()> {
        send(self.requester()?, message, descriptor)
    }
}

/// Whether the peer sends the greeting within [`GREETING_TIMEOUT`], as a new process with the same protocol version does.
fn has_greeted(stream: &UnixStream) -> bool {
    let mut greeting = [0; GREETING.len()];
    let read = stream
        .set_read_timeout(Some(GREETING_TIMEOUT))
        .and_then(|()| (&*stream).read_exact(&mut greeting))
        .and_then(|()| stream.set_nonblocking(true));
    read.is_ok() && greeting == *GREETING
}
