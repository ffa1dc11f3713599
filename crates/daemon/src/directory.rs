//! The directory of partners' endpoints: its list, and the watch that follows it.

use std::time::Duration;

use serde::Deserialize;
use tansycroft::api::{Condition, DestId, EndpointId, Entry};

use crate::config::Site;
use crate::http;
use cranehill_core::Listing;

/// How long a watch is held; what is told meanwhile answers it at once.
const HOLD: Duration = Duration::from_secs(10);
/// Past this a watch is held dead and asked anew; a directory that is down says nothing.
pub const OVERDUE: Duration = Duration::from_secs(12);
/// After a failed watch: soon enough that the next one still continues it.
pub const AGAIN: Duration = Duration::from_millis(100);
/// What a new watch costs a directory, taken from 39 that were answered of 100 asked at one moment before the rest ran
/// into its 2 s; the pace at which all senders together ask.
const COST: Duration = Duration::from_millis(50);
/// The longest mean pause after watches that failed, in times the first.
const PAUSE_MOST: u32 = 4;

#[derive(Debug, Deserialize)]
pub struct List {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    pub servers: Vec<Row>,
}

#[derive(Debug, Deserialize)]
pub struct Row {
    id: String,
    addr: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    cell: u64,
    state: String,
    #[serde(default)]
    weight: f64,
}

impl List {
    pub fn into_listings(self, site: &Site) -> Result<Vec<Listing>, String> {
        self.servers.into_iter().map(|row| row.into_listing(site)).collect()
    }
}

impl Row {
    fn into_listing(self, site: &Site) -> Result<Listing, String> {
        let condition = match self.state.as_str() {
            "up" => Condition::Ready,
            "draining" => Condition::Draining,
            "removed" => Condition::Gone,
            other => return Err(format!("state '{other}' of {} is not known", self.id)),
        };
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(Listing {
            entry: Entry {
                endpoint: EndpointId(self.id),
                dest: DestId(self.cell),
                condition,
                zone: place(&site.names.zones, &self.zone).unwrap_or(0) as u32,
                // A kind that the settings don't name is taken as one that batches nothing.
                kind: place(&site.names.kinds, &self.kind).unwrap_or(usize::MAX),
                rate: self.weight,
            },
            address: self.addr,
        })
    }
}

/// When to ask for a watch, so that all senders together do not ask for more than a directory can answer. Guards one
/// that is asked by all at once, as after a release: questions that come faster than they can be answered wait until
/// they are worth nothing, and where each is put again soon, nobody hears of what has changed.
#[derive(Debug)]
pub struct Pauses {
    /// The mean pause after one failure.
    first: Duration,
    failed: u32,
    rng: fastrand::Rng,
}

impl Pauses {
    pub fn new(senders: u32, seed: u64) -> Pauses {
        let first = (COST * senders.min(200)).clamp(AGAIN, COST * 200);
        Pauses { first, failed: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The pause before the first watch: others may have started at the same moment.
    pub fn start(&mut self) -> Duration {
        self.first.mul_f64(self.rng.f64())
    }

    /// A watch was answered.
    pub fn answered(&mut self) {
        self.failed = 0;
    }

    /// A watch failed: the pause before the next, no shorter than a wait that was told.
    pub fn failed(&mut self, told: Option<Duration>) -> Duration {
        let mean = self.first * (1 << self.failed.min(8)).min(PAUSE_MOST);
        self.failed += 1;
        mean.mul_f64(0.5 + self.rng.f64()) + told.unwrap_or_default()
    }
}

/// The question for all of the list, answered at once.
pub fn whole(host: &str) -> Vec<u8> {
    http::write_request("GET", "/v1/endpoints", host, &[], b"")
}

/// The watch that continues from this version.
pub fn watch(host: &str, version: u64) -> Vec<u8> {
    let path = format!("/v1/endpoints?from={version}&hold_ms={}", HOLD.as_millis());
    http::write_request("GET", &path, host, &[], b"")
}

/// The list in an answer.
pub fn read(response: &http::Response) -> Result<List, String> {
    if response.status != 200 {
        return Err(format!("the directory answered {}", response.status));
    }
    serde_json::from_slice(&response.body).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    /// Days at size: of 100 senders asked to start at once, 61 waited longer than 2 s at a directory that needs 51 ms for
    /// each question, and asking again at a fixed 100 ms kept all of them out for the whole day.
    #[test]
    fn all_senders_get_their_watch_though_they_start_at_once() {
        const SENDERS: usize = 100;
        let (cost, patience) = (51, 2_000);
        let mut pauses: Vec<Pauses> = (0..SENDERS).map(|i| Pauses::new(SENDERS as u32, i as u64)).collect();
        let mut asks: Vec<Option<u64>> =
            pauses.iter_mut().map(|p| Some(p.start().as_millis() as u64)).collect();
        // Questions in their order, also those whose sender has given up; what is at the front takes `cost`.
        let (mut queue, mut busy_until) = (VecDeque::new(), 0);
        let mut watching = 0;
        for ms in 0..20_000 {
            for (sender, ask) in asks.iter_mut().enumerate() {
                if ask.take_if(|at| *at <= ms).is_some() {
                    queue.push_back((sender, ms));
                }
            }
            while ms >= busy_until
                && let Some((sender, asked)) = queue.pop_front()
            {
                busy_until = ms + cost;
                if ms - asked <= patience {
                    watching += 1;
                } else {
                    asks[sender] = Some(ms + pauses[sender].failed(None).as_millis() as u64);
                }
            }
        }
        assert_eq!(watching, SENDERS);
    }

    #[test]
    fn a_told_wait_is_the_least_and_failures_lengthen_the_pause_up_to_a_bound() {
        let mut pauses = Pauses::new(2, 7);
        let told = Duration::from_secs(30);
        assert!(pauses.failed(Some(told)) >= told);
        let longest = (0..40).map(|_| pauses.failed(None)).max().unwrap_or_default();
        assert!(longest > AGAIN * 2 && longest <= AGAIN * PAUSE_MOST * 3 / 2, "{longest:?}");
        pauses.answered();
        assert!(pauses.failed(None) <= AGAIN * 3 / 2);
        // What the settings may say of the senders' number does no harm.
        assert!(Pauses::new(0, 1).failed(None) > Duration::ZERO);
        assert!(Pauses::new(u32::MAX, 1).start() <= COST * 200);
    }
}
