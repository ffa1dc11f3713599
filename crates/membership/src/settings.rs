//! How a sender takes part in the fleet, and `foca`'s configuration derived from it.

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use crate::seal::{Key, MAX_MESSAGE};

/// The number of members that receive an indirect probe, a round of gossip or a request. SWIM's paper gives 3 for most uses.
pub(crate) const FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Rounds of gossip in a period while there are updates: five rounds reach 3^5 members within one period.
pub(crate) const GOSSIP_ROUNDS_PER_PERIOD: u32 = 5;
/// How long `foca` keeps a member that is down.
const DOWN_RETENTION: Duration = Duration::from_secs(3600);
/// Times that a member passes on an update, at most. Of n members that each send an update k times to random others, a fraction
/// of e^-k misses it. In a small fleet that must not happen to a suspect: e^-12.
const MAX_TRANSMISSIONS: u32 = 12;
/// Times that a member passes on an update, at least. In a large fleet anti-entropy repairs what was missed, and k times n
/// transmissions are what costs most.
const MIN_TRANSMISSIONS: u32 = 4;
/// Transmissions of one update by all members together, between the two bounds above.
const FLEET_TRANSMISSIONS: u32 = 600;
/// The suspicion timeout in periods, before it is scaled by the size of the fleet.
const SUSPICION_PERIODS: u32 = 4;

/// How this sender takes part in the fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This member's name, for people.
    pub name: String,
    /// The UDP address that the other members reach us at.
    pub at: SocketAddr,
    /// Addresses of members to announce ourselves to.
    pub seeds: Vec<SocketAddr>,
    /// The key that all packets of the fleet are authenticated with.
    pub key: Key,
    /// The probe period: in each one, one other member is probed.
    pub period: Duration,
    /// Without an answer for this long, a probe is repeated through other members. Less than a period.
    pub round_trip: Duration,
    /// How long a suspected member may refute the suspicion; `None` for the default of [`Settings::suspicion`].
    pub suspicion: Option<Duration>,
    /// How long a majority must agree that a member is down before it is evicted and its quota is free; `None` for never.
    pub eviction_delay: Option<Duration>,
    /// A packet is dropped whose time of sending differs from our clock by more than this.
    pub max_packet_age: Duration,
    /// The number of senders by the deployment's settings, ourselves included.
    pub configured_members: u32,
}

impl Settings {
    /// The suspicion timeout: as set, or 4 log10(n) periods as in memberlist, with at least four.
    pub fn suspicion(&self) -> Duration {
        let scale = f64::from(self.configured_members.max(1)).log10().max(1.0);
        self.suspicion
            .unwrap_or_else(|| (self.period * SUSPICION_PERIODS).mul_f64(scale))
    }

    fn transmissions(&self) -> NonZeroU8 {
        let each = FLEET_TRANSMISSIONS / self.configured_members.max(1);
        let each = each.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS);
        NonZeroU8::new(each as u8).unwrap_or(NonZeroU8::MIN)
    }

    pub(crate) fn foca_config(&self) -> foca::Config {
        foca::Config {
            probe_period: self.period,
            probe_rtt: self.round_trip,
            num_indirect_probes: FANOUT,
            max_transmissions: self.transmissions(),
            suspect_to_down_after: self.suspicion(),
            remove_down_after: Some(DOWN_RETENTION),
            max_packet_size: NonZeroUsize::new(MAX_MESSAGE).unwrap_or(NonZeroUsize::MAX),
            notify_down_members: true,
            // Replaced by anti-entropy.
            periodic_announce: None,
            // Replaced by `Swim::contact_absent`: foca's stops while no member is known to be alive.
            periodic_announce_to_down_members: None,
            // Replaced by `Swim::gossip`, which keeps to the byte limit.
            periodic_gossip: None,
        }
    }
}
