//! The fleet's parts of a file: how senders know each other, and what breaks between and under them.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use toml::Spanned;

use super::source::{ScenarioError, Source};
use super::units::Span;
use crate::fleet::{
    Fleet, Folder, MemberAction, NetworkFault, PathFault, ScheduledAction, Side, Which,
};

/// A process is started again this long after its end, where the file does not say.
const RESTART_AFTER: Duration = Duration::from_millis(600);
/// A reset is a moment, and a break lasts some time.
const RESET_DURATION: Duration = Duration::from_millis(1);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    period: Option<Span>,
    round_trip: Option<Span>,
    suspicion: Option<Span>,
    hold: Option<Span>,
    #[serde(default)]
    recovery: bool,
    #[serde(default)]
    zones: bool,
}

impl FleetFile {
    pub fn fleet(&self) -> Fleet {
        let span = |s: Option<Span>, usual| s.map_or(Duration::from_millis(usual), |s| s.0);
        Fleet {
            period: span(self.period, 1000),
            round_trip: span(self.round_trip, 300),
            suspicion: self.suspicion.map(|s| s.0),
            hold: span(self.hold, 30_000),
            recovery: self.recovery,
            zones: self.zones,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NetworkFaultFile {
    kind: Spanned<String>,
    at: Spanned<Span>,
    #[serde(rename = "lasts")]
    duration: Option<Span>,
    #[serde(alias = "senders")]
    from: Option<Spanned<Who>>,
    to: Option<Spanned<Who>>,
    /// With `to = "destinations"`: only to endpoints of this zone.
    zone: Option<Spanned<String>>,
    #[serde(default)]
    one_way: bool,
    share: Option<Spanned<f64>>,
    by: Option<Span>,
    back: Option<Spanned<Back>>,
    #[serde(default)]
    wipe: bool,
    #[serde(default)]
    cut_journal: bool,
    kill: Option<Spanned<String>>,
    after: Option<Span>,
}

/// Whom something is about: `all`, `others`, `destinations`, numbers, or a share that the seed draws.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Who {
    Share(f64),
    Numbers(Vec<usize>),
    #[serde(rename = "Word")]
    Keyword(String),
}

/// When a process is started again.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Back {
    After(Span),
    #[serde(rename = "Word")]
    Keyword(String),
}

/// What breaks between senders, and what is done to their processes.
#[derive(Debug, Default)]
pub(super) struct Broken {
    /// In the order of the file.
    pub network_faults: Vec<NetworkFault>,
    /// In the order of time.
    pub scheduled_actions: Vec<ScheduledAction>,
}

/// All `[[break]]` tables, in the file's order, which is the order in which the seed draws.
pub(super) fn read(
    source: &Source<'_>,
    tables: &[NetworkFaultFile],
    count: usize,
    zones: &[String],
    rng: &mut ChaCha8Rng,
) -> Result<Broken, ScenarioError> {
    let mut broken = Broken::default();
    for table in tables {
        let at = table.at.get_ref().0;
        let from = match &table.from {
            Some(who) => senders(source, who, count, rng)?,
            None => (0..count).collect(),
        };
        if let Some(action) = action(source, table)? {
            broken.scheduled_actions.push(ScheduledAction {
                at,
                senders: from,
                action,
            });
            continue;
        }
        let path_fault = path_fault(source, table)?;
        let until = at
            + if path_fault == PathFault::Reset {
                RESET_DURATION
            } else {
                duration(source, table)?
            };
        let to = side(source, table, &from, count, zones, rng)?;
        broken.network_faults.push(NetworkFault {
            at,
            until,
            from,
            to,
            one_way: table.one_way,
            path_fault,
        });
    }
    broken.scheduled_actions.sort_by_key(|a| a.at);
    Ok(broken)
}

/// What is done to processes, if the table's kind is one of these.
fn action(
    source: &Source<'_>,
    table: &NetworkFaultFile,
) -> Result<Option<MemberAction>, ScenarioError> {
    let back = back(source, table)?;
    let folder = folder(source, table)?;
    Ok(match table.kind.get_ref().as_str() {
        "stop" => Some(MemberAction::Stop {
            duration: duration(source, table)?,
        }),
        "kill" => Some(MemberAction::Kill { back, folder }),
        "term" => Some(MemberAction::Term { back, folder }),
        "upgrade" => {
            let after = table.after.map_or(Duration::ZERO, |a| a.0);
            Some(MemberAction::Upgrade {
                kill: killed_process(source, table)?.map(|which| (which, after)),
            })
        }
        _ => None,
    })
}

fn duration(source: &Source<'_>, table: &NetworkFaultFile) -> Result<Duration, ScenarioError> {
    let duration = table.duration.map(|l| l.0);
    duration.ok_or_else(|| source.error(&table.kind, "it says for how long: lasts"))
}

fn back(source: &Source<'_>, table: &NetworkFaultFile) -> Result<Option<Duration>, ScenarioError> {
    let Some(back) = &table.back else {
        return Ok(Some(RESTART_AFTER));
    };
    match back.get_ref() {
        Back::After(span) => Ok(Some(span.0)),
        Back::Keyword(keyword) if keyword == "never" => Ok(None),
        Back::Keyword(keyword) => {
            Err(source.error(back, format!("'{keyword}' is neither a span nor \"never\"")))
        }
    }
}

fn folder(source: &Source<'_>, table: &NetworkFaultFile) -> Result<Folder, ScenarioError> {
    match (table.wipe, table.cut_journal) {
        (true, true) => Err(source.error(&table.kind, "wipe and cut_journal exclude each other")),
        (true, false) => Ok(Folder::Wiped),
        (false, true) => Ok(Folder::Cut),
        (false, false) => Ok(Folder::Kept),
    }
}

/// Which of the two processes of an upgrade is killed.
fn killed_process(
    source: &Source<'_>,
    table: &NetworkFaultFile,
) -> Result<Option<Which>, ScenarioError> {
    let Some(kill) = &table.kill else {
        return Ok(None);
    };
    match kill.get_ref().as_str() {
        "old" => Ok(Some(Which::Old)),
        "new" => Ok(Some(Which::New)),
        other => Err(source.error(kill, format!("'{other}' is neither \"old\" nor \"new\""))),
    }
}

/// What happens to a way between senders or to destinations.
fn path_fault(source: &Source<'_>, table: &NetworkFaultFile) -> Result<PathFault, ScenarioError> {
    match table.kind.get_ref().as_str() {
        "cut" => Ok(PathFault::Cut),
        "stall" => Ok(PathFault::Stall),
        "reset" => Ok(PathFault::Reset),
        "drop" => {
            let share = table.share.as_ref();
            let share =
                share.ok_or_else(|| source.error(&table.kind, "it says how many: share"))?;
            Ok(PathFault::Drop {
                share: source.share(share, "share")?,
            })
        }
        "delay" => {
            let by = table
                .by
                .ok_or_else(|| source.error(&table.kind, "it says by how much: by"))?;
            Ok(PathFault::Delay { by: by.0 })
        }
        other => {
            let known = "cut, drop, delay, stall, reset, stop, kill, term or upgrade";
            Err(source.error(&table.kind, format!("'{other}' is not {known}")))
        }
    }
}

/// The other side of a way.
fn side(
    source: &Source<'_>,
    table: &NetworkFaultFile,
    from: &BTreeSet<usize>,
    count: usize,
    zones: &[String],
    rng: &mut ChaCha8Rng,
) -> Result<Side, ScenarioError> {
    let Some(who) = &table.to else {
        return Ok(Side::Senders((0..count).collect()));
    };
    match who.get_ref() {
        Who::Keyword(keyword) if keyword == "partners" => {
            let zone = table
                .zone
                .as_ref()
                .map(|name| source.zone(zones, name))
                .transpose()?;
            Ok(Side::Destinations(zone))
        }
        Who::Keyword(keyword) if keyword == "others" => Ok(Side::Senders(
            (0..count).filter(|n| !from.contains(n)).collect(),
        )),
        _ => Ok(Side::Senders(senders(source, who, count, rng)?)),
    }
}

/// The senders meant.
fn senders(
    source: &Source<'_>,
    who: &Spanned<Who>,
    count: usize,
    rng: &mut ChaCha8Rng,
) -> Result<BTreeSet<usize>, ScenarioError> {
    match who.get_ref() {
        Who::Keyword(keyword) if keyword == "all" => Ok((0..count).collect()),
        Who::Numbers(numbers) if numbers.iter().all(|n| *n < count) => {
            Ok(numbers.iter().copied().collect())
        }
        Who::Numbers(numbers) => {
            let why = format!("senders {numbers:?}: there are {count}, from 0");
            Err(source.error(who, why))
        }
        Who::Share(share) if (0.0..=1.0).contains(share) => {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(rng);
            all.truncate((share * count as f64).round() as usize);
            Ok(all.into_iter().collect())
        }
        Who::Share(share) => Err(source.error(who, format!("{share} is no share from 0 to 1"))),
        Who::Keyword(keyword) => {
            let known = "\"all\", numbers such as [0, 1], or a share such as 0.4";
            Err(source.error(who, format!("'{keyword}' is not {known}")))
        }
    }
}
