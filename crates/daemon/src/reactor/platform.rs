//! The platform: the directory's watch, the final reports, and where both are.

use super::*;

/// A configuration that can't be read is read again so soon, for so long.
const RELOAD_AGAIN: Duration = Duration::from_millis(100);
const RELOAD_MOST: Duration = Duration::from_millis(1500);

impl Reactor {
    /// When the next question to the directory is due, where there is one to ask.
    pub(super) fn watch_due(&self) -> Option<Time> {
        self.discovery.and(self.watch.due())
    }

    pub(super) fn watch_failed(&mut self, why: &str, failure: Failure) {
        let pause = self.watch.failed(self.clock.now(), failure);
        log::info!(pause_ms = pause.as_millis() as u64; "discovery: {why}; the last list is kept");
    }

    pub(super) fn report_later(&mut self) {
        self.reports.on_lost();
        self.report_at = self.clock.now() + final_report_protocol::RETRY_DELAY;
    }

    pub(super) fn on_platform(&mut self, id: usize, write_broke: bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let ended = connection.ended || write_broke;
        let watching = matches!(connection.kind, ConnectionKind::Directory { .. });
        let body_most = match connection.kind {
            ConnectionKind::Directory { body_most } => body_most,
            _ => http::MAX_BODY_BYTES,
        };
        match http::response_within(&connection.input, ended, body_most) {
            Ok(Some((response, used))) => {
                connection.input.drain(..used);
                // A watch that was answered with anything but a list is asked anew on a new connection, later:
                // the old one must not stay behind as a second watch.
                let refused = watching && response.status != 200;
                let reuse = !response.close && !ended && !refused;
                if !reuse {
                    self.drop_connection(id);
                }
                if watching {
                    self.on_list(&response);
                    let now = self.clock.now();
                    match (reuse, self.watch_due().is_some_and(|due| due <= now)) {
                        (true, true) => self.watch(Some(id)),
                        (true, false) => drop(self.drop_connection(id)),
                        (false, _) => {}
                    }
                } else {
                    let retry_after = self.reports.on_response(response.status);
                    log::trace!("reports {retry_after:?} are with the platform");
                    if retry_after.is_empty() {
                        self.report_at = self.clock.now() + final_report_protocol::RETRY_DELAY;
                    } else {
                        self.step(Input::FinalReportsAcknowledged(retry_after));
                    }
                }
            }
            Ok(None) if !ended => {}
            Ok(None) => self.broken(id, "the connection ended without an answer"),
            Err(http::TOO_LARGE) if watching => {
                let why = format!(
                    "the list has more than the {body_most} bytes that are read of one answer"
                );
                self.broken(id, &why);
            }
            Err(http::Malformed(why)) => self.broken(id, why),
        }
    }

    pub(super) fn on_list(&mut self, response: &http::Response) {
        match discovery_protocol::read(response, &self.platform_settings) {
            Ok(discovery_protocol::ParsedList {
                version,
                whole,
                mut list,
                unread,
                excess,
            }) => {
                if let Some(why) = unread.first() {
                    log::error!(entries = unread.len(); "discovery: {} entries left out, {why}", unread.len());
                }
                if excess > 0 {
                    log::error!(entries = excess; "discovery: {excess} entries left out, beyond {}", discovery_protocol::MAX_ENTRIES);
                }
                self.watch.answered(self.clock.now(), version);
                if !whole && !unread.is_empty() {
                    self.watch.missed();
                }
                if !list.is_empty() || whole {
                    log::info!(
                        "discovery: version {version}, {} endpoints{}",
                        list.len(),
                        if whole { ", all" } else { " changed" }
                    );
                }
                if whole {
                    list.extend(self.push.iter().flat_map(Push::listings));
                }
                self.step(Input::EndpointsChanged { whole, list });
            }
            Err(why) => {
                let unix_now = Duration::from_nanos(self.clock.now().0);
                let retry_after = http::retry_after(&response.headers, unix_now);
                self.watch_failed(&why.to_string(), Failure::Rejected { retry_after });
            }
        }
    }

    pub(super) fn watch(&mut self, connection: Option<usize>) {
        let Some(address) = self.discovery else {
            return;
        };
        let host = address.to_string();
        let bytes = self.watch.ask(self.clock.now(), &host);
        let id = match connection {
            Some(id) => id,
            None => match self.connect(
                ConnectionKind::Directory {
                    body_most: self.list_body_most,
                },
                &host,
            ) {
                Ok(id) => id,
                Err(e) => return self.watch_failed(&e.to_string(), Failure::ConnectFailed),
            },
        };
        self.queue(id, bytes);
    }

    /// Sets a connection's next request; it goes as soon as the connection is up.
    pub(super) fn queue(&mut self, id: usize, bytes: Vec<u8>) {
        let now = self.clock.now();
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.output, connection.written, connection.used) = (bytes, 0, now);
            if connection.up && !connection.flush() {
                connection.ended = true;
            }
        }
    }

    pub(super) fn send_reports(&mut self) {
        let Some(address) = self.discovery else {
            return;
        };
        let now = self.clock.now();
        if !self.reports.is_ready() || now < self.report_at {
            return;
        }
        let host = address.to_string();
        let open = self
            .connections
            .iter()
            .find(|(_, l)| matches!(l.kind, ConnectionKind::FinalReports) && !l.ended)
            .map(|(&id, _)| id);
        let id = match open {
            Some(id) => id,
            None => match self.connect(ConnectionKind::FinalReports, &host) {
                Ok(id) => id,
                Err(e) => {
                    log::info!("final reports: {e}");
                    return self.report_later();
                }
            },
        };
        if let Some(bytes) = self.reports.next_call(&host) {
            log::trace!(
                "reports {:?} go out on connection {id}",
                self.reports.in_flight()
            );
            self.queue(id, bytes);
        }
    }

    /// SIGHUP: the configuration has been replaced.
    pub(super) fn on_reload(&mut self) {
        let now = self.clock.now();
        log::info!("reload: asked for");
        self.reload = Some((now, now + RELOAD_MOST));
    }

    /// Reads the configuration again. A file that is being replaced may be found half written, so it is read
    /// anew for a while before the old one is kept.
    pub(super) fn read_again(&mut self) {
        let Some((_, until)) = self.reload.take() else {
            return;
        };
        let Some(read_config) = &mut self.read_config else {
            return;
        };
        let now = self.clock.now();
        match read_config() {
            Ok(address) => self.move_platform(address),
            Err(why) if now < until => {
                log::info!("reload: {why}; read again");
                self.reload = Some((now + RELOAD_AGAIN, until));
            }
            Err(why) => log::error!("reload: {why}; the old configuration is kept"),
        }
    }

    /// The directory is at another address from now on: watch and final reports go there, and what the old
    /// one has not answered goes again. The last list is kept until the new one has told all of its own; its
    /// versions need not go on from the old one's.
    fn move_platform(&mut self, address: SocketAddr) {
        if self.discovery == Some(address) {
            log::info!("reload: discovery stays at {address}");
            return;
        }
        log::info!("reload: discovery is at {address} now");
        let now = self.clock.now();
        let platform = |l: &Connection| {
            matches!(
                l.kind,
                ConnectionKind::Directory { .. } | ConnectionKind::FinalReports
            )
        };
        let old: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| platform(l))
            .map(|(&id, _)| id)
            .collect();
        old.into_iter()
            .for_each(|id| drop(self.drop_connection(id)));
        self.reports.on_lost();
        self.report_at = now;
        self.discovery = Some(address);
        self.watch.moved(now);
        self.watch(None);
    }
}
