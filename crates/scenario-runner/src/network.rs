//! The network between senders and simulated servers, and among senders. The scenario runner connects them directly; the fleet harness
//! inserts a relay.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use cranehill_simulation::fleet::Fleet;

/// Maps the address at which a simulated server or a sender listens to the address at which others reach it.
pub trait Network {
    /// The TCP address at which `sender` reaches an endpoint in `zone` that listens at `real`.
    fn destination_address(
        &mut self,
        sender: usize,
        zone: usize,
        real: SocketAddr,
    ) -> io::Result<SocketAddr>;

    /// The UDP address at which the other members reach `sender`, which listens at `real`.
    fn sender_address(&mut self, sender: usize, real: SocketAddr) -> io::Result<SocketAddr>;

    /// Starts the simulated members of the fleet; `senders` are the UDP addresses of the real ones. Returns addresses of simulated
    /// members that the senders use as additional seeds.
    fn join(&mut self, _fleet: &Fleet, _senders: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
        Ok(Vec::new())
    }

    /// Called once when the scenario starts; `at` is time zero of its clock.
    fn begin(&mut self, at: Instant);
}

/// Direct connections: each address is the one at which the listener is bound.
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
