//! The file `fleet.toml` of a sender that is a member of a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_simulation::fleet::Fleet;

/// The fleet key that all members of a scenario share. It is public, because scenarios send no secrets.
pub(super) const FLEET_KEY: &str =
    "7265686561727365206f6e206c6f6f706261636b2c207265686561727365212e";

/// The addresses and shared settings with which a sender joins its fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    /// UDP address at which it receives packets.
    pub listen: SocketAddr,
    /// UDP address to which the other members send packets for it.
    pub advertise: SocketAddr,
    /// Addresses of the members that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The settings that all members share.
    pub fleet: Fleet,
}

impl FleetSettings {
    /// The text of `fleet.toml`.
    pub(super) fn to_toml(&self) -> String {
        let Fleet {
            period,
            round_trip,
            suspicion,
            hold,
            recovery,
            zones,
        } = &self.fleet;
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let mut text = format!(
            "listen = \"{}\"\nadvertise = \"{}\"\nseeds = {seeds:?}\nkey = \"fleet.key\"\nstatus = \"127.0.0.1:0\"\n\
             period = {}\nround_trip = {}\nhold = {}\n",
            self.listen,
            self.advertise,
            milliseconds(period),
            milliseconds(round_trip),
            milliseconds(hold)
        );
        if let Some(suspicion) = suspicion {
            text.push_str(&format!("suspicion = {}\n", milliseconds(suspicion)));
        }
        if *recovery {
            text.push_str("[recovery]\n");
        }
        if *zones {
            text.push_str("[zones]\n");
        }
        text
    }
}

fn milliseconds(duration: &Duration) -> String {
    format!("\"{} ms\"", duration.as_millis())
}
