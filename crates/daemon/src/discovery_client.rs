//! The client of discovery, which maintains one watch on the endpoint list.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_core::Listing;
use cranehill_scheduler::Time;

use crate::clock::since_unix_epoch;
use crate::connection::{Connection, ConnectionKind};
use crate::connection_table::ConnectionTable;
use crate::discovery_protocol::{self, MAX_ENTRIES, ParsedList};
use crate::http::{self, Response};
use crate::platform_settings::PlatformSettings;
use crate::watch::{Watch, WatchFailure};

/// An update of the endpoint list.
pub(crate) struct ListChange {
    /// `listings` contains every endpoint; otherwise only new and changed ones.
    pub(crate) full: bool,
    pub(crate) listings: Vec<Listing>,
}

/// The watch, and the address of discovery.
pub(crate) struct DiscoveryClient {
    address: Option<SocketAddr>,
    watch: Watch,
    /// Limit of the body of a response, in bytes.
    max_body_bytes: usize,
    connect_timeout: Duration,
}

impl DiscoveryClient {
    /// `memory` is the number of bytes that the process may use.
    pub(crate) fn new(
        address: Option<SocketAddr>,
        watch: Watch,
        memory: usize,
        connect_timeout: Duration,
    ) -> DiscoveryClient {
        DiscoveryClient {
            address,
            watch,
            max_body_bytes: discovery_protocol::max_body_bytes(memory),
            connect_timeout,
        }
    }

    /// The address of discovery, to which final reports are sent as well.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// When the next request is due; `None` without an address, or while a request is in flight.
    pub(crate) fn due(&self) -> Option<Time> {
        self.address.and(self.watch.due())
    }

    /// When the request on the watch's connection times out.
    pub(crate) fn deadline(&self, connection: &Connection) -> Time {
        let overdue = self.watch.response_deadline();
        if connection.established {
            overdue
        } else {
            overdue.min(connection.last_used + self.connect_timeout)
        }
    }

    /// Sends the next request on this connection, or on a new one.
    pub(crate) fn send_request(
        &mut self,
        connections: &mut ConnectionTable,
        connection: Option<usize>,
        now: Time,
    ) {
        let Some(address) = self.address else {
            return;
        };
        let bytes = self.watch.next_request(now, &address.to_string());
        let kind = ConnectionKind::Discovery {
            max_body_bytes: self.max_body_bytes,
        };
        let id = match connection {
            Some(id) => id,
            None => match connections.connect(kind, address, now) {
                Ok(id) => id,
                Err(e) => return self.on_failed(&e.to_string(), WatchFailure::ConnectFailed, now),
            },
        };
        connections.send_request(id, bytes, now);
    }

    /// Schedules the next request after a backoff, because this one failed.
    pub(crate) fn on_failed(&mut self, why: &str, failure: WatchFailure, now: Time) {
        let backoff = self.watch.on_failure(now, failure);
        log::info!(pause_ms = backoff.as_millis() as u64; "discovery: {why}; keeping the last endpoint list");
    }

    /// The update in a response; `None` if the response is not a valid list.
    pub(crate) fn on_response(
        &mut self,
        response: &Response,
        platform_settings: &PlatformSettings,
        now: Time,
    ) -> Option<ListChange> {
        let parsed = match discovery_protocol::read_response(response, platform_settings) {
            Ok(parsed) => parsed,
            Err(e) => {
                let retry_after = http::retry_after(&response.headers, since_unix_epoch(now));
                self.on_failed(&e.to_string(), WatchFailure::Rejected { retry_after }, now);
                return None;
            }
        };
        log_skipped_entries(&parsed);
        let ParsedList {
            version,
            full,
            listings,
            invalid_entries,
            ..
        } = parsed;
        let known = self.watch.version();
        if !full && version < known {
            log::warn!(event = "discovery-restarted", version, known;
                "discovery: version {version} after {known}; requesting the full list");
            self.watch.on_earlier_version(now, version);
        } else {
            self.watch.on_list(now, version);
        }
        if !full && !invalid_entries.is_empty() {
            self.watch.on_unreadable_entry();
        }
        if !listings.is_empty() || full {
            log::info!(
                "discovery: version {version}, {} endpoints{}",
                listings.len(),
                if full { " (full list)" } else { " changed" }
            );
        }
        Some(ListChange { full, listings })
    }

    /// Uses another address of discovery from now on. The last list is kept until the full list from the new address arrives, since
    /// its versions need not continue the old ones.
    pub(crate) fn move_to(&mut self, address: SocketAddr, now: Time) {
        self.address = Some(address);
        self.watch.on_moved(now);
    }
}

fn log_skipped_entries(parsed: &ParsedList) {
    let (invalid_entries, excess) = (&parsed.invalid_entries, parsed.excess);
    if let Some(first) = invalid_entries.first() {
        log::error!(entries = invalid_entries.len(); "discovery: {} invalid entries skipped, first one: {first}", invalid_entries.len());
    }
    if excess > 0 {
        log::error!(entries = excess; "discovery: {excess} entries beyond the limit of {MAX_ENTRIES} skipped");
    }
}
