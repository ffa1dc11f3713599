//! The directory of destinations' endpoints: its list, and the questions for it. When they are put: `watch`.

use std::time::Duration;

use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::config::PlatformSettings;
use crate::http;
use cranehill_core::Listing;

#[derive(Debug, Deserialize)]
pub struct List {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    pub servers: Vec<Row>,
}

/// Entries read of one list. The planned size is 57,000; what is beyond is left out, and told.
pub const ENTRIES_MOST: usize = 100_000;
/// Bytes of an entry in a list, about: id, address, zone, kind and figures take some 140.
const ENTRY_BYTES: usize = 160;
/// Part of the process's memory that a list may take as it is read: its bytes are held twice for a moment.
const MEMORY_PART: usize = 4;

/// The largest body of a list that a process with so many bytes of memory reads. The protocol's bound on bodies holds at
/// least, whatever the memory.
pub fn body_most(memory: usize) -> usize {
    (memory / MEMORY_PART).clamp(http::BODY_MOST, ENTRIES_MOST * ENTRY_BYTES)
}

/// A list as it is read off the wire: an entry that can't be read must not cost the others. Entries stay as text until
/// each is read on its own.
#[derive(Debug, Deserialize)]
struct Loose<'a> {
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

/// What an answer of the directory tells.
#[derive(Debug)]
pub struct ParsedList {
    pub version: u64,
    /// All endpoints there are; else what has changed.
    pub whole: bool,
    pub list: Vec<Listing>,
    /// Why an entry could not be read, for each of them.
    pub unread: Vec<String>,
    /// Entries beyond [`ENTRIES_MOST`], left out.
    pub excess: usize,
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
    /// Unused unless it is a number above zero.
    #[serde(default)]
    weight: serde_json::Value,
}

impl List {
    pub fn into_listings(
        self,
        platform_settings: &PlatformSettings,
    ) -> Result<Vec<Listing>, String> {
        self.servers
            .into_iter()
            .map(|row| row.into_listing(platform_settings))
            .collect()
    }
}

impl Row {
    fn into_listing(self, platform_settings: &PlatformSettings) -> Result<Listing, String> {
        let condition = match self.state.as_str() {
            "up" => Condition::Ready,
            "draining" => Condition::Draining,
            "removed" => Condition::Removed,
            other => return Err(format!("state '{other}' of {} is not known", self.id)),
        };
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        Ok(Listing {
            entry: Entry {
                endpoint: EndpointId(self.id),
                destination: DestinationId(self.cell),
                condition,
                zone: place(&platform_settings.names.zones, &self.zone).unwrap_or(0) as u32,
                // A kind that the settings don't name is taken as one that batches nothing.
                kind: place(&platform_settings.names.kinds, &self.kind).unwrap_or(usize::MAX),
                rate: self
                    .weight
                    .as_f64()
                    .filter(|w| w.is_finite() && *w > 0.0)
                    .unwrap_or(0.0),
            },
            address: self.addr,
        })
    }
}

/// The question for all of the list, answered at once.
pub fn whole(host: &str) -> Vec<u8> {
    http::write_request("GET", "/v1/endpoints", host, &[], b"")
}

/// The watch that continues from this version, held for so long; what is told meanwhile answers it at once.
pub fn watch(host: &str, version: u64, hold: Duration) -> Vec<u8> {
    let path = format!("/v1/endpoints?from={version}&hold_ms={}", hold.as_millis());
    http::write_request("GET", &path, host, &[], b"")
}

/// The list in an answer. An entry that can't be read is left out and told; a list of which none can be read is an error,
/// since as a whole list it would leave no endpoint at all.
pub fn read(
    response: &http::Response,
    platform_settings: &PlatformSettings,
) -> Result<ParsedList, String> {
    if response.status != 200 {
        return Err(format!("the directory answered {}", response.status));
    }
    let loose: Loose = serde_json::from_slice(&response.body).map_err(|e| e.to_string())?;
    let excess = loose.servers.len().saturating_sub(ENTRIES_MOST);
    let (mut list, mut unread) = (Vec::new(), Vec::new());
    for (place, entry) in loose.servers.into_iter().take(ENTRIES_MOST).enumerate() {
        let row = serde_json::from_str::<Row>(entry.get()).map_err(|e| e.to_string());
        match row.and_then(|row| row.into_listing(platform_settings)) {
            Ok(listing) => list.push(listing),
            Err(why) => unread.push(format!("entry {place}: {why}")),
        }
    }
    match unread.first() {
        Some(why) if list.is_empty() => Err(why.clone()),
        _ => Ok(ParsedList {
            version: loose.version,
            whole: loose.full,
            list,
            unread,
            excess,
        }),
    }
}
