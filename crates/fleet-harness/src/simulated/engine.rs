//! Runs simulated members on a network: their timers, the scheduled actions on them, and the network faults on their packets.

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
use super::observer::{MemberEvent, Observation};
use super::plan::SimulatedFleetError;
use super::script::Script;
use super::traffic::Traffic;
use super::usage;
use crate::path_faults::{PacketOutcome, outcome};

/// A network that carries packets between members.
pub(super) trait Network {
    /// Opens a member's socket.
    fn open(&mut self, member: usize) -> io::Result<()>;

    /// Closes the socket of a member that has ended.
    fn close(&mut self, member: usize);

    /// Sends a packet; `to` is `None` if the receiver is not in the address book. A simulated network, which does not deliver
    /// packets, returns the latency after which the engine must deliver this one.
    fn send(&mut self, from: usize, to: Option<usize>, packet: &Packet) -> Option<Duration>;
}

/// Member numbers by the address at which the member receives packets.
#[derive(Clone, Debug, Default)]
pub(super) struct AddressBook {
    by_address: HashMap<SocketAddr, usize>,
}

impl AddressBook {
    /// An address book of these addresses, given by member number.
    pub(super) fn new(addresses: &[SocketAddr]) -> AddressBook {
        AddressBook {
            by_address: addresses
                .iter()
                .enumerate()
                .map(|(n, at)| (*at, n))
                .collect(),
        }
    }

    /// The number of the member with this address.
    pub(super) fn member(&self, address: &SocketAddr) -> Option<usize> {
        self.by_address.get(address).copied()
    }
}

/// State that all engines of a fleet share.
#[derive(Clone, Debug)]
pub(super) struct Common {
    /// Member numbers by address.
    pub addresses: Arc<AddressBook>,
    /// Counters of the members' packets.
    pub traffic: Arc<Traffic>,
    /// Network faults and scheduled actions.
    pub script: Arc<Script>,
    /// Members with a smaller number are real processes; the relay applies network faults to packets to them.
    pub first_simulated: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

#[derive(Debug)]
enum State {
    /// Not started, or ended.
    Absent,
    Running(Box<Member>),
    /// Stopped as by SIGSTOP: it runs no timers and receives no packets.
    Stopped(Box<Member>),
}

#[derive(Debug)]
struct Slot {
    setup: Setup,
    starts: u64,
    state: State,
    /// Due time of the queue's entry that wakes the member. Wake entries with another time are outdated and ignored.
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
    /// The network that carries packets.
    pub network: N,
    common: Common,
    /// Number of the member in the first slot.
    first: usize,
    slots: Vec<Slot>,
    queue: TimerQueue<Time, Event>,
    began: Option<Time>,
    rng: ChaCha8Rng,
    observations: Vec<Observation>,
    /// Processor time of the members' steps; `None` if it is not measured.
    steps_cpu: Option<Duration>,
}

impl<N: Network> Engine<N> {
    /// An engine for the members in `setups`, which must have consecutive numbers. `measure_steps` measures the processor time of
    /// their steps.
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

    /// Schedules the starts of all members, from `at` on with this interval.
    pub(super) fn start_later(&mut self, at: Time, interval: Duration) {
        for slot in 0..self.slots.len() {
            self.queue
                .push(at + interval * slot as u32, Event::Start(self.first + slot));
        }
    }

    /// Starts the script's clock and schedules its actions.
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

    /// Due time of the next event; `None` if the queue is empty.
    pub(super) fn due(&self) -> Option<Time> {
        self.queue.next_due()
    }

    /// Runs the next event if it is due by `until`; false if none is. `now` must not be before `until`.
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

    /// Passes a packet to a member; one that does not run ignores it.
    pub(super) fn receive(&mut self, now: Time, member: usize, bytes: Vec<u8>) {
        let State::Running(running) = &mut self.slots[member - self.first].state else {
            return;
        };
        self.common.traffic.add_received(member, bytes.len());
        let mut output = Output::default();
        let cpu_before = self.steps_cpu.map(|_| usage::thread_cpu());
        running.receive(now, bytes, &mut output);
        self.add_step_cpu(cpu_before);
        self.execute(now, member, output);
    }

    /// Removes and returns the observations since the last call.
    pub(super) fn observations(&mut self) -> std::vec::Drain<'_, Observation> {
        self.observations.drain(..)
    }

    /// Processor time of the members' steps; zero if it is not measured.
    pub(super) fn steps_cpu(&self) -> Duration {
        self.steps_cpu.unwrap_or_default()
    }

    fn observe(&mut self, at: Time, reporter: usize, event: MemberEvent) {
        self.observations.push(Observation {
            at,
            reporter,
            event,
        });
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
        self.observe(now, member, MemberEvent::Started);
        self.execute(now, member, output);
        Ok(())
    }

    /// Ends a member without an announcement to the others.
    fn crash(&mut self, now: Time, member: usize) {
        let slot = &mut self.slots[member - self.first];
        if matches!(slot.state, State::Absent) {
            return;
        }
        slot.state = State::Absent;
        slot.wakes_at = None;
        self.network.close(member);
        self.observe(now, member, MemberEvent::Crashed);
    }

    /// Ends a member after it has announced its end to the others.
    fn end(&mut self, now: Time, member: usize) {
        let slot = &mut self.slots[member - self.first];
        let State::Running(mut running) = std::mem::replace(&mut slot.state, State::Absent) else {
            return;
        };
        slot.wakes_at = None;
        let mut output = Output::default();
        running.leave(now, &mut output);
        self.observe(now, member, MemberEvent::Ended);
        self.execute(now, member, output);
        self.network.close(member);
    }

    /// Executes a scheduled action on those of its members that this engine runs.
    fn run_action(&mut self, now: Time, number: usize) {
        let script = Arc::clone(&self.common.script);
        let scheduled = &script.scheduled_actions[number];
        let own_members = self.first..self.first + self.slots.len();
        for &member in scheduled
            .senders
            .iter()
            .filter(|member| own_members.contains(member))
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
                // A simulated member has no process that could be upgraded.
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
        self.observe(now, member, MemberEvent::Stopped);
        let slot = &mut self.slots[member - self.first];
        slot.state = match std::mem::replace(&mut slot.state, State::Absent) {
            State::Running(member) => State::Stopped(member),
            other => other,
        };
    }

    fn resume(&mut self, now: Time, member: usize) {
        self.observe(now, member, MemberEvent::Resumed);
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
        let cpu_before = self.steps_cpu.map(|_| usage::thread_cpu());
        running.wake(now, &mut output);
        self.add_step_cpu(cpu_before);
        self.execute(now, member, output);
    }

    fn add_step_cpu(&mut self, cpu_before: Option<Duration>) {
        if let (Some(sum), Some(cpu_before)) = (&mut self.steps_cpu, cpu_before) {
            *sum += usage::thread_cpu().saturating_sub(cpu_before);
        }
    }

    fn execute(&mut self, now: Time, member: usize, output: Output) {
        for report in output.reports {
            if let Some(event) = self.member_event(report) {
                self.observe(now, member, event);
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

    /// The event for a member's report; `None` if it is about an unknown address.
    fn member_event(&self, report: Report) -> Option<MemberEvent> {
        Some(match report {
            Report::Incarnation(incarnation) => MemberEvent::Incarnation(incarnation),
            Report::Sees {
                address,
                incarnation,
                seen,
            } => MemberEvent::Sees {
                member: self.common.addresses.member(&address)?,
                incarnation,
                seen,
            },
            Report::Senders(senders) => MemberEvent::Senders(senders),
            Report::ProcessPaused => MemberEvent::ProcessPaused,
            Report::PacketDropped => MemberEvent::PacketDropped,
            Report::Rejoined => MemberEvent::Rejoined,
        })
    }

    /// Counts a packet that a member sends, applies network faults, and delivers it now or later.
    fn transmit(&mut self, now: Time, from: usize, packet: Packet) {
        self.common.traffic.add_sent(from, packet.bytes.len());
        match self.outcome(now, from, &packet) {
            PacketOutcome::Lost => self.common.traffic.add_lost(),
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
