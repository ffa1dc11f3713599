//! [`Zones`]: the state of each zone as this member reads the words of all.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use serde::{Deserialize, Serialize};

use crate::evidence::{Evidence, View};

/// How a fleet leaves and returns; the reasons are in `docs/zones.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Calls of so long ago count.
    pub window: Duration,
    /// A quorum must stand for so long: those who see the zone well have this time to say so.
    pub settle: Duration,
    /// Probes a second into a zone that was left, by the whole fleet.
    pub probes: f64,
    /// Out for so long at least, and at most.
    pub out: [Duration; 2],
    /// A return lasts so long: the rule's time until a destination is warm.
    pub warm: Duration,
    /// Failing again within this after its return doubles the time out.
    pub calm: Duration,
}

/// Members of a quorum: two, one in ten of a larger fleet, five at most. Five of a thousand are no accident either, and
/// thin traffic may show no more within a window.
fn quorum(members: usize) -> usize {
    members.div_ceil(10).clamp(2, 5)
}

/// Probes in a row over all members that let a zone return: one may reach the only endpoint that is up.
const SERVED: u32 = 3;
/// Zones spoken of in one word, at most.
const ZONES_MOST: usize = 16;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    #[default]
    InService,
    /// Since then nothing goes there but probes.
    Evacuated(Time),
    /// Since then it is returned to.
    Returning(Time),
}

/// What a member says of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAnnouncement {
    pub zone: u32,
    pub state: State,
    pub view: View,
    /// Probes in a row that were served this member since the zone was left.
    pub served: u32,
}

/// What changes for this sender.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Nothing goes to the zone any more. For the log: how many said that it fails, and that it serves.
    Evacuate {
        zone: u32,
        fails: usize,
        serves: usize,
        out: Duration,
    },
    /// One call may go there, to this one of its endpoints, by number in their order; until the next change of the zone.
    Probe { zone: u32, pick: u64 },
    /// The probe's slot is over.
    ProbeOver { zone: u32 },
    /// Work returns since then, within the slow start.
    Return { zone: u32, since: Time },
    /// All is as usual.
    InService { zone: u32 },
}

#[derive(Debug, Default)]
struct Zone {
    endpoints: usize,
    evidence: Evidence,
    state: State,
    /// Since when a quorum stands.
    stands: Option<Time>,
    served: u32,
    /// How long it stays out this time.
    out: Duration,
    freed: Option<Time>,
    /// The slot of the probe that we hold.
    slot: Option<u64>,
}

/// See the module's text.
#[derive(Debug)]
pub struct Zones {
    set: Settings,
    zones: BTreeMap<u32, Zone>,
}

impl Zones {
    pub fn new(set: Settings) -> Zones {
        Zones {
            set,
            zones: BTreeMap::new(),
        }
    }

    /// How many endpoints the list has in each zone.
    pub fn listed(&mut self, endpoints: &BTreeMap<u32, usize>) {
        for (zone, count) in endpoints {
            self.zones.entry(*zone).or_default().endpoints = *count;
        }
        self.zones
            .retain(|zone, z| endpoints.contains_key(zone) || z.state != State::InService);
    }

    /// A call ended: answered in whatever way, or not at all.
    pub fn ended(&mut self, now: Time, zone: u32, endpoint: &str, answered: bool) {
        let Some(zone) = self.zones.get_mut(&zone) else {
            return;
        };
        zone.evidence.note(now, endpoint, answered);
        if let State::Evacuated(_) = zone.state {
            zone.served = if answered { zone.served + 1 } else { 0 };
        }
    }

    pub fn states(&self) -> impl Iterator<Item = (u32, State)> {
        self.zones.iter().map(|(zone, z)| (*zone, z.state))
    }

    /// What we say of zones: nothing of one that is as usual and that nobody complains of.
    pub fn announcements(
        &mut self,
        now: Time,
        others: &[(SocketAddr, Vec<ZoneAnnouncement>)],
    ) -> Vec<ZoneAnnouncement> {
        let window = self.set.window;
        let mut announcements = Vec::new();
        for (&number, zone) in &mut self.zones {
            let view = zone.evidence.view(now, window, zone.endpoints);
            let doubted = others.iter().flat_map(|o| &o.1).any(|w| {
                w.zone == number
                    && (w.view == View::Failing || matches!(w.state, State::Evacuated(_)))
            });
            let announcement = ZoneAnnouncement {
                zone: number,
                state: zone.state,
                view,
                served: zone.served,
            };
            let usual = zone.state == State::InService
                && (view == View::None || view == View::Serving && !doubted);
            if !usual && announcements.len() < ZONES_MOST {
                announcements.push(announcement);
            }
        }
        announcements
    }

    /// When to look again although nothing came.
    pub fn due(&self, now: Time) -> Option<Time> {
        let unusual = self
            .zones
            .values()
            .any(|z| z.state != State::InService || z.stands.is_some());
        unusual.then(|| now + Duration::from_millis(50))
    }

    /// Reads the words of the members that are there, and decides.
    pub fn look(
        &mut self,
        now: Time,
        me: SocketAddr,
        others: &[(SocketAddr, Vec<ZoneAnnouncement>)],
    ) -> Vec<Change> {
        let own = self.announcements(now, others);
        let set = self.set;
        let need = quorum(others.len() + 1);
        let mut changes = Vec::new();
        for (&number, zone) in &mut self.zones {
            let statements = || {
                others
                    .iter()
                    .flat_map(|o| &o.1)
                    .filter(|w| w.zone == number)
            };
            let all = || statements().chain(own.iter().filter(|w| w.zone == number));
            let count = |view: View| all().filter(|w| w.view == view).count();
            let (fails, serves) = (count(View::Failing), count(View::Serving));
            let stands = fails >= need && fails > serves;
            match zone.state {
                State::InService | State::Returning(_) => {
                    let left = statements()
                        .filter(|w| matches!(w.state, State::Evacuated(_)))
                        .count();
                    // Who comes later, or missed the words. Who is answered there knows better than one who stayed out.
                    let served = own
                        .iter()
                        .any(|w| w.zone == number && w.view == View::Serving);
                    let confirmed = left >= need
                        && left * 2 >= statements().count()
                        && !served
                        && zone.state == State::InService;
                    let since = *zone.stands.get_or_insert(now);
                    if !stands {
                        zone.stands = None;
                    }
                    if confirmed || stands && now - since >= set.settle {
                        let again = zone.freed.is_some_and(|at| now - at < set.calm)
                            || matches!(zone.state, State::Returning(_));
                        zone.leave(now, &set, again);
                        changes.push(Change::Evacuate {
                            zone: number,
                            fails,
                            serves,
                            out: zone.out,
                        });
                    } else if let State::Returning(since) = zone.state
                        && now - since >= set.warm
                    {
                        (zone.state, zone.freed) = (State::InService, Some(now));
                        changes.push(Change::InService { zone: number });
                    }
                }
                State::Evacuated(since) => {
                    // A word from before it was left tells of nothing that was tried since.
                    let tried = |w: &&ZoneAnnouncement| matches!(w.state, State::Evacuated(_));
                    let served: u32 = all().filter(tried).map(|w| w.served).sum();
                    let back: Vec<Time> = statements()
                        .filter_map(|w| {
                            if let State::Returning(at) = w.state {
                                Some(at)
                            } else {
                                None
                            }
                        })
                        .filter(|at| *at > since)
                        .collect();
                    let confirmed = back.len() >= need.min(others.len()) && !back.is_empty();
                    if confirmed || served >= SERVED && now - since >= zone.out {
                        let since = if confirmed {
                            back.into_iter().min().unwrap_or(now)
                        } else {
                            now
                        };
                        zone.give_back();
                        zone.state = State::Returning(since);
                        changes.push(Change::Return {
                            zone: number,
                            since,
                        });
                    } else {
                        zone.probe(now, &set, number, me, others, &mut changes);
                    }
                }
            }
        }
        changes
    }
}

impl Zone {
    fn leave(&mut self, now: Time, set: &Settings, again: bool) {
        self.out = if again {
            (self.out * 2).clamp(set.out[0], set.out[1])
        } else {
            set.out[0]
        };
        self.give_back();
        self.state = State::Evacuated(now);
    }

    /// What was seen until now is of the past.
    fn give_back(&mut self) {
        self.evidence.clear();
        (self.served, self.stands, self.slot) = (0, None, None);
    }

    /// Takes or gives back the one probe of this slot.
    fn probe(
        &mut self,
        now: Time,
        set: &Settings,
        number: u32,
        me: SocketAddr,
        others: &[(SocketAddr, Vec<ZoneAnnouncement>)],
        changes: &mut Vec<Change>,
    ) {
        let slot = (now.0 as f64 / 1e9 * set.probes) as u64;
        if self.slot == Some(slot) {
            return;
        }
        if self.slot.take().is_some() {
            changes.push(Change::ProbeOver { zone: number });
        }
        let draw = |member: SocketAddr| {
            let mut hasher = DefaultHasher::new();
            (slot, number, member).hash(&mut hasher);
            hasher.finish()
        };
        let mine = draw(me);
        if others.iter().all(|o| draw(o.0) < mine) {
            self.slot = Some(slot);
            changes.push(Change::Probe {
                zone: number,
                pick: mine,
            });
        }
    }
}
