//! The HTTP protocol of discovery: requests for the endpoint list, and parsing of lists. [`crate::watch`] decides when requests
//! are sent.

use std::time::Duration;

use cranehill_core::Listing;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::http;
use crate::platform_settings::PlatformSettings;

/// Limit on the entries of one list; entries beyond it are skipped and counted. Lists of up to 57,000 entries are expected.
pub const MAX_ENTRIES: usize = 100_000;
/// Estimated bytes of an entry in a list: id, address, zone, kind and numbers take about 140.
const ENTRY_BYTES: usize = 160;
/// A list may use this fraction of the process's memory, as a divisor: while a list is parsed, its bytes are in memory twice.
const MEMORY_DIVISOR: usize = 4;

/// Why an entry of the list is not valid.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RowError {
    /// A field is missing or has another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The endpoint's state is none of `up`, `draining` and `removed`.
    #[error("{endpoint}: unknown state '{state}'")]
    UnknownState {
        /// The state in the list.
        state: String,
        /// The endpoint's id.
        endpoint: String,
    },
}

/// An invalid entry, with its position in the list.
#[derive(Debug, thiserror::Error)]
#[error("entry {position}: {source}")]
pub struct EntryError {
    /// Position in the list, counted from 0.
    pub position: usize,
    /// Why the entry is not valid.
    pub source: RowError,
}

/// Why a response of discovery can't be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ListError {
    /// The HTTP status is not 200.
    #[error("discovery answered with status {0}")]
    Status(u16),
    /// The body is not a list in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The list has entries, but none of them is valid. Contains the first one's error.
    #[error(transparent)]
    NoReadableEntry(EntryError),
}

/// Limit of a list's size in bytes, for a process with `memory` bytes. It is never below [`http::MAX_BODY_BYTES`], the limit of
/// other bodies.
pub fn max_body_bytes(memory: usize) -> usize {
    (memory / MEMORY_DIVISOR).clamp(http::MAX_BODY_BYTES, MAX_ENTRIES * ENTRY_BYTES)
}

/// An endpoint list in which every entry must be valid, as in the configuration file.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// The list contains every endpoint; otherwise only changed ones.
    #[serde(default)]
    pub full: bool,
    /// The entries.
    pub servers: Vec<Row>,
}

impl EndpointList {
    /// Converts the entries for the core.
    ///
    /// # Errors
    /// The first entry that is not valid.
    pub fn into_listings(
        self,
        platform_settings: &PlatformSettings,
    ) -> Result<Vec<Listing>, RowError> {
        self.servers
            .into_iter()
            .map(|row| row.into_listing(platform_settings))
            .collect()
    }
}

/// An endpoint list whose entries are still JSON text. They are parsed one by one, so that an invalid entry does not invalidate
/// the others.
#[derive(Debug, Deserialize)]
struct RawList<'a> {
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

/// The endpoint list in a response of discovery.
#[derive(Debug)]
pub struct ParsedList {
    /// The list's version.
    pub version: u64,
    /// The list contains every endpoint; otherwise only changed ones.
    pub full: bool,
    /// The valid entries.
    pub listings: Vec<Listing>,
    /// The error of each invalid entry.
    pub invalid_entries: Vec<EntryError>,
    /// Number of entries beyond [`MAX_ENTRIES`], which were skipped.
    pub excess: usize,
}

/// One endpoint in a list, as JSON.
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
    /// The endpoint's rate in calls a second. Ignored unless it is a positive finite number.
    #[serde(default)]
    weight: serde_json::Value,
}

impl Row {
    fn into_listing(self, platform_settings: &PlatformSettings) -> Result<Listing, RowError> {
        let names = &platform_settings.names;
        let condition = match self.state.as_str() {
            "up" => Condition::Ready,
            "draining" => Condition::Draining,
            "removed" => Condition::Removed,
            _ => {
                return Err(RowError::UnknownState {
                    state: self.state,
                    endpoint: self.id,
                });
            }
        };
        let rate = self.weight.as_f64();
        let entry = Entry {
            endpoint: EndpointId(self.id),
            destination: DestinationId(self.cell),
            condition,
            zone: position(&names.zones, &self.zone).unwrap_or(0) as u32,
            // A kind that the settings don't contain is treated as one without batches.
            kind: position(&names.kinds, &self.kind).unwrap_or(usize::MAX),
            rate: rate
                .filter(|rate| rate.is_finite() && *rate > 0.0)
                .unwrap_or(0.0),
        };
        Ok(Listing {
            entry,
            address: self.addr,
        })
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Encodes the request for the full list, which discovery answers immediately.
pub fn write_list_request(host: &str) -> Vec<u8> {
    http::write_request("GET", "/v1/endpoints", host, &[], b"")
}

/// Encodes the request for changes since `version`. Discovery answers it at the next change, or after `hold` without one.
pub fn write_watch_request(host: &str, version: u64, hold: Duration) -> Vec<u8> {
    let path = format!("/v1/endpoints?from={version}&hold_ms={}", hold.as_millis());
    http::write_request("GET", &path, host, &[], b"")
}

/// Parses the list in a response. Invalid entries are skipped and reported in [`ParsedList::invalid_entries`].
///
/// # Errors
/// The response is not a list, or it has entries and none of them is valid: a full list without endpoints would remove all of
/// them.
pub fn read_response(
    response: &http::Response,
    platform_settings: &PlatformSettings,
) -> Result<ParsedList, ListError> {
    if response.status != 200 {
        return Err(ListError::Status(response.status));
    }
    let raw: RawList = serde_json::from_slice(&response.body)?;
    let excess = raw.servers.len().saturating_sub(MAX_ENTRIES);
    let (mut listings, mut invalid_entries) = (Vec::new(), Vec::new());
    for (position, entry) in raw.servers.into_iter().take(MAX_ENTRIES).enumerate() {
        match read_entry(entry, platform_settings) {
            Ok(listing) => listings.push(listing),
            Err(source) => invalid_entries.push(EntryError { position, source }),
        }
    }
    if listings.is_empty() && !invalid_entries.is_empty() {
        return Err(ListError::NoReadableEntry(invalid_entries.swap_remove(0)));
    }
    Ok(ParsedList {
        version: raw.version,
        full: raw.full,
        listings,
        invalid_entries,
        excess,
    })
}

fn read_entry(entry: &RawValue, platform_settings: &PlatformSettings) -> Result<Listing, RowError> {
    serde_json::from_str::<Row>(entry.get())?.into_listing(platform_settings)
}
