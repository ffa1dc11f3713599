//! Zone failover: when a whole fleet evacuates a zone, probes it, and returns to it. No I/O, and no clock.
//!
//! Start at [`Zones`]: a member passes in how its attempts finish ([`Zones::record_attempt`]) and what the others
//! announce ([`Zones::evaluate`], which returns each [`Change`]), and announces its own view ([`Zones::announcements`]).
//! `docs/zones.md` has the options and the reasons.

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
