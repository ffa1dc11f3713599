//! Gates before the endpoints of a zone, or before one that operators took out and attach again. Whether to leave a zone is
//! decided for the whole fleet elsewhere; here is what that means for the calls of this sender.

use super::*;

/// Calls that may be saved up for one endpoint during a return.
const SAVED: f64 = 1.0;
/// A cold destination falls only at three calls, and more, above what the rule lets it have in one span.
const CHANCE: f64 = 3.0;

impl Scheduler {
    /// Nothing goes to this zone's endpoints any more, whichever are listed. A probe that was allowed is not any more.
    pub fn bar(&mut self, zone: u32) {
        self.of_zone(zone).for_each(|e| e.bar = Some(0.0));
    }

    /// Endpoints that were listed since are barred too.
    pub fn bar_new(&mut self, zone: u32) {
        self.of_zone(zone)
            .filter(|e| e.bar.is_none())
            .for_each(|e| e.bar = Some(0.0));
    }

    /// The fleet returns to this zone: all of its endpoints, or those listed since alone, begin with a part of a call that
    /// is drawn. Members that all save from nothing at one pace would have a whole call at one moment.
    pub fn return_to(&mut self, zone: u32, new: bool) {
        for e in 0..self.endpoints.len() {
            if self.endpoints[e].zone == zone && (!new || self.endpoints[e].bar.is_none()) {
                self.endpoints[e].bar = Some(self.rng.f64());
            }
        }
    }

    /// One call may go to one endpoint of the zone: one for which something waits, if there is any.
    pub fn probe(&mut self, now: Time, zone: u32, pick: u64) {
        self.bar(zone);
        let waits: std::collections::BTreeSet<usize> = self
            .messages
            .values()
            .filter(|m| m.in_flight.is_none() && !m.completed)
            .flat_map(|m| {
                self.routes_by_destination
                    .get(&m.destination)
                    .into_iter()
                    .flatten()
                    .copied()
            })
            .collect();
        let there = |e: &Endpoint| e.zone == zone && e.condition == Condition::Ready;
        let wanted = |all: bool| -> Vec<usize> {
            let ready = self
                .by_id
                .values()
                .copied()
                .filter(|&e| there(&self.endpoints[e]));
            ready
                .filter(|&e| all || waits.contains(&self.endpoints[e].route))
                .collect()
        };
        let some = Some(wanted(false))
            .filter(|w| !w.is_empty())
            .unwrap_or_else(|| wanted(true));
        let Some(&e) = some.get((pick % some.len().max(1) as u64) as usize) else {
            return;
        };
        self.endpoints[e].bar = Some(1.0);
        let route = &mut self.routes[self.endpoints[e].route];
        if let HealthState::Down { next, .. } = &mut route.health.mode {
            *next = now;
        }
    }

    /// Lets in what has come, since the last look, of this sender's part of what the zone's endpoints may be sent on their
    /// return.
    pub fn admit_returning(&mut self, now: Time, zone: u32, since: Time) {
        let endpoint_count: Vec<usize> = self
            .by_id
            .values()
            .copied()
            .filter(|&e| self.endpoints[e].zone == zone)
            .collect();
        endpoint_count
            .into_iter()
            .for_each(|e| self.admit(now, e, since));
    }

    /// As [`Scheduler::admit_returning`], for an endpoint that was taken out and is attached again.
    pub fn admit_endpoint(&mut self, now: Time, id: &EndpointId, since: Time) {
        if let Some(&e) = self.by_id.get(id) {
            self.endpoints[e].bar.get_or_insert(0.0);
            self.admit(now, e, since);
        }
    }

    fn admit(&mut self, now: Time, e: usize, since: Time) {
        let rules = self.settings.rules;
        let warm = (now - since).as_secs_f64() / rules.cold.as_secs_f64().max(1e-9);
        let present = rules.cold_from + (1.0 - rules.cold_from) * warm.min(1.0);
        let passed = (now - self.now).as_secs_f64();
        let route = &self.routes[self.endpoints[e].route];
        let limit = route
            .demand
            .reported_limit
            .filter(|l| l.is_finite())
            .unwrap_or(route.demand.listed);
        // Without any limit, what this sender is asked for is its part.
        let part = Some(limit / f64::from(self.settings.instances)).filter(|p| p.is_finite());
        let part = part.unwrap_or_else(|| route.demand.rate(now));
        // However little it can do, what is left to chance may go in each span of the rule.
        let least =
            CHANCE / rules.fall.as_secs_f64().max(1e-9) / f64::from(self.settings.instances);
        let token_bucket = COLD_SHARE * rules.fall_multiple * present * part + least;
        let own = token_bucket / route.endpoints.len().max(1) as f64;
        let first = self.rng.f64();
        let endpoint = &mut self.endpoints[e];
        let Some(saved) = &mut endpoint.bar else {
            return;
        };
        // Who came back together must not have a whole call together.
        if *saved <= 0.0 && endpoint.streak > 0 {
            (*saved, endpoint.streak) = (first, 0);
        }
        *saved = (*saved + own * passed).min(SAVED);
    }

    /// Nothing goes to this endpoint but what is let in. Operators say that it is there, so the first calls of all senders
    /// together are those that the rule on returns leaves to chance, and need not be saved up.
    pub fn bar_endpoint(&mut self, id: &EndpointId) {
        if let Some(&e) = self.by_id.get(id) {
            let at_once = self.rng.f64() < CHANCE / f64::from(self.settings.instances);
            // Drawn, so that all who save at one pace do not have a whole call at one moment.
            self.endpoints[e].bar = Some(if at_once { SAVED } else { self.rng.f64() });
        }
    }

    /// Nothing goes anywhere.
    pub fn bar_all(&mut self) {
        self.endpoints.iter_mut().for_each(|e| e.bar = Some(0.0));
    }

    /// Whatever was barred is open again.
    pub fn unbar_all(&mut self) {
        self.endpoints.iter_mut().for_each(|e| e.bar = None);
    }

    /// It is as any other again.
    pub fn unbar_endpoint(&mut self, id: &EndpointId) {
        if let Some(&e) = self.by_id.get(id) {
            self.endpoints[e].bar = None;
        }
    }

    /// The zone is as any other again.
    pub fn unbar(&mut self, zone: u32) {
        self.of_zone(zone).for_each(|e| e.bar = None);
    }

    fn of_zone(&mut self, zone: u32) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut().filter(move |e| e.zone == zone)
    }
}
