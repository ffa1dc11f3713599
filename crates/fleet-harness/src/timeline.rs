//! The members' views of each other over time, and the times at which members were stopped and started.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use cranehill_scheduler::Time;
use cranehill_simulation::audit::{AuditEvent, AuditRecord};
use serde_json::Value;

use crate::simulated::{MemberEvent, Observation, SimulatedFleetRun};

/// A change of one member in another's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Time since the run began.
    pub at: Duration,
    /// Number of the viewer, the member whose view changed.
    pub by: usize,
    /// Number of the member whose state changed in that view.
    pub of: usize,
    /// The new state, by its name in the log: `alive`, `suspect`, `down` or `left`.
    pub state: String,
    /// The incarnation of the member in `of`.
    pub incarnation: u64,
}

/// Events of a fleet. Times are durations since the run began.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Changes of the members' views, ordered by time.
    pub state_changes: Vec<StateChange>,
    /// For each member: when it ended or was stopped, and when it ran again, if it did.
    pub absences: BTreeMap<usize, Vec<(Duration, Option<Duration>)>>,
    /// Members that were killed, and when.
    pub killed: Vec<(usize, Duration)>,
    /// Changes of members' quota divisors: time, member, the new divisor.
    pub senders: Vec<(Duration, usize, u64)>,
    /// Time and member of each rejoin with a new incarnation of a process that kept running.
    pub rejoined: Vec<(Duration, usize)>,
    /// Changes of a zone's state: time, sender, name of the zone, the new state.
    pub zones: Vec<(Duration, usize, String, String)>,
    /// Completed recoveries: time of completion, sender, duration.
    pub recoveries: Vec<(Duration, usize, Duration)>,
}

/// The member number in a name such as `n12`; `None` for other names.
pub(crate) fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

impl Timeline {
    /// Reads the senders' logs and the audit records of the run. `began` is the start of the run as time since 1970. Log lines that
    /// are not JSON, such as those of a panic, are ignored.
    pub fn read(logs: &[(usize, String)], records: &[AuditRecord], began: Duration) -> Timeline {
        let mut timeline = Timeline::default();
        for (by, line) in logs {
            if let Some(event) = LogEvent::parse(line, began) {
                timeline.add_log_event(*by, &event);
            }
        }
        timeline.state_changes.sort_by_key(|change| change.at);
        records
            .iter()
            .for_each(|record| timeline.add_record(record));
        timeline
    }

    fn add_log_event(&mut self, by: usize, event: &LogEvent) {
        let at = event.at;
        match event.name() {
            "member" => self.state_changes.extend(event.state_change(by)),
            "quota-divisor" => self.senders.push((at, by, event.number("senders"))),
            "recovery-complete" => {
                let took = Duration::from_millis(event.number("took_ms"));
                self.recoveries.push((at, by, took));
            }
            "zone" => {
                let (zone, state) = (event.text("zone"), event.text("state"));
                self.zones.push((at, by, zone, state));
            }
            "rejoined" => self.rejoined.push((at, by)),
            _ => {}
        }
    }

    fn add_record(&mut self, record: &AuditRecord) {
        let Some(sender) = record.sender else { return };
        match &record.event {
            AuditEvent::Ready => self.record_start(sender, record.at),
            AuditEvent::Signalled => {
                self.record_stop(sender, record.at);
                if record.wire == "SIGKILL" {
                    self.killed.push((sender, record.at));
                }
            }
            _ => {}
        }
    }

    /// Adds the observations of simulated members. Member numbers are those of the whole fleet.
    pub fn add_simulated(&mut self, simulated: &SimulatedFleetRun) {
        for observation in &simulated.observations {
            self.add_observation(simulated.began, observation);
        }
        self.state_changes.sort_by_key(|change| change.at);
        self.senders.sort_by_key(|change| change.0);
        self.killed.sort_by_key(|kill| kill.1);
    }

    fn add_observation(&mut self, began: Time, observation: &Observation) {
        let Observation {
            at,
            reporter,
            event,
        } = observation;
        let (at, by) = (*at - began, *reporter);
        match event {
            MemberEvent::Sees {
                member,
                incarnation,
                seen,
            } => {
                let state = seen.name().to_owned();
                self.state_changes.push(StateChange {
                    at,
                    by,
                    of: *member,
                    state,
                    incarnation: *incarnation,
                });
            }
            MemberEvent::Senders(senders) => self.senders.push((at, by, u64::from(*senders))),
            MemberEvent::Rejoined => self.rejoined.push((at, by)),
            MemberEvent::Crashed => {
                self.killed.push((by, at));
                self.record_stop(by, at);
            }
            MemberEvent::Ended | MemberEvent::Stopped => self.record_stop(by, at),
            MemberEvent::Started | MemberEvent::Resumed => self.record_start(by, at),
            MemberEvent::Incarnation(_)
            | MemberEvent::ProcessPaused
            | MemberEvent::PacketDropped => {}
        }
    }

    fn record_stop(&mut self, sender: usize, at: Duration) {
        let absences = self.absences.entry(sender).or_default();
        if absences.last().is_none_or(|last| last.1.is_some()) {
            absences.push((at, None));
        }
    }

    fn record_start(&mut self, sender: usize, at: Duration) {
        if let Some(last) = self
            .absences
            .get_mut(&sender)
            .and_then(|absences| absences.last_mut())
            && last.1.is_none()
        {
            last.1 = Some(at);
        }
    }

    /// Members that are alive in the last view of the member `by`.
    pub fn seen_alive(&self, by: usize) -> BTreeSet<usize> {
        let mut alive = BTreeSet::new();
        for change in self.state_changes.iter().filter(|change| change.by == by) {
            if change.state == "alive" {
                alive.insert(change.of);
            } else {
                alive.remove(&change.of);
            }
        }
        alive
    }

    /// Whether a member ran during the whole time from `from` to `to`.
    pub fn ran_throughout(&self, sender: usize, from: Duration, to: Duration) -> bool {
        self.absences.get(&sender).is_none_or(|all| {
            all.iter().all(|(stopped, restarted)| {
                *stopped > to || restarted.is_some_and(|restarted| restarted <= from)
            })
        })
    }

    /// The time between `from` and `until` from which on all members that ran throughout saw each other alive; `None` if they did
    /// not at `until`.
    pub fn agreed_since(&self, count: usize, from: Duration, until: Duration) -> Option<Duration> {
        let ran: Vec<bool> = (0..count)
            .map(|member| self.ran_throughout(member, from, until))
            .collect();
        let present = ran.iter().filter(|ran| **ran).count();
        let mut alive = vec![false; count * count];
        // Number of pairs of a viewer and a member that it does not consider alive. Updated with each change and not counted again, since a large fleet
        // has as many changes as pairs.
        let mut missing = present * present.saturating_sub(1);
        let mut since = None;
        for change in &self.state_changes {
            if change.at > until || change.by >= count || change.of >= count {
                continue;
            }
            if ran[change.by] && ran[change.of] && change.by != change.of {
                let seen = &mut alive[change.by * count + change.of];
                let is_alive = change.state == "alive";
                missing = missing + usize::from(*seen) - usize::from(is_alive);
                *seen = is_alive;
            }
            if change.at < from {
                continue;
            }
            if missing > 0 {
                since = None;
            } else if since.is_none() {
                since = Some(change.at);
            }
        }
        let unchanged = self
            .state_changes
            .iter()
            .all(|change| change.at < from || change.at > until);
        since.or_else(|| (unchanged && missing == 0).then_some(from))
    }
}

/// A line of a sender's log.
struct LogEvent {
    at: Duration,
    fields: Value,
}

impl LogEvent {
    /// Parses a line; `None` if it is not JSON, or has no event or time.
    fn parse(line: &str, began: Duration) -> Option<LogEvent> {
        let fields: Value = serde_json::from_str(line).ok()?;
        fields["event"].as_str()?;
        let time = humantime::parse_rfc3339(fields["ts"].as_str()?).ok()?;
        let since_1970 = time.duration_since(UNIX_EPOCH).ok()?;
        let at = since_1970.saturating_sub(began);
        Some(LogEvent { at, fields })
    }

    fn name(&self) -> &str {
        self.fields["event"].as_str().unwrap_or_default()
    }

    /// The number in a field; zero if the field is missing or not a number.
    fn number(&self, key: &str) -> u64 {
        self.fields[key].as_u64().unwrap_or(0)
    }

    /// The text in a field; empty if the field is missing or not a string.
    fn text(&self, key: &str) -> String {
        self.fields[key].as_str().unwrap_or_default().to_owned()
    }

    fn state_change(&self, by: usize) -> Option<StateChange> {
        Some(StateChange {
            at: self.at,
            by,
            of: member_number(self.fields["member"].as_str()?)?,
            state: self.text("state"),
            incarnation: self.number("incarnation"),
        })
    }
}
