//! The endpoint list compared with a simple model, and the cost of its updates in visited entries.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_core::{EndpointList, Listing};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{Condition, DestinationId, EndpointId, Entry};
use proptest::prelude::*;

/// How long a destination without endpoints stays known.
const DESTINATION_RETENTION: Duration = Duration::from_secs(600);
const ENDPOINTS: usize = 12;
const DESTINATIONS: u64 = 5;
const ZONES: u32 = 3;

fn id(endpoint: usize) -> EndpointId {
    EndpointId(format!("e{endpoint}"))
}

fn listing(endpoint: usize, destination: u64, zone: u32, condition: Condition) -> Listing {
    let (destination, rate) = (DestinationId(destination), endpoint as f64);
    let entry = Entry {
        endpoint: id(endpoint),
        destination,
        condition,
        zone,
        kind: 0,
        rate,
    };
    Listing {
        entry,
        address: format!("127.0.0.1:{}", endpoint + 1),
    }
}

/// A model of the endpoint list that examines every entry on each update.
#[derive(Default)]
struct Model {
    listed: BTreeMap<EndpointId, Listing>,
    /// Destinations that have lost their last endpoint, and when.
    unlisted: BTreeMap<DestinationId, Time>,
}

impl Model {
    fn update(&mut self, now: Time, whole: bool, list: &[Listing]) -> Vec<EndpointId> {
        let before: BTreeSet<DestinationId> = self.destinations();
        let named: BTreeSet<&EndpointId> = list.iter().map(|l| &l.entry.endpoint).collect();
        let mut closed: Vec<EndpointId> = Vec::new();
        if whole {
            closed.extend(self.listed.keys().filter(|e| !named.contains(e)).cloned());
            self.listed.retain(|e, _| named.contains(e));
        }
        let listed_before = self.listed.clone();
        for listing in list {
            if listing.entry.condition != Condition::Ready {
                closed.push(listing.entry.endpoint.clone());
            }
            self.listed
                .insert(listing.entry.endpoint.clone(), listing.clone());
        }
        // An endpoint with another address or destination than before is closed as well.
        let place = |listing: &Listing| (listing.entry.destination, listing.address.clone());
        let has_moved = |endpoint: &EndpointId, listing: &Listing| {
            let before = listed_before.get(endpoint);
            listing.entry.condition != Condition::Removed
                && before.is_some_and(|before| place(before) != place(listing))
        };
        let moved = self.listed.iter().filter(|(e, l)| has_moved(e, l));
        closed.extend(moved.map(|(endpoint, _)| endpoint.clone()));
        self.listed
            .retain(|_, l| l.entry.condition != Condition::Removed);
        let after = self.destinations();
        self.unlisted.extend(
            before
                .difference(&after)
                .map(|destination| (*destination, now)),
        );
        self.unlisted
            .retain(|d, since| !after.contains(d) && now - *since < DESTINATION_RETENTION);
        closed
    }

    fn destinations(&self) -> BTreeSet<DestinationId> {
        self.listed.values().map(|l| l.entry.destination).collect()
    }
}

/// Compares the results of all queries of the list with the model.
fn check(list: &EndpointList, model: &Model) -> Result<(), TestCaseError> {
    let destinations = model.destinations();
    prop_assert_eq!(list.len(), model.listed.len());
    for destination in (0..DESTINATIONS).map(DestinationId) {
        let known =
            destinations.contains(&destination) || model.unlisted.contains_key(&destination);
        prop_assert_eq!(
            list.is_known_destination(destination),
            known,
            "{:?}",
            destination
        );
        let of: Vec<&EndpointId> = list.of_destination(destination).collect();
        let expected = model
            .listed
            .values()
            .filter(|l| l.entry.destination == destination);
        prop_assert_eq!(of, expected.map(|l| &l.entry.endpoint).collect::<Vec<_>>());
    }
    let mut zones: BTreeMap<u32, usize> = BTreeMap::new();
    model
        .listed
        .values()
        .for_each(|l| *zones.entry(l.entry.zone).or_default() += 1);
    prop_assert_eq!(list.zones(), &zones);
    for endpoint in (0..ENDPOINTS).map(id) {
        let expected = model.listed.get(&endpoint);
        prop_assert_eq!(list.contains(&endpoint), expected.is_some());
        prop_assert_eq!(list.zone(&endpoint), expected.map(|l| l.entry.zone));
        prop_assert_eq!(
            list.address(&endpoint),
            expected.map(|l| l.address.as_str())
        );
        let debug_text = |entry: &Entry| format!("{entry:?}");
        let (found, expected) = (
            list.entry(&endpoint),
            expected.map(|l| debug_text(&l.entry)),
        );
        prop_assert_eq!(found.as_ref().map(debug_text), expected);
    }
    Ok(())
}

fn any_listing() -> impl Strategy<Value = Listing> {
    let condition = prop_oneof![
        3 => Just(Condition::Ready),
        1 => Just(Condition::Draining),
        2 => Just(Condition::Removed),
    ];
    // An endpoint usually keeps its destination and zone, and sometimes is listed with others.
    let place = prop_oneof![
        4 => Just(None),
        1 => (0..DESTINATIONS, 0..ZONES).prop_map(Some),
    ];
    let is_elsewhere = prop::bool::weighted(0.2);
    let parts = (0..ENDPOINTS, place, condition, is_elsewhere);
    parts.prop_map(|(endpoint, place, condition, is_elsewhere)| {
        let usual = (endpoint as u64 % DESTINATIONS, endpoint as u32 % ZONES);
        let (destination, zone) = place.unwrap_or(usual);
        let mut listing = listing(endpoint, destination, zone, condition);
        if is_elsewhere {
            listing.address = format!("127.0.0.2:{}", endpoint + 1);
        }
        listing
    })
}

/// Whether the update is a full list, its entries, and the seconds since the previous update.
fn any_update() -> impl Strategy<Value = (bool, Vec<Listing>, u64)> {
    let passed = prop_oneof![3 => 0..10u64, 1 => 290..310u64, 1 => 595..605u64];
    (
        prop::bool::weighted(0.3),
        prop::collection::vec(any_listing(), 0..8),
        passed,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Random sequences of full lists and changes that add, drain, remove and move endpoints, with random pauses.
    #[test]
    fn the_list_matches_a_model_that_visits_every_entry(updates in prop::collection::vec(any_update(), 1..30)) {
        let (mut list, mut model, mut now) = (EndpointList::default(), Model::default(), Time(0));
        for (whole, entries, passed) in updates {
            now = now + Duration::from_secs(passed);
            let closed = model.update(now, whole, &entries);
            let update = list.update(now, whole, entries);
            prop_assert_eq!(update.closed, closed);
            check(&list, &model)?;
        }
    }
}

/// A list of `count` endpoints, each with its own destination, and the entries visited to create it.
fn listed(count: usize) -> (EndpointList, usize) {
    let mut list = EndpointList::default();
    let whole = (0..count)
        .map(|e| listing(e, e as u64, 0, Condition::Ready))
        .collect();
    let visited = list.update(Time(0), true, whole).visited;
    (list, visited)
}

/// Entries visited by changes that drain, restore, remove and add an endpoint, by an empty change, and by a lookup of
/// the destination's endpoints, as for a retry-after time.
fn visited_by_changes(list: &mut EndpointList) -> Vec<usize> {
    let mut visited = Vec::new();
    for condition in [
        Condition::Draining,
        Condition::Ready,
        Condition::Removed,
        Condition::Ready,
    ] {
        visited.push(
            list.update(Time(1), false, vec![listing(3, 3, 0, condition)])
                .visited,
        );
    }
    visited.push(list.update(Time(2), false, Vec::new()).visited);
    visited.push(list.of_destination(DestinationId(3)).count());
    visited
}

/// Guards against updates whose cost depends on the size of the list: a change visited the whole list (8 ms of CPU with
/// 57,000 endpoints), and a full list visited the whole list for each of its entries (6 s).
#[test]
fn a_change_visits_its_own_entries_and_a_whole_list_each_entry_once() {
    let (mut few, _) = listed(10);
    let (mut many, first) = listed(57_000);
    assert_eq!(visited_by_changes(&mut few), visited_by_changes(&mut many));
    assert_eq!(visited_by_changes(&mut many), [1, 1, 1, 1, 0, 1]);
    assert_eq!(first, 57_000, "a first list visits only its own entries");
    let next = (500..57_500)
        .map(|e| listing(e, e as u64, 0, Condition::Ready))
        .collect();
    let update = many.update(Time(3), true, next);
    assert_eq!(
        update.visited,
        2 * 57_000,
        "a full list visits the old and the new entries once each"
    );
    assert_eq!(update.closed.len(), 500);
    // Dropping the removed destinations visits only these.
    assert_eq!(
        many.update(Time(3) + DESTINATION_RETENTION, false, Vec::new())
            .visited,
        500
    );
    assert_eq!(
        many.update(Time(4) + DESTINATION_RETENTION, false, Vec::new())
            .visited,
        0
    );
}
