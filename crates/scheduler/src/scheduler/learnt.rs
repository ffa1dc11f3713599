//! What a sender has learnt of its destinations, to be told to others and recalled after a restart. What is recalled only
//! ever makes a sender more careful than one that has just started, until the destination itself has answered.

use serde::{Deserialize, Serialize};

use super::*;

/// The first calls to a destination are spread over so many gaps of this sender's part of the limit: all senders together
/// then come at a quarter of it, so one that was lowered to that meanwhile is not overrun.
const FIRST_GAPS: f64 = 4.0;
/// Where the part is so small that this would take longer than so many seconds, over these, or over one gap: nobody comes
/// faster than its part, but what is held must not age for it.
const FIRST_MOST: f64 = 5.0;

/// What was learnt of one destination, or of one route to it where routes are apart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learnt {
    /// The destination.
    pub dest: u64,
    /// The endpoint, where routes are apart.
    pub route: Option<String>,
    /// When it last answered, or failed to: the age of all but the wait.
    pub at: Time,
    /// The window, in calls.
    pub window: Option<f64>,
    /// The limit that an answer told, in calls a second for all senders together; infinite where it told that there is none.
    pub limit: Option<f64>,
    /// The end of a Retry-After wait.
    pub shut_until: Option<Time>,
    /// How it was.
    pub state: Option<Seen>,
}

/// How a destination was seen.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Seen {
    /// It served.
    Up,
    /// It was out.
    Out,
    /// It is back since then, and cold.
    Cold(Time),
}

impl Sender {
    /// What this sender has learnt by its own calls.
    pub fn learnt(&self) -> Vec<Learnt> {
        let mut all = Vec::new();
        for dest in self.lanes.learnt_of() {
            for &l in self.dests.get(&dest).into_iter().flatten() {
                let lane = &self.lanes[l];
                let used = lane
                    .endpoints
                    .iter()
                    .map(|&e| &self.endpoints[e])
                    .filter(|e| e.uses > 0);
                let shut_until = Some(lane.shut_until).filter(|t| *t > self.now);
                let Some(at) = used.map(|e| e.last_answer.max(lane.cut_at)).max() else {
                    // A wait that was only recalled, or told by an endpoint that has gone, holds all the same: it is told on
                    // alone, since nothing else of this destination is known by own calls.
                    let (route, at) = (self.route(l), self.now);
                    let wait = |end| Learnt {
                        dest: dest.0,
                        route,
                        at,
                        window: None,
                        limit: None,
                        shut_until: Some(end),
                        state: None,
                    };
                    all.extend(shut_until.map(wait));
                    continue;
                };
                let state = match lane.health.mode {
                    Mode::Up => Seen::Up,
                    Mode::Down { .. } => Seen::Out,
                    Mode::Cold { since } => Seen::Cold(since),
                };
                all.push(Learnt {
                    dest: dest.0,
                    route: self.route(l),
                    at,
                    window: Some(lane.window.size()),
                    limit: lane.demand.told,
                    shut_until,
                    state: Some(state),
                });
            }
        }
        all
    }

    /// Takes up what is still fit for use, where no call of this sender has shown better, and spreads the first calls to
    /// each destination. Tells when the last of these may go.
    pub fn recall(&mut self, now: Time, learnt: &[Learnt]) -> Time {
        self.now = self.now.max(now);
        let (now, mut last) = (self.now, self.now);
        let known: BTreeMap<(u64, Option<&str>), &Learnt> = learnt
            .iter()
            .map(|k| ((k.dest, k.route.as_deref()), k))
            .collect();
        let places: Vec<(u64, usize)> = self
            .dests
            .iter()
            .flat_map(|(dest, lanes)| lanes.iter().map(|&l| (dest.0, l)))
            .collect();
        for (dest, l) in places {
            let route = self.route(l);
            let (senders, rules) = (self.set.instances, self.set.rules);
            let (chance, jitter) = (self.rng.f64(), self.jitter());
            let untried = self.lanes[l]
                .endpoints
                .iter()
                .all(|&e| self.endpoints[e].uses == 0);
            let lane = &mut self.lanes[l];
            if let Some(known) = known.get(&(dest, route.as_deref())) {
                // A wait holds whoever was told it.
                lane.shut_until = lane.shut_until.max(known.shut_until.unwrap_or_default());
                if untried {
                    lane.take(known, now, &rules, jitter);
                }
            }
            if !untried {
                continue;
            }
            let gap = 1.0 / lane.own_rate(now, &rules, senders);
            if gap > 0.0 && gap.is_finite() && lane.pace.calls >= PACE_DEPTH {
                let spread = (FIRST_GAPS * gap).min(FIRST_MOST.max(gap));
                // So much is missing in the bucket that it lets the first one go at a time drawn from all of the spread.
                lane.pace = Pace {
                    calls: 1.0 - spread * chance / gap,
                    at: now,
                    rate: 1.0 / gap,
                };
                last = last.max(lane.pace.next());
            }
        }
        last
    }

    /// Goes on where another process for this very sender has stopped just now: nothing of it is old, and no other sender
    /// does the same at this moment. Gives back what is of destinations that are not listed yet and must still be heeded.
    pub fn carry_on(&mut self, now: Time, learnt: Vec<Learnt>) -> Vec<Learnt> {
        self.now = self.now.max(now);
        let mut places: BTreeMap<(u64, Option<String>), usize> = BTreeMap::new();
        for (dest, lanes) in &self.dests {
            places.extend(lanes.iter().map(|&l| ((dest.0, self.route(l)), l)));
        }
        let mut left = Vec::new();
        for known in learnt {
            let Some(&l) = places.get(&(known.dest, known.route.clone())) else {
                left.extend(Some(known).filter(|k| k.shut_until.is_some_and(|end| end > self.now)));
                continue;
            };
            let (jitter, rules) = (self.jitter(), self.set.rules);
            let lane = &mut self.lanes[l];
            lane.shut_until = lane.shut_until.max(known.shut_until.unwrap_or_default());
            lane.take(&known, self.now, &rules, jitter);
            lane.window.size = known
                .window
                .unwrap_or(lane.window.size)
                .clamp(FLOOR, lane.window.cap);
            lane.proven_window = lane.window.clone();
        }
        left
    }

    /// The endpoint that stands for a lane, where routes are apart.
    fn route(&self, lane: usize) -> Option<String> {
        let lane = &self.lanes[lane];
        let first = lane.endpoints.first().filter(|_| lane.kind.apart)?;
        Some(self.endpoints[*first].id.0.clone())
    }
}

impl Lane {
    fn take(&mut self, known: &Learnt, now: Time, rules: &Rules, jitter: f64) {
        if let Some(window) = known.window {
            self.window.size = self.window.size.min(window).max(FLOOR);
            self.proven_window = self.window.clone();
        }
        if self.demand.told.is_none() {
            self.demand.told = known.limit;
        }
        match known.state {
            Some(Seen::Out) if self.health.mode == Mode::Up => {
                self.health.mode = Mode::Down {
                    next: now + TRIAL_FIRST.mul_f64(jitter),
                    step: 0,
                };
            }
            Some(Seen::Cold(since)) if self.health.mode == Mode::Up && now - since < rules.cold => {
                self.health.mode = Mode::Cold { since };
            }
            _ => {}
        }
    }
}
