//! The handle by which the owner controls the relay's thread.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Instant;

use cranehill_scenario_runner::Network;
use cranehill_simulation::fleet::NetworkFault;
use mio::net::{TcpListener, UdpSocket};
use mio::{Poll, Waker};

use super::command::{Command, ConnectionPath, PacketPath};
use super::traffic::{RelayTraffic, SharedTraffic};
use super::worker::{RelayWorker, WAKE};

/// Number of host addresses that are used in each /24 loopback network.
const HOSTS_PER_NETWORK: usize = 250;

/// A running relay. Dropping it ends its thread.
pub struct Relay {
    commands: Sender<Command>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
    traffic: SharedTraffic,
    listeners: usize,
}

impl Relay {
    /// Starts the relay's thread for `members` members, numbered from 0. `seed` determines the random drops.
    ///
    /// # Errors
    /// The operating system can't create the poll or its waker.
    pub fn start(
        members: usize,
        network_faults: Vec<NetworkFault>,
        seed: u64,
    ) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (commands, received) = channel();
        let traffic = SharedTraffic::new(members);
        let worker = RelayWorker::new(poll, received, network_faults, seed, traffic.clone());
        let thread = std::thread::spawn(move || {
            if let Err(e) = worker.run() {
                log::error!("the relay's thread failed: {e}");
            }
        });
        Ok(Relay {
            commands,
            waker,
            thread: Some(thread),
            traffic,
            listeners: 0,
        })
    }

    /// Packets that the relay has received so far.
    pub fn traffic(&self) -> RelayTraffic {
        self.traffic.snapshot()
    }

    fn send(&self, command: Command) -> io::Result<()> {
        self.commands
            .send(command)
            .map_err(|_| io::Error::other("the relay's thread has ended"))?;
        self.waker.wake()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.send(Command::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Network for Relay {
    fn destination_address(
        &mut self,
        sender: usize,
        zone: usize,
        real: SocketAddr,
    ) -> io::Result<SocketAddr> {
        // Listeners are spread over several addresses, so that no address runs out of ports.
        self.listeners += 1;
        let third_octet = (self.listeners % HOSTS_PER_NETWORK) as u8;
        let ip = Ipv4Addr::new(127, 2, third_octet, 1);
        let listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
        let address = listener.local_addr()?;
        self.send(Command::AddConnectionPath(ConnectionPath {
            listener,
            sender,
            zone,
            real,
        }))?;
        Ok(address)
    }

    fn sender_address(&mut self, sender: usize, real: SocketAddr) -> io::Result<SocketAddr> {
        let network = (sender / HOSTS_PER_NETWORK) as u8;
        let host = 1 + (sender % HOSTS_PER_NETWORK) as u8;
        let ip = Ipv4Addr::new(127, 3, network, host);
        let socket = UdpSocket::bind(SocketAddr::from((ip, 0)))?;
        let address = socket.local_addr()?;
        self.send(Command::AddPacketPath(PacketPath {
            socket,
            to: sender,
            real,
        }))?;
        Ok(address)
    }

    fn begin(&mut self, at: Instant) {
        let _ = self.send(Command::Begin(at));
    }
}
