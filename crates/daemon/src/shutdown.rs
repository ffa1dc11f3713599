//! The phases from SIGTERM to the end of the process.

use std::time::Duration;

use cranehill_scheduler::Time;

/// The platform's front may still send new connections for 400 ms after SIGTERM.
const ACCEPT_FOR: Duration = Duration::from_millis(450);
/// From here on no new attempts: they could hardly end before the process does.
const SEND_FOR: Duration = Duration::from_millis(2600);
/// The process ends by itself before SIGKILL comes at 3.7 s.
const END_AFTER: Duration = Duration::from_millis(3400);
/// How often the reactor checks whether everything has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How far the end of the process has come. Each phase includes the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// Not requested.
    Running,
    /// Requested; new connections are still accepted.
    Accepting,
    /// Clients are closed between requests.
    Closing,
    /// No new attempts are sent.
    NotSending,
    /// The process ends now.
    Over,
}

/// The end of the process.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    since: Option<Time>,
    sending_stopped: bool,
}

impl Shutdown {
    /// Begins the end; false if it has begun before.
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
            ShutdownPhase::Over
        }
    }

    /// True once, when sending is to stop.
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
