//! How a sender takes part, and what `foca` is told of it.

use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use crate::seal::{MAX_PACKET, OVERHEAD};

/// The fleet's key: who has it is a member.
pub type Key = [u8; 32];

/// What fits into a packet.
pub(crate) const MAX_MESSAGE: usize = MAX_PACKET - OVERHEAD;
/// Others that are asked to probe for us, and that a piece of gossip goes to. SWIM's paper gives 3 for most uses.
pub(crate) const FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Gossip goes out so many times a period while there is some: five rounds reach 3^5 members within one period.
pub(crate) const GOSSIPS_PER_PERIOD: u32 = 5;
/// A member that is down is kept for so long.
const DOWN_RETENTION: Duration = Duration::from_secs(3600);
/// How often an update goes out from each member that has it, at most and at least. Of n members that each send it k times to
/// random others, a share of e^-k misses it. In a small fleet that must not happen to a suspect (twelve times: e^-12); in a large
/// one the exchange by digest repairs it, and k times n updates are what costs most.
const TRANSMISSIONS: [u32; 2] = [12, 4];
/// Transmissions times members, between these two.
const TRANSMISSIONS_OF_ALL: u32 = 600;

/// How this sender takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Where the others reach us.
    pub at: SocketAddr,
    /// Whom to ask for the others.
    pub seeds: Vec<SocketAddr>,
    pub key: Key,
    /// Each period one other is probed.
    pub period: Duration,
    /// An answer that takes longer is asked for through others. Less than a period.
    pub round_trip: Duration,
    /// A suspected member has so long to refute it; `None` for four periods, and more from ten senders on.
    pub suspicion: Option<Duration>,
    /// A majority must agree for so long before a member's part of a limit is free; `None` for ever.
    pub eviction_delay: Option<Duration>,
    /// A packet is dropped whose time of sending differs by more from ours.
    pub max_packet_age: Duration,
    /// Senders by the deployment's settings.
    pub configured_members: u32,
}

impl Settings {
    /// [`Settings::suspicion`], or what holds in its place: 4 log10(n) periods as in memberlist, four at least.
    pub fn suspicion(&self) -> Duration {
        let scale = f64::from(self.configured_members.max(1)).log10().max(1.0);
        self.suspicion
            .unwrap_or_else(|| (self.period * 4).mul_f64(scale))
    }

    fn transmissions(&self) -> NonZeroU8 {
        let [most, least] = TRANSMISSIONS;
        let times = (TRANSMISSIONS_OF_ALL / self.configured_members.max(1)).clamp(least, most);
        NonZeroU8::new(times as u8).unwrap_or(NonZeroU8::MIN)
    }

    pub(crate) fn config(&self) -> foca::Config {
        foca::Config {
            probe_period: self.period,
            probe_rtt: self.round_trip,
            num_indirect_probes: FANOUT,
            max_transmissions: self.transmissions(),
            suspect_to_down_after: self.suspicion(),
            remove_down_after: Some(DOWN_RETENTION),
            max_packet_size: NonZeroUsize::new(MAX_MESSAGE).unwrap_or(NonZeroUsize::MAX),
            notify_down_members: true,
            // Ours: the exchange by digest.
            periodic_announce: None,
            // Ours, since foca's rests while it knows of nobody alive.
            periodic_announce_to_down_members: None,
            // Ours, at a bounded pace.
            periodic_gossip: None,
        }
    }
}
