//! One simulated member: the real reducer with its real membership, without I/O. The engine provides packets, clock and timers.
//!
//! This is the only file here that uses the membership.

use std::net::SocketAddr;

use cranehill_core::{Core, Effect, Input, Persisted};
use cranehill_membership as membership;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::Settings;
use serde_json::json;

use super::plan::{SimulatedFleetError, Timing, ZONES};
use crate::invalid_settings::{InvalidSettings, parse_settings};

/// The key of simulated fleets, as the scenario runner gives it to real processes: nothing secret is sent between their members.
const KEY: membership::Key = *b"rehearse on loopback, rehearse!.";

/// The state of another member in a member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// It answers probes.
    Alive,
    /// It did not answer, and may still refute that.
    Suspect,
    /// It did not refute the suspicion.
    Down,
    /// It has announced its end.
    Left,
}

impl Seen {
    /// As a sender's log names it.
    pub fn name(self) -> &'static str {
        match self {
            Seen::Alive => "alive",
            Seen::Suspect => "suspect",
            Seen::Down => "down",
            Seen::Left => "left",
        }
    }
}

/// What a member reports of itself and of the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Report {
    /// It has this incarnation from now on.
    Incarnation(u64),
    /// The state of another member in its view has changed.
    Sees {
        address: SocketAddr,
        incarnation: u64,
        seen: Seen,
    },
    /// It divides shared limits by this number of senders.
    Senders(u32),
    /// It ran late, and draws no conclusion from that time.
    ProcessPaused,
    /// It dropped a packet.
    PacketDropped,
    /// The others held it to be down; it has rejoined.
    Rejoined,
}

/// A packet that a member sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Packet {
    /// The receiver.
    pub to: SocketAddr,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// The result of one step.
#[derive(Debug, Default)]
pub(super) struct Output {
    /// Packets to send.
    pub packets: Vec<Packet>,
    /// Reports in order.
    pub reports: Vec<Report>,
}

/// The configuration of a member.
#[derive(Clone, Debug)]
pub(super) struct Setup {
    /// Its number.
    pub index: usize,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Members that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Members of the fleet, by the settings.
    pub fleet_size: usize,
    /// Settings of the membership.
    pub timing: Timing,
}

impl Setup {
    fn membership(&self) -> membership::Settings {
        membership::Settings {
            name: format!("n{}", self.index),
            at: self.address,
            seeds: self.seeds.clone(),
            key: KEY,
            period: self.timing.period,
            round_trip: self.timing.round_trip,
            suspicion: self.timing.suspicion,
            eviction_delay: self.timing.eviction_delay,
            max_packet_age: self.timing.late,
            configured_members: self.fleet_size as u32,
        }
    }

    /// A sender's settings with one class, one kind and no destination.
    fn decisions(&self) -> Result<Settings, SimulatedFleetError> {
        let zones: Vec<String> = (1..=ZONES).map(|zone| format!("zone-{zone}")).collect();
        let settings = json!({
            "classes": [{"name": "event", "effect": "keyed", "window": 20_000_000_000u64, "aim": 4_000_000_000u64,
                "deadline": 20_000_000_000u64, "dedupScope": "all", "lateShare": 0.4, "worth": 1.0}],
            "familyInfo": {"callsOut": 8, "kindApart": [false], "losesWorth": "halving", "perCall": [1]},
            "membershipMode": "push",
            "models": ["destination"],
            "nInstances": self.fleet_size,
            "policyLimits": {"attemptsCap": 6, "connIdle": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64,
                "maxRetryAfter": 2_000_000_000u64, "mostHeld": 64, "probes": false, "retryAfter": true},
            "rules": {"cold": 9_100_000_000u64, "coldFrom": 0.23, "fall": 3_000_000_000u64, "fallMultiple": 1.5,
                "graceToAnswer": 20_000_000},
            "tenants": [{"name": "tenant", "quotaRps": 10.0}],
            "tick": 5_000_000,
            "weightKind": "rough",
            "zone": self.index % ZONES,
            "zones": zones,
        });
        Ok(parse_settings(settings)?)
    }
}

/// A member that runs.
#[derive(Debug)]
pub(super) struct Member {
    core: Core,
    incarnation: u64,
    /// When the membership is due, and when the decisions are.
    membership_due: Option<Time>,
    decisions_due: Option<Time>,
}

impl Member {
    /// Starts a member.
    pub(super) fn start(
        setup: &Setup,
        seed: u64,
        now: Time,
        output: &mut Output,
    ) -> Result<Member, SimulatedFleetError> {
        let settings = setup.decisions()?;
        let mut core = Core::new(settings, seed, now).map_err(InvalidSettings::new)?;
        core.join(setup.membership(), seed.rotate_left(32));
        let mut member = Member {
            core,
            incarnation: 0,
            membership_due: Some(now),
            decisions_due: None,
        };
        member.note_incarnation(output);
        member.end_tick(now, output);
        member.wake(now, output);
        Ok(member)
    }

    /// When it is to be woken next.
    pub(super) fn due(&self) -> Option<Time> {
        self.membership_due
            .into_iter()
            .chain(self.decisions_due)
            .min()
    }

    /// A packet has arrived.
    pub(super) fn receive(&mut self, now: Time, bytes: Vec<u8>, output: &mut Output) {
        self.step_membership(now, membership::Input::PacketReceived(bytes), output);
    }

    /// The time of [`Member::due`] has come.
    pub(super) fn wake(&mut self, now: Time, output: &mut Output) {
        if self.membership_due.take_if(|due| *due <= now).is_some() {
            self.step_membership(now, membership::Input::TimerFired, output);
        }
        if self.decisions_due.take_if(|due| *due <= now).is_some() {
            self.step(now, Input::TimerFired, output);
            self.end_tick(now, output);
        }
    }

    /// It announces its end.
    pub(super) fn leave(&mut self, now: Time, output: &mut Output) {
        self.step_membership(now, membership::Input::Leave, output);
    }

    fn step_membership(&mut self, now: Time, input: membership::Input, output: &mut Output) {
        let divided = self.step(now, Input::Fleet(input), output);
        self.note_incarnation(output);
        if divided {
            self.end_tick(now, output);
        }
    }

    /// Lets the reducer decide on all inputs so far.
    fn end_tick(&mut self, now: Time, output: &mut Output) {
        self.step(now, Input::TickEnded, output);
    }

    /// True if shared limits are divided anew.
    fn step(&mut self, now: Time, input: Input, output: &mut Output) -> bool {
        let mut divided = false;
        let mut effects = self.core.step(now, input);
        while !effects.is_empty() {
            let mut persisted = false;
            for effect in effects.drain(..) {
                match effect {
                    Effect::Fleet(membership::Effect::ShareDivisor(senders)) => {
                        divided = true;
                        output.reports.push(Report::Senders(senders));
                    }
                    Effect::Fleet(effect) => self.carry_out(effect, output),
                    Effect::WakeAt(at) => {
                        self.decisions_due = Some(self.decisions_due.map_or(at, |due| due.min(at)));
                    }
                    // There is no journal: all records are persisted at once.
                    Effect::Persist(_) => persisted = true,
                    // There are no clients and no destinations.
                    _ => {}
                }
            }
            if persisted {
                effects = self.core.step(now, Input::Persisted(Persisted::All));
            }
        }
        divided
    }

    fn carry_out(&mut self, effect: membership::Effect, output: &mut Output) {
        match effect {
            membership::Effect::Send { to, bytes } => output.packets.push(Packet { to, bytes }),
            membership::Effect::WakeAt(at) => self.membership_due = Some(at),
            membership::Effect::Changed { view, .. } => output.reports.push(Report::Sees {
                address: view.member.at,
                incarnation: view.member.incarnation,
                seen: seen(view.state),
            }),
            membership::Effect::Rejoined { .. } => output.reports.push(Report::Rejoined),
            membership::Effect::ProcessPaused(_) => output.reports.push(Report::ProcessPaused),
            membership::Effect::Dropped(_) => output.reports.push(Report::PacketDropped),
            _ => {}
        }
    }

    fn note_incarnation(&mut self, output: &mut Output) {
        let incarnation = self
            .core
            .members()
            .map_or(0, |members| members.me().incarnation);
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            output.reports.push(Report::Incarnation(incarnation));
        }
    }
}

fn seen(state: membership::State) -> Seen {
    match state {
        membership::State::Alive => Seen::Alive,
        membership::State::Suspect => Seen::Suspect,
        membership::State::Down => Seen::Down,
        membership::State::Left => Seen::Left,
    }
}
