//! The simulated directory and platform: the endpoint list and its watches, and final reports.

use std::collections::BTreeSet;
use std::time::Duration;

use cranehill_simulation::audit::{self, AuditEvent, FinalReport};
use cranehill_simulation::directory::{List, Listed, Row, Watch};
use cranehill_simulation::scenario::{ListChange, To};
use serde_json::{Value, json};

use super::connection::{CloseMode, ConnectionId, PendingWatch, Role};
use super::state::{Endpoint, Runner, endpoint_id};
use super::timers::Timer;
use crate::senders::listed_rate;
use crate::wire::{FinalReportLine, Request, WatchRequest, encode_response, parse_final_reports};

/// Minimum time between two checks of a pending watch.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(1);

/// The state of one endpoint in a list that a sender receives. `endpoint` is its audit number.
struct NotifiedState {
    endpoint: usize,
    destination: u64,
    listed: Listed,
}

impl Runner<'_> {
    /// Handles the requests that have arrived on a connection, one at a time while no watch is pending.
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
                    self.void(format!("malformed request to the directory: {why}"));
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
                self.void(format!("sender {sender}: invalid final report: {why}"));
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
        let WatchRequest {
            known_version,
            max_hold,
        } = WatchRequest::parse(&request.path).unwrap_or(WatchRequest {
            known_version: 0,
            max_hold: Duration::ZERO,
        });
        let received_at = self.now();
        self.set_watch(
            id,
            Some(PendingWatch {
                known_version,
                received_at,
                max_hold,
            }),
        );
        self.answer_watch(id);
    }

    fn set_watch(&mut self, id: ConnectionId, pending_watch: Option<PendingWatch>) {
        if let Some(Role::Directory { watch }) = self.connections.get_mut(&id).map(|c| &mut c.role)
        {
            *watch = pending_watch;
        }
    }

    /// Answers a pending watch if the list has changed for this sender or the watch has expired; otherwise schedules another check.
    pub(super) fn answer_watch(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let sender = connection.sender;
        let Some(PendingWatch {
            known_version,
            received_at,
            max_hold,
        }) = connection.watch()
        else {
            return;
        };
        let now = self.now();
        match self
            .directory
            .watch(now, sender, known_version, received_at, max_hold)
        {
            Watch::Now(list) => {
                self.record_notified(sender, &list);
                let body = self.list_json(&list, sender).to_string();
                self.set_watch(id, None);
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

    /// Records the endpoints whose state changes for a sender with this list. Endpoints that a full list lacks count as removed.
    fn record_notified(&mut self, sender: usize, list: &List) {
        let mut states: Vec<NotifiedState> = list
            .rows
            .iter()
            .map(|row| self.notified_state(row))
            .collect();
        if list.full {
            let listed_endpoints: BTreeSet<usize> =
                states.iter().map(|state| state.endpoint).collect();
            let notified_endpoints = self.senders[sender].listed_states.keys();
            let removed =
                notified_endpoints.filter(|endpoint| !listed_endpoints.contains(endpoint));
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
            if self.senders[sender].listed_states.insert(endpoint, listed) == Some(listed) {
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
        let endpoint_entry = &self.endpoints[row.endpoint];
        // A row with another id belongs to the original endpoint, which has been replaced since. Its audit number is its index.
        let endpoint = if endpoint_entry.id == row.id {
            endpoint_entry.audit_number
        } else {
            row.endpoint
        };
        NotifiedState {
            endpoint,
            destination: row.destination,
            listed: row.listed,
        }
    }

    /// The endpoint list in the directory's JSON format, with the addresses for one sender.
    pub(super) fn list_json(&self, list: &List, sender: usize) -> Value {
        let rows: Vec<Value> = list
            .rows
            .iter()
            .map(|row| self.row_json(row, sender))
            .collect();
        json!({"version": list.version, "full": list.full, "servers": rows})
    }

    fn row_json(&self, row: &Row, sender: usize) -> Value {
        let endpoint_entry = &self.endpoints[row.endpoint];
        let member = &self.scenario.destinations[endpoint_entry.destination];
        let state = match row.listed {
            Listed::Up => "up",
            Listed::Draining => "draining",
            Listed::Removed => "removed",
        };
        let started = row
            .started
            .map_or(0, |s| (self.started_unix + s).as_millis() as u64);
        let zone = &self.scenario.zones[member.zones[endpoint_entry.number]];
        json!({"id": row.id, "addr": endpoint_entry.addresses[sender].to_string(), "zone": zone, "kind": member.kind,
            "cell": row.destination, "state": state, "weight": listed_rate(member), "started_ms": started})
    }

    /// Makes a scheduled change of the endpoint list and answers the watches that wait for it.
    pub(super) fn change_list(&mut self, change: usize) {
        let ListChange {
            destination,
            endpoint: number,
            to,
            ..
        } = self.scenario.changes[change];
        let is_changed = |e: &Endpoint| e.destination == destination && e.number == number;
        let Some(endpoint) = self.endpoints.iter().position(is_changed) else {
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

    /// Changes the state of an endpoint in the list.
    fn list_endpoint(&mut self, now: Duration, endpoint: usize, listed: Listed) {
        let endpoint_entry = &self.endpoints[endpoint];
        let started = (listed == Listed::Up).then_some(now);
        let row = Row {
            id: endpoint_entry.id.clone(),
            endpoint,
            destination: endpoint_entry.destination as u64,
            listed,
            started,
        };
        self.directory.change(now, row);
    }

    /// Replaces an endpoint by a new one, with a new id, at the same address.
    fn replace_endpoint(&mut self, endpoint: usize) {
        let audit_number = self.next_audit_number;
        self.next_audit_number += 1;
        let endpoint_entry = &mut self.endpoints[endpoint];
        endpoint_entry.id = endpoint_id(audit_number);
        endpoint_entry.audit_number = audit_number;
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
