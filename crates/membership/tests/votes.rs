//! Properties of votes, sets of down members and evictions, for arbitrary votes and for pages in any order.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{START, address};
use cranehill_membership::digest::{ShortHash, identity_hash};
use cranehill_membership::down_sets::{DownSets, MAX_SET_MEMBERS, MAX_SETS, SetPage};
use cranehill_membership::member_table::MemberTable;
use cranehill_membership::quota::QuotaDivisor;
use cranehill_membership::vote::{Vote, Votes};
use cranehill_membership::voting::{VoteDecision, Voting};
use cranehill_membership::{Identity, MemberState, MemberView};
use proptest::prelude::*;

const EVICTION_DELAY: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

fn member(n: usize) -> Identity {
    Identity {
        address: address(n),
        incarnation: 1,
        name: format!("n{n}"),
    }
}

fn hash(n: usize) -> ShortHash {
    identity_hash(&member(n))
}

fn set_state(table: &mut MemberTable, n: usize, state: MemberState) {
    let view = MemberView {
        member: member(n),
        swim_incarnation: 0,
        state,
        since: START,
    };
    table.update(START, view, Duration::ZERO);
}

fn set_of(members: &[usize]) -> BTreeSet<ShortHash> {
    members.iter().map(|n| hash(*n)).collect()
}

/// The state of one member of a fleet, whose own hash isn't in the table. `crash` marks the members in `down` as down in its view;
/// `vote` adds votes of other members.
struct Fleet {
    table: MemberTable,
    votes: Votes,
    sets: DownSets,
    down: Vec<usize>,
}

impl Fleet {
    fn new(members: usize, down: usize) -> Fleet {
        let (mut table, down) = (MemberTable::default(), (0..down).collect::<Vec<_>>());
        (0..members - 1).for_each(|n| set_state(&mut table, n, MemberState::Alive));
        Fleet {
            table,
            votes: Votes::default(),
            sets: DownSets::default(),
            down,
        }
    }

    fn crash(&mut self) {
        self.down
            .iter()
            .for_each(|n| set_state(&mut self.table, *n, MemberState::Down));
    }

    fn vote(&mut self, voter: usize, number: u32, proposed: &[usize]) {
        let down = self.sets.insert(set_of(proposed));
        let vote = Vote {
            number,
            leaves: false,
            down,
            payload: Vec::new(),
        };
        self.votes.insert(hash(voter), vote);
    }
}

proptest! {
    /// Guards against evictions before the whole delay, or without the votes of more than half of all members. Votes of members
    /// that are down or unknown must not count.
    #[test]
    fn eviction_needs_a_majority_for_the_whole_delay(
        members in 2usize..40, removed in 1usize..20, voters in 0usize..40, unknown_voters in 0usize..40,
    ) {
        let removed = removed.min(members - 1);
        let mut fleet = Fleet::new(members, removed);
        let mut quota = QuotaDivisor::new(members as u32, Some(EVICTION_DELAY));
        quota.update(START, &fleet.table, &fleet.votes, &fleet.sets);
        fleet.crash();
        let down = fleet.down.clone();
        let active_voters = voters.min(members - 1 - removed);
        (removed..removed + active_voters).for_each(|voter| fleet.vote(voter, 1, &down));
        (1000..1000 + unknown_voters).for_each(|voter| fleet.vote(voter, 1, &down));
        (0..removed).for_each(|voter| fleet.vote(voter, 1, &down));
        let divisor = |quota: &mut QuotaDivisor, fleet: &Fleet, at| {
            quota.update(START + at, &fleet.table, &fleet.votes, &fleet.sets) as usize
        };
        prop_assert_eq!(divisor(&mut quota, &fleet, SECOND), members);
        prop_assert_eq!(divisor(&mut quota, &fleet, EVICTION_DELAY), members);
        let majority = (1 + active_voters) * 2 > members;
        let expected = if majority { members - removed } else { members };
        prop_assert_eq!(divisor(&mut quota, &fleet, SECOND + EVICTION_DELAY), expected);
    }

    /// Guards against an eviction delay that continues although a vote of the majority was withdrawn for a moment.
    #[test]
    fn withdrawn_vote_restarts_the_delay(at in 2u64..30) {
        let mut fleet = Fleet::new(5, 1);
        let mut quota = QuotaDivisor::new(5, Some(EVICTION_DELAY));
        let divisor = |quota: &mut QuotaDivisor, fleet: &Fleet, at: u64| {
            quota.update(START + SECOND * at as u32, &fleet.table, &fleet.votes, &fleet.sets)
        };
        divisor(&mut quota, &fleet, 0);
        fleet.crash();
        fleet.vote(1, 1, &[0]);
        fleet.vote(2, 1, &[0]);
        prop_assert_eq!(divisor(&mut quota, &fleet, 1), 5);
        fleet.vote(2, 2, &[]);
        prop_assert_eq!(divisor(&mut quota, &fleet, at), 5);
        fleet.vote(2, 3, &[0]);
        prop_assert_eq!(divisor(&mut quota, &fleet, at), 5);
        prop_assert_eq!(divisor(&mut quota, &fleet, at + 29), 5);
        prop_assert_eq!(divisor(&mut quota, &fleet, at + 30), 4);
    }

    /// Guards against members whose stored votes differ because they received them in another order or repeatedly.
    #[test]
    fn votes_converge(
        votes in prop::collection::vec((0usize..8, 0u32..6, any::<bool>(), 0usize..4), 1..60),
        order in any::<u64>(),
    ) {
        let all: Vec<(ShortHash, Vote)> = votes.iter().map(|&(voter, number, leaves, set)| {
            let down = (set > 0).then(|| hash(set));
            (hash(voter), Vote { number, leaves, down, payload: vec![set as u8] })
        }).collect();
        let (mut one, mut other) = (Votes::default(), Votes::default());
        all.iter().for_each(|(voter, vote)| { one.insert(*voter, vote.clone()); });
        let mut shuffled: Vec<_> = all.iter().chain(&all).cloned().collect();
        let len = shuffled.len();
        (0..len).for_each(|i| shuffled.swap(i, (order as usize).wrapping_mul(i * 31 + 7) % len));
        shuffled.into_iter().for_each(|(voter, vote)| { other.insert(voter, vote); });
        prop_assert_eq!(one.digest().root(), other.digest().root());
        prop_assert!(one.iter().eq(other.iter()));
        one.retain(|_| false);
        let none = Votes::default();
        prop_assert_eq!(one.digest(), none.digest());
    }

    /// Guards against a set that is stored with members other than those of its hash: its pages arrive in any order, repeatedly,
    /// truncated or altered.
    #[test]
    fn down_set_is_complete_or_absent(
        size in 1usize..600, pages in prop::collection::vec((0u32..5, 0usize..3), 1..40), alter in any::<bool>(),
    ) {
        let members: Vec<usize> = (0..size).collect();
        let mut theirs = DownSets::default();
        let set = theirs.insert(set_of(&members)).expect("within the bounds");
        let mut ours = DownSets::default();
        for (number, change) in pages {
            let Some(mut page) = theirs.page(set, number * 128, 128) else { continue };
            match change {
                1 => page.members.truncate(page.members.len() / 2),
                2 if alter => page.members.reverse(),
                _ => {}
            }
            page.total += u32::from(alter && change == 1);
            ours.add_page(&page);
        }
        while let Some(offset) = ours.next_offset(set).filter(|_| !alter) {
            let page = theirs.page(set, offset, 128).expect("the page exists");
            ours.add_page(&page);
        }
        prop_assert!(ours.get(set).is_none_or(|members| Some(members) == theirs.get(set)));
        prop_assert!(alter || ours.get(set).is_some());
    }

    /// Guards against a vote for a set that others proposed but that differs from the members down in the own view.
    #[test]
    fn voted_set_is_exactly_the_members_down_in_the_own_view(
        down in prop::collection::btree_set(0usize..12, 0..8),
        proposed in prop::collection::vec(prop::collection::btree_set(0usize..12, 1..8), 0..6),
    ) {
        let mut fleet = Fleet::new(13, 0);
        down.iter().for_each(|n| set_state(&mut fleet.table, *n, MemberState::Down));
        for (voter, set) in proposed.iter().enumerate() {
            fleet.vote(voter, 1, &set.iter().copied().collect::<Vec<_>>());
        }
        let mut voting = Voting::new(SECOND, 13);
        let mut voted = None;
        for tenth in 0..40 {
            let now = START + SECOND / 10 * tenth;
            if let VoteDecision::Vote(set) = voting.decide(now, &fleet.table, &fleet.votes, &mut fleet.sets, 0.5) {
                voted = Some(set);
            }
        }
        let expected = set_of(&down.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!(voted.and_then(|set| fleet.sets.get(set)).cloned().unwrap_or_default(), expected);
    }
}

/// Guards against unbounded memory: sets beyond the bounds on members and sets are rejected, and stored ones stay.
#[test]
fn sets_are_bounded() {
    let mut sets = DownSets::default();
    let too_many: BTreeSet<ShortHash> = (0..=MAX_SET_MEMBERS)
        .map(|n| ShortHash::of(&[&n.to_le_bytes()]))
        .collect();
    assert_eq!(sets.insert(too_many), None);
    assert!(!sets.add_page(&SetPage {
        set: hash(1),
        total: MAX_SET_MEMBERS as u32 + 1,
        offset: 0,
        members: vec![hash(2)]
    }));
    let kept = (0..1000)
        .filter(|n| sets.insert(set_of(&[*n])).is_some())
        .count();
    assert_eq!(kept, MAX_SETS);
    assert!(
        sets.insert(set_of(&[0])).is_some(),
        "a stored set can be inserted again"
    );
}

/// Guards against a set that can't be adopted because one of its members has already rejoined in a later incarnation.
#[test]
fn set_with_a_superseded_incarnation_can_be_adopted() {
    let mut fleet = Fleet::new(6, 2);
    fleet.crash();
    fleet.vote(3, 1, &[0, 1]);
    let returned = MemberView {
        member: Identity {
            incarnation: 2,
            ..member(1)
        },
        swim_incarnation: 0,
        state: MemberState::Alive,
        since: START,
    };
    fleet.table.update(START, returned, Duration::ZERO);
    let mut voting = Voting::new(SECOND, 6);
    let choice = voting.decide(
        START + SECOND,
        &fleet.table,
        &fleet.votes,
        &mut fleet.sets,
        1.0,
    );
    assert_eq!(
        choice,
        VoteDecision::Vote(DownSets::hash_of(&set_of(&[0, 1])))
    );
}
