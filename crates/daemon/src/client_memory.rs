//! The memory that the input of all clients together may use.
//!
//! Every client's connection may hold [`SMALL_INPUT_BYTES`]. A request that needs more is read only under a [`Reservation`] for the
//! largest request, so that it can always be read completely. Without room for one, the connection waits for its turn, and what it
//! has sent stays in the kernel's socket buffer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cranehill_scheduler::Time;

/// Input that a connection may hold without a reservation.
pub(crate) const SMALL_INPUT_BYTES: usize = 4096;
/// Reservations may use this fraction of the process's memory, as a divisor.
const MEMORY_DIVISOR: usize = 8;
/// How long a connection waits for room before its request is rejected, and how long a request without progress keeps its room while
/// others wait. Clients wait for an answer for 400 ms.
pub(crate) const ROOM_TIMEOUT: Duration = Duration::from_millis(200);

/// Room for one large request. Dropping it gives the room back.
#[derive(Debug)]
pub(crate) struct Reservation {
    bytes: usize,
    reserved: Arc<AtomicUsize>,
    pub(crate) since: Time,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// How much input one client's connection may hold.
#[derive(Debug)]
pub(crate) struct InputAllowance {
    limit: usize,
    reservation: Option<Reservation>,
    /// Since when the connection waits for room.
    waiting_since: Option<Time>,
}

impl Default for InputAllowance {
    fn default() -> InputAllowance {
        InputAllowance {
            limit: SMALL_INPUT_BYTES,
            reservation: None,
            waiting_since: None,
        }
    }
}

impl InputAllowance {
    /// The number of bytes up to which input may be read.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Whether the connection waits for room.
    pub(crate) fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    /// When the connection has waited for room for too long; `None` if it does not wait.
    pub(crate) fn deadline(&self) -> Option<Time> {
        self.waiting_since.map(|since| since + ROOM_TIMEOUT)
    }

    /// Lets the connection wait for a further [`ROOM_TIMEOUT`], since room is freed for it.
    pub(crate) fn wait_on(&mut self, now: Time) {
        self.waiting_since = Some(now);
    }

    /// Since when the connection holds room for a large request.
    pub(crate) fn reserved_since(&self) -> Option<Time> {
        self.reservation.as_ref().map(|room| room.since)
    }

    /// Raises the limit for an incomplete request that needs `needed` bytes, of which `held` have been read. What may be read of
    /// the next request along with it is small. Returns false if a reservation is needed first.
    pub(crate) fn raise(&mut self, held: usize, needed: usize) -> bool {
        if needed <= SMALL_INPUT_BYTES {
            return true;
        }
        if self.reservation.is_none() {
            return false;
        }
        self.limit = needed.max(held + SMALL_INPUT_BYTES);
        true
    }

    /// Lowers the limit after a request was removed from the input, of which `held` bytes remain.
    pub(crate) fn lower(&mut self, held: usize) {
        self.limit = SMALL_INPUT_BYTES;
        self.waiting_since = None;
        if held <= SMALL_INPUT_BYTES {
            self.reservation = None;
        }
    }

    /// Lifts the limit for a connection that is about to be closed: its requests are only rejected.
    pub(crate) fn lift(&mut self, held: usize, needed: usize) {
        self.limit = needed.max(held + SMALL_INPUT_BYTES);
    }
}

/// The result of [`ClientMemory::request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Room {
    /// The connection has a reservation now.
    Granted,
    /// The connection waits for its turn.
    Waiting,
}

/// The room for large requests, and the connections that wait for it.
#[derive(Debug)]
pub(crate) struct ClientMemory {
    /// Limit on the sum of all reservations, in bytes.
    limit: usize,
    /// The size of a reservation: the largest request.
    request_bytes: usize,
    reserved: Arc<AtomicUsize>,
    /// Connections in the order in which they get room.
    waiting: VecDeque<usize>,
}

impl ClientMemory {
    /// `memory` is the number of bytes that the process may use, `request_bytes` the size of the largest request. There is always room
    /// for one.
    pub(crate) fn new(memory: usize, request_bytes: usize) -> ClientMemory {
        ClientMemory {
            limit: (memory / MEMORY_DIVISOR).max(request_bytes),
            request_bytes,
            reserved: Arc::default(),
            waiting: VecDeque::new(),
        }
    }

    /// Limit on the sum of all reservations, in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// The sum of all reservations, in bytes.
    pub(crate) fn reserved_bytes(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reserves room for a large request on `connection`. Connections get room in the order in which they ask.
    pub(crate) fn request(
        &mut self,
        connection: usize,
        allowance: &mut InputAllowance,
        now: Time,
    ) -> Room {
        if allowance.waiting_since.is_some() {
            return Room::Waiting;
        }
        if self.waiting.is_empty() && self.has_room() {
            allowance.reservation = Some(self.reserve(now));
            return Room::Granted;
        }
        allowance.waiting_since = Some(now);
        self.waiting.push_back(connection);
        Room::Waiting
    }

    /// The connection that gets room next, if there is room.
    pub(crate) fn next(&mut self) -> Option<usize> {
        self.has_room().then(|| self.waiting.pop_front()).flatten()
    }

    /// Reserves room for the connection that [`ClientMemory::next`] has returned.
    pub(crate) fn grant(&self, allowance: &mut InputAllowance, now: Time) {
        allowance.waiting_since = None;
        allowance.reservation = Some(self.reserve(now));
    }

    /// Reserves room, beyond the limit if need be, for input that is held already: another process has read it within its own limit.
    pub(crate) fn adopt(&self, allowance: &mut InputAllowance, held: usize, now: Time) {
        if held > SMALL_INPUT_BYTES {
            allowance.reservation = Some(self.reserve(now));
        }
    }

    /// Number of connections in the queue, among them those that have ended since.
    pub(crate) fn queue_length(&self) -> usize {
        self.waiting.len()
    }

    /// Removes the connections from the queue that do not wait any more.
    pub(crate) fn retain_waiting(&mut self, is_waiting: impl Fn(usize) -> bool) {
        self.waiting.retain(|&connection| is_waiting(connection));
    }

    fn has_room(&self) -> bool {
        self.reserved_bytes() + self.request_bytes <= self.limit
    }

    fn reserve(&self, now: Time) -> Reservation {
        self.reserved
            .fetch_add(self.request_bytes, Ordering::Relaxed);
        Reservation {
            bytes: self.request_bytes,
            reserved: self.reserved.clone(),
            since: now,
        }
    }
}
