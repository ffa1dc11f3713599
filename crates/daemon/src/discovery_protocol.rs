//! Discovery's protocol: the endpoint list, and the requests for it. [`crate::watch`] decides when they are sent.

use std::time::Duration;

use cranehill_core::Listing;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::http;
use crate::platform_settings::PlatformSettings;

/// Entries read of one list. The planned size is 57,000; further ones are left out and counted.
pub const MAX_ENTRIES: usize = 100_000;
/// Bytes of an entry in a list, about: id, address, zone, kind and figures take some 140.
const ENTRY_BYTES: usize = 160;
/// The part of the process's memory that a list may take as it is read, as a divisor: its bytes are held twice for a moment.
const MEMORY_DIVISOR: usize = 4;

/// Why a row of the list is not an endpoint.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RowError {
    /// It lacks a field, or has one of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The endpoint is in a state that this version does not know.
    #[error("state '{state}' of {endpoint} is not known")]
    UnknownState {
        /// As listed.
        state: String,
        /// The endpoint's id.
        endpoint: String,
    },
}

/// A row that could not be read, with its position in the list.
#[derive(Debug, thiserror::Error)]
#[error("entry {position}: {source}")]
pub struct EntryError {
    /// Counted from 0.
    pub position: usize,
    /// What is wrong with it.
    pub source: RowError,
}

/// Why a response of discovery has no list.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ListError {
    /// It was answered with another status than 200.
    #[error("the directory answered {0}")]
    Status(u16),
    /// The body is not a list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// None of the list's entries can be read; the first one's error.
    #[error(transparent)]
    NoReadableEntry(EntryError),
}

/// The largest list that a process with so many bytes of memory reads, in bytes. The protocol's bound on bodies is allowed at
/// least, whatever the memory.
pub fn max_body_bytes(memory: usize) -> usize {
    (memory / MEMORY_DIVISOR).clamp(http::MAX_BODY_BYTES, MAX_ENTRIES * ENTRY_BYTES)
}

/// A list of which every row must be valid.
#[derive(Debug, Deserialize)]
pub struct EndpointList {
    /// Increases with each change.
    pub version: u64,
    /// Every endpoint there is; else only what has changed.
    #[serde(default)]
    pub full: bool,
    /// Its rows.
    pub servers: Vec<Row>,
}

impl EndpointList {
    /// The rows as the core uses them.
    ///
    /// # Errors
    /// The first row that is not valid.
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

/// A list as it is read off the wire: an entry that can't be read must not cost the others, so each stays text until it is
/// read on its own.
#[derive(Debug, Deserialize)]
struct RawList<'a> {
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

/// What a response of discovery says.
#[derive(Debug)]
pub struct ParsedList {
    /// The list's version.
    pub version: u64,
    /// Every endpoint there is; else what has changed.
    pub whole: bool,
    /// The endpoints that could be read.
    pub list: Vec<Listing>,
    /// Why an entry could not be read, for each of them.
    pub unread: Vec<EntryError>,
    /// Entries beyond [`MAX_ENTRIES`], left out.
    pub excess: usize,
}

/// One endpoint on the wire.
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
            // A kind that the settings don't name is treated as one without batches.
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

/// The request for the whole list, answered at once.
pub fn write_list_request(host: &str) -> Vec<u8> {
    http::write_request("GET", "/v1/endpoints", host, &[], b"")
}

/// The request for changes since this version. It is answered at the next change, or after `hold` without one.
pub fn write_watch_request(host: &str, version: u64, hold: Duration) -> Vec<u8> {
    let path = format!("/v1/endpoints?from={version}&hold_ms={}", hold.as_millis());
    http::write_request("GET", &path, host, &[], b"")
}

/// The list in a response. An entry that can't be read is left out and listed in [`ParsedList::unread`].
///
/// # Errors
/// The response is not a list, or none of its entries can be read: as a whole list it would leave no endpoint at all.
pub fn read_response(
    response: &http::Response,
    platform_settings: &PlatformSettings,
) -> Result<ParsedList, ListError> {
    if response.status != 200 {
        return Err(ListError::Status(response.status));
    }
    let raw: RawList = serde_json::from_slice(&response.body)?;
    let excess = raw.servers.len().saturating_sub(MAX_ENTRIES);
    let (mut list, mut unread) = (Vec::new(), Vec::new());
    for (position, entry) in raw.servers.into_iter().take(MAX_ENTRIES).enumerate() {
        match read_entry(entry, platform_settings) {
            Ok(listing) => list.push(listing),
            Err(source) => unread.push(EntryError { position, source }),
        }
    }
    if list.is_empty() && !unread.is_empty() {
        return Err(ListError::NoReadableEntry(unread.swap_remove(0)));
    }
    Ok(ParsedList {
        version: raw.version,
        whole: raw.full,
        list,
        unread,
        excess,
    })
}

fn read_entry(entry: &RawValue, platform_settings: &PlatformSettings) -> Result<Listing, RowError> {
    serde_json::from_str::<Row>(entry.get())?.into_listing(platform_settings)
}
