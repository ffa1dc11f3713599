//! The directory of partners' endpoints: its list, and the questions for it. When they are put: `watch`.

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
