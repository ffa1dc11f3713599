//! The endpoints of simulated destinations, with one listener for each endpoint and sender.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use cranehill_simulation::destination::SimulatedDestination;
use cranehill_simulation::scenario::Scenario;
use mio::net::TcpListener;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::connection::{Listener, ListenerOwner};
use super::state::{Endpoint, endpoint_id};
use crate::network::Network;
use crate::senders::PushService;

/// Last byte of the addresses at which a sender's endpoints listen: 127.0.N.1.
const ENDPOINT_HOST: u8 = 1;
/// Sender number S uses the network 127.0.N.0/24 with N = 1 + S modulo this.
const SENDER_NETWORKS: usize = 250;

/// The destinations of a scenario, with their listeners.
#[derive(Default)]
pub(super) struct Destinations {
    /// The listeners of all endpoints.
    pub(super) listeners: Vec<Listener>,
    /// All endpoints, grouped by destination.
    pub(super) endpoints: Vec<Endpoint>,
    /// By destination: the model of its behaviour.
    pub(super) models: Vec<SimulatedDestination>,
    /// By sender: the push services in its configuration.
    pub(super) push_services: Vec<Vec<PushService>>,
}

impl Destinations {
    /// Opens a listener for each endpoint and sender, and creates the models of the destinations.
    ///
    /// # Errors
    /// A listener can't be opened, or `network` can't map its address.
    pub(super) fn open(
        scenario: &Scenario,
        seed: u64,
        network: &mut dyn Network,
    ) -> io::Result<Destinations> {
        let mut destinations = Destinations {
            push_services: vec![Vec::new(); scenario.senders],
            ..Default::default()
        };
        for (n, member) in scenario.destinations.iter().enumerate() {
            let rng = rng_stream(seed, n as u64);
            destinations.models.push(SimulatedDestination::new(
                member.spec.clone(),
                member.faults.clone(),
                rng,
            ));
            for number in 0..member.spec.endpoints {
                let addresses = destinations.open_endpoint(scenario, n, number, network)?;
                if member.push {
                    destinations.add_push_server(n, &addresses);
                }
                let audit_number = destinations.endpoints.len();
                let id = endpoint_id(audit_number);
                destinations.endpoints.push(Endpoint {
                    destination: n,
                    number,
                    id,
                    audit_number,
                    addresses,
                });
            }
        }
        Ok(destinations)
    }

    /// Opens the listeners of the next endpoint; returns the address for each sender.
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
                owner: ListenerOwner::Endpoint { sender, endpoint },
            });
            addresses.push(network.destination_address(sender, zone, address)?);
        }
        Ok(addresses)
    }

    /// Adds a server, with its address for each sender, to a push service. Servers are added grouped by destination.
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

/// Opens a listener with a free port at an address for this sender: 127.0.N.`host`.
pub(super) fn bind(sender: usize, host: u8) -> io::Result<(TcpListener, SocketAddr)> {
    let ip = Ipv4Addr::new(127, 0, 1 + (sender % SENDER_NETWORKS) as u8, host);
    let socket = TcpListener::bind(SocketAddr::from((ip, 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// The random generator with this seed and stream; streams of one seed are independent.
pub(super) fn rng_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream + 1);
    rng
}
