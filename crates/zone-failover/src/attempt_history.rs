//! [`AttemptHistory`]: what a member's own attempts to one zone show of it.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use cranehill_scheduler::Time;

use crate::announcement::View;

/// Attempts remembered at most, to bound the memory: more than a sender makes to one zone within a window.
const MAX_ATTEMPTS: usize = 256;
/// Unanswered attempts from which a zone can be seen to fail: a single one proves nothing.
const MIN_UNANSWERED: usize = 2;
/// Endpoints without an answer from which a zone of several can be seen to fail: one may be down by itself.
const MIN_FAILING_ENDPOINTS: usize = 2;

#[derive(Clone, Debug)]
struct FinishedAttempt {
    at: Time,
    endpoint: String,
    answered: bool,
}

/// The latest attempts of this member to one zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHistory {
    attempts: VecDeque<FinishedAttempt>,
}

impl AttemptHistory {
    /// An attempt to an endpoint has finished, with an answer or without.
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

    /// The view by the attempts within the window, of a zone with this number of endpoints.
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

    /// Forgets all attempts.
    pub(crate) fn clear(&mut self) {
        self.attempts.clear();
    }
}
