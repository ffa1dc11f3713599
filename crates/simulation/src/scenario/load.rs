//! Reads the load of a scenario file: the rate of messages, and their distribution over destinations.

use std::time::Duration;

use super::destinations::{TenantShare, named, table_count};
use super::error::{ScenarioError, ScenarioProblem};
use super::file::{File, HotFile};
use super::source::Source;
use super::types::Member;
use crate::clients::{self, Hot, Load, Target, zipf};
use crate::limit::Limit;

/// Default share of the messages that arrive in clumps.
const DEFAULT_CLUMPS: f64 = 0.1;
/// Default smallest and largest size of a clump, as time at the rate that its destination admits.
const DEFAULT_CLUMP: (Duration, Duration) =
    (Duration::from_millis(1200), Duration::from_millis(3500));
/// Default exponent of Zipf's law for the weights of a tenant's destinations.
const DEFAULT_ZIPF: f64 = 1.0;
/// Default smallest and largest size of a body, in bytes.
const DEFAULT_BODY: (usize, usize) = (80, 400);
/// Default largest number of resubmissions of a message.
const DEFAULT_RETRIES: u32 = 3;
/// Wait of clients before a resubmission if the rejection states none.
const RESUBMISSION_DELAY: Duration = Duration::from_millis(500);
/// Timeout of clients for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads the load. `push` is the index of the first class of Web Push posts, if there are push services.
pub(super) fn read(
    source: &Source<'_>,
    file: &File,
    destinations: &[Member],
    tenants: &[TenantShare],
    classes: Vec<clients::Class>,
    push: Option<usize>,
) -> Result<Load, ScenarioError> {
    let rate = file.load.rate.get_ref().0;
    if rate <= 0.0 {
        return Err(source.error(&file.load.rate, ScenarioProblem::NoLoad));
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
        .map_or(DEFAULT_CLUMP, |(least, most)| (least.0, most.0));
    Ok(Load {
        rate,
        tenants: tenants.iter().map(|tenant| tenant.share).collect(),
        targets: targets(file, destinations, tenants.len()),
        classes,
        push,
        clumps: clumps.unwrap_or(DEFAULT_CLUMPS),
        clump: (clump.0.as_secs_f64(), clump.1.as_secs_f64()),
        hot,
        body: file.load.body.unwrap_or(DEFAULT_BODY),
        retries: file.load.retries.unwrap_or(DEFAULT_RETRIES),
        pause: RESUBMISSION_DELAY,
        patience: ANSWER_TIMEOUT,
        until: file.duration.get_ref().0,
    })
}

fn targets(file: &File, destinations: &[Member], tenants: usize) -> Vec<Target> {
    let weights = weights(file, destinations, tenants);
    let target = |(n, member): (usize, &Member)| Target {
        destination: n as u64,
        tenant: member.tenant,
        weight: weights[n],
        max_rate: max_rate(member),
        push: member.push,
    };
    destinations.iter().enumerate().map(target).collect()
}

/// The weights of all destinations: from the file, or else by Zipf's law within each tenant.
fn weights(file: &File, destinations: &[Member], tenants: usize) -> Vec<f64> {
    let mut given: Vec<Option<f64>> = Vec::new();
    for table in &file.destination {
        given.extend(std::iter::repeat_n(table.weight, table_count(table)));
    }
    let mut weights = vec![0.0; destinations.len()];
    for tenant in 0..tenants {
        let of_tenant: Vec<usize> = (0..destinations.len())
            .filter(|&n| destinations[n].tenant == tenant)
            .collect();
        let exponent = file.load.zipf.unwrap_or(DEFAULT_ZIPF);
        let by_rank = zipf(of_tenant.len(), exponent);
        for (&destination, weight) in of_tenant.iter().zip(by_rank) {
            weights[destination] = given[destination].unwrap_or(weight);
        }
    }
    weights
}

/// Messages per second that a destination admits: the smaller of its limit and its capacity.
fn max_rate(member: &Member) -> f64 {
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
    let mut numbers = Vec::new();
    for name in &table.destinations {
        let indexes = named(source, destinations, name)?;
        numbers.extend(indexes.into_iter().map(|n| n as u64));
    }
    let share = source.share(&table.share, "share")?;
    if numbers.is_empty() {
        return Err(source.error(&table.share, ScenarioProblem::HotDestinations));
    }
    Ok(Hot {
        start: table.at.0,
        length: table.duration.0,
        destinations: numbers,
        share,
    })
}
