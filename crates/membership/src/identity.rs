//! The identity of a member: its address and incarnation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The incarnation of a member of which only the address is known. No running member has it.
pub(crate) const UNKNOWN_INCARNATION: u64 = 0;

/// A member as the others know it. The address identifies the member. The incarnation grows with each start, and each time that
/// the member rejoins after it was declared down, so that statements about an earlier incarnation don't affect the present one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The UDP address that the member receives packets at.
    pub at: SocketAddr,
    /// Milliseconds since 1970 at the member's start, and one more for each time that it rejoined.
    pub incarnation: u64,
    /// The member's name in its configuration, for people.
    pub name: String,
}

impl Identity {
    /// Whoever listens at an address: enough to announce ourselves there.
    pub fn unknown(at: SocketAddr) -> Identity {
        Identity {
            at,
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
        self.at
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        self.incarnation > other.incarnation
    }
}
