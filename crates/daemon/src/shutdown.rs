//! The phases of a shutdown, from SIGTERM to the end of the process.

use std::time::Duration;

use cranehill_scheduler::Time;

/// How long new connections are accepted: the platform's load balancer may route them here for 400 ms after SIGTERM.
const ACCEPT_FOR: Duration = Duration::from_millis(450);
/// After this time no new attempts are sent, since they would rarely finish before the end of the process.
const SEND_FOR: Duration = Duration::from_millis(2600);
/// The process exits after this time, before the platform sends SIGKILL at 3.7 s.
const END_AFTER: Duration = Duration::from_millis(3400);
/// Interval between checks whether all work has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The phase of a shutdown. Each phase includes the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No shutdown is requested.
    Running,
    /// Shutdown is requested; new connections are still accepted.
    Accepting,
    /// Client connections are closed between requests.
    Closing,
    /// No new attempts are sent.
    NotSending,
    /// The process exits now.
    Ended,
}

/// The state of a shutdown: when it was requested, and whether sending has stopped.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    since: Option<Time>,
    sending_stopped: bool,
}

impl Shutdown {
    /// Starts the shutdown; false if it was started before.
    pub(crate) fn begin(&mut self, now: Time) -> bool {
        let first = self.since.is_none();
        self.since.get_or_insert(now);
        first
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.since.is_some()
    }

    pub(crate) fn phase(&self, now: Time) -> ShutdownPhase {
        let Some(since) = self.since else {
            return ShutdownPhase::Running;
        };
        let passed = now - since;
        if passed < ACCEPT_FOR {
            ShutdownPhase::Accepting
        } else if passed < SEND_FOR {
            ShutdownPhase::Closing
        } else if passed < END_AFTER {
            ShutdownPhase::NotSending
        } else {
            ShutdownPhase::Ended
        }
    }

    /// Returns true the first time that the phase requires sending to stop.
    pub(crate) fn stop_sending(&mut self, phase: ShutdownPhase) -> bool {
        let due = phase >= ShutdownPhase::NotSending && !self.sending_stopped;
        self.sending_stopped |= due;
        due
    }

    pub(crate) fn is_sending_stopped(&self) -> bool {
        self.sending_stopped
    }

    pub(crate) fn next_check(&self, now: Time) -> Option<Time> {
        self.since.map(|since| (now + CHECK_INTERVAL).max(since))
    }
}
