//! The identity of a member: its address and incarnation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The placeholder incarnation of a member whose address alone is known, such as a seed. No running member has it.
pub(crate) const UNKNOWN_INCARNATION: u64 = 0;

/// One incarnation of a member. The address identifies the member. The incarnation grows with each start, and each time that
/// the member rejoins after it was declared down, so that updates about an earlier incarnation don't affect the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The UDP address at which the member receives packets.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// The member's start time in milliseconds since 1970, plus one for each time that it rejoined.
    pub incarnation: u64,
    /// The configured name, for logs and the status page only; it identifies nothing.
    pub name: String,
}

impl Identity {
    /// The identity of a member whose address alone is known, used as the destination of an announcement.
    pub fn unknown(address: SocketAddr) -> Identity {
        Identity {
            address,
            incarnation: UNKNOWN_INCARNATION,
            name: String::new(),
        }
    }
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Identity> {
        Some(Identity {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        self.incarnation > other.incarnation
    }
}
