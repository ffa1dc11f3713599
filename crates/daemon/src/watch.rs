//! When the directory is asked, and what for. Pure: the clock is an input, and whoever calls does the asking.

use std::time::Duration;

use tansycroft::Time;

use crate::directory;

/// After a watch that could not be put: soon enough that the next one still continues it.
const AGAIN: Duration = Duration::from_millis(100);
/// What a new watch costs a directory that refuses some, taken from 39 that were answered of 100 asked at one moment
/// before the rest ran into its 2 s; the pace at which all senders together ask again.
const COST: Duration = Duration::from_millis(50);
/// Senders beyond this make a mean pause no longer: what the settings say of their number may be absurd.
const SENDERS_MOST: u32 = 200;
/// The longest mean pause after failures in a row, in times the first.
const PAUSE_MOST: u32 = 4;

/// Why a watch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// There was no connection, or it ended or stayed silent: nobody was burdened with the question.
    Unreached,
    /// It was answered with anything but a list, perhaps with a wait: there is too much to answer.
    Refused { told: Option<Duration> },
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
        Watch { version, whole: false, due: Some(now), asked: now, senders, longest, failed: 0, rng }
    }

    /// When the next question is to be put, unless one is out.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// Puts the next question; the caller sends it.
    pub fn ask(&mut self, now: Time, host: &str) -> Vec<u8> {
        (self.due, self.asked) = (None, now);
        if self.whole { directory::whole(host) } else { directory::watch(host, self.version) }
    }

    /// A list of this version came: the next question goes at once, since within 200 ms it continues this one. Not so
    /// after an empty answer that came too soon: a directory that does not hold a watch would have us ask without end.
    pub fn answered(&mut self, now: Time, version: u64) {
        let held = self.whole || self.version != version || now - self.asked >= AGAIN;
        self.due = Some(if held { now } else { now + AGAIN });
        (self.version, self.whole, self.failed) = (version, false, 0);
    }

    /// Of the changes that were answered some could not be read, and they are not told again: all of the list is asked for,
    /// in which what can't be read is not named, so that nothing goes to an endpoint that may be draining.
    pub fn missed(&mut self) {
        self.whole = true;
    }

    /// A question failed: the pause before the next, no shorter than a wait that was told. Guards a directory that is
    /// asked by all at once, as after a release: questions that come faster than they can be answered wait until they
    /// are worth nothing, and where each is put again soon, nobody hears of what has changed.
    pub fn failed(&mut self, now: Time, failure: Failure) -> Duration {
        let (first, told) = match failure {
            Failure::Unreached => (AGAIN, None),
            Failure::Refused { told } => ((COST * self.senders.min(SENDERS_MOST)).max(AGAIN), told),
        };
        let mean = first * (1 << self.failed.min(8)).min(PAUSE_MOST);
        self.failed += 1;
        let longest = if self.longest.is_zero() { Duration::MAX } else { self.longest.max(AGAIN) };
        let pause = mean.mul_f64(0.5 + self.rng.f64()).min(longest) + told.unwrap_or_default();
        self.due = Some(now + pause);
        pause
    }

    /// The directory is elsewhere from now on: it is asked at once for all of its list, since its versions need not
    /// go on from the old one's, and what failed at the old one says nothing of it.
    pub fn moved(&mut self, now: Time) {
        (self.whole, self.due, self.failed) = (true, Some(now), 0);
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    const MUST_ASK: Duration = Duration::from_secs(10);

    fn watch(senders: u32, seed: u64) -> Watch {
        Watch::new(7, senders, MUST_ASK, seed, Time(0))
    }

    fn at(ms: u64) -> Time {
        Time(ms * 1_000_000)
    }

    /// Days with 300 senders: spread over 10 s, 130 senders went on for up to 3.7 s by a list that named draining
    /// endpoints, though their agents held the change: 393 sends to them.
    #[test]
    fn every_sender_asks_as_it_starts_and_as_the_directory_moves() {
        for seed in 0..300 {
            let mut watch = watch(300, seed);
            assert_eq!(watch.due(), Some(at(0)), "seed {seed}");
            watch.ask(at(0), "d");
            for _ in 0..5 {
                watch.failed(at(10), Failure::Refused { told: None });
            }
            watch.moved(at(20));
            assert_eq!(watch.due(), Some(at(20)), "seed {seed}");
            let question = String::from_utf8(watch.ask(at(20), "d")).expect("text");
            assert!(question.starts_with("GET /v1/endpoints HTTP"), "{question}");
            let pause = watch.failed(at(30), Failure::Unreached);
            assert!(pause <= AGAIN * 3 / 2, "failures elsewhere are forgotten: {pause:?}, seed {seed}");
        }
    }

    /// Days at size: of 100 senders asked to start at once, 61 waited longer than 2 s at a directory that needs 51 ms for
    /// each question, and asking again at a fixed 100 ms kept all of them out for the whole day.
    #[test]
    fn all_senders_get_their_watch_though_they_start_at_once() {
        const SENDERS: usize = 100;
        let (cost, patience) = (51, 2_000);
        let mut watches: Vec<Watch> = (0..SENDERS).map(|i| watch(SENDERS as u32, i as u64)).collect();
        // Questions in their order, also those whose sender has given up; what is at the front takes `cost`.
        let (mut queue, mut busy_until) = (VecDeque::new(), 0);
        let mut watching = 0;
        for ms in 0..30_000 {
            for (sender, watch) in watches.iter_mut().enumerate() {
                if watch.due().is_some_and(|due| due <= at(ms)) {
                    watch.ask(at(ms), "d");
                    queue.push_back((sender, ms));
                }
            }
            while ms >= busy_until
                && let Some((sender, asked)) = queue.pop_front()
            {
                busy_until = ms + cost;
                if ms - asked <= patience {
                    watching += 1;
                } else {
                    watches[sender].failed(at(ms), Failure::Refused { told: None });
                }
            }
        }
        assert_eq!(watching, SENDERS);
    }

    #[test]
    fn pauses_grow_to_what_the_settings_allow_and_a_told_wait_is_the_least() {
        let mut watch = watch(300, 7);
        let told = Duration::from_secs(30);
        assert!(watch.failed(at(0), Failure::Refused { told: Some(told) }) >= told);
        let longest = (0..40).map(|_| watch.failed(at(0), Failure::Refused { told: None })).max();
        assert_eq!(longest, Some(MUST_ASK));
        // What could not be put burdened nobody: it is put again while the directory may be back.
        let longest = (0..40).map(|_| watch.failed(at(0), Failure::Unreached)).max().unwrap_or_default();
        assert!(longest > AGAIN * 2 && longest <= AGAIN * PAUSE_MOST * 3 / 2, "{longest:?}");
        // What the settings may say of the senders' number does no harm.
        for senders in [0, u32::MAX] {
            let mut watch = Watch::new(7, senders, Duration::ZERO, 1, at(0));
            let pause = watch.failed(at(0), Failure::Refused { told: None });
            assert!(pause > Duration::ZERO && pause <= COST * SENDERS_MOST * 3 / 2, "{pause:?}");
        }
    }

    /// The version goes on past a change that could not be read: by itself the watch would never hear of it again.
    #[test]
    fn after_changes_that_could_not_be_read_the_whole_list_is_asked_for_once() {
        let mut watch = watch(2, 7);
        let mut question = |ms| String::from_utf8(watch.ask(at(ms), "d")).expect("text");
        assert!(question(0).contains("from=7"));
        watch.answered(at(3), 8);
        watch.missed();
        let mut question = |ms| String::from_utf8(watch.ask(at(ms), "d")).expect("text");
        assert!(question(3).starts_with("GET /v1/endpoints HTTP"));
        watch.answered(at(4), 8);
        assert!(String::from_utf8(watch.ask(at(4), "d")).expect("text").contains("from=8"));
    }

    #[test]
    fn an_answer_is_followed_at_once_unless_the_watch_is_not_held() {
        let mut watch = watch(2, 7);
        watch.ask(at(0), "d");
        watch.answered(at(3), 8);
        assert_eq!(watch.due(), Some(at(3)), "a change");
        watch.ask(at(3), "d");
        watch.answered(at(10_003), 8);
        assert_eq!(watch.due(), Some(at(10_003)), "held to its end");
        watch.ask(at(10_003), "d");
        watch.answered(at(10_004), 8);
        assert_eq!(watch.due(), Some(at(10_004) + AGAIN), "not held");
    }
}
