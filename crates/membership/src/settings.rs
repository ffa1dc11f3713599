//! The settings of a member, and `foca`'s configuration derived from them.

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use crate::seal::{Key, MAX_MESSAGE_BYTES};

/// The number of members to which an indirect probe, a round of gossip or a request is sent. The SWIM paper gives 3 for most
/// uses.
pub(crate) const FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Rounds of gossip in a period while there are updates: five rounds reach 3^5 members within one period.
pub(crate) const GOSSIP_ROUNDS_PER_PERIOD: u32 = 5;
/// How long `foca` stores a member that is down.
const DOWN_RETENTION: Duration = Duration::from_secs(3600);
/// The maximum number of times that a member sends an update with gossip. If n members each send an update k times to random
/// others, a fraction of e^-k doesn't receive it. In a small fleet a suspect must receive its suspicion: e^-12.
const MAX_TRANSMISSIONS: u32 = 12;
/// The minimum number of times that a member sends an update with gossip. In a large fleet anti-entropy delivers the updates
/// that gossip missed, and the k times n transmissions are the largest share of the traffic.
const MIN_TRANSMISSIONS: u32 = 4;
/// The target for the transmissions of one update by all members together, within the two bounds above for each member.
const FLEET_TRANSMISSIONS: u32 = 600;
/// The suspicion timeout in periods, before it is scaled by the size of the fleet.
const SUSPICION_PERIODS: u32 = 4;

/// The settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This member's name, for logs and the status page.
    pub name: String,
    /// The UDP address at which other members reach this one.
    pub address: SocketAddr,
    /// UDP addresses of members to contact in order to join the fleet. This member's own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The key that authenticates all packets of the fleet.
    pub key: Key,
    /// The probe period: one other member is probed in each.
    pub probe_period: Duration,
    /// How long to wait for the answer to a direct probe before probing through other members. Must be less than the period.
    pub probe_timeout: Duration,
    /// How long a suspected member has to refute the suspicion; `None` for the default in [`Settings::suspicion_timeout`].
    pub suspicion_timeout: Option<Duration>,
    /// How long a majority must vote a member down, without interruption, before the member is evicted and its quota is
    /// released. `None`: members that are down are never evicted, only those that announced that they leave.
    pub eviction_delay: Option<Duration>,
    /// A packet is dropped if its time of sending differs from this member's clock by more than this, in either direction.
    pub max_packet_age: Duration,
    /// The configured number of senders in the fleet, this one included.
    pub configured_members: u32,
}

impl Settings {
    /// The suspicion timeout: the one set, or 4 log10(n) periods as in HashiCorp's memberlist, and at least four periods.
    pub fn suspicion_timeout(&self) -> Duration {
        let scale = f64::from(self.configured_members.max(1)).log10().max(1.0);
        self.suspicion_timeout
            .unwrap_or_else(|| (self.probe_period * SUSPICION_PERIODS).mul_f64(scale))
    }

    fn transmissions(&self) -> NonZeroU8 {
        let each = FLEET_TRANSMISSIONS / self.configured_members.max(1);
        let each = each.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS);
        NonZeroU8::new(each as u8).unwrap_or(NonZeroU8::MIN)
    }

    pub(crate) fn foca_config(&self) -> foca::Config {
        foca::Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_timeout,
            num_indirect_probes: FANOUT,
            max_transmissions: self.transmissions(),
            suspect_to_down_after: self.suspicion_timeout(),
            remove_down_after: Some(DOWN_RETENTION),
            max_packet_size: NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MAX),
            notify_down_members: true,
            // Replaced by anti-entropy, which finds members that are unknown on either side.
            periodic_announce: None,
            // Replaced by `Swim::on_contact_timer`: foca's stops while no member is known to be alive.
            periodic_announce_to_down_members: None,
            // Replaced by `Swim::on_gossip_timer`, which respects the limit on sent bytes.
            periodic_gossip: None,
        }
    }
}
