//! One incarnation of one member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A member as the others know it. Its address is what lasts; its incarnation grows with each start and each return after it was
/// declared down, so that what is said of an earlier incarnation does not touch the present one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Where the others reach it.
    pub at: SocketAddr,
    /// Milliseconds since 1970 at its start, and one more for each return.
    pub incarnation: u64,
    /// Its name in its configuration, for people.
    pub name: String,
}

impl Identity {
    /// Whoever listens there: enough to ask to be let in.
    pub fn unknown(at: SocketAddr) -> Identity {
        Identity {
            at,
            incarnation: 0,
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
