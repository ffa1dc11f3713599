//! [`Zone`]: the state machine of one zone, driven by the announcements of all members.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::announcement::{MemberAnnouncements, State, ZoneAnnouncement};
use crate::attempt_history::AttemptHistory;
use crate::settings::Settings;
use crate::tally::Tally;

/// Number of successive answered probe calls, over all members, required for a return to the zone: a single one may
/// have reached the only endpoint that is up.
const MIN_SERVED_PROBES: u32 = 3;

/// A change of a zone's state or probing, to be applied by this member.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The zone is evacuated: no calls are sent to it except probe calls.
    Evacuate {
        /// Number of the zone.
        zone: u32,
        /// Members that see the zone fail, for the log.
        failing_members: usize,
        /// Members that see the zone serve, for the log.
        serving_members: usize,
        /// Minimum duration of the evacuation.
        min_duration: Duration,
    },
    /// This member may send one probe call to the zone, until the zone's next change.
    Probe {
        /// Number of the zone.
        zone: u32,
        /// Selects the endpoint: its index is this number modulo the number of endpoints.
        endpoint_selector: u64,
    },
    /// This member may no longer send the probe call.
    ProbeOver {
        /// Number of the zone.
        zone: u32,
    },
    /// Load returns to the zone, on the recovery ramp.
    Return {
        /// Number of the zone.
        zone: u32,
        /// When the ramp started; in the past if other members returned first.
        since: Time,
    },
    /// The zone is in normal use again.
    InService {
        /// Number of the zone.
        zone: u32,
    },
}

/// The inputs of an evaluation of a zone's state.
pub(crate) struct Evaluation<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a Settings,
    /// Address of this member.
    pub(crate) me: SocketAddr,
    pub(crate) others: &'a [MemberAnnouncements],
    pub(crate) tally: Tally,
}

/// The state of one zone for this member.
#[derive(Debug)]
pub(crate) struct Zone {
    number: u32,
    endpoint_count: usize,
    history: AttemptHistory,
    state: State,
    /// Since when a quorum has continuously seen the zone fail.
    failing_since: Option<Time>,
    /// Number of attempts answered since the evacuation, or since the last unanswered attempt.
    served: u32,
    /// Minimum duration of the current or last evacuation.
    evacuation: Duration,
    /// When the zone last came back in service after an evacuation.
    in_service_since: Option<Time>,
    /// Number of the time slot in which this member may send a probe call.
    probe_slot: Option<u64>,
}

impl Zone {
    /// Creates a zone in normal use, without endpoints.
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

    /// The current state.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Sets the number of endpoints listed in the zone.
    pub(crate) fn set_endpoint_count(&mut self, count: usize) {
        self.endpoint_count = count;
    }

    /// Whether the state can change without new announcements, as time passes.
    pub(crate) fn has_timer(&self) -> bool {
        self.state != State::InService || self.failing_since.is_some()
    }

    /// Records a finished attempt of this member.
    pub(crate) fn record_attempt(&mut self, now: Time, endpoint: &str, answered: bool) {
        self.history.record(now, endpoint, answered);
        if let State::Evacuated(_) = self.state {
            self.served = if answered { self.served + 1 } else { 0 };
        }
    }

    /// This member's announcement about the zone.
    pub(crate) fn announcement(&mut self, now: Time, settings: &Settings) -> ZoneAnnouncement {
        ZoneAnnouncement {
            zone: self.number,
            state: self.state,
            view: self.history.view(now, settings.window, self.endpoint_count),
            served: self.served,
        }
    }

    /// Updates the state by the announcements of all members. Returns the changes for this member.
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
            has_failed = *now - failing_since >= settings.failure_confirmation;
        } else {
            self.failing_since = None;
        }
        let follows_others = self.state == State::InService && tally.is_evacuated_by_others();
        if has_failed || follows_others {
            self.evacuate(*now, settings);
            return Some(Change::Evacuate {
                zone: self.number,
                failing_members: tally.failing,
                serving_members: tally.serving,
                min_duration: self.evacuation,
            });
        }
        if let State::Returning(since) = self.state
            && *now - since >= settings.ramp_duration
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

    /// Starts an evacuation. If the zone fails again during a return or soon after it, the minimum duration is doubled.
    fn evacuate(&mut self, now: Time, settings: &Settings) {
        let [shortest, longest] = settings.evacuation_bounds;
        let has_returned_recently = self
            .in_service_since
            .is_some_and(|since| now - since < settings.repeat_failure_period);
        self.evacuation = if has_returned_recently || matches!(self.state, State::Returning(_)) {
            (self.evacuation * 2).clamp(shortest, longest)
        } else {
            shortest
        };
        self.clear_observations();
        self.state = State::Evacuated(now);
    }

    /// Discards the observations from before a change of state.
    fn clear_observations(&mut self) {
        self.history.clear();
        self.served = 0;
        self.failing_since = None;
        self.probe_slot = None;
    }

    /// Starts or ends this member's permission for a probe call. In each time slot, one member of the fleet may send
    /// one: the member with the highest value of a hash that all members compute alike.
    fn evaluate_probe(&mut self, evaluation: &Evaluation<'_>) -> Vec<Change> {
        let zone = self.number;
        let slot = (evaluation.now.0 as f64 / 1e9 * evaluation.settings.probes_per_second) as u64;
        if self.probe_slot == Some(slot) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.probe_slot.take().is_some() {
            changes.push(Change::ProbeOver { zone });
        }
        let own_rank = probe_rank(slot, zone, evaluation.me);
        let others = evaluation.others.iter();
        let highest_other = others.map(|o| probe_rank(slot, zone, o.member)).max();
        if highest_other.is_none_or(|other| other < own_rank) {
            self.probe_slot = Some(slot);
            changes.push(Change::Probe {
                zone,
                endpoint_selector: own_rank,
            });
        }
        changes
    }
}

/// Pseudo-random rank of a member for the probe call of a slot; all members compute the same value.
fn probe_rank(slot: u64, zone: u32, member: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (slot, zone, member).hash(&mut hasher);
    hasher.finish()
}
