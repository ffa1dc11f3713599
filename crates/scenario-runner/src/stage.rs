//! The event loop of a rehearsal: all simulated servers of a day on one thread, with one clock.
//!
//! [`play`] starts the senders, waits until they are ready and runs the loop until the day is over. Whatever passes on the
//! wire is recorded with the time at which it was noticed, and with how late that may have been.

mod clients;
mod connections;
mod destinations;
mod directory;
mod event_log;
mod fleet;
mod losses;
mod processes;
mod replies;
mod setup;
mod timers;

use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender as Channel};
use std::time::{Duration, Instant};

use cranehill_simulation::audit::{AuditEvent, Auditor, Class, Figures};
use cranehill_simulation::clients::Clients;
use cranehill_simulation::destination::{Reply, SimulatedDestination};
use cranehill_simulation::directory::{Directory, Listed};
use cranehill_simulation::fleet::Folder;
use cranehill_simulation::scenario::{Effect, Scenario};
use mio::{Events, Poll, Token, Waker};
use rand_chacha::ChaCha8Rng;

use crate::network::{Direct, Network};
use crate::senders::{IncarnationEvent, Process};
use crate::{Outcome, Plan, RunError, resource_usage};
use connections::{Connection, ConnectionId, Listener};
use event_log::EventLog;
use timers::{Timer, TimerQueue};

/// Token of the waker, by which the threads that read the senders' logs interrupt a poll.
const WAKE: Token = Token(usize::MAX);
/// Events that one poll returns at most.
const EVENTS_PER_POLL: usize = 1024;
/// The longest poll without a timer.
const POLL_MOST: Duration = Duration::from_millis(50);
/// An event that a poll returns sooner than this was there before the poll began.
const AT_ONCE: Duration = Duration::from_micros(50);
/// Time after the last deadline in which answers and final reports may still arrive.
const SETTLE: Duration = Duration::from_millis(700);
/// Reasons for a void day that are kept.
const VOID_MOST: usize = 50;

/// Plays a day. `progress` is called in each turn of the loop with the time that has passed and the latest end of the day.
pub fn play(plan: &Plan, progress: impl FnMut(Duration, Duration)) -> Result<Outcome, RunError> {
    play_through(plan, &mut Direct, progress)
}

/// As [`play`], over a network that may lie between senders and simulated servers.
pub fn play_through(
    plan: &Plan,
    network: &mut dyn Network,
    mut progress: impl FnMut(Duration, Duration),
) -> Result<Outcome, RunError> {
    let folder = tempfile::tempdir()?;
    let mut stage = Stage::set_up(plan, folder.path(), network)?;
    stage.wait_ready()?;
    stage.begin();
    network.begin(stage.begun);
    let cpu_before = resource_usage::of_this_thread();
    let latest_end = stage.latest_end();
    let mut events = Events::with_capacity(EVENTS_PER_POLL);
    loop {
        stage.turn(&mut events)?;
        let now = stage.now();
        progress(now, latest_end);
        if now >= latest_end || stage.is_settled(now) {
            stage.outcome.rig_cpu = resource_usage::of_this_thread().saturating_sub(cpu_before);
            return Ok(stage.finish());
        }
    }
}

/// All simulated servers and senders of a day, and what the loop knows of them.
struct Stage<'a> {
    plan: &'a Plan,
    scenario: &'a Scenario,
    poll: Poll,
    waker: Arc<Waker>,
    /// When the day began, as an instant and since 1970.
    begun: Instant,
    begun_unix: Duration,
    /// By token, from 0; connections have the tokens that follow.
    listeners: Vec<Listener>,
    connections: HashMap<ConnectionId, Connection>,
    next_connection: ConnectionId,
    /// Numbers calls, and connections for the auditor.
    next_serial: u64,
    /// All destinations' endpoints.
    endpoints: Vec<Endpoint>,
    next_audited_endpoint: usize,
    destinations: Vec<SimulatedDestination>,
    /// Replies of destinations that are not due yet, by the serial of their call.
    replies: HashMap<u64, Reply>,
    directory: Directory,
    clients: Clients,
    /// When the next message is submitted, if a timer is set for it.
    next_arrival: Option<Duration>,
    /// Messages that were accepted, or posted, and have not ended, with the sender that has them.
    pending: BTreeMap<String, usize>,
    senders: Vec<Sender>,
    /// Whose turn it is to be sent a message by the load balancer.
    next_sender: usize,
    process_events: (Channel<IncarnationEvent>, Receiver<IncarnationEvent>),
    timers: TimerQueue,
    log: EventLog,
    /// Draws where journals are damaged.
    damage_rng: ChaCha8Rng,
    outcome: Outcome,
}

/// One endpoint of a destination.
#[derive(Debug)]
struct Endpoint {
    destination: usize,
    /// Its number at the destination.
    number: usize,
    /// Its id in the directory's list, and its number for the auditor. An endpoint that replaces it has new ones.
    id: String,
    audited: usize,
    /// Its address for each sender.
    addresses: Vec<SocketAddr>,
}

/// One sender under test.
#[derive(Debug)]
struct Sender {
    process: Process,
    /// The load balancer sends it new connections.
    routed: bool,
    /// Its end is the day's doing, or was reported already.
    end_expected: bool,
    restart: Restart,
    /// Connections of clients without a request.
    idle: IdleConnections,
    /// The state of each endpoint that the directory has told it.
    notified: BTreeMap<usize, Listed>,
}

/// What follows the end of a sender's process.
#[derive(Clone, Copy, Debug)]
struct Restart {
    /// It is started again after this time, if at all.
    after: Option<Duration>,
    folder: Folder,
}

/// Connections of clients without a request, by protocol.
#[derive(Debug, Default)]
struct IdleConnections {
    resp: Vec<ConnectionId>,
    web_push: Vec<ConnectionId>,
}

impl Stage<'_> {
    /// Time since the day began.
    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// By then every message has been executed out of time.
    fn latest_end(&self) -> Duration {
        let longest = self
            .scenario
            .load
            .classes
            .iter()
            .map(|c| c.time_to_live)
            .max()
            .unwrap_or_default();
        self.scenario.duration + longest + SETTLE
    }

    /// The day's span is over, and every message has ended.
    fn is_settled(&self, now: Duration) -> bool {
        now >= self.scenario.duration && self.pending.is_empty() && self.clients.next().is_none()
    }

    /// Waits until the next timer at most, handles what has come, and then the timers that are due.
    fn turn(&mut self, events: &mut Events) -> Result<(), RunError> {
        let now = self.now();
        let until_timer = self
            .timers
            .next_due()
            .map_or(POLL_MOST, |at| at.saturating_sub(now));
        self.poll_once(events, until_timer.min(POLL_MOST))?;
        while let Some((due, timer)) = self.timers.pop_due(self.now()) {
            self.log.set_late(self.now().saturating_sub(due));
            self.on_timer(timer)?;
        }
        Ok(())
    }

    /// Waits for sockets and handles their events.
    fn poll_once(&mut self, events: &mut Events, most: Duration) -> Result<(), RunError> {
        let before = self.now();
        match self.poll.poll(events, Some(most)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let after = self.now();
        // What was there at once may have come at any time since the last poll.
        let last_poll = self.outcome.lasted;
        let waited = if after - before <= AT_ONCE {
            before.saturating_sub(last_poll)
        } else {
            Duration::ZERO
        };
        self.log.note_lateness(waited);
        let tokens: Vec<Token> = events.iter().map(mio::event::Event::token).collect();
        for token in tokens {
            self.log.late = waited + (self.now() - after);
            match token {
                WAKE => self.on_process_events(),
                Token(n) if n < self.listeners.len() => self.accept(n),
                Token(n) => self.on_socket(ConnectionId(n)),
            }
        }
        self.outcome.lasted = after;
        Ok(())
    }

    fn on_timer(&mut self, timer: Timer) -> Result<(), RunError> {
        match timer {
            Timer::Arrival { at } => self.on_arrival(at),
            Timer::ClientTimeout { connection, id } => self.on_client_timeout(connection, &id),
            Timer::Unrouted { id } => self.client_unanswered(&id),
            Timer::Reply { connection, serial } => self.on_reply_due(connection, serial),
            Timer::CloseIdle { connection, used } => self.close_idle(connection, used),
            Timer::Watch { connection } => self.answer_watch(connection),
            Timer::ListChange(n) => self.change_list(n),
            Timer::Signal(n) => self.on_signal(n),
            Timer::FaultEdge { endpoint } => self.reset_connections_of(endpoint),
            Timer::OutageEnd { destination } => self.record_recovery(destination),
            Timer::AwaitExit { sender, kill_at } => self.await_exit(sender, kill_at),
            Timer::StopRouting { sender } => self.stop_routing(sender),
            Timer::Start { sender } => self.restart(sender)?,
            Timer::FleetAct(n) => self.on_fleet_act(n),
            Timer::KillDuringUpgrade { sender, which } => self.kill_during_upgrade(sender, which),
            Timer::Resume { sender } => self.resume(sender),
        }
        Ok(())
    }

    fn record(&mut self, sender: Option<usize>, what: AuditEvent, wire: &str) {
        let now = self.now();
        self.log.record(now, sender, what, wire);
    }

    /// Notes why the day can't be judged.
    fn void(&mut self, why: String) {
        if self.outcome.void.len() < VOID_MOST {
            self.outcome.void.push(why);
        }
    }

    /// Ends the senders and has the day audited.
    fn finish(mut self) -> Outcome {
        let end = self.now();
        self.outcome.began = self.begun_unix;
        self.outcome.views = self.fleet_views();
        self.outcome.senders = self
            .senders
            .iter()
            .map(|s| s.process.resource_usage())
            .collect();
        self.senders.iter_mut().for_each(|s| s.process.kill());
        let classes = self
            .scenario
            .classes
            .iter()
            .map(|c| audited_class(c.effect))
            .collect();
        let mut auditor = Auditor::new(Figures::default(), classes);
        self.log.lines.iter().for_each(|l| auditor.hear(l));
        let lateness = self.log.lateness();
        Outcome {
            verdicts: auditor.verdicts(end, lateness.usual),
            worth: self.clients.worth(),
            worth_over_time: self.clients.worth_over_time(),
            late: (lateness.most, lateness.usual),
            lasted: end,
            lines: self.log.lines,
            ..self.outcome
        }
    }
}

/// The id in the directory's list of the endpoint with this number for the auditor.
fn endpoint_id(audited: usize) -> String {
    format!("s-{audited:08x}")
}

fn audited_class(effect: Effect) -> Class {
    match effect {
        Effect::Safe => Class::Safe,
        Effect::Keyed { window } => Class::Keyed { window },
        Effect::Unsafe => Class::Unsafe,
    }
}
