//! The endpoints of simulated destinations, with a listener for each sender.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use cranehill_simulation::destination::SimulatedDestination;
use cranehill_simulation::scenario::Scenario;
use mio::net::TcpListener;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::connection::{Listener, Service};
use super::state::{Endpoint, endpoint_id};
use crate::network::Network;
use crate::senders::PushService;

/// Last byte of the addresses of a sender's endpoints: 127.0.N.1.
const ENDPOINT_HOST: u8 = 1;
/// Addresses 127.0.N.0/24 are used for N up to this, then from the first again.
const SENDER_NETWORKS: usize = 250;

/// The destinations of a scenario, with their listeners.
#[derive(Default)]
pub(super) struct Destinations {
    /// All listeners of endpoints.
    pub(super) listeners: Vec<Listener>,
    /// All endpoints, in the order of their destinations.
    pub(super) endpoints: Vec<Endpoint>,
    /// By destination: its behaviour.
    pub(super) models: Vec<SimulatedDestination>,
    /// By sender: the push services that it is configured with.
    pub(super) push_services: Vec<Vec<PushService>>,
}

impl Destinations {
    /// Opens a listener for each endpoint and sender.
    pub(super) fn open(
        scenario: &Scenario,
        seed: u64,
        network: &mut dyn Network,
    ) -> io::Result<Destinations> {
        let mut all = Destinations {
            push_services: vec![Vec::new(); scenario.senders],
            ..Default::default()
        };
        for (n, member) in scenario.destinations.iter().enumerate() {
            let rng = rng_stream(seed, n as u64);
            all.models.push(SimulatedDestination::new(
                member.spec.clone(),
                member.faults.clone(),
                rng,
            ));
            for number in 0..member.spec.endpoints {
                let addresses = all.open_endpoint(scenario, n, number, network)?;
                if member.push {
                    all.add_push_server(n, &addresses);
                }
                let audited = all.endpoints.len();
                let id = endpoint_id(audited);
                all.endpoints.push(Endpoint {
                    destination: n,
                    number,
                    id,
                    audited,
                    addresses,
                });
            }
        }
        Ok(all)
    }

    /// The addresses of the next endpoint, by sender.
    fn open_endpoint(
        &mut self,
        scenario: &Scenario,
        destination: usize,
        number: usize,
        network: &mut dyn Network,
    ) -> io::Result<Vec<SocketAddr>> {
        let endpoint = self.endpoints.len();
        let zone = scenario.destinations[destination].zones[number];
        let mut addresses = Vec::with_capacity(scenario.senders);
        for sender in 0..scenario.senders {
            let (socket, address) = bind(sender, ENDPOINT_HOST)?;
            self.listeners.push(Listener {
                socket,
                serves: Service::Endpoint { sender, endpoint },
            });
            addresses.push(network.destination_address(sender, zone, address)?);
        }
        Ok(addresses)
    }

    /// One more server of a push service, by its address for each sender.
    fn add_push_server(&mut self, destination: usize, addresses: &[SocketAddr]) {
        for (services, &address) in self.push_services.iter_mut().zip(addresses) {
            match services
                .last_mut()
                .filter(|service| service.destination == destination)
            {
                Some(service) => service.addresses.push(address),
                None => services.push(PushService {
                    destination,
                    addresses: vec![address],
                }),
            }
        }
    }
}

/// A listener with a port of its own, at an address that only this sender uses.
pub(super) fn bind(sender: usize, host: u8) -> io::Result<(TcpListener, SocketAddr)> {
    let ip = Ipv4Addr::new(127, 0, 1 + (sender % SENDER_NETWORKS) as u8, host);
    let socket = TcpListener::bind(SocketAddr::from((ip, 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// The generator of one stream of the seed.
pub(super) fn rng_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream + 1);
    rng
}
