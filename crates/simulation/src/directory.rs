//! The directory: which endpoints there are, told to each sender some time later, and not at all while it is down.

use std::time::Duration;

/// What is said of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Up,
    Draining,
    Removed,
}

/// One endpoint as it is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    pub id: String,
    /// Which simulated server it is.
    pub endpoint: usize,
    pub destination: u64,
    pub listed: Listed,
    /// Its latest start, since the day began; `None` if that was long ago.
    pub started: Option<Duration>,
}

/// An answer to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    pub version: u64,
    pub full: bool,
    pub rows: Vec<Row>,
}

/// What becomes of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watch {
    Now(List),
    /// Nothing before then, unless a change comes: ask again at the earlier of both.
    Hold {
        until: Duration,
    },
    /// It is down: silence until then.
    Silent {
        until: Duration,
    },
}

/// How it behaves on a day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spec {
    /// Changes reach each sender so much later; by sender, the last one serving for all others.
    pub delays: Vec<Duration>,
    /// From when until when it is down.
    pub outages: Vec<(Duration, Duration)>,
    /// Changes that are kept to be told one by one; who asks from before gets the whole list.
    pub history: usize,
}

/// The directory in use.
#[derive(Clone, Debug)]
pub struct Directory {
    spec: Spec,
    /// As they were before any change.
    first: Vec<Row>,
    rows: Vec<Row>,
    /// Every change with its version and when it was made.
    changes: Vec<(u64, Duration, Row)>,
    version: u64,
}

impl Directory {
    pub fn new(spec: Spec, rows: Vec<Row>) -> Directory {
        Directory {
            spec,
            first: rows.clone(),
            rows,
            changes: Vec::new(),
            version: 1,
        }
    }

    /// A change as it is made at `now`; a row with a new id is a new endpoint.
    pub fn change(&mut self, now: Duration, row: Row) {
        self.version += 1;
        match self.rows.iter_mut().find(|r| r.id == row.id) {
            Some(known) => *known = row.clone(),
            None => self.rows.push(row.clone()),
        }
        self.changes.push((self.version, now, row));
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

    /// The newest version that this sender can know of at `now`.
    pub fn version(&self, now: Duration, sender: usize) -> u64 {
        let delay = self.delay(sender);
        let seen = self
            .changes
            .iter()
            .filter(|(_, at, _)| *at + delay <= now)
            .map(|c| c.0);
        seen.max().unwrap_or(1)
    }

    /// The whole list as this sender can know it; `None` while the directory is down.
    pub fn whole(&self, now: Duration, sender: usize) -> Option<List> {
        if self.down_until(now).is_some() {
            return None;
        }
        let version = self.version(now, sender);
        let mut rows: Vec<Row> = Vec::new();
        // What it was at that version: the present rows, with later changes undone by those before.
        for row in &self.rows {
            let known = self
                .changes
                .iter()
                .rev()
                .find(|(v, _, r)| *v <= version && r.id == row.id);
            let later = self
                .changes
                .iter()
                .any(|(v, _, r)| *v > version && r.id == row.id);
            match known {
                Some((.., row)) => rows.push(row.clone()),
                None if !later => rows.push(row.clone()),
                // Not yet changed, as far as this sender knows; if it is new, not yet there.
                None => rows.extend(self.first.iter().find(|r| r.id == row.id).cloned()),
            }
        }
        rows.retain(|r| r.listed != Listed::Removed);
        Some(List {
            version,
            full: true,
            rows,
        })
    }

    /// A watch for what is newer than `from`, held so long at most.
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
            let oldest = self.changes.len().saturating_sub(self.spec.history.max(1));
            let covered = self.changes.get(oldest).is_none_or(|c| c.0 <= from + 1);
            if !covered || from == 0 {
                return self
                    .whole(now, sender)
                    .map_or(Watch::Silent { until: now }, Watch::Now);
            }
            let newer = self
                .changes
                .iter()
                .filter(|(v, ..)| (from + 1..=version).contains(v));
            return Watch::Now(List {
                version,
                full: false,
                rows: newer.map(|c| c.2.clone()).collect(),
            });
        }
        let until = asked + hold;
        if now >= until {
            return Watch::Now(List {
                version: from,
                full: false,
                rows: Vec::new(),
            });
        }
        let delay = self.delay(sender);
        let next = self
            .changes
            .iter()
            .map(|(_, at, _)| *at + delay)
            .filter(|&t| t > now)
            .min();
        let outage = self
            .spec
            .outages
            .iter()
            .map(|o| o.0)
            .filter(|&t| t > now)
            .min();
        Watch::Hold {
            until: [Some(until), next, outage]
                .into_iter()
                .flatten()
                .min()
                .unwrap_or(until),
        }
    }
}
