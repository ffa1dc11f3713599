//! Which routes a turn has to look at, and which endpoints it may forget: what costs is what is in use or has changed, however
//! many are listed.

use std::collections::BTreeSet;
use std::ops::{Index, IndexMut};

use super::*;

/// All routes by place. Those that a turn would leave as they are, idle ones with a full pace, are skipped by
/// [`RouteTable::active_mut`]; whoever borrows a route mutably makes it active.
#[derive(Debug, Default)]
pub(super) struct RouteTable {
    all: Vec<Route>,
    active: BTreeSet<usize>,
    /// Those among which all are that something was learned of, but for active ones.
    known: BTreeSet<usize>,
    /// When the latest turn was: idle routes have had a full pace until then.
    turned: Time,
}

impl RouteTable {
    /// Puts a new route into a spare place, or a new one, and tells which.
    pub fn place(&mut self, spare: &mut Vec<usize>, fresh: Route) -> usize {
        let at = place(&mut self.all, spare, fresh);
        self.active.insert(at);
        at
    }

    /// Routes that there is room for.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Routes that the next turn looks at.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// The routes that a turn may change, in the order of their places.
    pub fn active_mut(&mut self) -> impl Iterator<Item = &mut Route> {
        let (mut rest, mut offset) = (self.all.as_mut_slice(), 0);
        self.active.iter().filter_map(move |&place| {
            let (_, tail) = std::mem::take(&mut rest).split_at_mut(place - offset);
            let (route, after) = tail.split_first_mut()?;
            (rest, offset) = (after, place + 1);
            Some(route)
        })
    }

    /// Destinations among which all are that something was learned of.
    pub fn learned_destinations(&self) -> BTreeSet<DestinationId> {
        self.known
            .iter()
            .chain(&self.active)
            .map(|&place| self.all[place].destination)
            .collect()
    }

    /// After a turn has looked at all active routes: those that a further one would not change are idle from now on.
    pub fn settle(&mut self, now: Time) {
        let RouteTable {
            all,
            active,
            known,
            turned,
        } = self;
        let learned_destinations = |route: &Route| route.used || route.blocked_until > now;
        known.extend(
            active
                .iter()
                .filter(|&&place| learned_destinations(&all[place])),
        );
        active.retain(|&place| !all[place].is_settled());
        *turned = now;
    }
}

impl Index<usize> for RouteTable {
    type Output = Route;
    fn index(&self, place: usize) -> &Route {
        &self.all[place]
    }
}

impl IndexMut<usize> for RouteTable {
    fn index_mut(&mut self, place: usize) -> &mut Route {
        let route = &mut self.all[place];
        if self.active.insert(place) {
            // What the turns that skipped it would have left.
            route.token_bucket.at = route.token_bucket.at.max(self.turned);
        }
        route
    }
}

impl Route {
    /// Whether turns leave it as it is, until something else changes it.
    fn is_settled(&self) -> bool {
        let cold = matches!(self.health.mode, HealthState::WarmingUp { .. });
        self.backlog == 0 && !cold && self.token_bucket.calls >= PACE_DEPTH
    }
}

impl Scheduler {
    /// Routes that the next turn looks at: its cost besides that of the messages held.
    pub fn active_routes(&self) -> usize {
        self.routes.active()
    }

    /// Guards memory on a long day: new endpoints under new ids replace the old ones without end.
    pub(super) fn forget_removed(&mut self) {
        let first_executed: BTreeSet<usize> = self
            .messages
            .values()
            .filter_map(|m| m.possibly_executed?.1)
            .collect();
        let needed = |e: &usize| self.endpoints[*e].in_flight > 0 || first_executed.contains(e);
        let removed = std::mem::take(&mut self.removed);
        let (needed, removed): (BTreeMap<_, _>, BTreeMap<_, _>) =
            removed.into_iter().partition(|(_, e)| needed(e));
        self.removed = needed;
        for (id, e) in removed {
            let (route, destination) = (self.endpoints[e].route, self.endpoints[e].destination);
            self.by_id.remove(&id);
            self.spare.push(e);
            self.routes[route].endpoints.retain(|&i| i != e);
            if self.routes[route].endpoints.is_empty() && self.routes[route].kind.apart {
                self.routes_by_destination
                    .entry(destination)
                    .and_modify(|routes| routes.retain(|&l| l != route));
                self.free_routes.push(route);
            }
        }
    }
}
