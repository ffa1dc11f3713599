//! The messages of a hand-over on a Unix socket: a length of 4 bytes (little-endian), then the message in postcard.

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
/// How long each side waits for the other's next message. It does nothing else meanwhile.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of a message: larger than the largest request of a client, and than all learned state.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The first bytes that the new process sends, which identify the protocol version. It repeats them to confirm the end.
pub(super) const GREETING: &[u8; 8] = b"hand-o1\n";

/// A message of the old process. A descriptor is sent as ancillary data.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum HandoverMessage {
    /// The listener for clients, or (`push`) for Web Push. With a descriptor.
    Listener { push: bool },
    /// A client connection, the bytes read of its next request, and whether it has sent a complete request before. With a
    /// descriptor.
    Client { input: Vec<u8>, asked: bool },
    /// Learned state, encoded by `cranehill_recovery::encode_state_file`.
    #[serde(rename = "Learnt")]
    LearnedState(Vec<u8>),
    /// The last message. The new process confirms that it has received everything.
    End,
}

/// Sends a message, with a descriptor if one belongs to it.
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

/// Receives a message, with a descriptor if one belongs to it.
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
        return Err(io::Error::other("hand-over message exceeds the size limit"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    postcard::from_bytes(&bytes)
        .map(|message| (message, descriptor))
        .map_err(io::Error::other)
}
