//! Two processes over one folder: the lock that says which of them works, and what the old one passes to the new one.
//!
//! The new one calls [`take`] before it opens anything; the old one answers with [`HandoverServer`]. Messages are a length, then
//! bytes; a descriptor comes with the first byte of the message that speaks of it.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::{Duration, Instant};

use rustix::fs::{FlockOperation, flock};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};

const LOCK: &str = "lock";
const SOCKET: &str = "handover";
/// Files of these names are not the journal's.
pub const NAMES: [&str; 2] = [LOCK, SOCKET];
/// The old one holds back its attempts for so long at the most. Most calls are back by then; those that hang would take
/// their whole time, while nothing goes to anybody.
pub const QUIET_MOST: Duration = Duration::from_millis(400);
/// Each of the two waits so long for the other's next message: it is at work on nothing else.
const ANSWER_MOST: Duration = Duration::from_secs(2);
/// A new process that can't have the folder in this time gives up: the platform allows 30 s.
const PATIENCE: Duration = Duration::from_secs(20);
/// Larger than the largest client's request, and than all that is learned.
const MESSAGE_MOST: usize = 1 << 20;
/// What the new one says first: another version must not be taken for it.
const HELLO: &[u8; 8] = b"hand-o1\n";

/// The right to work in a folder, until it is dropped or the process ends.
pub struct Lock(#[expect(dead_code, reason = "held, not read")] File);

/// What passes. Descriptors come beside it.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The listener for clients, or for Web Push.
    Listener { push: bool },
    /// A client's connection, what was read of its next request, and whether it has asked before.
    Client { input: Vec<u8>, asked: bool },
    /// As `cranehill_recovery::pack` writes it.
    #[serde(rename = "Learnt")]
    LearnedState(Vec<u8>),
    /// That is all; the new one says that it has it.
    End,
}

/// A client that was passed on.
pub struct Client {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    pub asked: bool,
}

/// What was passed on.
#[derive(Default)]
pub struct InheritedSockets {
    pub clients: Option<TcpListener>,
    pub pushes: Option<TcpListener>,
    pub connections: Vec<Client>,
    pub learned_state: Option<Vec<u8>>,
}

fn lock(dir: &Path) -> io::Result<Option<Lock>> {
    std::fs::create_dir_all(dir)?;
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(dir.join(LOCK))?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(Some(Lock(file))),
        Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// The folder for this process alone: at once where nobody works in it, else from who does.
pub fn take(dir: &Path) -> Result<(Lock, InheritedSockets), String> {
    let named = |e: io::Error| format!("{}: {e}", dir.join(LOCK).display());
    if let Some(lock) = lock(dir).map_err(named)? {
        return Ok((lock, InheritedSockets::default()));
    }
    log::info!(
        "hand-over: another process works in {}; it is asked to pass on",
        dir.display()
    );
    let until = Instant::now() + PATIENCE;
    let mut taken = None;
    loop {
        if let Some(lock) = lock(dir).map_err(named)? {
            return Ok((lock, taken.unwrap_or_default()));
        }
        if taken.is_none() {
            match ask(dir) {
                Ok(all) => taken = Some(all),
                Err(e) => log::info!("hand-over: {e}; tried again"),
            }
        }
        if Instant::now() >= until {
            return Err(format!(
                "{}: another process works there, and did not pass it on",
                dir.display()
            ));
        }
        std::thread::sleep(Duration::from_millis(if taken.is_some() { 2 } else { 50 }));
    }
}

fn ask(dir: &Path) -> io::Result<InheritedSockets> {
    let mut stream = UnixStream::connect(dir.join(SOCKET))?;
    stream.set_read_timeout(Some(ANSWER_MOST))?;
    stream.write_all(HELLO)?;
    let mut taken = InheritedSockets::default();
    loop {
        let (message, fd) = receive(&mut stream)?;
        match (message, fd) {
            (Message::Listener { push: false }, Some(fd)) => taken.clients = Some(fd.into()),
            (Message::Listener { push: true }, Some(fd)) => taken.pushes = Some(fd.into()),
            (Message::Client { input, asked }, Some(fd)) => {
                taken.connections.push(Client {
                    stream: fd.into(),
                    input,
                    asked,
                });
            }
            (Message::LearnedState(bytes), None) => taken.learned_state = Some(bytes),
            (Message::End, None) => {
                stream.write_all(HELLO)?;
                return Ok(taken);
            }
            (message, _) => {
                return Err(io::Error::other(format!(
                    "{message:?} with a descriptor amiss"
                )));
            }
        }
    }
}

fn receive(stream: &mut UnixStream) -> io::Result<(Message, Option<OwnedFd>)> {
    let mut head = [0u8; 4];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(
        &*stream,
        &mut [IoSliceMut::new(&mut head)],
        &mut control,
        RecvFlags::CMSG_CLOEXEC,
    )?
    .bytes;
    let mut fds = control.drain().filter_map(|m| match m {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    });
    let fd = fds.next().and_then(|mut fds| fds.next());
    if got == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    stream.read_exact(&mut head[got..])?;
    let len = u32::from_le_bytes(head) as usize;
    if len > MESSAGE_MOST {
        return Err(io::Error::other("a message that is too large"));
    }
    let mut bytes = vec![0; len];
    stream.read_exact(&mut bytes)?;
    postcard::from_bytes(&bytes)
        .map(|message| (message, fd))
        .map_err(io::Error::other)
}

/// The old process's end.
pub struct HandoverServer {
    listener: UnixListener,
    /// Who asks for all, once it has said so.
    asking: Option<UnixStream>,
}

impl HandoverServer {
    /// Listens in the folder, in which this process has the lock.
    pub fn open(dir: &Path) -> io::Result<HandoverServer> {
        let path = dir.join(SOCKET);
        match std::fs::remove_file(&path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(&path)?;
        listener.set_nonblocking(true)?;
        Ok(HandoverServer {
            listener,
            asking: None,
        })
    }

    pub fn listener(&self) -> &UnixListener {
        &self.listener
    }

    /// Whether somebody asks, and still does.
    pub fn is_asked(&mut self) -> bool {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.asking.is_none() && greeted(&stream) {
                self.asking = Some(stream);
            }
        }
        // Nothing more comes from there: what can be read is its end.
        self.asking
            .take_if(|s| !matches!(s.read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock));
        self.asking.is_some()
    }

    pub fn learned_state(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.send(&Message::LearnedState(bytes), None)
    }

    pub fn pass_listener(&mut self, listener: BorrowedFd<'_>, push: bool) -> io::Result<()> {
        self.send(&Message::Listener { push }, Some(listener))
    }

    pub fn pass_client(
        &mut self,
        stream: BorrowedFd<'_>,
        input: Vec<u8>,
        asked: bool,
    ) -> io::Result<()> {
        self.send(&Message::Client { input, asked }, Some(stream))
    }

    /// Tells that this was all; ends well once the new one has it.
    pub fn end(&mut self) -> io::Result<()> {
        self.send(&Message::End, None)?;
        let stream = self.asking.as_mut().ok_or(ErrorKind::NotConnected)?;
        let mut answer = [0; HELLO.len()];
        stream.read_exact(&mut answer)?;
        if answer == *HELLO {
            Ok(())
        } else {
            Err(ErrorKind::InvalidData.into())
        }
    }

    /// It did not come to pass; somebody may ask again.
    pub fn given_up(&mut self) {
        self.asking = None;
    }

    fn send(&mut self, message: &Message, fd: Option<BorrowedFd<'_>>) -> io::Result<()> {
        let stream = self.asking.as_mut().ok_or(ErrorKind::NotConnected)?;
        stream.set_nonblocking(false)?;
        stream.set_write_timeout(Some(ANSWER_MOST))?;
        stream.set_read_timeout(Some(ANSWER_MOST))?;
        let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
        let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(&body);
        let fds: Vec<BorrowedFd<'_>> = fd.into_iter().collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !fds.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&fds));
        }
        let sent = sendmsg(
            &*stream,
            &[IoSlice::new(&bytes)],
            &mut control,
            SendFlags::NOSIGNAL,
        )?;
        stream.write_all(&bytes[sent..])
    }
}

/// Reads the greeting: it is there with the connection, or this is nobody we know.
fn greeted(stream: &UnixStream) -> bool {
    let mut hello = [0; HELLO.len()];
    let read = stream
        .set_read_timeout(Some(Duration::from_millis(50)))
        .and_then(|()| (&*stream).read_exact(&mut hello))
        .and_then(|()| stream.set_nonblocking(true));
    read.is_ok() && hello == *HELLO
}
