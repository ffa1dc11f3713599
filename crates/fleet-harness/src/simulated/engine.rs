//! Runs members on any network: their timers, scheduled actions on them, and network faults on their packets.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranehill_scenario_runner::timer_queue::TimerQueue;
use cranehill_scheduler::Time;
use cranehill_simulation::fleet::MemberAction;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::member::{Member, Output, Packet, Report, Setup};
use super::observer::{Observation, Observed};
use super::plan::SimulatedFleetError;
use super::script::Script;
use super::traffic::Traffic;
use super::usage;
use crate::path_faults::{PacketOutcome, outcome};

/// Carries packets between members.
pub(super) trait Network {
    /// A member begins to listen.
    fn open(&mut self, member: usize) -> io::Result<()>;

    /// A member's process has ended.
    fn close(&mut self, member: usize);

    /// Sends a packet; `to` is `None` for a receiver outside of the engine's address book. Returns the latency after
    /// which the engine itself is to deliver it, on a network that does not.
    fn send(&mut self, from: usize, to: Option<usize>, packet: &Packet) -> Option<Duration>;
}

/// Where members reach each other.
#[derive(Clone, Debug, Default)]
pub(super) struct AddressBook {
    by_address: HashMap<SocketAddr, usize>,
}

impl AddressBook {
    /// Addresses by the index of the member.
    pub(super) fn new(addresses: &[SocketAddr]) -> AddressBook {
        AddressBook {
            by_address: addresses
                .iter()
                .enumerate()
                .map(|(n, at)| (*at, n))
                .collect(),
        }
    }

    /// The member with this address.
    pub(super) fn member(&self, address: &SocketAddr) -> Option<usize> {
        self.by_address.get(address).copied()
    }
}

/// State that all engines of a fleet share.
#[derive(Clone, Debug)]
pub(super) struct Common {
    /// Members by address.
    pub addresses: Arc<AddressBook>,
    /// Counters.
    pub traffic: Arc<Traffic>,
    /// Network faults and scheduled actions.
    pub script: Arc<Script>,
    /// Members before this one are real processes: the relay applies faults of paths to them.
    pub first_simulated: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

#[derive(Debug)]
enum State {
    Absent,
    Running(Box<Member>),
    /// As after SIGSTOP.
    Stopped(Box<Member>),
}

#[derive(Debug)]
struct Slot {
    setup: Setup,
    starts: u64,
    state: State,
    /// The time of the one entry in the queue by which it is woken.
    wakes_at: Option<Time>,
}

#[derive(Debug)]
enum Event {
    Deliver { to: usize, bytes: Vec<u8> },
    Transmit { from: usize, packet: Packet },
    Wake(usize),
    ScheduledAction(usize),
    Start(usize),
    Resume(usize),
}

/// Runs a contiguous range of the fleet's members.
#[derive(Debug)]
pub(super) struct Engine<N> {
    /// Carries packets.
    pub network: N,
    common: Common,
    /// Index of the first slot's member.
    first: usize,
    slots: Vec<Slot>,
    queue: TimerQueue<Time, Event>,
    began: Option<Time>,
    rng: ChaCha8Rng,
    observations: Vec<Observation>,
    /// Processor time of the members' steps, where it is measured.
    steps_cpu: Option<Duration>,
}

impl<N: Network> Engine<N> {
    /// `setups` are those of consecutive members.
    pub(super) fn new(
        common: Common,
        setups: Vec<Setup>,
        network: N,
        measure_steps: bool,
    ) -> Engine<N> {
        let first = setups.first().map_or(0, |setup| setup.index);
        let slot = |setup| Slot {
            setup,
            starts: 0,
            state: State::Absent,
            wakes_at: None,
        };
        Engine {
            network,
            rng: ChaCha8Rng::seed_from_u64(common.seed ^ (first as u64).rotate_left(32)),
            common,
            first,
            slots: setups.into_iter().map(slot).collect(),
            queue: TimerQueue::default(),
            began: None,
            observations: Vec::new(),
            steps_cpu: measure_steps.then_some(Duration::ZERO),
        }
    }

    /// Starts all members.
    pub(super) fn start_all(&mut self, now: Time) -> Result<(), SimulatedFleetError> {
        let members = self.first..self.first + self.slots.len();
        members
            .into_iter()
            .try_for_each(|member| self.start(now, member))
    }

    /// Starts all members one after the other.
    pub(super) fn start_later(&mut self, at: Time, between: Duration) {
        for slot in 0..self.slots.len() {
            self.queue
                .push(at + between * slot as u32, Event::Start(self.first + slot));
        }
    }

    /// The script's clock starts.
    pub(super) fn begin(&mut self, at: Time) {
        self.began = Some(at);
        let scheduled_actions: Vec<Duration> = self
            .common
            .script
            .scheduled_actions
            .iter()
            .map(|scheduled| scheduled.at)
            .collect();
        for (number, after) in scheduled_actions.into_iter().enumerate() {
            self.queue.push(at + after, Event::ScheduledAction(number));
        }
    }

    /// When the next event is due.
    pub(super) fn due(&self) -> Option<Time> {
        self.queue.next_due()
    }

    /// Runs the next event, if it is due by `until`; `now` is that or later.
    pub(super) fn run_next(&mut self, until: Time, now: Time) -> Result<bool, SimulatedFleetError> {
        let Some((at, event)) = self.queue.pop_due(until) else {
            return Ok(false);
        };
        match event {
            Event::Deliver { to, bytes } => self.receive(now, to, bytes),
            Event::Transmit { from, packet } => self.deliver(now, from, packet),
            Event::Wake(member) => self.wake(now, at, member),
            Event::ScheduledAction(number) => self.run_action(now, number),
            Event::Start(member) => self.start(now, member)?,
            Event::Resume(member) => self.resume(now, member),
        }
        Ok(true)
    }

    /// A packet has arrived at a member's socket.
    pub(super) fn receive(&mut self, now: Time, member: usize, bytes: Vec<u8>) {
        let State::Running(running) = &mut self.slots[member - self.first].state else {
            return;
        };
        self.common.traffic.received(member, bytes.len());
        let mut output = Output::default();
        let before = self.steps_cpu.map(|_| usage::thread_cpu());
        running.receive(now, bytes, &mut output);
        self.note_cpu(before);
        self.carry_out(now, member, output);
    }

    /// Observations since the last call.
    pub(super) fn observations(&mut self) -> std::vec::Drain<'_, Observation> {
        self.observations.drain(..)
    }

    /// Processor time of the members' steps, where it is measured.
    pub(super) fn steps_cpu(&self) -> Duration {
        self.steps_cpu.unwrap_or_default()
    }

    fn observe(&mut self, at: Time, by: usize, what: Observed) {
        self.observations.push(Observation { at, by, what });
    }

    fn start(&mut self, now: Time, member: usize) -> Result<(), SimulatedFleetError> {
        let slot = &mut self.slots[member - self.first];
        if !matches!(slot.state, State::Absent) {
            return Ok(());
        }
        slot.starts += 1;
        let seed =
            self.common.seed ^ (member as u64 + 1).rotate_left(20) ^ slot.starts.rotate_left(50);
        self.network.open(member)?;
        let mut output = Output::default();
        let started = Member::start(
            &self.slots[member - self.first].setup,
            seed,
            now,
            &mut output,
        )?;
        self.slots[member - self.first].state = State::Running(Box::new(started));
        self.observe(now, member, Observed::Started);
        self.carry_out(now, member, output);
        Ok(())
    }

    /// Ends a member that sends nothing of it.
    fn crash(&mut self, now: Time, member: usize) {
        let slot = &mut self.slots[member - self.first];
        if matches!(slot.state, State::Absent) {
            return;
        }
        slot.state = State::Absent;
        slot.wakes_at = None;
        self.network.close(member);
        self.observe(now, member, Observed::Crashed);
    }

    /// Ends a member that announces it.
    fn end(&mut self, now: Time, member: usize) {
        let slot = &mut self.slots[member - self.first];
        let State::Running(mut running) = std::mem::replace(&mut slot.state, State::Absent) else {
            return;
        };
        slot.wakes_at = None;
        let mut output = Output::default();
        running.leave(now, &mut output);
        self.observe(now, member, Observed::Ended);
        self.carry_out(now, member, output);
        self.network.close(member);
    }

    /// Carries out a scheduled action on the members here.
    fn run_action(&mut self, now: Time, number: usize) {
        let script = Arc::clone(&self.common.script);
        let scheduled = &script.scheduled_actions[number];
        let here = self.first..self.first + self.slots.len();
        for &member in scheduled
            .senders
            .iter()
            .filter(|member| here.contains(member))
        {
            match scheduled.action {
                MemberAction::Kill { back, .. } => {
                    self.crash(now, member);
                    self.start_again(now, member, back);
                }
                MemberAction::Term { back, .. } => {
                    self.end(now, member);
                    self.start_again(now, member, back);
                }
                MemberAction::Stop { duration } => {
                    self.stop(now, member);
                    self.queue.push(now + duration, Event::Resume(member));
                }
                // A simulated member has no process to replace.
                MemberAction::Upgrade { .. } => {}
            }
        }
    }

    fn start_again(&mut self, now: Time, member: usize, back: Option<Duration>) {
        if let Some(back) = back {
            self.queue.push(now + back, Event::Start(member));
        }
    }

    fn stop(&mut self, now: Time, member: usize) {
        self.observe(now, member, Observed::Stopped);
        let slot = &mut self.slots[member - self.first];
        slot.state = match std::mem::replace(&mut slot.state, State::Absent) {
            State::Running(member) => State::Stopped(member),
            other => other,
        };
    }

    fn resume(&mut self, now: Time, member: usize) {
        self.observe(now, member, Observed::Resumed);
        let slot = &mut self.slots[member - self.first];
        slot.state = match std::mem::replace(&mut slot.state, State::Absent) {
            State::Stopped(member) => State::Running(member),
            other => other,
        };
        slot.wakes_at = Some(now);
        self.queue.push(now, Event::Wake(member));
    }

    fn wake(&mut self, now: Time, at: Time, member: usize) {
        let slot = &mut self.slots[member - self.first];
        if slot.wakes_at != Some(at) {
            return;
        }
        slot.wakes_at = None;
        let State::Running(running) = &mut slot.state else {
            return;
        };
        let mut output = Output::default();
        let before = self.steps_cpu.map(|_| usage::thread_cpu());
        running.wake(now, &mut output);
        self.note_cpu(before);
        self.carry_out(now, member, output);
    }

    fn note_cpu(&mut self, before: Option<Duration>) {
        if let (Some(sum), Some(before)) = (&mut self.steps_cpu, before) {
            *sum += usage::thread_cpu().saturating_sub(before);
        }
    }

    fn carry_out(&mut self, now: Time, member: usize, output: Output) {
        for report in output.reports {
            if let Some(what) = self.observed(report) {
                self.observe(now, member, what);
            }
        }
        for packet in output.packets {
            self.transmit(now, member, packet);
        }
        let slot = &mut self.slots[member - self.first];
        let State::Running(running) = &slot.state else {
            return;
        };
        let due = running.due().map(|due| due.max(now));
        if due != slot.wakes_at {
            slot.wakes_at = due;
            if let Some(due) = due {
                self.queue.push(due, Event::Wake(member));
            }
        }
    }

    fn observed(&self, report: Report) -> Option<Observed> {
        Some(match report {
            Report::Incarnation(incarnation) => Observed::Incarnation(incarnation),
            Report::Sees {
                address,
                incarnation,
                seen,
            } => Observed::Sees {
                member: self.common.addresses.member(&address)?,
                incarnation,
                seen,
            },
            Report::Senders(senders) => Observed::Senders(senders),
            Report::ProcessPaused => Observed::ProcessPaused,
            Report::PacketDropped => Observed::PacketDropped,
            Report::Rejoined => Observed::Rejoined,
        })
    }

    /// A member sends a packet: it is counted, and lost or delayed by network faults.
    fn transmit(&mut self, now: Time, from: usize, packet: Packet) {
        self.common.traffic.sent(from, packet.bytes.len());
        match self.outcome(now, from, &packet) {
            PacketOutcome::Lost => self.common.traffic.lose(),
            PacketOutcome::Through { at } => match self.began {
                Some(began) if began + at > now => {
                    self.queue
                        .push(began + at, Event::Transmit { from, packet });
                }
                _ => self.deliver(now, from, packet),
            },
        }
    }

    fn outcome(&mut self, now: Time, from: usize, packet: &Packet) -> PacketOutcome {
        let through = PacketOutcome::Through { at: Duration::ZERO };
        let Some(began) = self.began else {
            return through;
        };
        let Some(to) = self.common.addresses.member(&packet.to) else {
            return through;
        };
        if to < self.common.first_simulated || self.common.script.network_faults.is_empty() {
            return through;
        }
        outcome(
            &self.common.script.network_faults,
            from,
            to,
            now - began,
            &mut self.rng,
        )
    }

    fn deliver(&mut self, now: Time, from: usize, packet: Packet) {
        let to = self.common.addresses.member(&packet.to);
        if let (Some(latency), Some(to)) = (self.network.send(from, to, &packet), to) {
            self.queue.push(
                now + latency,
                Event::Deliver {
                    to,
                    bytes: packet.bytes,
                },
            );
        }
    }
}
