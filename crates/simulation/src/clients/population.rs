//! All clients of a scenario.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use super::load::Load;
use super::sampler::LoadSampler;
use super::schedule::{Attempt, Schedule, Scheduled};
use super::submission::{ClientAnswer, Origin, Submission};
use super::weight::delivered_weight;

/// The messages of a clump arrive evenly over this time.
const CLUMP_LENGTH: Duration = Duration::from_millis(200);

/// A submission whose outcome the client does not know yet.
#[derive(Clone, Debug)]
struct OpenSubmission {
    /// Index of the message in [`Clients::origins`].
    origin: usize,
    accepted: bool,
    /// Time of a delivery that preceded the answer to the submission.
    delivered_early: Option<Duration>,
}

/// All clients of a scenario: they submit messages and process answers and final reports. Times are since the start of the
/// scenario.
#[derive(Clone, Debug)]
pub struct Clients {
    sampler: LoadSampler,
    schedule: Schedule,
    next_single: Duration,
    next_clump: Duration,
    /// All messages drawn so far, in the order of their first submission.
    pub origins: Vec<Origin>,
    open: BTreeMap<String, OpenSubmission>,
    /// By ordering key with an unanswered submission: the later submissions of this key, which wait for the answer.
    waiting_by_key: BTreeMap<String, VecDeque<Attempt>>,
}

impl Clients {
    /// Creates clients with this load. `rng` must not be shared with other models, so that their draws do not change those of the
    /// clients.
    pub fn new(load: Load, rng: ChaCha8Rng) -> Clients {
        let mut sampler = LoadSampler::new(load, rng);
        let next_single = sampler.next_single(Duration::ZERO);
        let next_clump = sampler.next_clump(Duration::ZERO);
        Clients {
            sampler,
            schedule: Schedule::default(),
            next_single,
            next_clump,
            origins: Vec::new(),
            open: BTreeMap::new(),
            waiting_by_key: BTreeMap::new(),
        }
    }

    /// When [`hand_in`](Self::hand_in) is due next; `None` if no arrival or resubmission is scheduled.
    pub fn next(&self) -> Option<Duration> {
        let until = self.sampler.load().until;
        let arrivals = [self.next_single, self.next_clump];
        let arrivals = arrivals.into_iter().filter(|&at| at < until);
        arrivals.chain(self.schedule.next_at()).min()
    }

    /// Returns all submissions that are due by `now`, each with its time. They count as unanswered until
    /// [`answered`](Self::answered).
    pub fn hand_in(&mut self, now: Duration) -> Vec<(Duration, Submission)> {
        let until = self.sampler.load().until;
        let mut submissions = Vec::new();
        while let Some(at) = self.next().filter(|&at| at <= now) {
            if at == self.next_single && at < until {
                let target = self.sampler.target(at);
                self.next_single = self.sampler.next_single(at);
                submissions.extend(self.submit_new(at, target));
            } else if at == self.next_clump && at < until {
                self.next_clump = self.sampler.next_clump(at);
                self.schedule_clump(at);
            } else if let Some((at, scheduled)) = self.schedule.pop() {
                submissions.extend(match scheduled {
                    Scheduled::New { target } => self.submit_new(at, target),
                    Scheduled::Drawn(attempt) => self.submit(at, attempt),
                });
            }
        }
        submissions
    }

    /// Processes the answer to the submission with this id, or the end of its connection without one. Unknown ids are ignored.
    pub fn answered(&mut self, now: Duration, id: &str, client_answer: ClientAnswer) {
        let Some(submission) = self.open.get_mut(id) else {
            return;
        };
        let origin = submission.origin;
        match client_answer {
            ClientAnswer::Accepted => {
                submission.accepted = true;
                if let Some(at) = submission.delivered_early {
                    self.origins[origin].delivered.get_or_insert(at.max(now));
                }
                self.release_key(now, origin);
            }
            ClientAnswer::Rejected { after } => {
                self.open.remove(id);
                self.release_key(now, origin);
                self.resubmit(now, origin, after, true);
            }
            ClientAnswer::Error => {
                self.open.remove(id);
                self.release_key(now, origin);
                self.origins[origin].failed = true;
            }
            // A resubmission has a new id, so later events of this id are ignored.
            ClientAnswer::Nothing => {
                self.open.remove(id);
                self.release_key(now, origin);
                self.resubmit(now, origin, Some(Duration::ZERO), false);
            }
        }
    }

    /// Processes a successful reply of a destination to a message. Unknown ids are ignored.
    pub fn delivered(&mut self, now: Duration, id: &str) {
        let Some(submission) = self.open.get_mut(id) else {
            return;
        };
        if submission.accepted {
            let origin = &mut self.origins[submission.origin];
            origin.delivered.get_or_insert(now);
        } else {
            submission.delivered_early.get_or_insert(now);
        }
    }

    /// Processes a final report of a message. `returned` is the wait before the resubmission if the message was returned;
    /// `None` means that it failed. Unknown ids are ignored.
    pub fn closed(&mut self, now: Duration, id: &str, returned: Option<Duration>) {
        let Some(submission) = self.open.remove(id) else {
            return;
        };
        match returned {
            Some(after) => self.resubmit(now, submission.origin, Some(after), true),
            None => self.origins[submission.origin].failed = true,
        }
    }

    /// Returns the total weight of the delivered messages, and the number of all messages.
    pub fn worth(&self) -> (f64, f64) {
        let delivered = self.origins.iter().map(|o| self.weight(o)).sum();
        (delivered, self.origins.len() as f64)
    }

    /// Returns the figures of [`Clients::worth`] for each second, by the time of a message's first submission.
    pub fn worth_over_time(&self) -> Vec<(f64, f64)> {
        let mut seconds: Vec<(f64, f64)> = Vec::new();
        for origin in &self.origins {
            let second = origin.at.as_secs() as usize;
            if seconds.len() <= second {
                seconds.resize(second + 1, (0.0, 0.0));
            }
            let (delivered, submitted) = &mut seconds[second];
            *delivered += self.weight(origin);
            *submitted += 1.0;
        }
        seconds
    }

    fn weight(&self, origin: &Origin) -> f64 {
        delivered_weight(&self.sampler.load().classes[origin.class], origin)
    }

    fn schedule_clump(&mut self, at: Duration) {
        let target = self.sampler.target(at);
        let count = self.sampler.clump_size(target);
        for n in 0..count {
            let at = at + CLUMP_LENGTH.mul_f64(n as f64 / count as f64);
            self.schedule.add(at, Scheduled::New { target });
        }
    }

    fn submit_new(&mut self, at: Duration, target: usize) -> Option<(Duration, Submission)> {
        let message = self.sampler.message(at, target);
        self.origins.push(message);
        let attempt = Attempt {
            origin: self.origins.len() - 1,
            retry: false,
            again: false,
        };
        self.submit(at, attempt)
    }

    /// Submits a message, unless it has expired or must wait for an earlier submission of its ordering key.
    fn submit(&mut self, at: Duration, attempt: Attempt) -> Option<(Duration, Submission)> {
        let origin = &self.origins[attempt.origin];
        let time_to_live = self.sampler.load().classes[origin.class].time_to_live;
        let remaining = time_to_live
            .checked_sub(at - origin.at)
            .filter(|remaining| !remaining.is_zero())?;
        if self.waits_for_key(attempt) {
            return None;
        }
        let id = self.sampler.random_id();
        let origin = &mut self.origins[attempt.origin];
        origin.submissions += 1;
        let submission = Submission {
            id: id.clone(),
            origin: attempt.origin,
            class: origin.class,
            tenant: origin.tenant,
            destination: origin.destination,
            key: origin.key.clone(),
            ordering_key: origin.ordering_key.clone(),
            body: origin.body,
            time_to_live: remaining,
            retry: attempt.retry,
            again: attempt.again,
        };
        let open = OpenSubmission {
            origin: attempt.origin,
            accepted: false,
            delivered_early: None,
        };
        self.open.insert(id, open);
        Some((at, submission))
    }

    /// Whether a submission must wait for the answer to an earlier one of its ordering key. If not, later ones wait for it.
    fn waits_for_key(&mut self, attempt: Attempt) -> bool {
        let Some(key) = self.origins[attempt.origin].ordering_key.clone() else {
            return false;
        };
        if let Some(waiting) = self.waiting_by_key.get_mut(&key) {
            waiting.push_back(attempt);
            return true;
        }
        self.waiting_by_key.insert(key, VecDeque::new());
        false
    }

    /// Schedules the submissions that waited for the answer to this message, in their order.
    fn release_key(&mut self, now: Duration, origin: usize) {
        let Some(key) = &self.origins[origin].ordering_key else {
            return;
        };
        for attempt in self.waiting_by_key.remove(key).unwrap_or_default() {
            self.schedule.add(now, Scheduled::Drawn(attempt));
        }
    }

    fn resubmit(&mut self, now: Duration, origin: usize, after: Option<Duration>, retry: bool) {
        let load = self.sampler.load();
        let message = &mut self.origins[origin];
        if message.submissions > load.retries || message.delivered.is_some() {
            message.abandoned = true;
            return;
        }
        let attempt = Attempt {
            origin,
            retry,
            again: !retry,
        };
        let at = now + after.unwrap_or(load.pause);
        self.schedule.add(at, Scheduled::Drawn(attempt));
    }
}
