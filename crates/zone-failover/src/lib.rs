//! Zones: when the whole fleet leaves one, who tries it, and when it returns. No clock, socket, thread or file.
//!
//! Start at [`Zones`]: what calls came to goes in ([`Zones::ended`]), what other members say ([`ZoneAnnouncement`]) with each
//! [`Zones::look`], which tells what changes here ([`Change`]). `docs/zones.md` has the options and the reasons.
#![forbid(unsafe_code)]

mod evidence;
mod zones;

pub use evidence::{Evidence, View};
pub use zones::{Change, Settings, State, ZoneAnnouncement, Zones};
