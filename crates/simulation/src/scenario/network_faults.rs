//! Reads the `[[break]]` tables of a scenario file: faults of network paths, and actions on senders' processes.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use toml::Spanned;

use super::error::{ScenarioError, ScenarioProblem};
use super::fleet_tables::{NetworkFaultFile, SenderSelection};
use super::process_actions;
use super::source::Source;
use crate::fleet::{NetworkFault, PathFault, ScheduledAction, Side};

/// Duration of a reset: it happens at an instant, but a fault must have a duration to be active.
const RESET_DURATION: Duration = Duration::from_millis(1);

/// The contents of all `[[break]]` tables of a file.
#[derive(Debug, Default)]
pub(super) struct FleetFaults {
    /// Faults of network paths, in the order of the file.
    pub(super) network_faults: Vec<NetworkFault>,
    /// Actions on processes, in the order of time.
    pub(super) scheduled_actions: Vec<ScheduledAction>,
}

/// Reads all `[[break]]` tables. The order of the file is the order of the random draws, so it must be kept.
pub(super) fn read(
    source: &Source<'_>,
    tables: &[NetworkFaultFile],
    members: usize,
    zones: &[String],
    rng: &mut ChaCha8Rng,
) -> Result<FleetFaults, ScenarioError> {
    let mut faults = FleetFaults::default();
    for table in tables {
        let at = table.at.get_ref().0;
        let from = match &table.from {
            Some(selection) => senders(source, selection, members, rng)?,
            None => (0..members).collect(),
        };
        if let Some(action) = process_actions::read(source, table)? {
            faults.scheduled_actions.push(ScheduledAction {
                at,
                senders: from,
                action,
            });
            continue;
        }
        let path_fault = path_fault(source, table)?;
        let duration = match path_fault {
            PathFault::Reset => RESET_DURATION,
            _ => table.duration(source)?,
        };
        let to = side(source, table, &from, members, zones, rng)?;
        faults.network_faults.push(NetworkFault {
            at,
            until: at + duration,
            from,
            to,
            one_way: table.one_way,
            path_fault,
        });
    }
    faults.scheduled_actions.sort_by_key(|a| a.at);
    Ok(faults)
}

fn path_fault(source: &Source<'_>, table: &NetworkFaultFile) -> Result<PathFault, ScenarioError> {
    let error = |problem| source.error(&table.kind, problem);
    match table.kind.get_ref().as_str() {
        "cut" => Ok(PathFault::Cut),
        "stall" => Ok(PathFault::Stall),
        "reset" => Ok(PathFault::Reset),
        "drop" => {
            let missing = || error(ScenarioProblem::ShareMissing);
            let share = table.share.as_ref().ok_or_else(missing)?;
            let share = source.share(share, "share")?;
            Ok(PathFault::Drop { share })
        }
        "delay" => {
            let missing = || error(ScenarioProblem::DelayMissing);
            let by = table.by.ok_or_else(missing)?;
            Ok(PathFault::Delay { by: by.0 })
        }
        other => {
            let kind = other.to_owned();
            Err(error(ScenarioProblem::NetworkFaultKind { kind }))
        }
    }
}

/// Reads the other side of the path; by default, all senders.
fn side(
    source: &Source<'_>,
    table: &NetworkFaultFile,
    from: &BTreeSet<usize>,
    members: usize,
    zones: &[String],
    rng: &mut ChaCha8Rng,
) -> Result<Side, ScenarioError> {
    let Some(selection) = &table.to else {
        return Ok(Side::Senders((0..members).collect()));
    };
    match selection.get_ref() {
        SenderSelection::Keyword(keyword) if keyword == "partners" => {
            let zone = table.zone.as_ref();
            let zone = zone.map(|name| source.zone(zones, name)).transpose()?;
            Ok(Side::Destinations(zone))
        }
        SenderSelection::Keyword(keyword) if keyword == "others" => {
            let others = (0..members).filter(|n| !from.contains(n));
            Ok(Side::Senders(others.collect()))
        }
        _ => Ok(Side::Senders(senders(source, selection, members, rng)?)),
    }
}

/// The numbers of the selected senders. A share is drawn from the seed.
fn senders(
    source: &Source<'_>,
    selection: &Spanned<SenderSelection>,
    members: usize,
    rng: &mut ChaCha8Rng,
) -> Result<BTreeSet<usize>, ScenarioError> {
    let error = |problem| Err(source.error(selection, problem));
    match selection.get_ref() {
        SenderSelection::Keyword(keyword) if keyword == "all" => Ok((0..members).collect()),
        SenderSelection::Numbers(numbers) if numbers.iter().all(|n| *n < members) => {
            Ok(numbers.iter().copied().collect())
        }
        SenderSelection::Numbers(numbers) => error(ScenarioProblem::SenderNumbers {
            numbers: numbers.clone(),
            senders: members,
        }),
        SenderSelection::Share(share) if (0.0..=1.0).contains(share) => {
            let mut all: Vec<usize> = (0..members).collect();
            all.shuffle(rng);
            all.truncate((share * members as f64).round() as usize);
            Ok(all.into_iter().collect())
        }
        SenderSelection::Share(share) => error(ScenarioProblem::SenderShare { share: *share }),
        SenderSelection::Keyword(keyword) => error(ScenarioProblem::SenderKeyword {
            keyword: keyword.clone(),
        }),
    }
}
