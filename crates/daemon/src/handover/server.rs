//! The old process: it hands its sockets over to the new one.

use std::io::{self, ErrorKind, Read};
use std::os::fd::BorrowedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;

use super::message::{GREETING, HandoverMessage, SOCKET_FILE, send};

/// How long a peer that has connected may take to greet; a new process does so at once.
const GREETING_TIMEOUT: Duration = Duration::from_millis(50);

/// The old process's side.
pub(crate) struct HandoverServer {
    listener: UnixListener,
    /// The process that has requested a hand-over.
    requester: Option<UnixStream>,
}

impl HandoverServer {
    /// Listens in the folder, whose lock this process has.
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

    /// For the poll.
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
        // It sends nothing more: whatever can be read is the end of the connection.
        self.requester
            .take_if(|s| !matches!(s.read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock));
        self.requester.is_some()
    }

    /// Hands over what was learned of destinations.
    pub(crate) fn pass_learned_state(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.send(&HandoverMessage::LearnedState(bytes), None)
    }

    /// Hands over the listener for clients, or for Web Push.
    pub(crate) fn pass_listener(
        &mut self,
        listener: BorrowedFd<'_>,
        web_push: bool,
    ) -> io::Result<()> {
        self.send(
            &HandoverMessage::Listener { push: web_push },
            Some(listener),
        )
    }

    /// Hands over a client's connection, with what was read of its next request.
    pub(crate) fn pass_client(
        &mut self,
        stream: BorrowedFd<'_>,
        input: Vec<u8>,
        has_requested: bool,
    ) -> io::Result<()> {
        let message = HandoverMessage::Client {
            input,
            asked: has_requested,
        };
        self.send(&message, Some(stream))
    }

    /// Announces the end, and waits until the new process confirms that it has everything.
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

    /// Drops the request; the process may repeat it.
    pub(crate) fn abort(&mut self) {
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

/// The greeting is there with the connection, or the peer is not a new process of this version.
fn has_greeted(stream: &UnixStream) -> bool {
    let mut greeting = [0; GREETING.len()];
    let read = stream
        .set_read_timeout(Some(GREETING_TIMEOUT))
        .and_then(|()| (&*stream).read_exact(&mut greeting))
        .and_then(|()| stream.set_nonblocking(true));
    read.is_ok() && greeting == *GREETING
}
