//! The messages of a hand-over on a Unix socket.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};

pub(super) const SOCKET_FILE: &str = "handover";
/// How long each side waits for the other's next message: it works on nothing else meanwhile.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Larger than the largest client's request, and than all learned state.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// What the new process sends first, so that another version is not mistaken for it.
pub(super) const GREETING: &[u8; 8] = b"hand-o1\n";

/// What the old process sends. Descriptors come beside it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum HandoverMessage {
    /// The listener for clients, or for Web Push.
    Listener { push: bool },
    /// A client's connection, what was read of its next request, and whether it has sent a request before.
    Client { input: Vec<u8>, asked: bool },
    /// As `cranehill_recovery::pack` writes it.
    #[serde(rename = "Learnt")]
    LearnedState(Vec<u8>),
    /// That is all; the new process confirms that it has it.
    End,
}

/// Sends a message, and the descriptor that belongs to it.
pub(super) fn send(
    stream: &mut UnixStream,
    message: &HandoverMessage,
    descriptor: Option<BorrowedFd<'_>>,
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_write_timeout(Some(MESSAGE_TIMEOUT))?;
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT))?;
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    let descriptors: Vec<BorrowedFd<'_>> = descriptor.into_iter().collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        control.push(SendAncillaryMessage::ScmRights(&descriptors));
    }
    let sent = sendmsg(
        &*stream,
        &[IoSlice::new(&bytes)],
        &mut control,
        SendFlags::NOSIGNAL,
    )?;
    stream.write_all(&bytes[sent..])
}

/// Receives a message, and the descriptor that belongs to it.
pub(super) fn receive(stream: &mut UnixStream) -> io::Result<(HandoverMessage, Option<OwnedFd>)> {
    let mut head = [0u8; 4];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(
        &*stream,
        &mut [IoSliceMut::new(&mut head)],
        &mut control,
        RecvFlags::CMSG_CLOEXEC,
    )?
    .bytes;
    let mut rights = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let descriptor = rights.next().and_then(|mut descriptors| descriptors.next());
    if received == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    stream.read_exact(&mut head[received..])?;
    let length = u32::from_le_bytes(head) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other("a message that is too large"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    postcard::from_bytes(&bytes)
        .map(|message| (message, descriptor))
        .map_err(io::Error::other)
}
