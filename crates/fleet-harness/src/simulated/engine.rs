//! Runs simulated members: fires their timers, passes packets between them and a network, and applies the script's scheduled
//! actions and network faults.

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
use crate::path_faults::{PacketOutcome, apply_faults};

/// A network that carries packets between members.
pub(super) trait Network {
    /// Opens a member's socket, before the member starts.
    fn open(&mut self, member: usize) -> io::Result<()>;

    /// Closes the socket of a member that has ended.
    fn close(&mut self, member: usize);

    /// Sends a packet; `to` is `None` if the receiver's address is not in the address book. A network of real sockets returns
    /// `None`. A simulated network only draws a latency and returns it, and the engine passes the packet to the receiver after it.
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
                .map(|(member, address)| (*address, member))
                .collect(),
        }
    }

    /// The number of the member with this address.
    pub(super) fn member(&self, address: &SocketAddr) -> Option<usize> {
        self.by_address.get(address).copied()
    }
}

/// What all engines of a fleet share. Each engine runs a part of the members.
#[derive(Clone, Debug)]
pub(super) struct SharedContext {
    /// Member numbers by address.
    pub addresses: Arc<AddressBook>,
    /// Counters of each member's packets and bytes.
    pub traffic: Arc<Traffic>,
    /// Network faults and scheduled actions.
    pub script: Arc<Script>,
    /// Members with a smaller number are real processes. The relay applies network faults to the packets that they receive, so an
    /// engine does not.
    pub first_simulated: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

#[derive(Debug)]
enum State {
    /// Not started, or ended.
    Absent,
    Running(Box<Member>),
    /// Suspended, as a process by SIGSTOP: it runs no timers and receives no packets.
    Suspended(Box<Member>),
}

/// A member of the engine, whether it runs or not.
#[derive(Debug)]
struct Slot {
    setup: Setup,
    /// Number of starts so far. Each start of a member has a different seed.
    starts: u64,
    state: State,
    /// Due time of the member's valid [`Event::Wake`]. Others in the queue are outdated and ignored.
    wakes_at: Option<Time>,
}

/// An entry of the engine's timer queue. Members are given by number.
#[derive(Debug)]
enum Event {
    /// The latency of a simulated network has passed: the member receives a packet.
    Receive { to: usize, bytes: Vec<u8> },
    /// The delay of a network fault has passed: the network sends the packet.
    SendDelayed { from: usize, packet: Packet },
    /// A timer of the member is due.
    Wake(usize),
    /// The scheduled action with this index in the script is due.
    ScheduledAction(usize),
    /// The member starts, for the first time or again.
    Start(usize),
    /// The member continues after it was suspended.
    Resume(usize),
}

/// Runs the members of a contiguous range of numbers.
#[derive(Debug)]
pub(super) struct Engine<N> {
    /// The network that carries packets.
    pub network: N,
    context: SharedContext,
    /// Number of the member in the first slot.
    first_member: usize,
    slots: Vec<Slot>,
    queue: TimerQueue<Time, Event>,
    /// Start of the script's clock; `None` before [`Engine::start_script`].
    script_start: Option<Time>,
    /// Decides which packets a network fault drops.
    rng: ChaCha8Rng,
    /// Observations since the last call of [`Engine::observations`].
    observations: Vec<Observation>,
    /// Processor time that members used to process packets and timers; `None` without measurement.
    member_cpu: Option<Duration>,
}

impl<N: Network> Engine<N> {
    /// An engine for the members in `setups`, which must have consecutive numbers. With `measure_cpu`, it measures the processor
    /// time that they use to process packets and timers.
    pub(super) fn new(
        context: SharedContext,
        setups: Vec<Setup>,
        network: N,
        measure_cpu: bool,
    ) -> Engine<N> {
        let first_member = setups.first().map_or(0, |setup| setup.index);
        let slot = |setup| Slot {
            setup,
            starts: 0,
            state: State::Absent,
            wakes_at: None,
        };
        Engine {
            network,
            rng: ChaCha8Rng::seed_from_u64(context.seed ^ (first_member as u64).rotate_left(32)),
            context,
            first_member,
            slots: setups.into_iter().map(slot).collect(),
            queue: TimerQueue::default(),
            script_start: None,
            observations: Vec::new(),
            member_cpu: measure_cpu.then_some(Duration::ZERO),
        }
    }

    /// Starts all members.
    pub(super) fn start_all(&mut self, now: Time) -> Result<(), SimulatedFleetError> {
        let members = self.first_member..self.first_member + self.slots.len();
        members
            .into_iter()
            .try_for_each(|member| self.start(now, member))
    }

    /// Schedules the start of the first member at `at`, and of each further one `interval` after the one before.
    pub(super) fn schedule_starts(&mut self, at: Time, interval: Duration) {
        for slot in 0..self.slots.len() {
            self.queue.push(
                at + interval * slot as u32,
                Event::Start(self.first_member + slot),
            );
        }
    }

    /// Starts the script's clock at `at` and schedules the script's actions. Network faults have no effect before.
    pub(super) fn start_script(&mut self, at: Time) {
        self.script_start = Some(at);
        let scheduled_actions: Vec<Duration> = self
            .context
            .script
            .scheduled_actions
            .iter()
            .map(|scheduled| scheduled.at)
            .collect();
        for (index, after) in scheduled_actions.into_iter().enumerate() {
            self.queue.push(at + after, Event::ScheduledAction(index));
        }
    }

    /// Due time of the next event; `None` if the queue is empty.
    pub(super) fn due(&self) -> Option<Time> {
        self.queue.next_due()
    }

    /// Runs the first event of the queue if it is due at or before `until`, with `now` as the current time, which must not be before
    /// `until`. Returns whether an event was due.
    pub(super) fn run_next(&mut self, until: Time, now: Time) -> Result<bool, SimulatedFleetError> {
        let Some((at, event)) = self.queue.pop_due(until) else {
            return Ok(false);
        };
        match event {
            Event::Receive { to, bytes } => self.receive(now, to, bytes),
            Event::SendDelayed { from, packet } => self.send_on_network(now, from, packet),
            Event::Wake(member) => self.wake(now, at, member),
            Event::ScheduledAction(index) => self.run_action(now, index),
            Event::Start(member) => self.start(now, member)?,
            Event::Resume(member) => self.resume(now, member),
        }
        Ok(true)
    }

    /// Passes a received packet to a member. A member that is absent or suspended loses it.
    pub(super) fn receive(&mut self, now: Time, member: usize, bytes: Vec<u8>) {
        let State::Running(running) = &mut self.slots[member - self.first_member].state else {
            return;
        };
        self.context.traffic.add_received(member, bytes.len());
        let mut output = Output::default();
        let cpu_before = self.member_cpu.map(|_| usage::thread_cpu());
        running.receive(now, bytes, &mut output);
        self.add_member_cpu(cpu_before);
        self.execute_output(now, member, output);
    }

    /// Removes and returns the observations since the last call.
    pub(super) fn observations(&mut self) -> std::vec::Drain<'_, Observation> {
        self.observations.drain(..)
    }

    /// Processor time that members used to process packets and timers; zero without measurement.
    pub(super) fn member_cpu(&self) -> Duration {
        self.member_cpu.unwrap_or_default()
    }

    /// Adds an observation of the member with number `reporter`.
    fn observe(&mut self, at: Time, reporter: usize, event: MemberEvent) {
        self.observations.push(Observation {
            at,
            reporter,
            event,
        });
    }

    /// Starts a member unless it runs or is suspended.
    fn start(&mut self, now: Time, member: usize) -> Result<(), SimulatedFleetError> {
        let slot = &mut self.slots[member - self.first_member];
        if !matches!(slot.state, State::Absent) {
            return Ok(());
        }
        slot.starts += 1;
        let seed =
            self.context.seed ^ (member as u64 + 1).rotate_left(20) ^ slot.starts.rotate_left(50);
        self.network.open(member)?;
        let mut output = Output::default();
        let started = Member::start(
            &self.slots[member - self.first_member].setup,
            seed,
            now,
            &mut output,
        )?;
        self.slots[member - self.first_member].state = State::Running(Box::new(started));
        self.observe(now, member, MemberEvent::Started);
        self.execute_output(now, member, output);
        Ok(())
    }

    /// Ends a member without an announcement to the others.
    fn crash(&mut self, now: Time, member: usize) {
        let slot = &mut self.slots[member - self.first_member];
        if matches!(slot.state, State::Absent) {
            return;
        }
        slot.state = State::Absent;
        slot.wakes_at = None;
        self.network.close(member);
        self.observe(now, member, MemberEvent::Crashed);
    }

    /// Ends a running member after it announced to the others that it leaves.
    fn end(&mut self, now: Time, member: usize) {
        let slot = &mut self.slots[member - self.first_member];
        let State::Running(mut running) = std::mem::replace(&mut slot.state, State::Absent) else {
            return;
        };
        slot.wakes_at = None;
        let mut output = Output::default();
        running.leave(now, &mut output);
        self.observe(now, member, MemberEvent::Ended);
        self.execute_output(now, member, output);
        self.network.close(member);
    }

    /// Executes a scheduled action on those of its members that belong to this engine.
    fn run_action(&mut self, now: Time, index: usize) {
        let script = Arc::clone(&self.context.script);
        let scheduled = &script.scheduled_actions[index];
        let own_members = self.first_member..self.first_member + self.slots.len();
        for &member in scheduled
            .senders
            .iter()
            .filter(|member| own_members.contains(member))
        {
            match scheduled.action {
                MemberAction::Kill { back, .. } => {
                    self.crash(now, member);
                    self.schedule_restart(now, member, back);
                }
                MemberAction::Term { back, .. } => {
                    self.end(now, member);
                    self.schedule_restart(now, member, back);
                }
                MemberAction::Stop { duration } => {
                    self.suspend(now, member);
                    self.queue.push(now + duration, Event::Resume(member));
                }
                // A simulated member has no process that could be upgraded.
                MemberAction::Upgrade { .. } => {}
            }
        }
    }

    fn schedule_restart(&mut self, now: Time, member: usize, restart_delay: Option<Duration>) {
        if let Some(restart_delay) = restart_delay {
            self.queue.push(now + restart_delay, Event::Start(member));
        }
    }

    fn suspend(&mut self, now: Time, member: usize) {
        self.observe(now, member, MemberEvent::Stopped);
        let slot = &mut self.slots[member - self.first_member];
        slot.state = match std::mem::replace(&mut slot.state, State::Absent) {
            State::Running(member) => State::Suspended(member),
            other => other,
        };
    }

    fn resume(&mut self, now: Time, member: usize) {
        self.observe(now, member, MemberEvent::Resumed);
        let slot = &mut self.slots[member - self.first_member];
        slot.state = match std::mem::replace(&mut slot.state, State::Absent) {
            State::Suspended(member) => State::Running(member),
            other => other,
        };
        slot.wakes_at = Some(now);
        self.queue.push(now, Event::Wake(member));
    }

    /// Runs the member's due timers, unless the wake event from time `at` is outdated.
    fn wake(&mut self, now: Time, at: Time, member: usize) {
        let slot = &mut self.slots[member - self.first_member];
        if slot.wakes_at != Some(at) {
            return;
        }
        slot.wakes_at = None;
        let State::Running(running) = &mut slot.state else {
            return;
        };
        let mut output = Output::default();
        let cpu_before = self.member_cpu.map(|_| usage::thread_cpu());
        running.wake(now, &mut output);
        self.add_member_cpu(cpu_before);
        self.execute_output(now, member, output);
    }

    fn add_member_cpu(&mut self, cpu_before: Option<Duration>) {
        if let (Some(sum), Some(cpu_before)) = (&mut self.member_cpu, cpu_before) {
            *sum += usage::thread_cpu().saturating_sub(cpu_before);
        }
    }

    /// Records a member's reports, sends its packets, and schedules its next wake event.
    fn execute_output(&mut self, now: Time, member: usize, output: Output) {
        for report in output.reports {
            if let Some(event) = self.member_event(report) {
                self.observe(now, member, event);
            }
        }
        for packet in output.packets {
            self.send_with_faults(now, member, packet);
        }
        let slot = &mut self.slots[member - self.first_member];
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

    /// Converts a member's report to an event; `None` if the address in it is not in the address book.
    fn member_event(&self, report: Report) -> Option<MemberEvent> {
        Some(match report {
            Report::Incarnation(incarnation) => MemberEvent::Incarnation(incarnation),
            Report::Sees {
                address,
                incarnation,
                seen,
            } => MemberEvent::Sees {
                member: self.context.addresses.member(&address)?,
                incarnation,
                seen,
            },
            Report::Senders(senders) => MemberEvent::Senders(senders),
            Report::ProcessPaused => MemberEvent::ProcessPaused,
            Report::PacketDropped => MemberEvent::PacketDropped,
            Report::Rejoined => MemberEvent::Rejoined,
        })
    }

    /// Counts a packet that a member sends, applies network faults, and sends it on the network now or after a delay.
    fn send_with_faults(&mut self, now: Time, from: usize, packet: Packet) {
        self.context.traffic.add_sent(from, packet.bytes.len());
        match self.packet_outcome(now, from, &packet) {
            PacketOutcome::Lost => self.context.traffic.add_lost(),
            PacketOutcome::Delivered { at } => match self.script_start {
                Some(script_start) if script_start + at > now => {
                    self.queue
                        .push(script_start + at, Event::SendDelayed { from, packet });
                }
                _ => self.send_on_network(now, from, packet),
            },
        }
    }

    /// The effect of the script's network faults on a packet. Before the script starts there are none.
    fn packet_outcome(&mut self, now: Time, from: usize, packet: &Packet) -> PacketOutcome {
        let undelayed = PacketOutcome::Delivered { at: Duration::ZERO };
        let Some(script_start) = self.script_start else {
            return undelayed;
        };
        let Some(to) = self.context.addresses.member(&packet.to) else {
            return undelayed;
        };
        if to < self.context.first_simulated || self.context.script.network_faults.is_empty() {
            return undelayed;
        }
        apply_faults(
            &self.context.script.network_faults,
            from,
            to,
            now - script_start,
            &mut self.rng,
        )
    }

    /// Sends a packet on the network. If the network is simulated, schedules its arrival.
    fn send_on_network(&mut self, now: Time, from: usize, packet: Packet) {
        let to = self.context.addresses.member(&packet.to);
        if let (Some(latency), Some(to)) = (self.network.send(from, to, &packet), to) {
            self.queue.push(
                now + latency,
                Event::Receive {
                    to,
                    bytes: packet.bytes,
                },
            );
        }
    }
}
