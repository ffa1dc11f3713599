//! A relayed connection: its sockets to the sender and the destination, and the bytes buffered between them.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use mio::net::TcpStream;

/// Largest number of bytes in one read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Largest number of bytes that are buffered in one direction before reading stops.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// A direction in which bytes flow through a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToDestination,
    ToSender,
}

impl Direction {
    pub(super) const BOTH: [Direction; 2] = [Direction::ToDestination, Direction::ToSender];

    /// Index of the side that is read, and of this direction's flow.
    fn source(self) -> usize {
        match self {
            Direction::ToDestination => 0,
            Direction::ToSender => 1,
        }
    }

    /// Index of the side that is written to.
    fn target(self) -> usize {
        1 - self.source()
    }
}

/// Bytes that must not be written before `due`, a time on the clock of the faults.
struct DelayedChunk {
    due: Duration,
    bytes: Vec<u8>,
}

/// The bytes buffered in one direction of a connection.
#[derive(Default)]
struct Flow {
    chunks: VecDeque<DelayedChunk>,
    unsent_bytes: usize,
    /// Whether the side that is read has reached its end.
    ended: bool,
}

impl Flow {
    fn accepts_more(&self) -> bool {
        !self.ended && self.unsent_bytes < MAX_UNSENT_BYTES
    }

    fn is_finished(&self) -> bool {
        self.ended && self.chunks.is_empty()
    }
}

/// A relayed connection.
pub(super) struct Pair {
    pub(super) sender: usize,
    /// Number of the endpoint's zone.
    pub(super) zone: usize,
    /// Token of the socket to the destination.
    pub(super) second: usize,
    /// The sockets to the sender and to the destination.
    pub(super) sides: [TcpStream; 2],
    /// Buffered bytes to the destination, and to the sender.
    flows: [Flow; 2],
    /// Whether the connection was cut; if so, it is reset when the cut ends.
    pub(super) cut: bool,
}

impl Pair {
    pub(super) fn new(
        sender: usize,
        zone: usize,
        second: usize,
        sides: [TcpStream; 2],
        cut: bool,
    ) -> Pair {
        Pair {
            sender,
            zone,
            second,
            sides,
            flows: [Flow::default(), Flow::default()],
            cut,
        }
    }

    /// Reads one chunk; `None` if no bytes are available, the side has ended, or the buffer is full.
    pub(super) fn read_chunk(&mut self, direction: Direction) -> io::Result<Option<Vec<u8>>> {
        let source = direction.source();
        if !self.flows[source].accepts_more() {
            return Ok(None);
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let side = &mut self.sides[source];
        match unless_blocked(|| side.read(&mut chunk))? {
            Some(0) => {
                self.flows[source].ended = true;
                Ok(None)
            }
            Some(count) => Ok(Some(chunk[..count].to_vec())),
            None => Ok(None),
        }
    }

    /// Buffers bytes that must not be written before `due`, nor before bytes that were read earlier. Returns the time from which
    /// they may be written.
    pub(super) fn queue(
        &mut self,
        direction: Direction,
        due: Duration,
        bytes: Vec<u8>,
    ) -> Duration {
        let flow = &mut self.flows[direction.source()];
        let previous = flow.chunks.back().map_or(Duration::ZERO, |chunk| chunk.due);
        let due = due.max(previous);
        flow.unsent_bytes += bytes.len();
        flow.chunks.push_back(DelayedChunk { due, bytes });
        due
    }

    /// Writes the chunks that are due, as far as the socket accepts them.
    pub(super) fn write_due(&mut self, direction: Direction, now: Duration) -> io::Result<()> {
        let flow = &mut self.flows[direction.source()];
        let side = &mut self.sides[direction.target()];
        while let Some(chunk) = flow.chunks.front_mut() {
            if chunk.due > now || self.cut {
                return Ok(());
            }
            let Some(count) = unless_blocked(|| side.write(&chunk.bytes))? else {
                return Ok(());
            };
            flow.unsent_bytes -= count;
            chunk.bytes.drain(..count);
            if chunk.bytes.is_empty() {
                flow.chunks.pop_front();
            }
        }
        Ok(())
    }

    /// Whether a side has ended and all its bytes were written to the other.
    pub(super) fn is_finished(&self) -> bool {
        self.flows.iter().any(Flow::is_finished)
    }
}

/// Runs a read or write, and repeats it if it is interrupted; `None` if the socket is not ready.
fn unless_blocked(mut transfer: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
    loop {
        match transfer() {
            Ok(count) => return Ok(Some(count)),
            Err(e) => match e.kind() {
                ErrorKind::Interrupted => {}
                ErrorKind::WouldBlock | ErrorKind::NotConnected => return Ok(None),
                _ => return Err(e),
            },
        }
    }
}
