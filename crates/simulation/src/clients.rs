//! Those who hand messages in: arrivals drawn ahead, retries after refusals, and patience.
//!
//! The load is open: when a message comes does not depend on how fast the sender answers, so a slow sender does not slow
//! its own measurement.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::limit::seconds;

/// Messages of a clump come within this.
const CLUMP: Duration = Duration::from_millis(200);

/// One class of messages as clients hand them in.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Wanted within this; worth half as much with each further such span.
    pub aim: Duration,
    /// Given up after this.
    pub duration: Duration,
    /// Messages carry a key that a repeat is recognised by.
    pub keyed: bool,
    /// Messages keep their order within so many keys; 0 for a class that keeps none.
    pub order_keys: u32,
    pub share: f64,
    /// Least worth, at the end of its time.
    pub late_share: f64,
}

/// A destination as clients know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub destination: u64,
    pub tenant: usize,
    /// Its part of its tenant's messages.
    pub weight: f64,
    /// Messages a second that it takes: a clump is as many as it takes in some seconds.
    pub takes: f64,
    /// Reached over Web Push.
    pub push: bool,
}

/// While it lasts, these destinations draw a further share of all messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Hot {
    pub start: Duration,
    pub length: Duration,
    pub destinations: Vec<u64>,
    pub share: f64,
}

/// The load of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Messages a second over all tenants.
    pub rate: f64,
    /// Shares of the tenants.
    pub tenants: Vec<f64>,
    pub targets: Vec<Target>,
    pub classes: Vec<Class>,
    /// The class of posts without a topic, which the one with a topic follows. Each has half of the posts.
    pub push: Option<usize>,
    /// Share of the messages that come in clumps, and a clump's size in seconds of what the destination takes.
    pub clumps: f64,
    pub clump: (f64, f64),
    pub hot: Vec<Hot>,
    /// Bytes of a body.
    pub body: (usize, usize),
    /// After a refusal a message comes again so often at most, after the wait told or this.
    pub retries: u32,
    pub pause: Duration,
    /// How long a client waits for an answer before it closes the connection and hands in anew.
    pub patience: Duration,
    /// No new messages from then on.
    pub until: Duration,
}

/// Weights by Zipf's law: the n-th of `count` has `1 / n^exponent`, all together 1.
pub fn zipf(count: usize, exponent: f64) -> Vec<f64> {
    let raw: Vec<f64> = (1..=count).map(|n| (n as f64).powf(-exponent)).collect();
    let sum: f64 = raw.iter().sum();
    raw.into_iter()
        .map(|w| w / sum.max(f64::MIN_POSITIVE))
        .collect()
}

/// A message as it is submitted, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    pub id: String,
    /// Which first try it belongs to.
    pub origin: usize,
    pub class: usize,
    pub tenant: usize,
    pub destination: u64,
    pub key: Option<String>,
    /// What it keeps its order within.
    pub ordering_key: Option<String>,
    pub body: usize,
    /// What is left of its time.
    pub duration: Duration,
    /// After a refusal, or after a sender that did not answer.
    pub retry: bool,
    pub again: bool,
}

/// What the sender said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    Accepted,
    Rejected {
        after: Option<Duration>,
    },
    Error,
    /// The connection ended without an answer, or could not be made.
    Nothing,
}

/// One first try and what came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    pub at: Duration,
    pub class: usize,
    pub tenant: usize,
    pub destination: u64,
    key: Option<String>,
    ordering_key: Option<String>,
    body: usize,
    tries: u32,
    /// When the first delivery counted: written by a destination, and the client knew that it was accepted.
    pub delivered: Option<Duration>,
    pub refused: bool,
    pub failed: bool,
}

#[derive(Clone, Debug)]
struct Out {
    origin: usize,
    accepted: bool,
    /// Delivered before the client heard that it was accepted.
    early: Option<Duration>,
}

/// All clients of a day.
#[derive(Clone, Debug)]
pub struct Clients {
    load: Load,
    rng: ChaCha8Rng,
    /// Messages of clumps that are still to come, and retries: by time, then in the order drawn.
    due: BinaryHeap<Reverse<(Duration, u64, Due)>>,
    drawn: u64,
    next_single: Duration,
    next_clump: Duration,
    pub origins: Vec<Origin>,
    out: BTreeMap<String, Out>,
    /// By key of a class that keeps its order: tries that wait until the one before them has its answer.
    behind: BTreeMap<String, VecDeque<Try>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    First { target: usize },
    Again(Try),
}

/// One handing of a message that was drawn before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Try {
    origin: usize,
    /// After a refusal.
    retry: bool,
    /// After a sender that did not answer.
    again: bool,
}

impl Clients {
    pub fn new(load: Load, rng: ChaCha8Rng) -> Clients {
        let mut clients = Clients {
            load,
            rng,
            due: BinaryHeap::new(),
            drawn: 0,
            next_single: Duration::ZERO,
            next_clump: Duration::ZERO,
            origins: Vec::new(),
            out: BTreeMap::new(),
            behind: BTreeMap::new(),
        };
        clients.next_single = clients.after(
            Duration::ZERO,
            clients.load.rate * (1.0 - clients.load.clumps),
        );
        clients.next_clump = clients.after(Duration::ZERO, clients.clump_rate());
        clients
    }

    /// When the next message comes, if any does.
    pub fn next(&self) -> Option<Duration> {
        let due = self.due.peek().map(|Reverse((at, ..))| *at);
        let new = [self.next_single, self.next_clump]
            .into_iter()
            .filter(|&t| t < self.load.until);
        new.chain(due).min()
    }

    /// All that are submitted by `now`, each with its instant.
    pub fn hand_in(&mut self, now: Duration) -> Vec<(Duration, Submission)> {
        let mut submissions = Vec::new();
        while let Some(at) = self.next().filter(|&t| t <= now) {
            if at == self.next_single && at < self.load.until {
                let target = self.draw_target(at);
                self.next_single = self.after(at, self.load.rate * (1.0 - self.load.clumps));
                submissions.extend(self.first(at, target));
            } else if at == self.next_clump && at < self.load.until {
                self.next_clump = self.after(at, self.clump_rate());
                self.clump(at);
            } else if let Some(Reverse((at, _, due))) = self.due.pop() {
                match due {
                    Due::First { target } => submissions.extend(self.first(at, target)),
                    Due::Again(again) => submissions.extend(self.submission(at, again)),
                }
            }
        }
        submissions
    }

    /// The sender's answer to a handing, or that there will be none.
    pub fn answered(&mut self, now: Duration, id: &str, client_answer: ClientAnswer) {
        let Some(out) = self.out.get_mut(id) else {
            return;
        };
        let origin = out.origin;
        self.next_of_key(now, origin);
        let Some(out) = self.out.get_mut(id) else {
            return;
        };
        match client_answer {
            ClientAnswer::Accepted => {
                out.accepted = true;
                if let Some(at) = out.early {
                    self.origins[origin].delivered.get_or_insert(at.max(now));
                }
            }
            ClientAnswer::Rejected { after } => {
                self.out.remove(id);
                self.come_again(now, origin, after, true);
            }
            ClientAnswer::Error => {
                self.out.remove(id);
                self.origins[origin].failed = true;
            }
            // Whatever the sender does under this id from now on has no effect.
            ClientAnswer::Nothing => {
                self.out.remove(id);
                self.come_again(now, origin, Some(Duration::ZERO), false);
            }
        }
    }

    /// A destination wrote a 200 for it.
    pub fn delivered(&mut self, now: Duration, id: &str) {
        let Some(out) = self.out.get_mut(id) else {
            return;
        };
        if out.accepted {
            self.origins[out.origin].delivered.get_or_insert(now);
        } else {
            out.early.get_or_insert(now);
        }
    }

    /// The platform was told that it ended without delivery: it comes again if it was not executed.
    pub fn closed(&mut self, now: Duration, id: &str, returned: Option<Duration>) {
        let Some(out) = self.out.remove(id) else {
            return;
        };
        match returned {
            Some(after) => self.come_again(now, out.origin, Some(after), true),
            None => self.origins[out.origin].failed = true,
        }
    }

    /// Worth delivered and worth asked for, by first tries: in full within the aim, halving with each further aim.
    pub fn worth(&self) -> (f64, f64) {
        let worth = self.origins.iter().map(|o| self.worth_of(o));
        (worth.sum(), self.origins.len() as f64)
    }

    /// The same by the second in which the first try was.
    pub fn worth_over_time(&self) -> Vec<(f64, f64)> {
        let mut seconds: Vec<(f64, f64)> = Vec::new();
        for origin in &self.origins {
            let second = origin.at.as_secs() as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, (0.0, 0.0));
            }
            seconds[second].0 += self.worth_of(origin);
            seconds[second].1 += 1.0;
        }
        seconds
    }

    /// Worth of one first try, 0 to 1.
    pub fn worth_of(&self, origin: &Origin) -> f64 {
        let Some(delivered) = origin.delivered else {
            return 0.0;
        };
        let class = &self.load.classes[origin.class];
        let took = delivered.saturating_sub(origin.at);
        if took > class.duration {
            return 0.0;
        }
        let late = took.saturating_sub(class.aim).as_secs_f64() / class.aim.as_secs_f64().max(1e-9);
        0.5f64
            .powf(late)
            .max(if late > 0.0 { class.late_share } else { 1.0 })
    }

    fn after(&mut self, at: Duration, rate: f64) -> Duration {
        match Exp::new(rate) {
            Ok(gap) if rate > 0.0 => at.saturating_add(seconds(gap.sample(&mut self.rng))),
            _ => Duration::MAX,
        }
    }

    /// Clumps a second, so that their messages make up their share.
    fn clump_rate(&self) -> f64 {
        let mean = (self.load.clump.0 + self.load.clump.1) / 2.0;
        let size: f64 = self
            .load
            .targets
            .iter()
            .map(|t| t.weight * (t.takes * mean).max(1.0))
            .sum();
        self.load.rate * self.load.clumps / size.max(1.0)
    }

    fn clump(&mut self, at: Duration) {
        let target = self.draw_target(at);
        let (least, most) = self.load.clump;
        let span = if most > least {
            self.rng.random_range(least..most)
        } else {
            least
        };
        let count = (self.load.targets[target].takes * span).round().max(1.0) as u64;
        for n in 0..count {
            let at = at + CLUMP.mul_f64(n as f64 / count as f64);
            self.push(at, Due::First { target });
        }
    }

    fn push(&mut self, at: Duration, due: Due) {
        self.drawn += 1;
        self.due.push(Reverse((at, self.drawn, due)));
    }

    fn draw_target(&mut self, at: Duration) -> usize {
        let hot = self
            .load
            .hot
            .iter()
            .filter(|h| (h.start..h.start + h.length).contains(&at));
        let mut draw: f64 = self.rng.random();
        for hot in hot {
            if draw < hot.share {
                let destination =
                    hot.destinations[self.rng.random_range(0..hot.destinations.len().max(1))];
                if let Some(found) = self
                    .load
                    .targets
                    .iter()
                    .position(|t| t.destination == destination)
                {
                    return found;
                }
            }
            draw = (draw - hot.share).max(0.0);
        }
        let tenant = pick(&mut self.rng, &self.load.tenants);
        let weight = |t: &Target| if t.tenant == tenant { t.weight } else { 0.0 };
        let mut weights: Vec<f64> = self.load.targets.iter().map(weight).collect();
        if weights.iter().sum::<f64>() <= 0.0 {
            weights = self.load.targets.iter().map(|t| t.weight).collect();
        }
        pick(&mut self.rng, &weights)
    }

    fn first(&mut self, at: Duration, target: usize) -> Option<(Duration, Submission)> {
        let shares: Vec<f64> = self.load.classes.iter().map(|c| c.share).collect();
        let class = match self.load.push.filter(|_| self.load.targets[target].push) {
            Some(first) => first + usize::from(self.rng.random_bool(0.5)),
            None => pick(&mut self.rng, &shares),
        };
        let (least, most) = self.load.body;
        let body = if most > least {
            self.rng.random_range(least..=most)
        } else {
            least
        };
        let key = self.load.classes[class]
            .keyed
            .then(|| format!("{:016x}", self.rng.random::<u64>()));
        let order_keys = self.load.classes[class].order_keys;
        let ordering_key = (order_keys > 0)
            .then(|| format!("{:016x}", self.rng.random_range(1..=u64::from(order_keys))));
        let Target {
            destination,
            tenant,
            ..
        } = self.load.targets[target];
        self.origins.push(Origin {
            at,
            class,
            tenant,
            destination,
            key,
            ordering_key,
            body,
            tries: 0,
            delivered: None,
            refused: false,
            failed: false,
        });
        self.submission(
            at,
            Try {
                origin: self.origins.len() - 1,
                retry: false,
                again: false,
            },
        )
    }

    /// Whether a try has to wait for the answer to the one before it of its key; if not, others wait for it from now on.
    fn waits_behind(&mut self, this: Try) -> bool {
        let Some(key) = self.origins[this.origin].ordering_key.clone() else {
            return false;
        };
        match self.behind.get_mut(&key) {
            Some(behind) => behind.push_back(this),
            None => {
                self.behind.insert(key, VecDeque::new());
                return false;
            }
        }
        true
    }

    /// A try has its answer: the next one of its key is due.
    fn next_of_key(&mut self, now: Duration, origin: usize) {
        let Some(key) = self.origins[origin].ordering_key.clone() else {
            return;
        };
        let behind = self.behind.remove(&key).unwrap_or_default();
        for this in behind {
            self.push(now, Due::Again(this));
        }
    }

    fn submission(&mut self, at: Duration, this: Try) -> Option<(Duration, Submission)> {
        let Try {
            origin,
            retry,
            again,
        } = this;
        let from = &self.origins[origin];
        let duration = self.load.classes[from.class]
            .duration
            .checked_sub(at - from.at)
            .filter(|l| !l.is_zero())?;
        if self.waits_behind(this) {
            return None;
        }
        let id = format!("{:016x}", self.rng.random::<u64>());
        let from = &mut self.origins[origin];
        from.tries += 1;
        let submission = Submission {
            id: id.clone(),
            origin,
            class: from.class,
            tenant: from.tenant,
            destination: from.destination,
            key: from.key.clone(),
            ordering_key: from.ordering_key.clone(),
            body: from.body,
            duration,
            retry,
            again,
        };
        self.out.insert(
            id,
            Out {
                origin,
                accepted: false,
                early: None,
            },
        );
        Some((at, submission))
    }

    fn come_again(&mut self, now: Duration, origin: usize, after: Option<Duration>, retry: bool) {
        let from = &mut self.origins[origin];
        if from.tries > self.load.retries || from.delivered.is_some() {
            from.refused = true;
            return;
        }
        let pause = after.unwrap_or(self.load.pause);
        self.push(
            now + pause,
            Due::Again(Try {
                origin,
                retry,
                again: !retry,
            }),
        );
    }
}

/// A place drawn by weights; the first if there is nothing to go by.
fn pick(rng: &mut impl Rng, weights: &[f64]) -> usize {
    let sum: f64 = weights.iter().sum();
    let mut draw = rng.random::<f64>() * sum;
    for (n, weight) in weights.iter().enumerate() {
        draw -= weight;
        if draw < 0.0 {
            return n;
        }
    }
    weights.iter().position(|w| *w > 0.0).unwrap_or(0)
}
