//! The network between senders and simulated servers. The scenario runner connects them directly; the fleet harness puts relays in between.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cranehill_simulation::fleet::Fleet;

/// Maps the address on which a simulated server or a sender listens to the address that the others use for it.
pub trait Network {
    /// The address (TCP) under which `sender` reaches an endpoint of `zone` that listens at `real`.
    fn destination_address(
        &mut self,
        sender: usize,
        zone: usize,
        real: SocketAddr,
    ) -> io::Result<SocketAddr>;

    /// The address (UDP) under which the other senders reach `sender`, which listens at `real`.
    fn sender_address(&mut self, sender: usize, real: SocketAddr) -> io::Result<SocketAddr>;

    /// Starts members of the fleet that are not real senders; the senders receive packets at `senders`. Returns addresses of some
    /// of these members, for the senders to contact first.
    fn join(&mut self, _fleet: &Fleet, _senders: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
        Ok(Vec::new())
    }

    /// The scenario's clock starts at this instant.
    fn begin(&mut self, at: Instant);
}

/// Direct connections: every address is the real one.
#[derive(Clone, Copy, Debug)]
pub struct Direct;

impl Network for Direct {
    fn destination_address(
        &mut self,
        _sender: usize,
        _zone: usize,
        real: SocketAddr,
    ) -> io::Result<SocketAddr> {
        Ok(real)
    }

    fn sender_address(&mut self, _sender: usize, real: SocketAddr) -> io::Result<SocketAddr> {
        Ok(real)
    }

    fn begin(&mut self, _at: Instant) {}
}
