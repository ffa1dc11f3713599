//! What a day says of the fleet: how senders know each other, and what breaks between and under them.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use toml::Spanned;

use crate::day::{self, DayError, Reader, Span};

/// How the senders look after each other. Spans that are not given are the sender's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    pub period: Duration,
    pub round_trip: Duration,
    pub suspicion: Option<Duration>,
    pub hold: Duration,
    /// They come back by steps after a restart.
    pub recovery: bool,
    /// They leave zones, and return to them, together.
    pub zones: bool,
}

/// What happens to a way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// Nothing gets through.
    Cut,
    /// So many of the packets are lost; what a connection carries comes late instead.
    Drop { share: f64 },
    /// All is late by that.
    Delay { by: Duration },
    /// All is held, and comes at the end.
    Stall,
    /// Connections are reset as it begins.
    Reset,
}

/// The other side of a way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Side {
    Senders(BTreeSet<usize>),
    /// All endpoints, or those of one zone.
    Partners(Option<usize>),
}

/// Ways that are broken for a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    pub at: Duration,
    pub until: Duration,
    pub from: BTreeSet<usize>,
    pub to: Side,
    /// From one side to the other, and not back.
    pub one_way: bool,
    pub way: Way,
}

impl Break {
    /// Whether it is on the way from one sender to another.
    pub fn between(&self, from: usize, to: usize) -> bool {
        let Side::Senders(others) = &self.to else { return false };
        self.from.contains(&from) && others.contains(&to)
            || !self.one_way && self.from.contains(&to) && others.contains(&from)
    }

    /// Whether it is on the way from a sender to the endpoints of a zone, or back.
    pub fn at_partners(&self, sender: usize, zone: usize, back: bool) -> bool {
        let Side::Partners(only) = self.to else { return false };
        only.is_none_or(|only| only == zone) && self.from.contains(&sender) && !(back && self.one_way)
    }

    /// Whether it lies between senders.
    pub fn among_senders(&self) -> bool {
        matches!(self.to, Side::Senders(_))
    }

    pub fn lasts_at(&self, now: Duration) -> bool {
        self.at <= now && now < self.until
    }
}

/// What becomes of the folder that lasts, once its process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    Kept,
    Wiped,
    /// One of the journal's segments ends at a place that the seed draws.
    Cut,
}

/// Of two processes of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Which {
    Old,
    New,
}

/// What is done to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    /// SIGSTOP, and SIGCONT at the end.
    Stop { lasts: Duration },
    /// SIGKILL; started again so long after its end, or never.
    Kill { back: Option<Duration>, folder: Folder },
    /// SIGTERM; as before.
    Term { back: Option<Duration>, folder: Folder },
    /// Started a second time beside itself, over the same folder, as for a new version; one of the two may be killed so
    /// long after that.
    Upgrade { kill: Option<(Which, Duration)> },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Act {
    pub at: Duration,
    pub senders: BTreeSet<usize>,
    pub deed: Deed,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetFile {
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
    pub(crate) fn fleet(&self) -> Fleet {
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

/// Whom something is about: `all`, `others`, `partners`, numbers, or a share that the seed draws.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Who {
    Share(f64),
    Numbers(Vec<usize>),
    Word(String),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BreakFile {
    kind: Spanned<String>,
    at: Spanned<Span>,
    lasts: Option<Span>,
    #[serde(alias = "senders")]
    from: Option<Spanned<Who>>,
    to: Option<Spanned<Who>>,
    /// With `to = "partners"`: only to endpoints of this zone.
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

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Back {
    After(Span),
    Word(String),
}

/// The senders meant.
fn senders(
    reader: &Reader<'_>,
    who: &Spanned<Who>,
    count: usize,
    rng: &mut ChaCha8Rng,
) -> Result<BTreeSet<usize>, DayError> {
    match who.get_ref() {
        Who::Word(word) if word == "all" => Ok((0..count).collect()),
        Who::Numbers(numbers) if numbers.iter().all(|n| *n < count) => Ok(numbers.iter().copied().collect()),
        Who::Numbers(numbers) => {
            let why = format!("senders {numbers:?}: there are {count}, from 0");
            Err(reader.error(who, why))
        }
        Who::Share(share) if (0.0..=1.0).contains(share) => {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(rng);
            all.truncate((share * count as f64).round() as usize);
            Ok(all.into_iter().collect())
        }
        Who::Share(share) => Err(reader.error(who, format!("{share} is no share from 0 to 1"))),
        Who::Word(word) => {
            let known = "\"all\", numbers such as [0, 1], or a share such as 0.4";
            Err(reader.error(who, format!("'{word}' is not {known}")))
        }
    }
}

/// What is broken and done, in the file's order, which is the order in which the seed draws.
pub(crate) fn read(
    reader: &Reader<'_>,
    file: &[BreakFile],
    count: usize,
    zones: &[String],
    rng: &mut ChaCha8Rng,
) -> Result<(Vec<Break>, Vec<Act>), DayError> {
    let (mut breaks, mut acts) = (Vec::new(), Vec::new());
    for one in file {
        let at = one.at.get_ref().0;
        let from = match &one.from {
            Some(who) => senders(reader, who, count, rng)?,
            None => (0..count).collect(),
        };
        let lasts =
            || one.lasts.map(|l| l.0).ok_or_else(|| reader.error(&one.kind, "it says for how long: lasts"));
        let back = match &one.back {
            None => Some(Duration::from_millis(600)),
            Some(back) => match back.get_ref() {
                Back::After(span) => Some(span.0),
                Back::Word(word) if word == "never" => None,
                Back::Word(word) => {
                    return Err(reader.error(back, format!("'{word}' is neither a span nor \"never\"")));
                }
            },
        };
        let folder = match (one.wipe, one.cut_journal) {
            (true, true) => return Err(reader.error(&one.kind, "wipe and cut_journal exclude each other")),
            (true, false) => Folder::Wiped,
            (false, true) => Folder::Cut,
            (false, false) => Folder::Kept,
        };
        let deed = match one.kind.get_ref().as_str() {
            "stop" => Some(Deed::Stop { lasts: lasts()? }),
            "kill" => Some(Deed::Kill { back, folder }),
            "term" => Some(Deed::Term { back, folder }),
            "upgrade" => {
                let which = match one.kill.as_ref().map(|k| (k, k.get_ref().as_str())) {
                    None => None,
                    Some((_, "old")) => Some(Which::Old),
                    Some((_, "new")) => Some(Which::New),
                    Some((place, other)) => {
                        return Err(reader.error(place, format!("'{other}' is neither \"old\" nor \"new\"")));
                    }
                };
                let after = one.after.map_or(Duration::ZERO, |a| a.0);
                Some(Deed::Upgrade { kill: which.map(|w| (w, after)) })
            }
            _ => None,
        };
        if let Some(deed) = deed {
            acts.push(Act { at, senders: from, deed });
            continue;
        }
        let way = match one.kind.get_ref().as_str() {
            "cut" => Way::Cut,
            "stall" => Way::Stall,
            "reset" => Way::Reset,
            "drop" => {
                let share =
                    one.share.as_ref().ok_or_else(|| reader.error(&one.kind, "it says how many: share"))?;
                Way::Drop { share: reader.share(share, "share")? }
            }
            "delay" => {
                let by = one.by.ok_or_else(|| reader.error(&one.kind, "it says by how much: by"))?;
                Way::Delay { by: by.0 }
            }
            other => {
                let known = "cut, drop, delay, stall, reset, stop, kill, term or upgrade";
                return Err(reader.error(&one.kind, format!("'{other}' is not {known}")));
            }
        };
        let until = at + if way == Way::Reset { Duration::from_millis(1) } else { lasts()? };
        let to = match &one.to {
            None => Side::Senders((0..count).collect()),
            Some(who) => match who.get_ref() {
                Who::Word(word) if word == "partners" => {
                    Side::Partners(one.zone.as_ref().map(|name| day::zone(reader, zones, name)).transpose()?)
                }
                Who::Word(word) if word == "others" => {
                    Side::Senders((0..count).filter(|n| !from.contains(n)).collect())
                }
                _ => Side::Senders(senders(reader, who, count, rng)?),
            },
        };
        breaks.push(Break { at, until, from, to, one_way: one.one_way, way });
    }
    acts.sort_by_key(|a| a.at);
    Ok((breaks, acts))
}
