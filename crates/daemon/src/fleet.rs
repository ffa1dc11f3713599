//! The operators' file for the fleet: where the senders reach each other, and at what pace they look after each other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cranehill_membership::{Key, Settings};
use cranehill_recovery as recovery;
use cranehill_scheduler::api;
use cranehill_zone_failover as zones;
use serde::Deserialize;

use crate::time_span::{self, Span};

/// Shorter periods would be spent on the probes themselves, longer ones find a failure too late to be of use.
const PERIODS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(60)];

/// The file's text, as it stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// UDP.
    listen: SocketAddr,
    /// Where the others reach us, if not there.
    advertise: Option<SocketAddr>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// The fleet's key: a file with 64 hexadecimal digits, beside this one unless the path is whole.
    pub key: PathBuf,
    /// HTTP, for the operators: the sender's view of the fleet.
    status: Option<SocketAddr>,
    period: Option<Span>,
    round_trip: Option<Span>,
    suspicion: Option<Span>,
    hold: Option<Hold>,
    late: Option<Span>,
    recovery: Option<Recovery>,
    zones: Option<Zones>,
}

/// How the fleet leaves a zone and returns to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Zones {
    window: Option<Span>,
    settle: Option<Span>,
    probes: Option<f64>,
    out: Option<Span>,
    out_most: Option<Span>,
    calm: Option<Span>,
}

impl Zones {
    /// `warm` is the rule's time until a destination that is back is warm.
    fn settings(&self, warm: Duration) -> Result<zones::Settings, String> {
        let span =
            |given: Option<Span>, usual: u64| given.map_or(Duration::from_millis(usual), |s| s.0);
        // The reasons are in docs/zones.md.
        let settings = zones::Settings {
            window: span(self.window, 2000),
            settle: span(self.settle, 300),
            probes: self.probes.unwrap_or(4.0),
            out: [span(self.out, 2000), span(self.out_most, 60_000)],
            warm,
            calm: span(self.calm, 30_000),
        };
        if !(0.1..=100.0).contains(&settings.probes) {
            return Err(format!(
                "zones: probes: {} a second is not from 0.1 to 100",
                settings.probes
            ));
        }
        if settings.window.is_zero() || settings.out[0] > settings.out[1] {
            return Err("zones: window must be above zero, and out no longer than out_most".into());
        }
        Ok(settings)
    }
}

/// How old what is recalled after a restart may be, and how the way back goes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Recovery {
    window: Option<Span>,
    limit: Option<Span>,
    state: Option<Span>,
    ask: Option<Span>,
    alone: Option<Span>,
    remember: Option<Span>,
}

impl Recovery {
    fn settings(&self, late: Duration) -> Result<recovery::Settings, String> {
        let span =
            |given: Option<Span>, usual: u64| given.map_or(Duration::from_millis(usual), |s| s.0);
        // The reasons are in docs/recovery.md.
        let bounds = recovery::Bounds {
            window: span(self.window, 10_000),
            limit: span(self.limit, 10_000),
            state: span(self.state, 10_000),
            ahead: late,
        };
        let settings = recovery::Settings {
            bounds,
            ask: span(self.ask, 500),
            alone: span(self.alone, 2000),
            remember: span(self.remember, 1000),
        };
        let least = Duration::from_millis(50);
        if settings.ask < least || settings.remember < least {
            return Err(format!("recovery: ask and remember are at least {least:?}"));
        }
        Ok(settings)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Hold {
    For(Span),
    #[serde(rename = "Word")]
    Text(String),
}

/// What the file comes to.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub listen: SocketAddr,
    pub status: Option<SocketAddr>,
    pub settings: Settings,
    /// Whether it comes back by steps after a restart, and how.
    pub recovery: Option<recovery::Settings>,
    /// Whether it leaves zones with the fleet, and how.
    pub zones: Option<zones::Settings>,
}

/// Reads the file.
pub fn parse(text: &str) -> Result<File, String> {
    time_span::parse(text)
}

impl File {
    /// Checks it; `name` and `settings` are those of the sender's configuration.
    pub fn fleet(&self, key: Key, name: &str, settings: &api::Settings) -> Result<Fleet, String> {
        let (senders, warm) = (settings.instances, settings.rules.cold);
        let span =
            |given: Option<Span>, usual: u64| given.map_or(Duration::from_millis(usual), |s| s.0);
        let (period, round_trip) = (span(self.period, 1000), span(self.round_trip, 300));
        if period < PERIODS[0] || period > PERIODS[1] {
            return Err(format!(
                "period: {period:?} is not from {:?} to {:?}",
                PERIODS[0], PERIODS[1]
            ));
        }
        if round_trip.is_zero() || round_trip * 2 > period {
            return Err(format!(
                "round_trip: {round_trip:?} is not above zero and at most half a period: the way through others takes \
                 as long again"
            ));
        }
        let suspicion = self.suspicion.map(|s| s.0);
        if suspicion.is_some_and(|s| s < period) {
            return Err(
                "suspicion: it must be a period at least: there must be time to refute it".into(),
            );
        }
        let late = span(self.late, 5000);
        if late < period {
            return Err("late: it must be a period at least".into());
        }
        let at = self.advertise.unwrap_or(self.listen);
        if at.port() == 0 || at.ip().is_unspecified() {
            return Err(format!(
                "advertise: nobody can reach {at}; name the address that the others use"
            ));
        }
        let hold = match &self.hold {
            None => Some(Duration::from_secs(30)),
            Some(Hold::For(span)) => Some(span.0),
            Some(Hold::Text(text)) if text == "never" => None,
            Some(Hold::Text(text)) => {
                return Err(format!("hold: '{text}' is neither a span nor \"never\""));
            }
        };
        let (name, seeds) = (name.to_owned(), self.seeds.clone());
        let settings = Settings {
            name,
            at,
            seeds,
            key,
            period,
            round_trip,
            suspicion,
            eviction_delay: hold,
            max_packet_age: late,
            configured_members: senders,
        };
        if hold.is_some_and(|hold| hold < settings.suspicion()) {
            return Err(format!(
                "hold: it must be a suspicion ({:?}) at least",
                settings.suspicion()
            ));
        }
        let recovery = self
            .recovery
            .as_ref()
            .map(|r| r.settings(late))
            .transpose()?;
        let zones = self.zones.as_ref().map(|z| z.settings(warm)).transpose()?;
        Ok(Fleet {
            listen: self.listen,
            status: self.status,
            settings,
            recovery,
            zones,
        })
    }
}
