//! The members' views of each other over time, and what was done to the members.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use cranehill_scheduler::Time;
use cranehill_simulation::audit::{AuditEvent, AuditRecord};
use serde_json::Value;

use crate::simulated::{Observation, Observed, SimulatedFleetPlay};

/// A change of one member in another's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// Since the run began.
    pub at: Duration,
    /// The member whose view changed.
    pub by: usize,
    /// The member that is seen.
    pub of: usize,
    /// The state from then on, as the log names it.
    pub state: String,
    /// The incarnation of the member that is seen.
    pub incarnation: u64,
}

/// Events of a fleet; times are since the run began.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// In the order of time.
    pub state_changes: Vec<StateChange>,
    /// By member: when it ended or was stopped, and when it ran again.
    pub away: BTreeMap<usize, Vec<(Duration, Option<Duration>)>>,
    /// Members that were killed, and when.
    pub killed: Vec<(usize, Duration)>,
    /// Numbers of senders that limits are divided by: when, by which member, the number.
    pub senders: Vec<(Duration, usize, u64)>,
    /// Times that a member rejoined with a new incarnation while its process ran on.
    pub rejoined: Vec<(Duration, usize)>,
    /// States of zones: when, of which sender, the zone, the state from then on.
    pub zones: Vec<(Duration, usize, String, String)>,
    /// Completed recoveries: when, of which sender, how long they took.
    pub full: Vec<(Duration, usize, Duration)>,
}

/// The number in the name of a sender or simulated member.
pub(crate) fn member_number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

impl Timeline {
    /// Reads the senders' logs and the record of the run. `began`: when the run began, since 1970. Lines that are not JSON, as those of
    /// a panic, are ignored.
    pub fn read(logs: &[(usize, String)], lines: &[AuditRecord], began: Duration) -> Timeline {
        let mut timeline = Timeline::default();
        for (by, line) in logs {
            if let Some(event) = LogEvent::parse(line, began) {
                timeline.add_log_event(*by, &event);
            }
        }
        timeline.state_changes.sort_by_key(|change| change.at);
        lines.iter().for_each(|line| timeline.add_line(line));
        timeline
    }

    fn add_log_event(&mut self, by: usize, event: &LogEvent) {
        let at = event.at;
        match event.name() {
            "member" => self.state_changes.extend(event.state_change(by)),
            "quota-divisor" => self.senders.push((at, by, event.number("senders"))),
            "recovery-complete" => {
                let took = Duration::from_millis(event.number("took_ms"));
                self.full.push((at, by, took));
            }
            "zone" => {
                let (zone, state) = (event.text("zone"), event.text("state"));
                self.zones.push((at, by, zone, state));
            }
            "rejoined" => self.rejoined.push((at, by)),
            _ => {}
        }
    }

    fn add_line(&mut self, line: &AuditRecord) {
        let Some(sender) = line.sender else { return };
        match &line.event {
            AuditEvent::Ready => self.come_back(sender, line.at),
            AuditEvent::Signalled => {
                self.leave(sender, line.at);
                if line.wire == "SIGKILL" {
                    self.killed.push((sender, line.at));
                }
            }
            _ => {}
        }
    }

    /// Adds what simulated members reported; numbers are those of the whole fleet.
    pub fn add_simulated(&mut self, simulated: &SimulatedFleetPlay) {
        for observation in &simulated.observations {
            self.add_observation(simulated.began, observation);
        }
        self.state_changes.sort_by_key(|s| s.at);
        self.senders.sort_by_key(|s| s.0);
        self.killed.sort_by_key(|k| k.1);
    }

    fn add_observation(&mut self, began: Time, observation: &Observation) {
        let Observation { at, by, what } = observation;
        let (at, by) = (*at - began, *by);
        match what {
            Observed::Sees {
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
            Observed::Senders(senders) => self.senders.push((at, by, u64::from(*senders))),
            Observed::Rejoined => self.rejoined.push((at, by)),
            Observed::Crashed => {
                self.killed.push((by, at));
                self.leave(by, at);
            }
            Observed::Ended | Observed::Stopped => self.leave(by, at),
            Observed::Started | Observed::Resumed => self.come_back(by, at),
            Observed::Incarnation(_) | Observed::ProcessPaused | Observed::PacketDropped => {}
        }
    }

    fn leave(&mut self, sender: usize, at: Duration) {
        let away = self.away.entry(sender).or_default();
        if away.last().is_none_or(|last| last.1.is_some()) {
            away.push((at, None));
        }
    }

    fn come_back(&mut self, sender: usize, at: Duration) {
        if let Some(last) = self.away.get_mut(&sender).and_then(|away| away.last_mut())
            && last.1.is_none()
        {
            last.1 = Some(at);
        }
    }

    /// Members that are alive in the last view of a member.
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

    /// A member ran throughout this time.
    pub fn there(&self, sender: usize, from: Duration, to: Duration) -> bool {
        self.away.get(&sender).is_none_or(|all| {
            all.iter()
                .all(|(removed, back)| *removed > to || back.is_some_and(|back| back <= from))
        })
    }

    /// Since when, between `from` and `until`, all members that ran throughout saw each other alive.
    pub fn agreed_since(&self, count: usize, from: Duration, until: Duration) -> Option<Duration> {
        let there: Vec<bool> = (0..count).map(|s| self.there(s, from, until)).collect();
        let present = there.iter().filter(|there| **there).count();
        let mut alive = vec![false; count * count];
        // Pairs that do not see each other, updated by each change: a large fleet has as many changes as pairs.
        let mut missing = present * present.saturating_sub(1);
        let mut since = None;
        for change in &self.state_changes {
            if change.at > until || change.by >= count || change.of >= count {
                continue;
            }
            if there[change.by] && there[change.of] && change.by != change.of {
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
            .all(|s| s.at < from || s.at > until);
        since.or_else(|| (unchanged && missing == 0).then_some(from))
    }
}

/// A line of a sender's log.
struct LogEvent {
    at: Duration,
    fields: Value,
}

impl LogEvent {
    /// `None` for lines that are not JSON, or have no event or time.
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

    /// A field's number; zero if it has none.
    fn number(&self, key: &str) -> u64 {
        self.fields[key].as_u64().unwrap_or(0)
    }

    /// A field's text; empty if it has none.
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
