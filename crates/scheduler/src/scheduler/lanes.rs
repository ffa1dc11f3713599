//! Which lanes a turn has to look at, and which endpoints it may forget: what costs is what is in use or has changed, however
//! many are listed.

use std::collections::BTreeSet;
use std::ops::{Index, IndexMut};

use super::*;

/// All lanes by place. Those that a turn would leave as they are, idle ones with a full pace, are skipped by
/// [`Lanes::active_mut`]; whoever borrows a lane mutably makes it active.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    all: Vec<Lane>,
    active: BTreeSet<usize>,
    /// Those among which all are that something was learnt of, but for active ones.
    known: BTreeSet<usize>,
    /// When the latest turn was: idle lanes have had a full pace until then.
    turned: Time,
}

impl Lanes {
    /// Puts a new lane into a spare place, or a new one, and tells which.
    pub fn place(&mut self, spare: &mut Vec<usize>, fresh: Lane) -> usize {
        let at = place(&mut self.all, spare, fresh);
        self.active.insert(at);
        at
    }

    /// Lanes that there is room for.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Lanes that the next turn looks at.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// The lanes that a turn may change, in the order of their places.
    pub fn active_mut(&mut self) -> impl Iterator<Item = &mut Lane> {
        let (mut rest, mut offset) = (self.all.as_mut_slice(), 0);
        self.active.iter().filter_map(move |&place| {
            let (_, tail) = std::mem::take(&mut rest).split_at_mut(place - offset);
            let (lane, after) = tail.split_first_mut()?;
            (rest, offset) = (after, place + 1);
            Some(lane)
        })
    }

    /// Destinations among which all are that something was learnt of.
    pub fn learnt_of(&self) -> BTreeSet<DestinationId> {
        self.known
            .iter()
            .chain(&self.active)
            .map(|&place| self.all[place].dest)
            .collect()
    }

    /// After a turn has looked at all active lanes: those that a further one would not change are idle from now on.
    pub fn settle(&mut self, now: Time) {
        let Lanes {
            all,
            active,
            known,
            turned,
        } = self;
        let learnt_of = |lane: &Lane| lane.used || lane.shut_until > now;
        known.extend(active.iter().filter(|&&place| learnt_of(&all[place])));
        active.retain(|&place| !all[place].is_settled());
        *turned = now;
    }
}

impl Index<usize> for Lanes {
    type Output = Lane;
    fn index(&self, place: usize) -> &Lane {
        &self.all[place]
    }
}

impl IndexMut<usize> for Lanes {
    fn index_mut(&mut self, place: usize) -> &mut Lane {
        let lane = &mut self.all[place];
        if self.active.insert(place) {
            // What the turns that skipped it would have left.
            lane.pace.at = lane.pace.at.max(self.turned);
        }
        lane
    }
}

impl Lane {
    /// Whether turns leave it as it is, until something else changes it.
    fn is_settled(&self) -> bool {
        let cold = matches!(self.health.mode, Mode::Cold { .. });
        self.backlog == 0 && !cold && self.pace.calls >= PACE_DEPTH
    }
}

impl Sender {
    /// Lanes that the next turn looks at: its cost besides that of the messages held.
    pub fn active_lanes(&self) -> usize {
        self.lanes.active()
    }

    /// Guards memory on a long day: new endpoints under new ids replace the old ones without end.
    pub(super) fn forget_gone(&mut self) {
        let first_executed: BTreeSet<usize> = self
            .messages
            .values()
            .filter_map(|m| m.possibly_executed?.1)
            .collect();
        let needed = |e: &usize| self.endpoints[*e].out > 0 || first_executed.contains(e);
        let gone = std::mem::take(&mut self.gone);
        let (needed, gone): (BTreeMap<_, _>, BTreeMap<_, _>) =
            gone.into_iter().partition(|(_, e)| needed(e));
        self.gone = needed;
        for (id, e) in gone {
            let (lane, dest) = (self.endpoints[e].lane, self.endpoints[e].dest);
            self.by_id.remove(&id);
            self.spare.push(e);
            self.lanes[lane].endpoints.retain(|&i| i != e);
            if self.lanes[lane].endpoints.is_empty() && self.lanes[lane].kind.apart {
                self.dests
                    .entry(dest)
                    .and_modify(|lanes| lanes.retain(|&l| l != lane));
                self.spare_lanes.push(lane);
            }
        }
    }
}
