//! The operators' file for the fleet: where the senders reach each other, and how often they check each other.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cranehill_membership::{Key, Settings};
use cranehill_recovery as recovery;
use cranehill_scheduler::api;
use cranehill_zone_failover as zones;
use serde::Deserialize;

use crate::time_span::TimeSpan;
use crate::toml_file::{self, TomlError};

/// Shorter probe periods would be spent on the probes themselves.
const MIN_PERIOD: Duration = Duration::from_millis(50);
/// Longer probe periods find a failure too late to be of use.
const MAX_PERIOD: Duration = Duration::from_secs(60);
/// Requests for learned state, and writes of it, are no more frequent than this.
const MIN_RECOVERY_INTERVAL: Duration = Duration::from_millis(50);

/// Why a fleet file can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetFileError {
    /// The text is not the TOML that was expected.
    #[error(transparent)]
    Toml(#[from] TomlError),
    /// The probe period is out of range.
    #[error("period: {period:?} is not from {MIN_PERIOD:?} to {MAX_PERIOD:?}")]
    Period {
        /// As given.
        period: Duration,
    },
    /// The round trip is zero, or leaves no time in the period for the indirect probe.
    #[error(
        "round_trip: {round_trip:?} is not above zero and at most half a period: the way through others takes as long again"
    )]
    RoundTrip {
        /// As given.
        round_trip: Duration,
    },
    /// The suspicion is shorter than a period.
    #[error("suspicion: it must be a period at least: there must be time to refute it")]
    Suspicion,
    /// The largest age of a packet is shorter than a period.
    #[error("late: it must be a period at least")]
    MaxPacketAge,
    /// The advertised address has no port or no host.
    #[error("advertise: nobody can reach {address}; name the address that the others use")]
    Advertise {
        /// As given, or the address to listen on.
        address: SocketAddr,
    },
    /// The eviction delay is a text other than "never".
    #[error("hold: '{text}' is neither a span nor \"never\"")]
    EvictionDelayText {
        /// As given.
        text: String,
    },
    /// The eviction delay is shorter than the suspicion.
    #[error("hold: it must be a suspicion ({suspicion:?}) at least")]
    EvictionDelay {
        /// The suspicion in force.
        suspicion: Duration,
    },
    /// Learned state would be requested or written too often.
    #[error("recovery: ask and remember are at least {MIN_RECOVERY_INTERVAL:?}")]
    RecoveryInterval,
    /// The rate of probe calls to an evacuated zone is out of range.
    #[error("zones: probes: {rate} a second is not from 0.1 to 100")]
    ZoneProbeRate {
        /// Calls a second, as given.
        rate: f64,
    },
    /// The spans of zone failover contradict each other.
    #[error("zones: window must be above zero, and out no longer than out_most")]
    ZoneSpans,
}

/// The file's text, parsed but not yet checked.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// UDP.
    listen: SocketAddr,
    /// Where the others reach this sender, if not at `listen`.
    advertise: Option<SocketAddr>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// The fleet's key: a file with 64 hexadecimal digits. A relative path is relative to this file.
    pub key: PathBuf,
    /// HTTP, for the operators: the sender's view of the fleet.
    status: Option<SocketAddr>,
    period: Option<TimeSpan>,
    round_trip: Option<TimeSpan>,
    suspicion: Option<TimeSpan>,
    #[serde(rename = "hold")]
    eviction_delay: Option<EvictionDelay>,
    #[serde(rename = "late")]
    max_packet_age: Option<TimeSpan>,
    recovery: Option<Recovery>,
    zones: Option<Zones>,
}

/// How the fleet evacuates a zone and returns to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Zones {
    window: Option<TimeSpan>,
    settle: Option<TimeSpan>,
    probes: Option<f64>,
    out: Option<TimeSpan>,
    out_most: Option<TimeSpan>,
    calm: Option<TimeSpan>,
}

impl Zones {
    /// `warm_up` is how long a destination that is back is warming up. The reasons for the defaults are in docs/zones.md.
    fn settings(&self, warm_up: Duration) -> Result<zones::Settings, FleetFileError> {
        let settings = zones::Settings {
            window: TimeSpan::or_millis(self.window, 2000),
            settle: TimeSpan::or_millis(self.settle, 300),
            probes: self.probes.unwrap_or(4.0),
            out: [
                TimeSpan::or_millis(self.out, 2000),
                TimeSpan::or_millis(self.out_most, 60_000),
            ],
            warm: warm_up,
            calm: TimeSpan::or_millis(self.calm, 30_000),
        };
        if !(0.1..=100.0).contains(&settings.probes) {
            return Err(FleetFileError::ZoneProbeRate {
                rate: settings.probes,
            });
        }
        if settings.window.is_zero() || settings.out[0] > settings.out[1] {
            return Err(FleetFileError::ZoneSpans);
        }
        Ok(settings)
    }
}

/// How old state restored after a restart may be, and the pace of the recovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Recovery {
    window: Option<TimeSpan>,
    limit: Option<TimeSpan>,
    state: Option<TimeSpan>,
    ask: Option<TimeSpan>,
    alone: Option<TimeSpan>,
    remember: Option<TimeSpan>,
}

impl Recovery {
    /// The reasons for the defaults are in docs/recovery.md.
    fn settings(&self, max_packet_age: Duration) -> Result<recovery::Settings, FleetFileError> {
        let bounds = recovery::Bounds {
            window: TimeSpan::or_millis(self.window, 10_000),
            limit: TimeSpan::or_millis(self.limit, 10_000),
            state: TimeSpan::or_millis(self.state, 10_000),
            ahead: max_packet_age,
        };
        let settings = recovery::Settings {
            bounds,
            ask: TimeSpan::or_millis(self.ask, 500),
            alone: TimeSpan::or_millis(self.alone, 2000),
            remember: TimeSpan::or_millis(self.remember, 1000),
        };
        if settings.ask < MIN_RECOVERY_INTERVAL || settings.remember < MIN_RECOVERY_INTERVAL {
            return Err(FleetFileError::RecoveryInterval);
        }
        Ok(settings)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum EvictionDelay {
    After(TimeSpan),
    Text(String),
}

/// A checked file.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The UDP address of the membership protocol.
    pub listen: SocketAddr,
    /// The TCP address of the view for operators.
    pub status: Option<SocketAddr>,
    /// The membership's settings.
    pub settings: Settings,
    /// How the sender recovers after a restart, if it does so gradually.
    pub recovery: Option<recovery::Settings>,
    /// How the fleet evacuates zones, if it does.
    pub zones: Option<zones::Settings>,
}

/// Parses the file's text.
///
/// # Errors
/// The line that is not valid.
pub fn parse(text: &str) -> Result<File, FleetFileError> {
    Ok(toml_file::parse(text)?)
}

impl File {
    /// Checks the file; `name` and `settings` are those of the sender's configuration.
    ///
    /// # Errors
    /// The first key whose value can't be used.
    pub fn fleet(
        &self,
        key: Key,
        name: &str,
        settings: &api::Settings,
    ) -> Result<Fleet, FleetFileError> {
        let period = self.checked_period()?;
        let round_trip = self.checked_round_trip(period)?;
        let suspicion = self.checked_suspicion(period)?;
        let max_packet_age = self.checked_max_packet_age(period)?;
        let members = Settings {
            name: name.to_owned(),
            at: self.checked_address()?,
            seeds: self.seeds.clone(),
            key,
            period,
            round_trip,
            suspicion,
            eviction_delay: self.checked_eviction_delay()?,
            max_packet_age,
            configured_members: settings.instances,
        };
        let suspicion = members.suspicion();
        if members
            .eviction_delay
            .is_some_and(|delay| delay < suspicion)
        {
            return Err(FleetFileError::EvictionDelay { suspicion });
        }
        let recovery = self.recovery.as_ref();
        let zones = self.zones.as_ref();
        Ok(Fleet {
            listen: self.listen,
            status: self.status,
            settings: members,
            recovery: recovery.map(|r| r.settings(max_packet_age)).transpose()?,
            zones: zones.map(|z| z.settings(settings.rules.cold)).transpose()?,
        })
    }

    fn checked_period(&self) -> Result<Duration, FleetFileError> {
        let period = TimeSpan::or_millis(self.period, 1000);
        if (MIN_PERIOD..=MAX_PERIOD).contains(&period) {
            Ok(period)
        } else {
            Err(FleetFileError::Period { period })
        }
    }

    fn checked_round_trip(&self, period: Duration) -> Result<Duration, FleetFileError> {
        let round_trip = TimeSpan::or_millis(self.round_trip, 300);
        if round_trip.is_zero() || round_trip * 2 > period {
            Err(FleetFileError::RoundTrip { round_trip })
        } else {
            Ok(round_trip)
        }
    }

    fn checked_suspicion(&self, period: Duration) -> Result<Option<Duration>, FleetFileError> {
        let suspicion = self.suspicion.map(|span| span.0);
        if suspicion.is_some_and(|suspicion| suspicion < period) {
            return Err(FleetFileError::Suspicion);
        }
        Ok(suspicion)
    }

    fn checked_max_packet_age(&self, period: Duration) -> Result<Duration, FleetFileError> {
        let age = TimeSpan::or_millis(self.max_packet_age, 5000);
        if age < period {
            return Err(FleetFileError::MaxPacketAge);
        }
        Ok(age)
    }

    fn checked_address(&self) -> Result<SocketAddr, FleetFileError> {
        let address = self.advertise.unwrap_or(self.listen);
        if address.port() == 0 || address.ip().is_unspecified() {
            return Err(FleetFileError::Advertise { address });
        }
        Ok(address)
    }

    /// `None` for never.
    fn checked_eviction_delay(&self) -> Result<Option<Duration>, FleetFileError> {
        match &self.eviction_delay {
            None => Ok(Some(Duration::from_secs(30))),
            Some(EvictionDelay::After(span)) => Ok(Some(span.0)),
            Some(EvictionDelay::Text(text)) if text == "never" => Ok(None),
            Some(EvictionDelay::Text(text)) => {
                Err(FleetFileError::EvictionDelayText { text: text.clone() })
            }
        }
    }
}
