//! Destinations with their tenants, kinds and zones.

use std::collections::BTreeSet;

use toml::Spanned;

use super::file::{DestinationFile, File};
use super::source::{ScenarioError, Source};
use super::types::Member;
use crate::destination::Spec;
use crate::limit::Limit;

/// Endpoints of all destinations together, and destinations that one table makes.
const ENDPOINTS_MOST: usize = 100_000;
/// Endpoints of one destination.
const MAX_DESTINATION_ENDPOINTS: usize = 64;
/// Messages that one call may hold.
const BATCH_MOST: usize = 64;

/// A tenant, and its share of the load.
pub(super) struct TenantShare {
    pub name: String,
    pub share: f64,
}

/// The file's tenants; one of them if it names none.
pub(super) fn tenants(file: &File) -> Vec<TenantShare> {
    if file.tenant.is_empty() {
        return vec![TenantShare {
            name: "onda-central".into(),
            share: 1.0,
        }];
    }
    let tenant = |s: &super::file::Tenant| TenantShare {
        name: s.name.get_ref().clone(),
        share: s.share,
    };
    file.tenant.iter().map(tenant).collect()
}

/// The names of the day's zones, in the order in which destinations name them.
pub(super) fn zones(file: &File) -> Vec<String> {
    let mut zones: Vec<String> = Vec::new();
    for name in file.destination.iter().flat_map(|p| &p.zones) {
        if !zones.contains(name) {
            zones.push(name.clone());
        }
    }
    if zones.is_empty() {
        vec!["z".into()]
    } else {
        zones
    }
}

/// The kinds of destinations that the directory lists.
pub(super) fn kinds(destinations: &[Member]) -> Vec<String> {
    let mut kinds: Vec<String> = Vec::new();
    for member in destinations {
        if !member.push && !kinds.contains(&member.kind) {
            kinds.push(member.kind.clone());
        }
    }
    kinds
}

/// All destinations of a file: a table makes one, or `count` of them.
pub(super) fn read(
    source: &Source<'_>,
    file: &File,
    tenants: &[TenantShare],
    zones: &[String],
) -> Result<Vec<Member>, ScenarioError> {
    let mut members: Vec<Member> = Vec::new();
    let mut names = BTreeSet::new();
    for table in &file.destination {
        let member = member(source, table, members.len(), tenants, zones)?;
        for n in 0..count(source, table)? {
            let base = table.name.get_ref();
            let name = if table.count.is_some() {
                format!("{base}-{n}")
            } else {
                base.clone()
            };
            if !names.insert(name.clone()) {
                return Err(source.error(&table.name, format!("there are two partners '{name}'")));
            }
            members.push(Member {
                name,
                ..member.clone()
            });
        }
    }
    if members.is_empty() {
        return Err(ScenarioError {
            line: 1,
            why: "a day has partners: [[partner]]".into(),
        });
    }
    Ok(members)
}

/// An error if a day has more endpoints than can be played.
pub(super) fn check_total(destinations: &[Member]) -> Result<(), ScenarioError> {
    let total: usize = destinations.iter().map(|m| m.spec.endpoints).sum();
    if total > ENDPOINTS_MOST {
        return Err(ScenarioError {
            line: 1,
            why: format!("{total} endpoints; {ENDPOINTS_MOST} at most"),
        });
    }
    Ok(())
}

/// The destinations of that name, or of that name with a number behind.
pub(super) fn named(
    source: &Source<'_>,
    destinations: &[Member],
    name: &Spanned<String>,
) -> Result<Vec<usize>, ScenarioError> {
    let wanted = name.get_ref();
    let is = |m: &Member| {
        let number = m
            .name
            .strip_prefix(wanted.as_str())
            .and_then(|rest| rest.strip_prefix('-'));
        m.name == *wanted
            || number.is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
    };
    let found: Vec<usize> = destinations
        .iter()
        .enumerate()
        .filter(|(_, m)| is(m))
        .map(|(n, _)| n)
        .collect();
    if found.is_empty() {
        return Err(source.error(name, format!("no partner '{wanted}'")));
    }
    Ok(found)
}

/// How many destinations a table makes.
pub(super) fn table_count(table: &DestinationFile) -> usize {
    table.count.as_ref().map_or(1, |c| *c.get_ref())
}

fn count(source: &Source<'_>, table: &DestinationFile) -> Result<usize, ScenarioError> {
    let count = table_count(table);
    if let Some(at) = table
        .count
        .as_ref()
        .filter(|_| !(1..=ENDPOINTS_MOST).contains(&count))
    {
        return Err(source.error(at, format!("count is from 1 to {ENDPOINTS_MOST}")));
    }
    Ok(count)
}

/// What the destinations of one table have in common. Their tenants go round unless one is named.
fn member(
    source: &Source<'_>,
    table: &DestinationFile,
    index: usize,
    tenants: &[TenantShare],
    zones: &[String],
) -> Result<Member, ScenarioError> {
    let tenant = match &table.tenant {
        None => index % tenants.len(),
        Some(name) => tenants
            .iter()
            .position(|s| s.name == *name.get_ref())
            .ok_or_else(|| source.error(name, format!("no station '{}'", name.get_ref())))?,
    };
    let spec = spec(source, table)?;
    let push = table.push.as_ref().is_some_and(|p| *p.get_ref());
    if let Some(at) = table
        .push
        .as_ref()
        .filter(|_| push && (spec.batch > 1 || !spec.shared))
    {
        return Err(source.error(
            at,
            "a push service takes no batches, and its endpoints share its limit",
        ));
    }
    let usual_kind = if push { "push" } else { "station" };
    Ok(Member {
        name: table.name.get_ref().clone(),
        kind: table
            .kind
            .as_ref()
            .map_or_else(|| usual_kind.into(), |k| k.get_ref().clone()),
        tenant,
        push,
        faults: vec![Vec::new(); spec.endpoints],
        zones: endpoint_zones(table, spec.endpoints, zones),
        spec,
    })
}

fn spec(source: &Source<'_>, table: &DestinationFile) -> Result<Spec, ScenarioError> {
    let set = Spec::default();
    let endpoints = table.endpoints.as_ref().map_or(1, |e| *e.get_ref());
    if let Some(at) = table
        .endpoints
        .as_ref()
        .filter(|_| !(1..=MAX_DESTINATION_ENDPOINTS).contains(&endpoints))
    {
        return Err(source.error(at, "a partner has 1 to 64 endpoints"));
    }
    let capacity = table
        .capacity
        .as_ref()
        .map_or(set.capacity, |c| c.get_ref().0);
    if let Some(at) = table.capacity.as_ref().filter(|_| capacity <= 0.0) {
        return Err(source.error(at, "a partner can do something"));
    }
    let sends_retry_after = match &table.sends_retry_after {
        Some(share) => source.share(share, "tells_wait")?,
        None => set.sends_retry_after,
    };
    Ok(Spec {
        endpoints,
        shared: table.shared.unwrap_or(true),
        limit: table.limit.map_or(Limit::None, |l| l.0),
        charge_refused: table.charge_refused,
        capacity,
        queue: table.queue.unwrap_or(set.queue),
        pace: table.pace.map_or(set.pace, |p| p.0),
        spread: table.spread.unwrap_or(set.spread),
        connections: table.connections,
        sends_retry_after,
        wait: table.wait.map_or(set.wait, |(a, b)| (a.0, b.0)),
        batch: table.batch.unwrap_or(1).clamp(1, BATCH_MOST),
        item_cost: table.item_cost.unwrap_or(set.item_cost),
        reports: table.reports.map(|r| r.0),
        back: set.back,
    })
}

/// The zone of each endpoint: those that the table names, in turn.
fn endpoint_zones(table: &DestinationFile, endpoints: usize, zones: &[String]) -> Vec<usize> {
    let named = (0..endpoints).map(|e| table.zones.get(e % table.zones.len().max(1)));
    named
        .map(|name| zones.iter().position(|z| Some(z) == name).unwrap_or(0))
        .collect()
}
