//! The operators' fleet file: the addresses and timing of membership, recovery after a restart, and zone failover.

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

/// With a shorter probe period, senders would use too much of their processing time for probes.
const MIN_PERIOD: Duration = Duration::from_millis(50);
/// With a longer probe period, failures would be detected too late to be useful.
const MAX_PERIOD: Duration = Duration::from_secs(60);
/// Minimum interval between requests for learned state, and between writes of it.
const MIN_RECOVERY_INTERVAL: Duration = Duration::from_millis(50);

/// Why a fleet file can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetFileError {
    /// The text is not valid TOML, or has unknown or invalid keys.
    #[error(transparent)]
    Toml(#[from] TomlError),
    /// The probe period is out of range.
    #[error("period: expected {MIN_PERIOD:?} to {MAX_PERIOD:?}, got {period:?}")]
    Period {
        /// The value in the file.
        period: Duration,
    },
    /// The round trip is zero, or more than half of the probe period, so that no time is left for the indirect probe.
    #[error(
        "round_trip: expected above zero and at most half of period, so that a direct and an indirect probe fit into one period; got {round_trip:?}"
    )]
    RoundTrip {
        /// The value in the file.
        round_trip: Duration,
    },
    /// The suspicion timeout is shorter than a probe period.
    #[error(
        "suspicion: expected at least period, so that a member has time to refute the suspicion"
    )]
    Suspicion,
    /// The maximum age of a packet is shorter than a probe period.
    #[error("late: expected at least period")]
    MaxPacketAge,
    /// The advertised address has port 0 or an unspecified host.
    #[error(
        "advertise: expected the host and port at which the other senders reach this one, got {address}"
    )]
    Advertise {
        /// The value in the file, or that of `listen`.
        address: SocketAddr,
    },
    /// The eviction delay is a text other than "never".
    #[error("hold: '{text}' is neither a time span such as \"30 s\" nor \"never\"")]
    EvictionDelayText {
        /// The value in the file.
        text: String,
    },
    /// The eviction delay is shorter than the suspicion timeout.
    #[error("hold: expected at least the suspicion timeout ({suspicion:?})")]
    EvictionDelay {
        /// The suspicion timeout that applies.
        suspicion: Duration,
    },
    /// Learned state would be requested or written too often.
    #[error("recovery: expected at least {MIN_RECOVERY_INTERVAL:?} for ask and remember")]
    RecoveryInterval,
    /// The rate of probe calls to an evacuated zone is out of range.
    #[error("zones: probes: expected 0.1 to 100 calls a second, got {rate}")]
    ZoneProbeRate {
        /// The value in the file, in calls a second.
        rate: f64,
    },
    /// The time spans of zone failover are zero or contradictory.
    #[error("zones: expected window above zero, and out at most out_most")]
    ZoneSpans,
}

/// A parsed fleet file, whose values are not checked yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// UDP address on which the membership protocol listens.
    listen: SocketAddr,
    /// The UDP address at which other senders reach this one, if it differs from `listen`.
    advertise: Option<SocketAddr>,
    /// Addresses of senders that are contacted first, to join the fleet.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    /// Path of the file with the fleet's key, 64 hexadecimal digits. A relative path is relative to this file.
    pub key: PathBuf,
    /// TCP address of the HTTP server that shows operators this sender's view of the fleet.
    status: Option<SocketAddr>,
    /// Interval between probes of other members.
    period: Option<TimeSpan>,
    /// How long a direct probe waits for its answer before the indirect probe starts.
    round_trip: Option<TimeSpan>,
    /// How long a member is suspected before it is considered down; derived from the fleet's size if absent.
    suspicion: Option<TimeSpan>,
    /// How long a majority must agree that a member is down before it is evicted: a time span, or "never".
    #[serde(rename = "hold")]
    eviction_delay: Option<EvictionDelay>,
    /// Packets older than this are dropped.
    #[serde(rename = "late")]
    max_packet_age: Option<TimeSpan>,
    recovery: Option<Recovery>,
    zones: Option<Zones>,
}

/// When the fleet evacuates a zone, and how it returns to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Zones {
    /// How long the result of an attempt counts when a sender judges whether a zone fails.
    window: Option<TimeSpan>,
    /// How long a quorum must continuously see the zone fail before it is evacuated.
    settle: Option<TimeSpan>,
    /// Probe calls a second into an evacuated zone, from the whole fleet.
    probes: Option<f64>,
    /// Minimum duration of an evacuation, doubled if the zone fails again soon; see `calm`.
    out: Option<TimeSpan>,
    /// Upper bound of the doubled minimum duration.
    out_most: Option<TimeSpan>,
    /// If a zone fails again within this time after it is back in service, the minimum duration of the evacuation is doubled.
    calm: Option<TimeSpan>,
}

impl Zones {
    /// `warm_up` is the duration of the recovery ramp: the time in which a destination warms up after it has returned. The reasons for the defaults are in docs/zones.md.
    fn settings(&self, warm_up: Duration) -> Result<zones::Settings, FleetFileError> {
        let settings = zones::Settings {
            window: TimeSpan::or_millis(self.window, 2000),
            failure_confirmation: TimeSpan::or_millis(self.settle, 300),
            probes_per_second: self.probes.unwrap_or(4.0),
            evacuation_bounds: [
                TimeSpan::or_millis(self.out, 2000),
                TimeSpan::or_millis(self.out_most, 60_000),
            ],
            ramp_duration: warm_up,
            repeat_failure_period: TimeSpan::or_millis(self.calm, 30_000),
        };
        if !(0.1..=100.0).contains(&settings.probes_per_second) {
            return Err(FleetFileError::ZoneProbeRate {
                rate: settings.probes_per_second,
            });
        }
        if settings.window.is_zero()
            || settings.evacuation_bounds[0] > settings.evacuation_bounds[1]
        {
            return Err(FleetFileError::ZoneSpans);
        }
        Ok(settings)
    }
}

/// The maximum age of state that is restored after a restart, and the timing of the recovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Recovery {
    /// Maximum age of a destination's window, the limit on its concurrent calls.
    window: Option<TimeSpan>,
    /// Maximum age of a rate limit.
    limit: Option<TimeSpan>,
    /// Maximum age of a destination's health.
    state: Option<TimeSpan>,
    /// Interval between requests to other members for their learned state.
    ask: Option<TimeSpan>,
    /// Time without a reply after which recovery continues without other members' learned state.
    alone: Option<TimeSpan>,
    /// Interval between writes of the learned state.
    remember: Option<TimeSpan>,
}

impl Recovery {
    /// The reasons for the defaults are in docs/recovery.md.
    fn settings(&self, max_packet_age: Duration) -> Result<recovery::Settings, FleetFileError> {
        let bounds = recovery::MaxAges {
            window: TimeSpan::or_millis(self.window, 10_000),
            limit: TimeSpan::or_millis(self.limit, 10_000),
            state: TimeSpan::or_millis(self.state, 10_000),
            max_clock_difference: max_packet_age,
        };
        let settings = recovery::Settings {
            bounds,
            request_interval: TimeSpan::or_millis(self.ask, 500),
            peer_timeout: TimeSpan::or_millis(self.alone, 2000),
            persist_interval: TimeSpan::or_millis(self.remember, 1000),
        };
        if settings.request_interval < MIN_RECOVERY_INTERVAL
            || settings.persist_interval < MIN_RECOVERY_INTERVAL
        {
            return Err(FleetFileError::RecoveryInterval);
        }
        Ok(settings)
    }
}

/// The value of `hold`: a time span, or a text, of which only "never" is valid.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum EvictionDelay {
    After(TimeSpan),
    Text(String),
}

/// The settings of a valid fleet file.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The UDP address of the membership protocol.
    pub listen: SocketAddr,
    /// The TCP address of the HTTP server with the view of the fleet; `None` disables it.
    pub status: Option<SocketAddr>,
    /// The settings of the membership protocol.
    pub settings: Settings,
    /// The settings of recovery after a restart; `None` disables gradual recovery.
    pub recovery: Option<recovery::Settings>,
    /// The settings of zone failover; `None` disables it.
    pub zones: Option<zones::Settings>,
}

/// Parses the file's text.
///
/// # Errors
/// If the text is not valid TOML, or a key is unknown or has an invalid value; the error names the first one.
pub fn parse(text: &str) -> Result<File, FleetFileError> {
    Ok(toml_file::parse(text)?)
}

impl File {
    /// Checks the values and fills in defaults. `name` and `settings` come from the sender's configuration.
    ///
    /// # Errors
    /// The first value that is out of range.
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
            address: self.checked_address()?,
            seeds: self.seeds.clone(),
            key,
            probe_period: period,
            probe_timeout: round_trip,
            suspicion_timeout: suspicion,
            eviction_delay: self.checked_eviction_delay()?,
            max_packet_age,
            configured_members: settings.instances,
        };
        let suspicion = members.suspicion_timeout();
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
            zones: zones
                .map(|z| z.settings(settings.rules.warm_up))
                .transpose()?,
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

    /// The eviction delay; `None` if members are never evicted.
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
