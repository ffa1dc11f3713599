//! The platform: the endpoint list from discovery, final reports, and a reload of the address of both.

use std::net::SocketAddr;

use cranehill_core::Input;

use super::Reactor;
use crate::connection::{Connection, ConnectionKind};
use crate::http::{self, Response};
use crate::webpush::WebPushGateway;

impl Reactor {
    /// Processes the input on a connection to the platform.
    pub(super) fn on_platform(&mut self, id: usize, write_failed: bool) {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let ended = connection.ended || write_failed;
        let is_idle = matches!(connection.kind, ConnectionKind::FinalReports)
            && !self.final_reports.has_call_in_flight();
        if is_idle {
            // Bytes that belong to no call must not be taken for the response to the next one.
            if ended || !connection.input.is_empty() {
                self.connections.close(id);
            }
            return;
        }
        let (is_watch, max_body_bytes) = match connection.kind {
            ConnectionKind::Discovery { max_body_bytes } => (true, max_body_bytes),
            _ => (false, http::MAX_BODY_BYTES),
        };
        match http::response_within(&connection.input, ended, max_body_bytes) {
            Ok(Some((response, length))) => {
                connection.input.drain(..length);
                connection.idle_since = Some(now);
                let reusable = !response.close && !ended && connection.input.is_empty();
                if is_watch {
                    self.on_discovery_response(id, &response, reusable);
                } else {
                    self.on_final_report_response(id, &response, reusable);
                }
            }
            Ok(None) if !ended => {}
            Ok(None) => self.on_connection_failed(id, "the connection ended without a response"),
            Err(http::TOO_LARGE) if is_watch => {
                let why = format!("the endpoint list exceeds the limit of {max_body_bytes} bytes");
                self.on_connection_failed(id, &why);
            }
            Err(http::Malformed(why)) => self.on_connection_failed(id, why),
        }
    }

    fn on_discovery_response(&mut self, id: usize, response: &Response, reusable: bool) {
        // After a response that is not a list, the watch is repeated later on a new connection. The old connection is closed, so that
        // it does not remain as a second watch.
        let reuse = reusable && response.status == 200;
        if !reuse {
            self.connections.close(id);
        }
        let now = self.clock.now();
        let change = self
            .discovery
            .on_response(response, &self.platform_settings, now);
        if let Some(mut change) = change {
            if change.full {
                let listings = self.web_push.iter().flat_map(WebPushGateway::listings);
                change.listings.extend(listings);
            }
            self.step(Input::EndpointsChanged {
                whole: change.full,
                list: change.listings,
            });
        }
        if !reuse {
            return;
        }
        let now = self.clock.now();
        if self.discovery.due().is_some_and(|due| due <= now) {
            self.poll_discovery(Some(id));
        } else {
            self.connections.close(id);
        }
    }

    fn on_final_report_response(&mut self, id: usize, response: &Response, reusable: bool) {
        if !reusable {
            self.connections.close(id);
        }
        let acknowledged = self
            .final_reports
            .on_response(response.status, self.clock.now());
        if !acknowledged.is_empty() {
            self.step(Input::FinalReportsAcknowledged(acknowledged));
        }
    }

    /// Sends the next request to discovery on this connection, or on a new one.
    pub(super) fn poll_discovery(&mut self, connection: Option<usize>) {
        let now = self.clock.now();
        self.discovery
            .send_request(&mut self.connections, connection, now);
    }

    pub(super) fn send_final_reports(&mut self) {
        if let Some(address) = self.discovery.address() {
            let now = self.clock.now();
            self.final_reports.send(&mut self.connections, address, now);
        }
    }

    /// Reads the configuration at a reload.
    pub(super) fn read_config(&mut self) {
        if let Some(address) = self.reload.read(self.clock.now()) {
            self.move_platform(address);
        }
    }

    /// Uses another address of the platform for the watch and final reports. Requests that the old one has not answered are
    /// repeated.
    fn move_platform(&mut self, address: SocketAddr) {
        if self.discovery.address() == Some(address) {
            log::info!("reload: discovery address unchanged: {address}");
            return;
        }
        log::info!("reload: discovery address changed to {address}");
        let now = self.clock.now();
        let is_platform = |connection: &Connection| {
            matches!(
                connection.kind,
                ConnectionKind::Discovery { .. } | ConnectionKind::FinalReports
            )
        };
        for id in self.connections.ids(is_platform) {
            self.connections.close(id);
        }
        self.final_reports.on_platform_moved(now);
        self.discovery.move_to(address, now);
        self.poll_discovery(None);
    }
}
