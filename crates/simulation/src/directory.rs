//! Simulated discovery: an endpoint list that each sender receives with a delay, and not at all during an outage.

use std::time::Duration;

/// The state of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// The endpoint is in service.
    Up,
    /// The endpoint must receive no new calls.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Id of the endpoint; an endpoint that replaces another at the same address has a new id.
    pub id: String,
    /// Number of the simulated server that plays the endpoint.
    pub endpoint: usize,
    /// Number of the endpoint's destination.
    pub destination: u64,
    /// State of the endpoint.
    pub listed: Listed,
    /// Latest start of the endpoint, since the start of the scenario; `None` if it started long before the scenario.
    pub started: Option<Duration>,
}

/// The whole endpoint list, or changes to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Version of the list after these changes.
    pub version: u64,
    /// Whether `rows` is the whole list; otherwise it has only changed endpoints.
    pub full: bool,
    /// Entries of the list.
    pub rows: Vec<Row>,
}

/// The response to a watch, a request for changes that discovery holds until there are some.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watch {
    /// Discovery answers with this list without holding the watch.
    Now(List),
    /// Discovery holds the watch.
    Hold {
        /// When to evaluate the watch again, unless a change is made before.
        until: Duration,
    },
    /// Discovery is down and does not answer.
    Silent {
        /// The end of the outage.
        until: Duration,
    },
}

/// The properties of discovery in a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spec {
    /// Delay between a change and its visibility, by sender; the last delay also applies to all further senders.
    pub delays: Vec<Duration>,
    /// Start and end (exclusive) of each outage, since the start of the scenario.
    pub outages: Vec<(Duration, Duration)>,
    /// Number of changes kept for incremental answers; a watch from an older version receives the whole list. At least 1 is
    /// kept.
    pub history: usize,
}

/// A change to one entry of the list.
#[derive(Clone, Debug)]
struct Change {
    /// Version of the list after the change.
    version: u64,
    made_at: Duration,
    row: Row,
}

/// Simulated discovery with its current list. All times are since the start of the scenario.
#[derive(Clone, Debug)]
pub struct Directory {
    spec: Spec,
    /// The list as of version 1.
    initial_rows: Vec<Row>,
    rows: Vec<Row>,
    /// All changes, oldest first.
    changes: Vec<Change>,
    version: u64,
}

impl Directory {
    /// Creates discovery with this list as version 1.
    pub fn new(spec: Spec, rows: Vec<Row>) -> Directory {
        Directory {
            spec,
            initial_rows: rows.clone(),
            rows,
            changes: Vec::new(),
            version: 1,
        }
    }

    /// Updates the entry with the id of `row` at `now`, or adds it if the id is new.
    pub fn change(&mut self, now: Duration, row: Row) {
        self.version += 1;
        match self.rows.iter_mut().find(|r| r.id == row.id) {
            Some(known) => *known = row.clone(),
            None => self.rows.push(row.clone()),
        }
        self.changes.push(Change {
            version: self.version,
            made_at: now,
            row,
        });
    }

    /// Delay with which changes become visible to a sender.
    fn delay(&self, sender: usize) -> Duration {
        let delays = &self.spec.delays;
        delays
            .get(sender)
            .or(delays.last())
            .copied()
            .unwrap_or_default()
    }

    /// End of the current outage; `None` if discovery is up.
    fn down_until(&self, now: Duration) -> Option<Duration> {
        let on = |&&(from, to): &&(Duration, Duration)| (from..to).contains(&now);
        self.spec.outages.iter().filter(on).map(|o| o.1).max()
    }

    /// The newest version that is visible to a sender at `now`.
    pub fn version(&self, now: Duration, sender: usize) -> u64 {
        let delay = self.delay(sender);
        let known = self.changes.iter().filter(|c| c.made_at + delay <= now);
        known.map(|c| c.version).max().unwrap_or(1)
    }

    /// The whole list as it is visible to a sender at `now`; `None` while discovery is down.
    pub fn whole(&self, now: Duration, sender: usize) -> Option<List> {
        if self.down_until(now).is_some() {
            return None;
        }
        let version = self.version(now, sender);
        let rows = self.rows.iter().filter_map(|row| self.row_at(row, version));
        Some(List {
            version,
            full: true,
            rows: rows.filter(|r| r.listed != Listed::Removed).collect(),
        })
    }

    /// The entry of an endpoint at a version; `None` if it was not listed yet.
    fn row_at(&self, row: &Row, version: u64) -> Option<Row> {
        let changes = || self.changes.iter().filter(|c| c.row.id == row.id);
        let known = changes().rfind(|c| c.version <= version);
        if let Some(known) = known {
            return Some(known.row.clone());
        }
        if changes().next().is_none() {
            return Some(row.clone());
        }
        let mut initial_rows = self.initial_rows.iter();
        initial_rows.find(|r| r.id == row.id).cloned()
    }

    /// Evaluates at `now` a watch that `sender` began at `started` for changes after version `from`. Discovery holds it for up
    /// to `hold`, and then answers without changes.
    pub fn watch(
        &self,
        now: Duration,
        sender: usize,
        from: u64,
        started: Duration,
        hold: Duration,
    ) -> Watch {
        if let Some(until) = self.down_until(now) {
            return Watch::Silent { until };
        }
        let version = self.version(now, sender);
        if version > from {
            return self.changes_since(now, sender, from, version);
        }
        let until = started + hold;
        if now >= until {
            return Watch::Now(List {
                version: from,
                full: false,
                rows: Vec::new(),
            });
        }
        Watch::Hold {
            until: self.next_event(now, sender).map_or(until, |t| t.min(until)),
        }
    }

    /// The changes after version `from`, or the whole list if `from` is 0 or some of the changes are no longer kept.
    fn changes_since(&self, now: Duration, sender: usize, from: u64, version: u64) -> Watch {
        let oldest = self.changes.len().saturating_sub(self.spec.history.max(1));
        let oldest = self.changes.get(oldest);
        let is_covered = oldest.is_none_or(|c| c.version <= from + 1);
        if !is_covered || from == 0 {
            let whole = self.whole(now, sender);
            return whole.map_or(Watch::Silent { until: now }, Watch::Now);
        }
        let newer = from + 1..=version;
        let changes = self.changes.iter().filter(|c| newer.contains(&c.version));
        Watch::Now(List {
            version,
            full: false,
            rows: changes.map(|c| c.row.clone()).collect(),
        })
    }

    /// When the next change becomes visible to the sender, or the next outage begins.
    fn next_event(&self, now: Duration, sender: usize) -> Option<Duration> {
        let delay = self.delay(sender);
        let changes = self.changes.iter().map(|c| c.made_at + delay);
        let outages = self.spec.outages.iter().map(|(begin, _)| *begin);
        changes.chain(outages).filter(|&t| t > now).min()
    }
}
