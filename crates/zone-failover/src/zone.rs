//! [`Zone`]: the state of one zone, and its changes by what all members announce.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::announcement::{MemberAnnouncements, State, ZoneAnnouncement};
use crate::attempt_history::AttemptHistory;
use crate::settings::Settings;
use crate::tally::Tally;

/// Answered probe calls in a row, over all members, from which a zone is returned to: one may reach the only endpoint
/// that is up.
const MIN_SERVED_PROBES: u32 = 3;

/// What changes for this member.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Nothing is sent to the zone any more.
    Evacuate {
        /// Number of the zone.
        zone: u32,
        /// Members that see it fail, for the log.
        fails: usize,
        /// Members that see it serve, for the log.
        serves: usize,
        /// How long it stays evacuated at least.
        out: Duration,
    },
    /// One probe call may be sent to the zone, until its next change.
    Probe {
        /// Number of the zone.
        zone: u32,
        /// Chooses the endpoint, modulo their number.
        pick: u64,
    },
    /// The time for the probe call is over.
    ProbeOver {
        /// Number of the zone.
        zone: u32,
    },
    /// Load returns to the zone, within the slow start.
    Return {
        /// Number of the zone.
        zone: u32,
        /// Since when.
        since: Time,
    },
    /// The zone is in normal use again.
    InService {
        /// Number of the zone.
        zone: u32,
    },
}

/// What a zone's state is evaluated by.
pub(crate) struct Evaluation<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a Settings,
    pub(crate) me: SocketAddr,
    pub(crate) others: &'a [MemberAnnouncements],
    pub(crate) tally: Tally,
}

/// The state of one zone.
#[derive(Debug)]
pub(crate) struct Zone {
    number: u32,
    endpoint_count: usize,
    history: AttemptHistory,
    state: State,
    /// Since when a quorum sees it fail.
    failing_since: Option<Time>,
    /// Attempts in a row that were answered since it was evacuated.
    served: u32,
    /// How long it stays evacuated at least, this time.
    evacuation: Duration,
    /// When it was last put in service again.
    in_service_since: Option<Time>,
    /// The slot of the probe call that this member may send.
    probe_slot: Option<u64>,
}

impl Zone {
    /// A zone in normal use.
    pub(crate) fn new(number: u32) -> Zone {
        Zone {
            number,
            endpoint_count: 0,
            history: AttemptHistory::default(),
            state: State::InService,
            failing_since: None,
            served: 0,
            evacuation: Duration::ZERO,
            in_service_since: None,
            probe_slot: None,
        }
    }

    /// Its state.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// How many endpoints are listed in it.
    pub(crate) fn set_endpoint_count(&mut self, count: usize) {
        self.endpoint_count = count;
    }

    /// Whether its state can change by time alone.
    pub(crate) fn has_timer(&self) -> bool {
        self.state != State::InService || self.failing_since.is_some()
    }

    /// An attempt of this member has finished.
    pub(crate) fn record_attempt(&mut self, now: Time, endpoint: &str, answered: bool) {
        self.history.record(now, endpoint, answered);
        if let State::Evacuated(_) = self.state {
            self.served = if answered { self.served + 1 } else { 0 };
        }
    }

    /// What this member announces of it.
    pub(crate) fn announcement(&mut self, now: Time, settings: &Settings) -> ZoneAnnouncement {
        ZoneAnnouncement {
            zone: self.number,
            state: self.state,
            view: self.history.view(now, settings.window, self.endpoint_count),
            served: self.served,
        }
    }

    /// Changes the state by what all members announce. Returns what changes for this member.
    pub(crate) fn evaluate(&mut self, evaluation: &Evaluation<'_>) -> Vec<Change> {
        match self.state {
            State::InService | State::Returning(_) => {
                self.evaluate_in_use(evaluation).into_iter().collect()
            }
            State::Evacuated(since) => self.evaluate_evacuated(since, evaluation),
        }
    }

    fn evaluate_in_use(&mut self, evaluation: &Evaluation<'_>) -> Option<Change> {
        let Evaluation {
            now,
            settings,
            tally,
            ..
        } = evaluation;
        let mut has_failed = false;
        if tally.is_failing() {
            let failing_since = *self.failing_since.get_or_insert(*now);
            has_failed = *now - failing_since >= settings.settle;
        } else {
            self.failing_since = None;
        }
        let follows_others = self.state == State::InService && tally.is_evacuated_by_others();
        if has_failed || follows_others {
            self.evacuate(*now, settings);
            return Some(Change::Evacuate {
                zone: self.number,
                fails: tally.failing,
                serves: tally.serving,
                out: self.evacuation,
            });
        }
        if let State::Returning(since) = self.state
            && *now - since >= settings.warm
        {
            self.state = State::InService;
            self.in_service_since = Some(*now);
            return Some(Change::InService { zone: self.number });
        }
        None
    }

    fn evaluate_evacuated(
        &mut self,
        evacuated_at: Time,
        evaluation: &Evaluation<'_>,
    ) -> Vec<Change> {
        let (now, tally) = (evaluation.now, &evaluation.tally);
        let has_recovered =
            tally.served() >= MIN_SERVED_PROBES && now - evacuated_at >= self.evacuation;
        let since = match tally.returned_by_others(evacuated_at) {
            Some(since) => since,
            None if has_recovered => now,
            None => return self.evaluate_probe(evaluation),
        };
        self.clear_observations();
        self.state = State::Returning(since);
        vec![Change::Return {
            zone: self.number,
            since,
        }]
    }

    /// Starts an evacuation; one that follows soon after the last lasts twice as long.
    fn evacuate(&mut self, now: Time, settings: &Settings) {
        let [shortest, longest] = settings.out;
        let returned_lately = self
            .in_service_since
            .is_some_and(|since| now - since < settings.calm);
        self.evacuation = if returned_lately || matches!(self.state, State::Returning(_)) {
            (self.evacuation * 2).clamp(shortest, longest)
        } else {
            shortest
        };
        self.clear_observations();
        self.state = State::Evacuated(now);
    }

    /// Forgets what was observed before a change of state.
    fn clear_observations(&mut self) {
        self.history.clear();
        self.served = 0;
        self.failing_since = None;
        self.probe_slot = None;
    }

    /// Starts or ends the probe call of a slot. In each slot one member of the fleet may send one: all draw by the same
    /// hash, and the highest draw wins.
    fn evaluate_probe(&mut self, evaluation: &Evaluation<'_>) -> Vec<Change> {
        let zone = self.number;
        let slot = (evaluation.now.0 as f64 / 1e9 * evaluation.settings.probes) as u64;
        if self.probe_slot == Some(slot) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.probe_slot.take().is_some() {
            changes.push(Change::ProbeOver { zone });
        }
        let mine = draw(slot, zone, evaluation.me);
        let others = evaluation.others.iter();
        let highest_other = others.map(|o| draw(slot, zone, o.member)).max();
        if highest_other.is_none_or(|other| other < mine) {
            self.probe_slot = Some(slot);
            changes.push(Change::Probe { zone, pick: mine });
        }
        changes
    }
}

/// A member's draw for the probe call of a slot: the same at all members.
fn draw(slot: u64, zone: u32, member: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (slot, zone, member).hash(&mut hasher);
    hasher.finish()
}
