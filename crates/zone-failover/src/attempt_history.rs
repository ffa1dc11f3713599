//! [`AttemptHistory`]: a member's recent attempts to one zone, and its view of the zone by them.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::announcement::View;

/// Maximum number of attempts in the history, which bounds its memory; older ones are dropped. A sender usually makes
/// fewer attempts to one zone within a window.
const MAX_ATTEMPTS: usize = 256;
/// Minimum number of unanswered attempts for a view of failing: a single one is no evidence of a zone failure.
const MIN_UNANSWERED: usize = 2;
/// Minimum number of unanswering endpoints for a view of failing, in a zone of several: a single endpoint can be down
/// while its zone serves.
const MIN_FAILING_ENDPOINTS: usize = 2;

#[derive(Clone, Debug)]
struct FinishedAttempt {
    at: Time,
    endpoint: String,
    answered: bool,
}

/// The recent attempts of this member to one zone, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHistory {
    attempts: VecDeque<FinishedAttempt>,
}

impl AttemptHistory {
    /// Records a finished attempt to an endpoint; `answered` is whether any answer was received.
    pub(crate) fn record(&mut self, now: Time, endpoint: &str, answered: bool) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back(FinishedAttempt {
            at: now,
            endpoint: endpoint.to_owned(),
            answered,
        });
    }

    /// The view by the attempts within the window, of a zone with `endpoint_count` endpoints. Drops older attempts.
    pub(crate) fn view(&mut self, now: Time, window: Duration, endpoint_count: usize) -> View {
        let is_old = |attempt: &FinishedAttempt| now - attempt.at > window;
        while self.attempts.front().is_some_and(is_old) {
            self.attempts.pop_front();
        }
        let answered = self.attempts.iter().filter(|a| a.answered).count();
        let unanswered = self.attempts.len() - answered;
        let failing_endpoints: BTreeSet<&str> = self
            .attempts
            .iter()
            .filter(|a| !a.answered)
            .map(|a| a.endpoint.as_str())
            .collect();
        let min_failing_endpoints = endpoint_count.min(MIN_FAILING_ENDPOINTS);
        if unanswered > answered
            && unanswered >= MIN_UNANSWERED
            && failing_endpoints.len() >= min_failing_endpoints
        {
            View::Failing
        } else if answered > 0 && answered >= unanswered {
            View::Serving
        } else {
            View::None
        }
    }

    /// Removes all attempts.
    pub(crate) fn clear(&mut self) {
        self.attempts.clear();
    }
}
