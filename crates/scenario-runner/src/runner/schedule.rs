//! Sets the timers of a scenario: list changes, signals, actions and faults.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use cranehill_simulation::fault::{Fault, Kind};

use super::clock::unix_time;
use super::state::Runner;
use super::timers::Timer;

impl Runner<'_> {
    /// Starts the scenario: sets its clock to zero, discards what was recorded before, and sets the timers.
    pub(super) fn begin(&mut self) {
        self.started = Instant::now();
        self.started_unix = unix_time();
        self.log.clear();
        for (n, change) in self.scenario.changes.iter().enumerate() {
            self.timers.push(change.at, Timer::ListChange(n));
        }
        for (n, signal) in self.scenario.signals.iter().enumerate() {
            self.timers.push(signal.at, Timer::Signal(n));
        }
        for (n, action) in self.scenario.scheduled_actions.iter().enumerate() {
            self.timers.push(action.at, Timer::FleetAction(n));
        }
        self.schedule_fault_edges();
        self.schedule_outage_ends();
        self.schedule_arrival();
    }

    /// Sets timers for the start and end of each fault that resets an endpoint's connections.
    fn schedule_fault_edges(&mut self) {
        for (endpoint, endpoint_entry) in self.endpoints.iter().enumerate() {
            let faults = &self.scenario.destinations[endpoint_entry.destination].faults
                [endpoint_entry.number];
            for fault in faults
                .iter()
                .filter(|f| matches!(f.kind, Kind::Refuse | Kind::Vanish))
            {
                self.timers.push(fault.start, Timer::FaultEdge { endpoint });
                self.timers.push(fault.end(), Timer::FaultEdge { endpoint });
            }
        }
    }

    fn schedule_outage_ends(&mut self) {
        for (destination, member) in self.scenario.destinations.iter().enumerate() {
            let outages = member.faults.iter().flatten().filter(|f| f.is_outage());
            let ends: BTreeSet<Duration> = outages.map(Fault::end).collect();
            for end in ends {
                self.timers.push(end, Timer::OutageEnd { destination });
            }
        }
    }
}
