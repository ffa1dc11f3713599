//! The client of discovery: it keeps one watch on the endpoint list.

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

/// Endpoints that are new or have changed.
pub(crate) struct ListChange {
    /// Every endpoint there is; else only what has changed.
    pub(crate) whole: bool,
    pub(crate) list: Vec<Listing>,
}

/// The watch, and where discovery is.
pub(crate) struct DiscoveryClient {
    address: Option<SocketAddr>,
    watch: Watch,
    /// The largest body of a list that is read.
    max_body_bytes: usize,
    connect_timeout: Duration,
}

impl DiscoveryClient {
    /// `memory`: bytes that the process may use.
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

    /// Where discovery is, and final reports go.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// When the next request is due, if there is a discovery.
    pub(crate) fn due(&self) -> Option<Time> {
        self.address.and(self.watch.due())
    }

    /// When the watch's connection needs attention though nothing happens on it.
    pub(crate) fn deadline(&self, connection: &Connection) -> Time {
        let overdue = self.watch.response_deadline();
        if connection.established {
            overdue
        } else {
            overdue.min(connection.last_used + self.connect_timeout)
        }
    }

    /// Sends the next request, on this connection or on a new one.
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

    /// The request failed: the next one is due after a backoff.
    pub(crate) fn on_failed(&mut self, why: &str, failure: WatchFailure, now: Time) {
        let backoff = self.watch.on_failure(now, failure);
        log::info!(pause_ms = backoff.as_millis() as u64; "discovery: {why}; the last list is kept");
    }

    /// The endpoints in a response, if it has any.
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
        log_left_out(&parsed);
        let ParsedList {
            version,
            whole,
            list,
            unread,
            ..
        } = parsed;
        self.watch.on_list(now, version);
        if !whole && !unread.is_empty() {
            self.watch.on_unreadable_entry();
        }
        if !list.is_empty() || whole {
            log::info!(
                "discovery: version {version}, {} endpoints{}",
                list.len(),
                if whole { ", all" } else { " changed" }
            );
        }
        Some(ListChange { whole, list })
    }

    /// Discovery is at another address from now on. The last list is kept until the new one has sent all of its own; its versions
    /// need not continue the old one's.
    pub(crate) fn move_to(&mut self, address: SocketAddr, now: Time) {
        self.address = Some(address);
        self.watch.on_moved(now);
    }
}

fn log_left_out(parsed: &ParsedList) {
    let (unread, excess) = (&parsed.unread, parsed.excess);
    if let Some(first) = unread.first() {
        log::error!(entries = unread.len(); "discovery: {} entries left out, {first}", unread.len());
    }
    if excess > 0 {
        log::error!(entries = excess; "discovery: {excess} entries left out, beyond {MAX_ENTRIES}");
    }
}
