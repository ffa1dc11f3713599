//! A small simulated fleet in virtual time that records every packet. Each packet arrives after the same delay, so the trace
//! depends only on the members and their seeds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cranehill_membership::{Effect, Input, MemberState, Members, Settings, seal};
use cranehill_scheduler::Time;

use super::fixture::Entry;
use super::message::Content;
use super::samples::{KEY, address, member_at};

pub(crate) const START: Time = Time(1_700_000_000_000_000_000);
pub(crate) const PERIOD: Duration = Duration::from_secs(1);
const MEMBERS: usize = 4;
const PACKET_DELAY: Duration = Duration::from_millis(3);
const FIRST_SEED: u64 = 20;

pub(crate) fn settings(member: usize) -> Settings {
    Settings {
        name: format!("n{member}"),
        address: address(member),
        seeds: vec![address(0), address(1)],
        key: KEY,
        probe_period: PERIOD,
        probe_timeout: PERIOD.mul_f64(0.3),
        suspicion_timeout: Some(PERIOD),
        eviction_delay: Some(PERIOD * 2),
        max_packet_age: PERIOD * 5,
        configured_members: MEMBERS as u32,
    }
}

/// Opens and decodes a sealed packet.
pub(crate) fn content_of(bytes: &[u8]) -> Content {
    let opened = seal::open(&KEY, 0, u64::MAX, bytes).expect("a packet of the fleet");
    Content::decode(opened.kind, opened.message)
}

pub(crate) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Down => "down",
        MemberState::Left => "left",
    }
}

/// An effect as a line of text in the golden files; `None` for wake-ups.
pub(crate) fn describe(effect: &Effect) -> Option<String> {
    Some(match effect {
        Effect::WakeAt(_) => return None,
        Effect::Send { to, bytes } => {
            format!("sends {} to n{}", content_of(bytes).name(), member_at(*to))
        }
        Effect::MemberChanged {
            view,
            previous_state,
        } => {
            let previous_state = previous_state.map_or("unknown", state_name);
            format!(
                "{} {} incarnation {} was {previous_state}",
                view.member.name,
                state_name(view.state),
                view.swim_incarnation
            )
        }
        Effect::Rejoined { incarnation } => format!("rejoined as {incarnation}"),
        Effect::ProcessPaused(pause) => format!("paused for {} ms", pause.as_millis()),
        Effect::LearnedStateRequested { by } => {
            format!("learned state requested by n{}", member_at(*by))
        }
        Effect::LearnedStateReceived { by, piece } => {
            format!(
                "learned state from n{}: {}",
                member_at(*by),
                String::from_utf8_lossy(piece)
            )
        }
        Effect::Dropped(_) => "dropped a packet".to_owned(),
        Effect::QuotaDivisorChanged(divisor) => format!("share divisor {divisor}"),
    })
}

/// Simulated members and the packets between them.
pub(crate) struct Fleet {
    now: Time,
    members: Vec<Members>,
    wakeups: Vec<Option<Time>>,
    in_flight: BTreeMap<(Time, usize), (usize, Vec<u8>)>,
    /// Pairs of a sender and a receiver: all packets from the one to the other are lost.
    blocked: BTreeSet<(usize, usize)>,
    pub(crate) packets: Vec<Entry>,
    /// The members' effects other than packets and wake-ups, as lines of text.
    pub(crate) events: Vec<String>,
}

impl Fleet {
    fn new() -> Fleet {
        let member = |i| Members::new(settings(i), FIRST_SEED + i as u64, START);
        Fleet {
            now: START,
            members: (0..MEMBERS).map(member).collect(),
            wakeups: vec![Some(START); MEMBERS],
            in_flight: BTreeMap::new(),
            blocked: BTreeSet::new(),
            packets: Vec::new(),
            events: Vec::new(),
        }
    }

    pub(crate) fn member(&self, member: usize) -> &Members {
        &self.members[member]
    }

    fn elapsed_ms(&self) -> u128 {
        (self.now - START).as_millis()
    }

    fn step(&mut self, member: usize, input: Input) {
        for effect in self.members[member].step(self.now, input) {
            match effect {
                Effect::Send { to, bytes } => self.send(member, member_at(to), bytes),
                Effect::WakeAt(time) => self.wakeups[member] = Some(time),
                effect => self.record_event(member, &effect),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let name = format!(
            "{:05}ms n{from}-n{to} {}",
            self.elapsed_ms(),
            content_of(&bytes).name()
        );
        self.packets.push(Entry::new(name, bytes.clone()));
        if !self.blocked.contains(&(from, to)) {
            self.in_flight
                .insert((self.now + PACKET_DELAY, self.packets.len()), (to, bytes));
        }
    }

    fn record_event(&mut self, member: usize, effect: &Effect) {
        let description = describe(effect).unwrap_or_default();
        self.events.push(format!(
            "{:05}ms n{member} {description}",
            self.elapsed_ms()
        ));
        if let Effect::LearnedStateRequested { by } = effect {
            let chunks = vec![
                format!("first of n{member}").into_bytes(),
                b"second".to_vec(),
            ];
            self.step(member, Input::SendLearnedState { to: *by, chunks });
        }
    }

    fn next_wakeup(&self) -> Option<(Time, usize)> {
        let wakeups = self.wakeups.iter().enumerate();
        wakeups
            .filter_map(|(member, wakeup)| Some(((*wakeup)?, member)))
            .min()
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wakeup = self.next_wakeup().filter(|(time, _)| *time <= end);
            let packet = self
                .in_flight
                .first_key_value()
                .map(|(&(time, _), _)| time)
                .filter(|t| *t <= end);
            match (packet, wakeup) {
                (Some(arrival), wakeup) if wakeup.is_none_or(|(time, _)| arrival <= time) => {
                    self.now = arrival;
                    let Some((_, (to, bytes))) = self.in_flight.pop_first() else {
                        break;
                    };
                    self.step(to, Input::PacketReceived(bytes));
                }
                (_, Some((time, member))) => {
                    self.now = self.now.max(time);
                    self.wakeups[member] = None;
                    self.step(member, Input::TimerFired);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    fn block_both_ways(&mut self, one: usize, other: usize) {
        self.blocked.extend([(one, other), (other, one)]);
    }
}

/// Runs the fleet through its start, payloads, learned state, indirect probes, a member that is partitioned from the others,
/// evicted and reconnected, and a leave.
pub(crate) fn run_trace() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.run(PERIOD * 3);
    fleet.step(1, Input::SetPayload(b"payload of n1".to_vec()));
    fleet.step(2, Input::RequestLearnedState);
    fleet.run(PERIOD);
    fleet.block_both_ways(0, 1);
    fleet.run(PERIOD * 3);
    fleet.blocked.clear();
    (0..3).for_each(|other| fleet.block_both_ways(3, other));
    fleet.run(PERIOD * 5);
    fleet.step(0, Input::SetPayload(b"payload of n0".to_vec()));
    fleet.run(PERIOD * 3);
    fleet.blocked.clear();
    fleet.run(PERIOD * 4);
    fleet.step(2, Input::Leave);
    fleet.run(PERIOD * 2);
    fleet
}

/// A member's views and payloads of the others, as lines of text.
pub(crate) fn views_of(member: &Members) -> Vec<String> {
    let payloads: BTreeMap<_, _> = member.payloads().into_iter().collect();
    let line = |view: &cranehill_membership::MemberView| {
        let payload = payloads
            .get(&view.member.address)
            .map(|payload| String::from_utf8_lossy(payload))
            .unwrap_or_default();
        let identity = &view.member;
        let incarnation = identity.incarnation;
        let state = state_name(view.state);
        format!(
            "{} {} {incarnation} {state} {} [{payload}]",
            identity.name, identity.address, view.swim_incarnation
        )
    };
    member.views().map(line).collect()
}
