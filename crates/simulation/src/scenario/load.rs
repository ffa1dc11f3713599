//! The load: how many messages come, for whom, and when more.

use std::time::Duration;

use super::destinations::{TenantShare, named, table_count};
use super::file::{File, HotFile};
use super::source::{ScenarioError, Source};
use super::types::Member;
use crate::clients::{self, Hot, Load, Target, zipf};
use crate::limit::Limit;

/// What a file's `[load]` leaves open.
const CLUMPS: f64 = 0.1;
const CLUMP: (Duration, Duration) = (Duration::from_millis(1200), Duration::from_millis(3500));
const ZIPF: f64 = 1.0;
const BODY: (usize, usize) = (80, 400);
const RETRIES: u32 = 3;
/// How clients behave on every day: their wait after a refusal without one, and how long they wait for an answer.
const PAUSE: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(400);

/// The load of a day that lasts so long.
pub(super) fn read(
    source: &Source<'_>,
    file: &File,
    destinations: &[Member],
    tenants: &[TenantShare],
    classes: Vec<clients::Class>,
    duration: Duration,
) -> Result<Load, ScenarioError> {
    let rate = file.load.rate.get_ref().0;
    if rate <= 0.0 {
        return Err(source.error(&file.load.rate, "there is some load"));
    }
    let hot = file
        .hot
        .iter()
        .map(|table| hot(source, table, destinations))
        .collect::<Result<_, _>>()?;
    let clumps = file
        .load
        .clumps
        .as_ref()
        .map(|c| source.share(c, "clumps"))
        .transpose()?;
    let clump = file
        .load
        .clump
        .map_or(CLUMP, |(least, most)| (least.0, most.0));
    Ok(Load {
        rate,
        tenants: tenants.iter().map(|s| s.share).collect(),
        targets: targets(file, destinations, tenants.len()),
        classes,
        push: None,
        clumps: clumps.unwrap_or(CLUMPS),
        clump: (clump.0.as_secs_f64(), clump.1.as_secs_f64()),
        hot,
        body: file.load.body.unwrap_or(BODY),
        retries: file.load.retries.unwrap_or(RETRIES),
        pause: PAUSE,
        patience: PATIENCE,
        until: duration,
    })
}

fn targets(file: &File, destinations: &[Member], tenants: usize) -> Vec<Target> {
    let weights = weights(file, destinations, tenants);
    let target = |(n, member): (usize, &Member)| Target {
        destination: n as u64,
        tenant: member.tenant,
        weight: weights[n],
        takes: rate_taken(member),
        push: member.push,
    };
    destinations.iter().enumerate().map(target).collect()
}

/// Within a tenant the first destination takes most, by Zipf's law, unless the file gives weights.
fn weights(file: &File, destinations: &[Member], tenants: usize) -> Vec<f64> {
    let mut given: Vec<Option<f64>> = Vec::new();
    for table in &file.destination {
        given.extend(std::iter::repeat_n(table.weight, table_count(table)));
    }
    let mut weights = vec![0.0; destinations.len()];
    for tenant in 0..tenants {
        let of: Vec<usize> = (0..destinations.len())
            .filter(|&n| destinations[n].tenant == tenant)
            .collect();
        for (&destination, weight) in of
            .iter()
            .zip(zipf(of.len(), file.load.zipf.unwrap_or(ZIPF)))
        {
            weights[destination] = given[destination].unwrap_or(weight);
        }
    }
    weights
}

/// Messages a second that a destination takes.
fn rate_taken(member: &Member) -> f64 {
    let capacity = member.spec.capacity;
    match member.spec.limit {
        Limit::None => capacity,
        Limit::Rate { per_second, .. } => per_second.min(capacity),
        Limit::Count { calls, span } => {
            (f64::from(calls) * member.spec.batch as f64 / span.as_secs_f64()).min(capacity)
        }
    }
}

fn hot(
    source: &Source<'_>,
    table: &HotFile,
    destinations: &[Member],
) -> Result<Hot, ScenarioError> {
    let mut drawn = Vec::new();
    for name in &table.destinations {
        drawn.extend(
            named(source, destinations, name)?
                .into_iter()
                .map(|n| n as u64),
        );
    }
    let share = source.share(&table.share, "share")?;
    if drawn.is_empty() {
        return Err(source.error(&table.share, "partners are named for it"));
    }
    Ok(Hot {
        start: table.at.0,
        length: table.duration.0,
        destinations: drawn,
        share,
    })
}
