//! Reads the destinations of a scenario file, with their tenants, kinds and zones.

use std::collections::BTreeSet;

use toml::Spanned;

use super::bounds::{MAX_CALL_MESSAGES, MAX_DESTINATION_ENDPOINTS, MAX_ENDPOINTS};
use super::error::{ScenarioError, ScenarioProblem};
use super::file::{DestinationFile, File, Tenant};
use super::source::Source;
use super::types::Member;
use crate::destination::Spec;
use crate::limit::Limit;

/// A tenant and its weight in the load.
pub(super) struct TenantShare {
    pub(super) name: String,
    pub(super) share: f64,
}

/// The tenants of a file, or a default one if it has none.
pub(super) fn tenants(file: &File) -> Vec<TenantShare> {
    if file.tenant.is_empty() {
        return vec![TenantShare {
            name: "onda-central".into(),
            share: 1.0,
        }];
    }
    let tenant = |table: &Tenant| TenantShare {
        name: table.name.get_ref().clone(),
        share: table.share,
    };
    file.tenant.iter().map(tenant).collect()
}

/// The names of the zones, in the order of their first use in the file; a default one if it has none.
pub(super) fn zones(file: &File) -> Vec<String> {
    let mut zones: Vec<String> = Vec::new();
    for name in file.destination.iter().flat_map(|table| &table.zones) {
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

/// The distinct kinds of the destinations that discovery lists.
pub(super) fn kinds(destinations: &[Member]) -> Vec<String> {
    let mut kinds: Vec<String> = Vec::new();
    for member in destinations {
        if !member.push && !kinds.contains(&member.kind) {
            kinds.push(member.kind.clone());
        }
    }
    kinds
}

/// Reads all destinations of a file. A table defines one destination, or `count` of them.
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
                let problem = ScenarioProblem::DuplicateDestination { name };
                return Err(source.error(&table.name, problem));
            }
            members.push(Member {
                name,
                ..member.clone()
            });
        }
    }
    if members.is_empty() {
        return Err(ScenarioError::in_file(ScenarioProblem::NoDestinations));
    }
    Ok(members)
}

/// Checks that the total number of endpoints is within its bound.
pub(super) fn check_total(destinations: &[Member]) -> Result<(), ScenarioError> {
    let total: usize = destinations.iter().map(|m| m.spec.endpoints).sum();
    if total > MAX_ENDPOINTS {
        let problem = ScenarioProblem::TotalEndpoints { total };
        return Err(ScenarioError::in_file(problem));
    }
    Ok(())
}

/// Finds the indexes of the destinations with this name, or with this name and a number appended (`name-0`).
pub(super) fn named(
    source: &Source<'_>,
    destinations: &[Member],
    name: &Spanned<String>,
) -> Result<Vec<usize>, ScenarioError> {
    let wanted = name.get_ref();
    let matches = |member: &Member| {
        let number = member
            .name
            .strip_prefix(wanted.as_str())
            .and_then(|rest| rest.strip_prefix('-'));
        member.name == *wanted
            || number.is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
    };
    let found: Vec<usize> = destinations
        .iter()
        .enumerate()
        .filter(|(_, member)| matches(member))
        .map(|(index, _)| index)
        .collect();
    if found.is_empty() {
        let wanted = wanted.clone();
        let problem = ScenarioProblem::UnknownDestination { name: wanted };
        return Err(source.error(name, problem));
    }
    Ok(found)
}

/// The number of destinations that a table defines, unchecked.
pub(super) fn table_count(table: &DestinationFile) -> usize {
    table.count.as_ref().map_or(1, |c| *c.get_ref())
}

/// The number of destinations that a table defines, checked against its bound.
fn count(source: &Source<'_>, table: &DestinationFile) -> Result<usize, ScenarioError> {
    let count = table_count(table);
    match &table.count {
        Some(place) if !(1..=MAX_ENDPOINTS).contains(&count) => {
            Err(source.error(place, ScenarioProblem::DestinationCount))
        }
        _ => Ok(count),
    }
}

/// The destination that a table defines. A table without a tenant is assigned one in rotation.
fn member(
    source: &Source<'_>,
    table: &DestinationFile,
    index: usize,
    tenants: &[TenantShare],
    zones: &[String],
) -> Result<Member, ScenarioError> {
    let tenant = match &table.tenant {
        None => index % tenants.len(),
        Some(name) => named_tenant(source, tenants, name)?,
    };
    let spec = spec(source, table)?;
    let push = table.push.as_ref().filter(|push| *push.get_ref());
    if let Some(place) = push
        && (spec.batch > 1 || !spec.shared)
    {
        return Err(source.error(place, ScenarioProblem::PushService));
    }
    let push = push.is_some();
    let default_kind = if push { "push" } else { "station" };
    Ok(Member {
        name: table.name.get_ref().clone(),
        kind: table
            .kind
            .as_ref()
            .map_or_else(|| default_kind.into(), |k| k.get_ref().clone()),
        tenant,
        push,
        faults: vec![Vec::new(); spec.endpoints],
        zones: endpoint_zones(table, spec.endpoints, zones),
        spec,
    })
}

fn named_tenant(
    source: &Source<'_>,
    tenants: &[TenantShare],
    name: &Spanned<String>,
) -> Result<usize, ScenarioError> {
    let index = tenants.iter().position(|t| t.name == *name.get_ref());
    index.ok_or_else(|| {
        let wanted = name.get_ref().clone();
        source.error(name, ScenarioProblem::UnknownTenant { name: wanted })
    })
}

fn spec(source: &Source<'_>, table: &DestinationFile) -> Result<Spec, ScenarioError> {
    let default = Spec::default();
    let endpoints = endpoint_count(source, table)?;
    let capacity = match &table.capacity {
        Some(capacity) if capacity.get_ref().0 <= 0.0 => {
            return Err(source.error(capacity, ScenarioProblem::Capacity));
        }
        Some(capacity) => capacity.get_ref().0,
        None => default.capacity,
    };
    let sends_retry_after = match &table.sends_retry_after {
        Some(share) => source.share(share, "tells_wait")?,
        None => default.sends_retry_after,
    };
    Ok(Spec {
        endpoints,
        shared: table.shared.unwrap_or(true),
        limit: table.limit.map_or(Limit::None, |l| l.0),
        charge_refused: table.charge_refused,
        capacity,
        queue: table.queue.unwrap_or(default.queue),
        pace: table.pace.map_or(default.pace, |p| p.0),
        spread: table.spread.unwrap_or(default.spread),
        connections: table.connections,
        sends_retry_after,
        wait: table.wait.map_or(default.wait, |(a, b)| (a.0, b.0)),
        batch: table.batch.unwrap_or(1).clamp(1, MAX_CALL_MESSAGES),
        item_cost: table.item_cost.unwrap_or(default.item_cost),
        reports: table.reports.map(|r| r.0),
        back: default.back,
    })
}

fn endpoint_count(source: &Source<'_>, table: &DestinationFile) -> Result<usize, ScenarioError> {
    let Some(place) = &table.endpoints else {
        return Ok(1);
    };
    let endpoints = *place.get_ref();
    if !(1..=MAX_DESTINATION_ENDPOINTS).contains(&endpoints) {
        return Err(source.error(place, ScenarioProblem::EndpointCount));
    }
    Ok(endpoints)
}

/// The zone index of each endpoint: the zones of the table in rotation, or the first zone of the file.
fn endpoint_zones(table: &DestinationFile, endpoints: usize, zones: &[String]) -> Vec<usize> {
    let named = (0..endpoints).map(|e| table.zones.get(e % table.zones.len().max(1)));
    named
        .map(|name| zones.iter().position(|z| Some(z) == name).unwrap_or(0))
        .collect()
}
