//! The file `webpush.toml` of a sender that accepts Web Push.

use std::net::SocketAddr;

use cranehill_simulation::scenario::Scenario;

use super::configuration::listed_rate;
use crate::wire::push_path;

/// A push service, with the addresses at which one sender reaches it.
#[derive(Clone, Debug)]
pub(crate) struct PushService {
    /// Index into [`Scenario::destinations`].
    pub destination: usize,
    /// Addresses of its servers.
    pub addresses: Vec<SocketAddr>,
}

/// The text of `webpush.toml` for one sender; `None` if the scenario has no push service.
pub(crate) fn web_push_file(scenario: &Scenario, services: &[PushService]) -> Option<String> {
    if services.is_empty() {
        return None;
    }
    let mut text = String::from("listen = \"127.0.0.1:0\"\n");
    for PushService {
        destination,
        addresses,
    } in services
    {
        let member = &scenario.destinations[*destination];
        text.push_str(&format!(
            "[[upstream]]\nname = \"p{destination}\"\nrate = {:?}\n",
            listed_rate(member)
        ));
        for address in addresses {
            text.push_str(&format!("[[upstream.server]]\naddress = \"{address}\"\n"));
        }
        let path = push_path(*destination as u64);
        text.push_str(&format!(
            "[[location]]\npath = \"{path}\"\nupstream = \"p{destination}\"\n"
        ));
    }
    Some(text)
}
