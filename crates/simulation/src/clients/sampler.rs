//! Random draws from a load: arrival times, targets, and the properties of messages.
//!
//! All draws come from one generator, so the result for a seed depends on their order.

use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use super::load::{Hot, Load, Target};
use super::submission::Origin;
use crate::time::seconds;

/// Draws arrival times and messages from a load.
#[derive(Clone, Debug)]
pub(super) struct LoadSampler {
    load: Load,
    rng: ChaCha8Rng,
}

impl LoadSampler {
    pub(super) fn new(load: Load, rng: ChaCha8Rng) -> LoadSampler {
        LoadSampler { load, rng }
    }

    pub(super) fn load(&self) -> &Load {
        &self.load
    }

    /// Draws the time of the next message after `at` that is not part of a clump.
    pub(super) fn next_single(&mut self, at: Duration) -> Duration {
        self.next_arrival(at, self.load.rate * (1.0 - self.load.clumps))
    }

    /// Draws the time of the next clump after `at`.
    pub(super) fn next_clump(&mut self, at: Duration) -> Duration {
        self.next_arrival(at, self.clump_rate())
    }

    /// Draws the next arrival of a Poisson process with this rate per second; [`Duration::MAX`] if the rate is 0.
    fn next_arrival(&mut self, at: Duration, rate: f64) -> Duration {
        match Exp::new(rate) {
            Ok(gap) if rate > 0.0 => at.saturating_add(seconds(gap.sample(&mut self.rng))),
            _ => Duration::MAX,
        }
    }

    /// Clumps per second for which their messages make up the share [`Load::clumps`].
    fn clump_rate(&self) -> f64 {
        let (least, most) = self.load.clump;
        let mean_span = (least + most) / 2.0;
        let mean_size: f64 = self
            .load
            .targets
            .iter()
            .map(|t| t.weight * (t.max_rate * mean_span).max(1.0))
            .sum();
        self.load.rate * self.load.clumps / mean_size.max(1.0)
    }

    /// Draws the number of messages in a clump for a target.
    pub(super) fn clump_size(&mut self, target: usize) -> u64 {
        let (least, most) = self.load.clump;
        let span = if most > least {
            self.rng.random_range(least..most)
        } else {
            least
        };
        (self.load.targets[target].max_rate * span).round().max(1.0) as u64
    }

    /// Draws the index of the target of a message that arrives at `at`.
    pub(super) fn target(&mut self, at: Duration) -> usize {
        if let Some(hot) = self.hot_target(at) {
            return hot;
        }
        let tenant = pick(&mut self.rng, &self.load.tenants);
        let weight = |t: &Target| if t.tenant == tenant { t.weight } else { 0.0 };
        let mut weights: Vec<f64> = self.load.targets.iter().map(weight).collect();
        if weights.iter().sum::<f64>() <= 0.0 {
            weights = self.load.targets.iter().map(|t| t.weight).collect();
        }
        pick(&mut self.rng, &weights)
    }

    /// Draws the index of a target from the periods of extra load at `at`; `None` if no such target is drawn.
    fn hot_target(&mut self, at: Duration) -> Option<usize> {
        let is_on = |h: &&Hot| (h.start..h.start + h.length).contains(&at);
        let mut draw: f64 = self.rng.random();
        for hot in self.load.hot.iter().filter(is_on) {
            if draw < hot.share {
                let index = self.rng.random_range(0..hot.destinations.len().max(1));
                let destination = hot.destinations[index];
                let mut targets = self.load.targets.iter();
                let target = targets.position(|t| t.destination == destination);
                if target.is_some() {
                    return target;
                }
            }
            draw = (draw - hot.share).max(0.0);
        }
        None
    }

    /// Draws a new message for a target, first submitted at `at`.
    pub(super) fn message(&mut self, at: Duration, target: usize) -> Origin {
        let class = self.class(target);
        let body = self.body_size();
        let keyed = self.load.classes[class].keyed;
        let key = keyed.then(|| self.random_id());
        let order_keys = u64::from(self.load.classes[class].order_keys);
        let ordering_key = (order_keys > 0).then(|| {
            let number = self.rng.random_range(1..=order_keys);
            format!("{number:016x}")
        });
        let target = &self.load.targets[target];
        Origin {
            at,
            class,
            tenant: target.tenant,
            destination: target.destination,
            key,
            ordering_key,
            body,
            submissions: 0,
            delivered: None,
            abandoned: false,
            failed: false,
        }
    }

    /// Draws the index of the class of a message for a target.
    fn class(&mut self, target: usize) -> usize {
        if let Some(without_topic) = self.load.push
            && self.load.targets[target].push
        {
            return without_topic + usize::from(self.rng.random_bool(0.5));
        }
        let shares: Vec<f64> = self.load.classes.iter().map(|c| c.share).collect();
        pick(&mut self.rng, &shares)
    }

    fn body_size(&mut self) -> usize {
        let (least, most) = self.load.body;
        if most > least {
            self.rng.random_range(least..=most)
        } else {
            least
        }
    }

    /// Draws a message id or an idempotency key: 64 random bits in hexadecimal.
    pub(super) fn random_id(&mut self) -> String {
        format!("{:016x}", self.rng.random::<u64>())
    }
}

/// Draws an index by weights; 0 if all weights are 0.
fn pick(rng: &mut impl Rng, weights: &[f64]) -> usize {
    let sum: f64 = weights.iter().sum();
    let mut draw = rng.random::<f64>() * sum;
    for (index, weight) in weights.iter().enumerate() {
        draw -= weight;
        if draw < 0.0 {
            return index;
        }
    }
    weights.iter().position(|w| *w > 0.0).unwrap_or(0)
}
