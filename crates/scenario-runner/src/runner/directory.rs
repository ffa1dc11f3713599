//! The directory and the platform: the list of endpoints with its watches, and final reports.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::audit::{self, AuditEvent, FinalReport};
use cranehill_simulation::directory::{List, Listed, Row, Watch};
use cranehill_simulation::scenario::{ListChange, To};
use serde_json::{Value, json};

use super::connection::{CloseMode, ConnectionId, HeldWatch, Role};
use super::state::{Endpoint, Runner, endpoint_id};
use super::timers::Timer;
use crate::senders::listed_rate;
use crate::wire::{FinalReportLine, Request, WatchRequest, encode_response, parse_final_reports};

/// A held watch is not checked again sooner than this.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(1);

/// The state of one endpoint in a list that a sender receives.
struct NotifiedState {
    endpoint: usize,
    destination: u64,
    listed: Listed,
}

impl Runner<'_> {
    /// Reads requests, one at a time while no watch is held.
    pub(super) fn read_directory_requests(&mut self, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            if connection.watch().is_some() {
                return;
            }
            match connection.take_request() {
                Ok(None) => return,
                Ok(Some(request)) => {
                    self.on_directory_request(id, &request);
                }
                Err(why) => {
                    self.void(format!(
                        "a request to the directory that can't be read: {why}"
                    ));
                    return self.close_connection(id, CloseMode::Reset);
                }
            }
        }
    }

    fn on_directory_request(&mut self, id: ConnectionId, request: &Request) {
        let path = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("POST", "/v1/notices") => self.on_final_reports(id, request),
            ("GET", "/v1/endpoints") => self.on_watch(id, request),
            _ => self.send(id, &encode_response(404, &[], "")),
        }
    }

    fn on_final_reports(&mut self, id: ConnectionId, request: &Request) {
        let Some(sender) = self.connections.get(&id).map(|c| c.sender) else {
            return;
        };
        match parse_final_reports(&request.body) {
            Ok(reports) => {
                for FinalReportLine {
                    id: message,
                    report,
                } in reports
                {
                    self.on_final_report(sender, &message, report);
                }
                self.send(id, &encode_response(204, &[], ""));
            }
            Err(why) => {
                self.void(format!(
                    "sender {sender}: a report that can't be read: {why}"
                ));
                self.send(id, &encode_response(400, &[], ""));
            }
        }
    }

    fn on_final_report(&mut self, sender: usize, id: &str, final_report: FinalReport) {
        let line = format!("report {id} {final_report:?}");
        let retry_after = match &final_report {
            FinalReport::Returned { after } => Some(after.unwrap_or(self.scenario.load.pause)),
            FinalReport::Failed => None,
        };
        self.record(
            Some(sender),
            AuditEvent::Reported {
                id: id.to_owned(),
                final_report,
            },
            &line,
        );
        let now = self.now();
        if self.pending.remove(id).is_some() {
            self.clients.closed(now, id, retry_after);
            self.schedule_arrival();
        }
    }

    fn on_watch(&mut self, id: ConnectionId, request: &Request) {
        let WatchRequest { from, hold } =
            WatchRequest::parse(&request.path).unwrap_or(WatchRequest {
                from: 0,
                hold: Duration::ZERO,
            });
        let asked = self.now();
        self.hold_watch(id, Some(HeldWatch { from, asked, hold }));
        self.answer_watch(id);
    }

    fn hold_watch(&mut self, id: ConnectionId, held: Option<HeldWatch>) {
        if let Some(Role::Directory { watch }) = self.connections.get_mut(&id).map(|c| &mut c.role)
        {
            *watch = held;
        }
    }

    /// Answers a held watch if the list has changed, or checks it again later.
    pub(super) fn answer_watch(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let sender = connection.sender;
        let Some(HeldWatch { from, asked, hold }) = connection.watch() else {
            return;
        };
        let now = self.now();
        match self.directory.watch(now, sender, from, asked, hold) {
            Watch::Now(list) => {
                self.record_notified(sender, &list);
                let body = self.list_json(&list, sender).to_string();
                self.hold_watch(id, None);
                self.send(id, &encode_response(200, &[], &body));
                self.read_directory_requests(id);
            }
            Watch::Hold { until } | Watch::Silent { until } => {
                self.timers.push(
                    until.max(now + MIN_WATCH_INTERVAL),
                    Timer::Watch { connection: id },
                );
            }
        }
    }

    /// Records the endpoints whose state is new to a sender by this list.
    fn record_notified(&mut self, sender: usize, list: &List) {
        let mut states: Vec<NotifiedState> = list
            .rows
            .iter()
            .map(|row| self.notified_state(row))
            .collect();
        if list.full {
            let named: BTreeSet<usize> = states.iter().map(|state| state.endpoint).collect();
            let known = self.senders[sender].notified.keys();
            let removed = known.filter(|endpoint| !named.contains(endpoint));
            states.extend(removed.map(|&endpoint| NotifiedState {
                endpoint,
                destination: 0,
                listed: Listed::Removed,
            }));
        }
        for NotifiedState {
            endpoint,
            destination,
            listed,
        } in states
        {
            if self.senders[sender].notified.insert(endpoint, listed) == Some(listed) {
                continue;
            }
            let notified = AuditEvent::Notified {
                endpoint,
                destination,
                listed: audited_state(listed),
            };
            let line = format!("version {}: endpoint {endpoint} {listed:?}", list.version);
            self.record(Some(sender), notified, &line);
        }
    }

    fn notified_state(&self, row: &Row) -> NotifiedState {
        let place = &self.endpoints[row.endpoint];
        // A row with another id is of an endpoint that has been replaced.
        let endpoint = if place.id == row.id {
            place.audited
        } else {
            row.endpoint
        };
        NotifiedState {
            endpoint,
            destination: row.destination,
            listed: row.listed,
        }
    }

    /// A list as the directory sends it to a sender.
    pub(super) fn list_json(&self, list: &List, sender: usize) -> Value {
        let rows: Vec<Value> = list
            .rows
            .iter()
            .map(|row| self.row_json(row, sender))
            .collect();
        json!({"version": list.version, "full": list.full, "servers": rows})
    }

    fn row_json(&self, row: &Row, sender: usize) -> Value {
        let place = &self.endpoints[row.endpoint];
        let member = &self.scenario.destinations[place.destination];
        let state = match row.listed {
            Listed::Up => "up",
            Listed::Draining => "draining",
            Listed::Removed => "removed",
        };
        let started = row
            .started
            .map_or(0, |s| (self.started_unix + s).as_millis() as u64);
        let zone = &self.scenario.zones[member.zones[place.number]];
        json!({"id": row.id, "addr": place.addresses[sender].to_string(), "zone": zone, "kind": member.kind,
            "cell": row.destination, "state": state, "weight": listed_rate(member), "started_ms": started})
    }

    /// Makes a scheduled change to the list.
    pub(super) fn change_list(&mut self, change: usize) {
        let ListChange {
            destination,
            endpoint: number,
            to,
            ..
        } = self.scenario.changes[change];
        let is_meant = |e: &Endpoint| e.destination == destination && e.number == number;
        let Some(endpoint) = self.endpoints.iter().position(is_meant) else {
            return;
        };
        let now = self.now();
        match to {
            To::Up => self.list_endpoint(now, endpoint, Listed::Up),
            To::Draining => self.list_endpoint(now, endpoint, Listed::Draining),
            To::Removed => self.list_endpoint(now, endpoint, Listed::Removed),
            To::Replaced => {
                self.list_endpoint(now, endpoint, Listed::Removed);
                self.replace_endpoint(endpoint);
                self.list_endpoint(now, endpoint, Listed::Up);
            }
        }
        self.answer_watches();
    }

    fn list_endpoint(&mut self, now: Duration, endpoint: usize, listed: Listed) {
        let place = &self.endpoints[endpoint];
        let started = (listed == Listed::Up).then_some(now);
        let row = Row {
            id: place.id.clone(),
            endpoint,
            destination: place.destination as u64,
            listed,
            started,
        };
        self.directory.change(now, row);
    }

    /// Another endpoint replaces this one at its address.
    fn replace_endpoint(&mut self, endpoint: usize) {
        let audited = self.next_audited_endpoint;
        self.next_audited_endpoint += 1;
        let place = &mut self.endpoints[endpoint];
        place.id = endpoint_id(audited);
        place.audited = audited;
    }

    fn answer_watches(&mut self) {
        for id in self.connections_where(|c| c.watch().is_some()) {
            self.answer_watch(id);
        }
    }
}

fn audited_state(listed: Listed) -> audit::Listed {
    match listed {
        Listed::Up => audit::Listed::Up,
        Listed::Draining => audit::Listed::Draining,
        Listed::Removed => audit::Listed::Removed,
    }
}
