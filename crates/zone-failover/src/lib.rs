//! Zone failover: decides when a whole fleet evacuates a zone, probes it, and returns to it. The crate does no I/O and
//! reads no clock.
//!
//! The main type is [`Zones`]. A member records its finished attempts ([`Zones::record_attempt`]), passes in the
//! announcements of the other members ([`Zones::evaluate`], which returns each [`Change`]), and announces its own view
//! ([`Zones::announcements`]). `docs/zones.md` describes the alternatives and the reasons for this design.

mod announcement;
mod attempt_history;
mod settings;
mod tally;
mod zone;
mod zones;

pub use announcement::{MemberAnnouncements, State, View, ZoneAnnouncement};
pub use settings::Settings;
pub use zone::Change;
pub use zones::Zones;
