//! One simulated member: the real reducer with real membership, without I/O. The engine provides packets, clock and timers.
//!
//! Only this file of the simulated members uses `cranehill_membership`.

use std::net::SocketAddr;

use cranehill_core::{Core, Effect, Input, Persisted};
use cranehill_membership as membership;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::Settings;
use serde_json::json;

use super::plan::{SimulatedFleetError, Timing, ZONES};
use crate::invalid_settings::{InvalidSettings, parse_settings};

/// Key of simulated fleets: the one that the scenario runner gives to real processes, so that both can form one fleet. Their members
/// exchange no secrets.
const KEY: membership::Key = *b"rehearse on loopback, rehearse!.";

/// The state of another member in a member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The member is not suspected: it answers probes, or has refuted the last suspicion.
    Alive,
    /// The member did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Down,
    /// The member announced that it leaves.
    Left,
}

impl Seen {
    /// Name of the state in a sender's log.
    pub fn name(self) -> &'static str {
        match self {
            Seen::Alive => "alive",
            Seen::Suspect => "suspect",
            Seen::Down => "down",
            Seen::Left => "left",
        }
    }
}

/// A member's report on itself or on another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Report {
    /// The member's own incarnation changed to this one.
    Incarnation(u64),
    /// The state of another member changed in its view.
    Sees {
        address: SocketAddr,
        incarnation: u64,
        seen: Seen,
    },
    /// The member's quota divisor changed: it divides shared limits by this number of senders.
    Senders(u32),
    /// The member's timer fired more than one membership period late, as after a process pause. The member postponed all its
    /// timers by the delay.
    ProcessPaused,
    /// The member dropped a received packet.
    PacketDropped,
    /// The member rejoined with a new incarnation after other members had considered it down.
    Rejoined,
}

/// A packet that a member sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Packet {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Content of the datagram.
    pub bytes: Vec<u8>,
}

/// What the engine must do after it called a member.
#[derive(Debug, Default)]
pub(super) struct Output {
    /// Packets to send.
    pub packets: Vec<Packet>,
    /// Reports, in the order in which they were made.
    pub reports: Vec<Report>,
}

/// Number, address and membership settings with which a member starts.
#[derive(Clone, Debug)]
pub(super) struct Setup {
    /// Number of the member.
    pub index: usize,
    /// Address at which the others reach the member.
    pub address: SocketAddr,
    /// Addresses of the members that this member contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Configured number of members of the fleet.
    pub fleet_size: usize,
    /// Time settings of the membership.
    pub timing: Timing,
}

impl Setup {
    fn membership(&self) -> membership::Settings {
        membership::Settings {
            name: format!("n{}", self.index),
            address: self.address,
            seeds: self.seeds.clone(),
            key: KEY,
            probe_period: self.timing.period,
            probe_timeout: self.timing.round_trip,
            suspicion_timeout: self.timing.suspicion,
            eviction_delay: self.timing.eviction_delay,
            max_packet_age: self.timing.max_packet_age,
            configured_members: self.fleet_size as u32,
        }
    }

    /// Settings of a sender with one class and one kind of destination, and no destinations.
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

/// A running member.
#[derive(Debug)]
pub(super) struct Member {
    core: Core,
    incarnation: u64,
    /// Due time of the membership's next timer.
    membership_due: Option<Time>,
    /// Due time of the next timer for decisions on messages and destinations.
    decisions_due: Option<Time>,
}

impl Member {
    /// Starts a member.
    ///
    /// # Errors
    /// The reducer rejected the member's settings.
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
        member.report_incarnation(output);
        member.end_tick(now, output);
        member.wake(now, output);
        Ok(member)
    }

    /// When [`Member::wake`] must be called next; `None` without a timer.
    pub(super) fn due(&self) -> Option<Time> {
        self.membership_due
            .into_iter()
            .chain(self.decisions_due)
            .min()
    }

    /// Processes a received packet.
    pub(super) fn receive(&mut self, now: Time, bytes: Vec<u8>, output: &mut Output) {
        self.step_membership(now, membership::Input::PacketReceived(bytes), output);
    }

    /// Runs the timers that are due; to be called at the time of [`Member::due`].
    pub(super) fn wake(&mut self, now: Time, output: &mut Output) {
        if self.membership_due.take_if(|due| *due <= now).is_some() {
            self.step_membership(now, membership::Input::TimerFired, output);
        }
        if self.decisions_due.take_if(|due| *due <= now).is_some() {
            self.step(now, Input::TimerFired, output);
            self.end_tick(now, output);
        }
    }

    /// Announces to the other members that this one leaves.
    pub(super) fn leave(&mut self, now: Time, output: &mut Output) {
        self.step_membership(now, membership::Input::Leave, output);
    }

    fn step_membership(&mut self, now: Time, input: membership::Input, output: &mut Output) {
        let divisor_changed = self.step(now, Input::Fleet(input), output);
        self.report_incarnation(output);
        if divisor_changed {
            self.end_tick(now, output);
        }
    }

    /// Ends the tick, so that the reducer decides on all inputs so far.
    fn end_tick(&mut self, now: Time, output: &mut Output) {
        self.step(now, Input::TickEnded, output);
    }

    /// Runs one step of the reducer. True if the number of senders that divide shared limits changed.
    fn step(&mut self, now: Time, input: Input, output: &mut Output) -> bool {
        let mut divisor_changed = false;
        let mut effects = self.core.step(now, input);
        while !effects.is_empty() {
            let mut persisted = false;
            for effect in effects.drain(..) {
                match effect {
                    Effect::Fleet(membership::Effect::QuotaDivisorChanged(senders)) => {
                        divisor_changed = true;
                        output.reports.push(Report::Senders(senders));
                    }
                    Effect::Fleet(effect) => self.execute(effect, output),
                    Effect::WakeAt(at) => {
                        self.decisions_due = Some(self.decisions_due.map_or(at, |due| due.min(at)));
                    }
                    // A simulated member has no journal: each record is confirmed as persisted immediately.
                    Effect::Persist(_) => persisted = true,
                    // Other effects concern clients and destinations, of which there are none.
                    _ => {}
                }
            }
            if persisted {
                effects = self.core.step(now, Input::Persisted(Persisted::All));
            }
        }
        divisor_changed
    }

    fn execute(&mut self, effect: membership::Effect, output: &mut Output) {
        match effect {
            membership::Effect::Send { to, bytes } => output.packets.push(Packet { to, bytes }),
            membership::Effect::WakeAt(at) => self.membership_due = Some(at),
            membership::Effect::MemberChanged { view, .. } => output.reports.push(Report::Sees {
                address: view.member.address,
                incarnation: view.member.incarnation,
                seen: seen(view.state),
            }),
            membership::Effect::Rejoined { .. } => output.reports.push(Report::Rejoined),
            membership::Effect::ProcessPaused(_) => output.reports.push(Report::ProcessPaused),
            membership::Effect::Dropped(_) => output.reports.push(Report::PacketDropped),
            _ => {}
        }
    }

    fn report_incarnation(&mut self, output: &mut Output) {
        let incarnation = self
            .core
            .members()
            .map_or(0, |members| members.identity().incarnation);
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            output.reports.push(Report::Incarnation(incarnation));
        }
    }
}

fn seen(state: membership::MemberState) -> Seen {
    match state {
        membership::MemberState::Alive => Seen::Alive,
        membership::MemberState::Suspect => Seen::Suspect,
        membership::MemberState::Down => Seen::Down,
        membership::MemberState::Left => Seen::Left,
    }
}
