//! Reads the `[[fault]]` tables of a scenario file: faults of endpoints.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::destinations::named;
use super::error::{ScenarioError, ScenarioProblem};
use super::file::{FaultFile, File};
use super::source::Source;
use super::types::Member;
use crate::fault::{Fault, Kind};

/// Default shortest and longest timeout of idle connections.
const DEFAULT_CLOSE_IDLE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(3));

/// Default shortest and longest delay of a reply's second copy.
const DEFAULT_REPEAT_DELAY: (Duration, Duration) = (Duration::ZERO, Duration::from_millis(10));

/// Reads all faults and adds them to the endpoints of the destinations. The order of the file is the order of the random
/// draws, so it must be kept.
pub(super) fn read(
    source: &Source<'_>,
    file: &File,
    destinations: &mut [Member],
    zones: &[String],
    rng: &mut ChaCha8Rng,
) -> Result<(), ScenarioError> {
    for table in &file.fault {
        let kind = kind(source, table)?;
        let affected = affected_destinations(source, table, destinations)?;
        let part = table
            .part
            .as_ref()
            .map(|p| source.share(p, "part"))
            .transpose()?
            .unwrap_or(1.0);
        let of_zone = table
            .of_zone
            .as_ref()
            .map(|name| source.zone(zones, name))
            .transpose()?;
        let fault = Fault {
            kind,
            start: table.at.get_ref().0,
            length: table.duration.0,
        };
        for destination in affected {
            let member = &mut destinations[destination];
            for (endpoint, faults) in member.faults.iter_mut().enumerate() {
                let numbers = table.endpoints.as_ref();
                let in_numbers = numbers.is_none_or(|numbers| numbers.contains(&endpoint));
                let in_zone = of_zone.is_none_or(|zone| member.zones[endpoint] == zone);
                if in_numbers && in_zone && (part >= 1.0 || rng.random_bool(part)) {
                    faults.push(fault);
                }
            }
        }
    }
    Ok(())
}

fn kind(source: &Source<'_>, table: &FaultFile) -> Result<Kind, ScenarioError> {
    let share = table
        .share
        .as_ref()
        .map(|s| source.share(s, "share"))
        .transpose()?;
    match table.kind.get_ref().as_str() {
        "vanish" => Ok(Kind::Vanish),
        "refuse" => Ok(Kind::Refuse),
        "silent" => Ok(Kind::Silent),
        "shut" => Ok(Kind::Closed),
        "fail" => Ok(Kind::Fail {
            share: share.unwrap_or(1.0),
        }),
        "spoil" => Ok(Kind::Spoil {
            share: share.unwrap_or(1.0),
        }),
        "slow" => Ok(Kind::Slow {
            factor: table.factor.unwrap_or(2.0).max(0.0),
        }),
        "lower" => Ok(Kind::Lower {
            factor: table.factor.unwrap_or(0.5).clamp(0.0, 1.0),
        }),
        "repeat" => {
            let (least, most) = table
                .after
                .map_or(DEFAULT_REPEAT_DELAY, |(least, most)| (least.0, most.0));
            Ok(Kind::Repeat {
                share: share.unwrap_or(1.0),
                least,
                most,
            })
        }
        "close-idle" => {
            let (least, most) = table
                .after
                .map_or(DEFAULT_CLOSE_IDLE, |(least, most)| (least.0, most.0));
            Ok(Kind::CloseIdle { least, most })
        }
        other => {
            let kind = other.to_owned();
            Err(source.error(&table.kind, ScenarioProblem::FaultKind { kind }))
        }
    }
}

/// The indexes of the destinations that a fault affects, without duplicates: those with a given name or kind, or all
/// destinations if the table has neither.
fn affected_destinations(
    source: &Source<'_>,
    table: &FaultFile,
    destinations: &[Member],
) -> Result<Vec<usize>, ScenarioError> {
    let mut affected = Vec::new();
    for name in &table.destinations {
        affected.extend(named(source, destinations, name)?);
    }
    if let Some(kind) = &table.of_kind {
        let of_kind = destinations
            .iter()
            .enumerate()
            .filter(|(_, m)| m.kind == *kind.get_ref());
        let found: Vec<usize> = of_kind.map(|(n, _)| n).collect();
        if found.is_empty() {
            let name = kind.get_ref().clone();
            return Err(source.error(kind, ScenarioProblem::UnknownKind { kind: name }));
        }
        affected.extend(found);
    }
    if table.destinations.is_empty() && table.of_kind.is_none() {
        affected.extend(0..destinations.len());
    }
    affected.sort_unstable();
    affected.dedup();
    Ok(affected)
}
