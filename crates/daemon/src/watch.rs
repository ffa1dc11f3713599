//! When the directory is asked, and what for. Pure: the clock is an input, and whoever calls does the asking.

use std::time::Duration;

use cranehill_scheduler::Time;

use crate::discovery_protocol;

/// Between two tries, however the first one fails, there is never more: what the directory has to tell counts as told 6 s after
/// it had it and could be reached, and half a second is left for the connection, the answer and delays of the machine.
pub const BETWEEN_TRIES_MOST: Duration = Duration::from_millis(5500);
/// After a question that took all of its time, what is left for a pause. At least so much is always allowed, so that senders
/// refused together spread.
const PAUSE_LEFT: Duration = BETWEEN_TRIES_MOST.saturating_sub(HOLD.saturating_add(LATE_HELD));
/// How long a watch is held, whether lists are pushed or asked for: one that falls silent is found out only after this, and what
/// it misses counts as told within the same 6 s.
const HOLD: Duration = Duration::from_secs(3);
/// An answer that is due is here within this, or the question is put anew: half a second before what a held watch misses
/// counts as told, and after all that a directory answers of many questions at once.
const LATE_HELD: Duration = Duration::from_millis(1500);
const LATE_WHOLE: Duration = Duration::from_secs(2);
/// After a watch that could not be put: soon enough that the next one still continues it.
const AGAIN: Duration = Duration::from_millis(100);
/// What a new watch costs a directory that refuses some, taken from 39 that were answered of 100 asked at one moment
/// before the rest ran into its 2 s; the pace at which all senders together ask again.
const COST: Duration = Duration::from_millis(50);
/// Senders beyond this make a mean pause no longer: what the settings say of their number may be absurd.
const SENDERS_MOST: u32 = 200;
/// The longest mean pause after failures in a row, in times the first.
const PAUSE_MOST: u32 = 4;
/// A pause is drawn evenly from between half of its mean and so many means.
const JITTER_MOST: f64 = 1.5;

/// Why a watch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// There was no connection, or it ended or stayed silent: nobody was burdened with the question.
    ConnectFailed,
    /// It was answered with anything but a list, perhaps with a wait: there is too much to answer.
    Rejected { retry_after: Option<Duration> },
}

/// The watch that this sender keeps on the directory.
///
/// The first question goes at once, whoever else may start at this moment: what is there to tell counts as told
/// whether we have asked or not, and a sender that waits before its first question goes on by an old list. Only
/// after a refusal the senders spread out, so that all together do not ask for more than can be answered.
#[derive(Debug)]
pub struct Watch {
    version: u64,
    /// The next question is for the whole list.
    whole: bool,
    due: Option<Time>,
    asked: Time,
    senders: u32,
    longest: Duration,
    failed: u32,
    rng: fastrand::Rng,
}

impl Watch {
    /// A watch from the list of this version on, one of so many senders' and due at once. `longest`: how long the
    /// settings let a sender be without asking; zero where they don't say.
    pub fn new(version: u64, senders: u32, longest: Duration, seed: u64, now: Time) -> Watch {
        let rng = fastrand::Rng::with_seed(seed);
        Watch {
            version,
            whole: false,
            due: Some(now),
            asked: now,
            senders,
            longest,
            failed: 0,
            rng,
        }
    }

    /// When the next question is to be put, unless one is out.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// Puts the next question; the caller sends it.
    pub fn ask(&mut self, now: Time, host: &str) -> Vec<u8> {
        (self.due, self.asked) = (None, now);
        if self.whole {
            discovery_protocol::whole(host)
        } else {
            discovery_protocol::watch(host, self.version, HOLD)
        }
    }

    /// When the question that is out has fallen silent: it is given up then, and put anew.
    pub fn overdue(&self) -> Time {
        self.asked
            + if self.whole {
                LATE_WHOLE
            } else {
                HOLD + LATE_HELD
            }
    }

    /// A list of this version came: the next question goes at once, since within 200 ms it continues this one. Not so
    /// after an empty answer that came too soon: a directory that does not hold a watch would have us ask without end.
    pub fn answered(&mut self, now: Time, version: u64) {
        let pending = self.whole || self.version != version || now - self.asked >= AGAIN;
        self.due = Some(if pending { now } else { now + AGAIN });
        (self.version, self.whole, self.failed) = (version, false, 0);
    }

    /// Of the changes that were answered some could not be read, and they are not told again: all of the list is asked for,
    /// in which what can't be read is not named, so that nothing goes to an endpoint that may be draining.
    pub fn missed(&mut self) {
        self.whole = true;
    }

    /// A question failed: the pause before the next, no shorter than a wait that was told, as far as
    /// [`BETWEEN_TRIES_MOST`] allows it. Guards a directory that is asked by all at once, as after a release: questions that
    /// come faster than they can be answered wait until they are worth nothing, and where each is put again soon, nobody
    /// hears of what has changed.
    pub fn failed(&mut self, now: Time, failure: Failure) -> Duration {
        let (first, retry_after) = match failure {
            Failure::ConnectFailed => (AGAIN, None),
            Failure::Rejected { retry_after } => (
                (COST * self.senders.min(SENDERS_MOST)).max(AGAIN),
                retry_after,
            ),
        };
        let most = BETWEEN_TRIES_MOST
            .saturating_sub(now - self.asked)
            .max(PAUSE_LEFT);
        let retry_after = retry_after.unwrap_or_default().min(most / 2);
        let mean = first * (1 << self.failed.min(8)).min(PAUSE_MOST);
        let mean = mean.min((most - retry_after).div_f64(JITTER_MOST));
        self.failed += 1;
        let longest = if self.longest.is_zero() {
            Duration::MAX
        } else {
            self.longest.max(AGAIN)
        };
        let jitter = 0.5 + (JITTER_MOST - 0.5) * self.rng.f64();
        let pause = mean.mul_f64(jitter).min(longest) + retry_after;
        self.due = Some(now + pause);
        pause
    }

    /// The directory is elsewhere from now on: it is asked at once for all of its list, since its versions need not
    /// go on from the old one's, and what failed at the old one says nothing of it.
    pub fn moved(&mut self, now: Time) {
        (self.whole, self.due, self.failed) = (true, Some(now), 0);
    }
}
