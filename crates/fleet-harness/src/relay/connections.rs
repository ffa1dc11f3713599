//! Relays connections between senders and destinations, and applies network faults to them.

use std::io::ErrorKind;
use std::time::Duration;

use cranehill_simulation::fleet::{NetworkFault, PathFault};
use mio::net::TcpStream;
use mio::{Interest, Token};
use rand::RngExt;
use socket2::SockRef;

use super::command::ConnectionPath;
use super::pair::{Direction, Pair};
use super::worker::{RelaySocket, RelayWorker, TimerEvent};

/// Minimum retransmission timeout of TCP: the time after which a lost segment is sent again (RFC 6298, with the minimum of
/// Linux).
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

impl RelayWorker {
    /// Accepts all pending connections of a listener, and connects each to the endpoint.
    pub(super) fn accept(&mut self, token: usize) {
        loop {
            let Some(RelaySocket::Listener(path)) = self.sockets.get(&token) else {
                return;
            };
            let ConnectionPath {
                listener,
                sender,
                zone,
                real,
            } = path;
            let (sender, zone, real) = (*sender, *zone, *real);
            match listener.accept() {
                Ok((sender_side, _)) => {
                    if let Ok(destination_side) = TcpStream::connect(real) {
                        self.add_pair(sender, zone, [sender_side, destination_side]);
                    }
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => return,
            }
        }
    }

    fn add_pair(&mut self, sender: usize, zone: usize, mut sides: [TcpStream; 2]) {
        let (first, second) = (self.next_token(), self.next_token());
        let registry = self.poll.registry();
        let registered = sides.iter_mut().zip([first, second]).all(|(side, token)| {
            let _ = side.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            registry.register(side, Token(token), interest).is_ok()
        });
        if !registered {
            return;
        }
        let cut = self.now().is_some_and(|now| self.is_cut(sender, zone, now));
        let pair = Pair::new(sender, zone, second, sides, cut);
        self.sockets
            .insert(first, RelaySocket::Pair(Box::new(pair)));
        self.sockets
            .insert(second, RelaySocket::SecondSide { first });
        self.pump(first);
    }

    /// Whether a cut is active on the path from the sender to destinations in the zone.
    fn is_cut(&self, sender: usize, zone: usize, now: Duration) -> bool {
        self.has_fault(PathFault::Cut, sender, zone, now)
    }

    /// Whether this fault is active on the path from the sender to destinations in the zone.
    fn has_fault(&self, path_fault: PathFault, sender: usize, zone: usize, now: Duration) -> bool {
        self.network_faults.iter().any(|fault| {
            fault.path_fault == path_fault
                && fault.is_on(now)
                && fault.at_destinations(sender, zone, false)
        })
    }

    /// Time on the clock of the faults until which bytes are delayed in one direction; zero without a delay. A dropped segment is a
    /// delay, since TCP sends it again.
    fn delayed_until(&mut self, sender: usize, zone: usize, direction: Direction) -> Duration {
        let Some(now) = self.now() else {
            return Duration::ZERO;
        };
        let to_sender = direction == Direction::ToSender;
        let is_active = |fault: &&NetworkFault| {
            fault.is_on(now) && fault.at_destinations(sender, zone, to_sender)
        };
        let mut until = Duration::ZERO;
        for fault in self.network_faults.iter().filter(is_active) {
            match fault.path_fault {
                PathFault::Cut | PathFault::Stall => until = until.max(fault.until),
                PathFault::Delay { by } => until = until.max(now + by),
                PathFault::Drop { share } if self.rng.random_bool(share) => {
                    until = until.max(now + MIN_RETRANSMISSION_TIMEOUT);
                }
                PathFault::Drop { .. } | PathFault::Reset => {}
            }
        }
        until
    }

    /// Copies bytes in both directions of a connection, and closes it when a side has ended or failed. A cut connection stays open.
    pub(super) fn pump(&mut self, token: usize) {
        let Some(RelaySocket::Pair(mut pair)) = self.sockets.remove(&token) else {
            return;
        };
        let now = self.now().unwrap_or_default();
        let mut failed = false;
        for direction in Direction::BOTH {
            failed |= self.read_all(token, &mut pair, direction, now).is_err();
            failed |= pair.write_due(direction, now).is_err();
        }
        if pair.cut || !(failed || pair.is_finished()) {
            self.sockets.insert(token, RelaySocket::Pair(pair));
        } else {
            self.close_pair(*pair, failed);
        }
    }

    fn read_all(
        &mut self,
        token: usize,
        pair: &mut Pair,
        direction: Direction,
        now: Duration,
    ) -> std::io::Result<()> {
        while let Some(bytes) = pair.read_chunk(direction)? {
            let until = self.delayed_until(pair.sender, pair.zone, direction);
            let due = pair.queue(direction, until, bytes);
            if due > now {
                self.schedule(due, TimerEvent::Pump { token });
            }
        }
        Ok(())
    }

    /// Closes both sides, with a TCP reset if `reset` is set.
    fn close_pair(&mut self, mut pair: Pair, reset: bool) {
        for side in &mut pair.sides {
            let _ = self.poll.registry().deregister(side);
            if reset {
                let _ = SockRef::from(&*side).set_linger(Some(Duration::ZERO));
            }
        }
        self.sockets.remove(&pair.second);
    }

    /// Applies the beginning or end of a network fault: marks connections as cut, and resets those under a reset fault or whose cut
    /// has ended.
    pub(super) fn on_fault_edge(&mut self, now: Duration) {
        let (mut reset, mut cut) = (Vec::new(), Vec::new());
        for (&token, socket) in &self.sockets {
            let RelaySocket::Pair(pair) = socket else {
                continue;
            };
            if self.has_fault(PathFault::Reset, pair.sender, pair.zone, now) {
                reset.push(token);
            } else if self.is_cut(pair.sender, pair.zone, now) {
                cut.push(token);
            } else if pair.cut {
                reset.push(token);
            }
        }
        for token in cut {
            if let Some(RelaySocket::Pair(pair)) = self.sockets.get_mut(&token) {
                pair.cut = true;
            }
        }
        for token in reset {
            if let Some(RelaySocket::Pair(pair)) = self.sockets.remove(&token) {
                self.close_pair(*pair, true);
            }
        }
    }
}
