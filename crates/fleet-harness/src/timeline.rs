//! What the senders' logs say of each other, beside what was done to them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use cranehill_scheduler::Time;
use cranehill_simulation::audit::{AuditEvent, AuditRecord};
use serde_json::Value;

use crate::simulated::{Observation, Observed, SimulatedFleetPlay};

/// One sender's log said that another is so from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    pub at: Duration,
    pub by: usize,
    pub of: usize,
    pub state: String,
    pub incarnation: u64,
}

/// A day, as far as the fleet goes.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    pub state_changes: Vec<StateChange>,
    /// By sender: when it was not there, or stopped, and since when it was there again.
    pub away: BTreeMap<usize, Vec<(Duration, Option<Duration>)>>,
    /// Ends that were sudden: killed, when.
    pub killed: Vec<(usize, Duration)>,
    /// Numbers of senders that limits are divided by, as told: when, by whom, how many.
    pub senders: Vec<(Duration, usize, u64)>,
    /// Times that a sender came back under another life while it ran on.
    pub rejoined: Vec<(Duration, usize)>,
    /// When a sender said of a zone what it is from then on.
    pub zones: Vec<(Duration, usize, String, String)>,
    /// When a sender said that it was back in full, and how long that took it.
    pub full: Vec<(Duration, usize, Duration)>,
}

/// The number in a rehearsed sender's name.
fn number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

impl Timeline {
    /// `began`: when the day began, since 1970. Lines that are no JSON are passed over: a panic's, for one.
    pub fn read(logs: &[(usize, String)], lines: &[AuditRecord], began: Duration) -> Timeline {
        let mut timeline = Timeline::default();
        for (by, line) in logs {
            let Ok(value) = serde_json::from_str::<Value>(line) else {
                continue;
            };
            let Some(event) = value["event"].as_str() else {
                continue;
            };
            let ts = value["ts"]
                .as_str()
                .and_then(|ts| humantime::parse_rfc3339(ts).ok());
            let Some(since) = ts.and_then(|ts| ts.duration_since(UNIX_EPOCH).ok()) else {
                continue;
            };
            let at = since.saturating_sub(began);
            match event {
                "member" => {
                    let Some(of) = value["member"].as_str().and_then(number) else {
                        continue;
                    };
                    let state = value["state"].as_str().unwrap_or_default().to_owned();
                    let incarnation = value["incarnation"].as_u64().unwrap_or(0);
                    timeline.state_changes.push(StateChange {
                        at,
                        by: *by,
                        of,
                        state,
                        incarnation,
                    });
                }
                "quota-divisor" => {
                    timeline
                        .senders
                        .push((at, *by, value["senders"].as_u64().unwrap_or(0)))
                }
                "recovery-complete" => {
                    let took = Duration::from_millis(value["took_ms"].as_u64().unwrap_or(0));
                    timeline.full.push((at, *by, took));
                }
                "zone" => {
                    let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
                    timeline.zones.push((at, *by, text("zone"), text("state")));
                }
                "rejoined" => timeline.rejoined.push((at, *by)),
                _ => {}
            }
        }
        timeline.state_changes.sort_by_key(|s| s.at);
        for line in lines {
            let Some(sender) = line.sender else { continue };
            match (&line.event, line.wire.as_str()) {
                (AuditEvent::Ready, _) => timeline.come_back(sender, line.at),
                (AuditEvent::Signalled, signal) => {
                    timeline.leave(sender, line.at);
                    if signal == "SIGKILL" {
                        timeline.killed.push((sender, line.at));
                    }
                }
                _ => {}
            }
        }
        timeline
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
                generation,
                seen,
            } => {
                let state = seen.block().to_owned();
                self.state_changes.push(StateChange {
                    at,
                    by,
                    of: *member,
                    state,
                    incarnation: *generation,
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
            Observed::Generation(_) | Observed::HeldUp | Observed::Refused => {}
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

    /// Others that a member sees alive by its last words.
    pub fn seen_alive(&self, by: usize) -> BTreeSet<usize> {
        let mut alive = BTreeSet::new();
        for state_changes in self
            .state_changes
            .iter()
            .filter(|state_changes| state_changes.by == by)
        {
            match state_changes.state.as_str() {
                "alive" => alive.insert(state_changes.of),
                _ => alive.remove(&state_changes.of),
            };
        }
        alive
    }

    /// Whether a sender was there, and running, all the time from then to then.
    pub fn there(&self, sender: usize, from: Duration, to: Duration) -> bool {
        self.away.get(&sender).is_none_or(|all| {
            all.iter()
                .all(|(removed, back)| *removed > to || back.is_some_and(|back| back <= from))
        })
    }

    /// Since when, from `from` on and up to `until`, all that were there saw all others that were there as alive.
    pub fn agreed_since(&self, count: usize, from: Duration, until: Duration) -> Option<Duration> {
        let there: Vec<bool> = (0..count).map(|s| self.there(s, from, until)).collect();
        let present = there.iter().filter(|there| **there).count();
        let mut alive = vec![false; count * count];
        // Pairs that do not see each other, kept by each change: a fleet of some hundred has as many changes as pairs.
        let mut missing = present * present.saturating_sub(1);
        let mut since = None;
        for state_changes in self
            .state_changes
            .iter()
            .filter(|s| s.at <= until && s.by < count && s.of < count)
        {
            if there[state_changes.by]
                && there[state_changes.of]
                && state_changes.by != state_changes.of
            {
                let seen = &mut alive[state_changes.by * count + state_changes.of];
                let now = state_changes.state == "alive";
                missing = missing + usize::from(*seen) - usize::from(now);
                *seen = now;
            }
            if state_changes.at < from {
                continue;
            }
            match (missing > 0, since) {
                (true, _) => since = None,
                (false, None) => since = Some(state_changes.at),
                (false, Some(_)) => {}
            }
        }
        let always = self
            .state_changes
            .iter()
            .all(|s| s.at < from || s.at > until);
        since.or_else(|| (always && missing == 0).then_some(from))
    }
}
