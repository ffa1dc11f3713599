//! One simulated member: the real reducer with its real membership, and nothing below it. Whoever drives it brings the
//! packets, the clock and the timers.
//!
//! This is the one file here that speaks to the membership.

use std::net::SocketAddr;

use cranehill_core::{Core, Effect, Input, Persisted};
use cranehill_membership as membership;
use cranehill_scheduler::Time;
use cranehill_scheduler::profile::Profile;
use serde_json::json;

use super::plan::{SimulatedFleetError, Timing, ZONES};

/// The key of rehearsed fleets, as their real processes have it: nothing secret travels between their members.
const KEY: membership::Key = *b"rehearse on loopback, rehearse!.";

/// What another member is in a member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    Alive,
    Suspect,
    Down,
    Left,
}

impl Seen {
    /// As it stands in a sender's log.
    pub fn block(self) -> &'static str {
        match self {
            Seen::Alive => "alive",
            Seen::Suspect => "suspect",
            Seen::Down => "down",
            Seen::Left => "left",
        }
    }
}

/// What a member tells of itself and of the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// It takes part under this generation from now on.
    Generation(u64),
    /// Another member is so in its view.
    Sees {
        address: SocketAddr,
        generation: u64,
        seen: Seen,
    },
    /// It divides shared limits by so many senders.
    Senders(u32),
    /// It was not run when it should have been, and concludes nothing from that time.
    HeldUp,
    /// It dropped a packet.
    Refused,
    /// The others held it to be down; it is back.
    Rejoined,
}

/// A packet that a member sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

/// What came of one step.
#[derive(Debug, Default)]
pub struct Output {
    pub packets: Vec<Packet>,
    pub reports: Vec<Report>,
}

/// How a member takes part.
#[derive(Clone, Debug)]
pub struct Setup {
    pub index: usize,
    /// Where the others reach it.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Members of the fleet, by the settings.
    pub fleet_size: usize,
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
    fn decisions(&self) -> Result<cranehill_scheduler::api::Settings, SimulatedFleetError> {
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
        let wrong = |why: String| SimulatedFleetError::Settings(why);
        let profile: Profile =
            serde_json::from_value(settings).map_err(|e| wrong(e.to_string()))?;
        profile.into_settings().map_err(|e| wrong(e.to_string()))
    }
}

/// See the module's text.
#[derive(Debug)]
pub struct Member {
    core: Core,
    generation: u64,
    /// When the membership is due, and when the decisions are.
    membership_due: Option<Time>,
    decisions_due: Option<Time>,
}

impl Member {
    /// Takes part from now on.
    pub fn start(
        setup: &Setup,
        seed: u64,
        now: Time,
        output: &mut Output,
    ) -> Result<Member, SimulatedFleetError> {
        let settings = setup.decisions()?;
        let mut core = Core::new(settings, seed, now)
            .map_err(|e| SimulatedFleetError::Settings(e.to_string()))?;
        core.join(setup.membership(), seed.rotate_left(32));
        let mut member = Member {
            core,
            generation: 0,
            membership_due: Some(now),
            decisions_due: None,
        };
        member.note_generation(output);
        member.take_turn(now, output);
        member.wake(now, output);
        Ok(member)
    }

    /// When it is to be woken.
    pub fn due(&self) -> Option<Time> {
        self.membership_due
            .into_iter()
            .chain(self.decisions_due)
            .min()
    }

    /// A packet came.
    pub fn receive(&mut self, now: Time, bytes: Vec<u8>, output: &mut Output) {
        self.step_membership(now, membership::Input::PacketReceived(bytes), output);
    }

    /// The time of [`Member::due`] has come.
    pub fn wake(&mut self, now: Time, output: &mut Output) {
        if self.membership_due.take_if(|due| *due <= now).is_some() {
            self.step_membership(now, membership::Input::TimerFired, output);
        }
        if self.decisions_due.take_if(|due| *due <= now).is_some() {
            self.step(now, Input::TimerFired, output);
            self.take_turn(now, output);
        }
    }

    /// It is about to end, and says so.
    pub fn leave(&mut self, now: Time, output: &mut Output) {
        self.step_membership(now, membership::Input::Leave, output);
    }

    fn step_membership(&mut self, now: Time, input: membership::Input, output: &mut Output) {
        let divided = self.step(now, Input::Fleet(input), output);
        self.note_generation(output);
        if divided {
            self.take_turn(now, output);
        }
    }

    /// Lets the decisions be made of all that came in.
    fn take_turn(&mut self, now: Time, output: &mut Output) {
        self.step(now, Input::TickEnded, output);
    }

    /// True if shared limits are divided anew.
    fn step(&mut self, now: Time, input: Input, output: &mut Output) -> bool {
        let mut divided = false;
        let mut effects = self.core.step(now, input);
        while !effects.is_empty() {
            let mut kept = false;
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
                    // There is no journal: all is kept at once.
                    Effect::Persist(_) => kept = true,
                    // There are no clients and no destinations.
                    _ => {}
                }
            }
            if kept {
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
                generation: view.member.incarnation,
                seen: seen(view.state),
            }),
            membership::Effect::Rejoined { .. } => output.reports.push(Report::Rejoined),
            membership::Effect::ProcessPaused(_) => output.reports.push(Report::HeldUp),
            membership::Effect::Dropped(_) => output.reports.push(Report::Refused),
            _ => {}
        }
    }

    fn note_generation(&mut self, output: &mut Output) {
        let generation = self
            .core
            .members()
            .map_or(0, |members| members.me().incarnation);
        if generation != self.generation {
            self.generation = generation;
            output.reports.push(Report::Generation(generation));
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
