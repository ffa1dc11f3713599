//! Simulated discovery: the endpoint list, which each sender learns with a delay, and not at all during an outage.

use std::time::Duration;

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// In service.
    Up,
    /// Gets nothing new.
    Draining,
    /// No longer listed.
    Removed,
}

/// One endpoint in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its id; an endpoint that replaces another has a new one.
    pub id: String,
    /// Number of the simulated server.
    pub endpoint: usize,
    /// Number of its destination.
    pub destination: u64,
    /// Its state.
    pub listed: Listed,
    /// Its latest start, since the start of the scenario; `None` if that was long before.
    pub started: Option<Duration>,
}

/// The whole list, or changes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Version of the list after these changes.
    pub version: u64,
    /// The whole list; otherwise only changed endpoints.
    pub full: bool,
    /// The endpoints.
    pub rows: Vec<Row>,
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watch {
    /// To be answered at once.
    Now(List),
    /// To be held.
    Hold {
        /// When to look again, unless a change is made before.
        until: Duration,
    },
    /// Not answered, because discovery is down.
    Silent {
        /// The end of the outage.
        until: Duration,
    },
}

/// The properties of discovery in a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spec {
    /// The delay with which each sender learns of a change; the last one also applies to all further senders.
    pub delays: Vec<Duration>,
    /// Beginning and end of each outage, since the start of the scenario.
    pub outages: Vec<(Duration, Duration)>,
    /// Changes that can be sent one by one; a watch from an older version gets the whole list.
    pub history: usize,
}

/// A change of the list.
#[derive(Clone, Debug)]
struct Change {
    /// Version of the list from then on.
    version: u64,
    made_at: Duration,
    row: Row,
}

/// Discovery in use. Times are since the start of the scenario.
#[derive(Clone, Debug)]
pub struct Directory {
    spec: Spec,
    /// The list before any change.
    initial_rows: Vec<Row>,
    rows: Vec<Row>,
    /// All changes, the oldest first.
    changes: Vec<Change>,
    version: u64,
}

impl Directory {
    /// Discovery with this list, which is version 1.
    pub fn new(spec: Spec, rows: Vec<Row>) -> Directory {
        Directory {
            spec,
            initial_rows: rows.clone(),
            rows,
            changes: Vec::new(),
            version: 1,
        }
    }

    /// Changes the list at `now`; a row with a new id is a new endpoint.
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

    fn delay(&self, sender: usize) -> Duration {
        let delays = &self.spec.delays;
        delays
            .get(sender)
            .or(delays.last())
            .copied()
            .unwrap_or_default()
    }

    fn down_until(&self, now: Duration) -> Option<Duration> {
        let on = |&&(from, to): &&(Duration, Duration)| (from..to).contains(&now);
        self.spec.outages.iter().filter(on).map(|o| o.1).max()
    }

    /// The newest version that a sender can know of at `now`.
    pub fn version(&self, now: Duration, sender: usize) -> u64 {
        let delay = self.delay(sender);
        let known = self.changes.iter().filter(|c| c.made_at + delay <= now);
        known.map(|c| c.version).max().unwrap_or(1)
    }

    /// The whole list as a sender can know it at `now`; `None` while discovery is down.
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

    /// An endpoint as it was at a version; `None` if it was not listed yet.
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

    /// A watch for versions after `from`, begun at `asked` and held for up to `hold`.
    pub fn watch(
        &self,
        now: Duration,
        sender: usize,
        from: u64,
        asked: Duration,
        hold: Duration,
    ) -> Watch {
        if let Some(until) = self.down_until(now) {
            return Watch::Silent { until };
        }
        let version = self.version(now, sender);
        if version > from {
            return self.news(now, sender, from, version);
        }
        let until = asked + hold;
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

    /// The changes after version `from`, or the whole list if some of these are no longer kept.
    fn news(&self, now: Duration, sender: usize, from: u64, version: u64) -> Watch {
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

    /// When the sender next learns of a change, or an outage begins.
    fn next_event(&self, now: Duration, sender: usize) -> Option<Duration> {
        let delay = self.delay(sender);
        let changes = self.changes.iter().map(|c| c.made_at + delay);
        let outages = self.spec.outages.iter().map(|(begin, _)| *begin);
        changes.chain(outages).filter(|&t| t > now).min()
    }
}
