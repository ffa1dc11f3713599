//! What a sender's own calls say of one zone.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use cranehill_scheduler::Time;
use serde::{Deserialize, Serialize};

/// Calls remembered, at most: more than a sender makes to one zone in a window.
const CALLS_MOST: usize = 256;

/// A sender's view by its own calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum View {
    /// It has no calls to go by.
    #[default]
    None,
    /// It is answered.
    Serving,
    /// Its calls fail.
    Failing,
}

/// The calls of late.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    calls: VecDeque<(Time, String, bool)>,
}

impl Evidence {
    /// A call to an endpoint ended, with an answer or without.
    pub fn note(&mut self, now: Time, endpoint: &str, answered: bool) {
        if self.calls.len() >= CALLS_MOST {
            self.calls.pop_front();
        }
        self.calls.push_back((now, endpoint.to_owned(), answered));
    }

    /// The view by the calls within the window. Failures at one endpoint of several are that endpoint's.
    pub fn view(&mut self, now: Time, window: Duration, endpoints: usize) -> View {
        while self
            .calls
            .front()
            .is_some_and(|(at, ..)| now - *at > window)
        {
            self.calls.pop_front();
        }
        let answered = self.calls.iter().filter(|c| c.2).count();
        let failed = self.calls.len() - answered;
        let places: BTreeSet<&str> = self
            .calls
            .iter()
            .filter(|c| !c.2)
            .map(|c| c.1.as_str())
            .collect();
        match () {
            () if failed > answered && places.len() >= endpoints.min(2) && failed >= 2 => {
                View::Failing
            }
            () if answered > 0 && answered >= failed => View::Serving,
            () => View::None,
        }
    }

    pub fn clear(&mut self) {
        self.calls.clear();
    }
}
