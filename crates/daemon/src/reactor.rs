//! The event loop: it carries out the core's effects on sockets, files and timers, and passes what happens there to the core as
//! inputs. It runs on one thread, which blocks only in the poll.
//!
//! The core makes every decision. The reactor owns the components that have sockets, files and timers, dispatches events to them,
//! and passes inputs and effects between them and the core. The components don't depend on the reactor:
//! connections (`connection_table`, `listeners`), clients (`client_ingress`, `drain`), destinations (`upstream`), the platform
//! (`discovery_client`, `final_report_sender`, `config_reload`), the state folder (`journal_writer`, `state_store`,
//! `handover_endpoint`), the fleet (`fleet_endpoint`) and shutdown (`shutdown`).

mod clients;
mod control;
mod destinations;
mod effects;
mod events;
mod fleet;
mod handover;
mod operators;
mod options;
mod platform;
mod shutdown;
mod start;
mod timers;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cranehill_core::{Core, Input};
use cranehill_membership as membership;
use cranehill_scheduler::Time;
use mio::Events;

use crate::client_ingress::ClientIngress;
use crate::clock::Clock;
use crate::config_reload::ConfigReload;
use crate::connection_table::ConnectionTable;
use crate::discovery_client::DiscoveryClient;
use crate::drain::Drain;
use crate::final_report_sender::FinalReportSender;
use crate::fleet_endpoint::FleetEndpoint;
use crate::handover::FolderLock;
use crate::handover_endpoint::HandoverEndpoint;
use crate::journal_writer::JournalWriter;
use crate::listeners::{self, Listeners};
use crate::platform_settings::PlatformSettings;
use crate::shutdown::Shutdown;
use crate::state_store::StateStore;
use crate::tokens::STOP;
use crate::upstream::UpstreamPool;
use crate::webpush::WebPushGateway;

pub use self::control::{ControlCommand, StopHandle};
pub use self::options::{ReactorOptions, StartError};
pub use crate::config_reload::ConfigReader;
pub use crate::handover::HandoverError;
pub use crate::journal_writer::{JournalOpenError, State};
pub use crate::listeners::ListenError;
pub use crate::tokens::SIGNALS;

/// Limit on the events that one call of the poll returns.
const MAX_EVENTS_PER_ITERATION: usize = 512;
/// Added to the poll's timeout, since the operating system may round the timeout down.
const TIMEOUT_MARGIN: Duration = Duration::from_micros(50);

/// A running sender.
pub struct Reactor {
    clock: Clock,
    platform_settings: PlatformSettings,
    core: Core,
    /// An input has changed something that the next tick must take into account.
    dirty: bool,
    last_tick: Time,
    /// Times at which the core asked to be woken.
    wakeups: BTreeSet<Time>,
    connections: ConnectionTable,
    listeners: Listeners,
    ingress: ClientIngress,
    web_push: Option<WebPushGateway>,
    drain: Drain,
    upstream: UpstreamPool,
    discovery: DiscoveryClient,
    final_reports: FinalReportSender,
    reload: ConfigReload,
    journal: JournalWriter,
    state_store: StateStore,
    handover: Option<HandoverEndpoint>,
    fleet: Option<FleetEndpoint>,
    shutdown: Shutdown,
    stop_requested: Arc<AtomicBool>,
    /// Released when the process ends, also after a hand-over.
    _folder_lock: Option<FolderLock>,
}

impl Reactor {
    /// The addresses on which clients connect, and application servers (Web Push).
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        (
            listeners::local_address(self.listeners.clients.as_ref()),
            listeners::local_address(self.listeners.web_push.as_ref()),
        )
    }

    /// The address of the operators' HTTP interface.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        listeners::local_address(self.listeners.operators.as_ref())
    }

    /// The poll's registry. The caller may register a source of signals there, with the token [`SIGNALS`].
    pub fn registry(&self) -> &mio::Registry {
        self.connections.registry()
    }

    /// A handle that ends [`Reactor::run`] from another thread, immediately and without the phases of a shutdown.
    ///
    /// # Errors
    /// No file descriptor is available for waking the poll.
    pub fn stop_handle(&self) -> io::Result<StopHandle> {
        let waker = mio::Waker::new(self.connections.registry(), STOP)?;
        Ok(StopHandle::new(self.stop_requested.clone(), waker))
    }

    /// Starts the shutdown, as on SIGTERM.
    pub fn stop(&mut self) {
        if self.shutdown.begin(self.clock.now()) {
            let (pending, reports) = self.core.pending_and_report_counts();
            log::info!("shutting down: {pending} messages pending, {reports} final reports due");
            self.step_fleet(membership::Input::Leave);
        }
    }

    /// Runs the event loop until the process may end. `commands` is called after each wake-up, and returns the commands received
    /// since.
    ///
    /// # Errors
    /// The poll fails.
    pub fn run(&mut self, mut commands: impl FnMut() -> Vec<ControlCommand>) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_ITERATION);
        loop {
            for command in commands() {
                match command {
                    ControlCommand::Stop => self.stop(),
                    ControlCommand::Reload => self.reload.request(self.clock.now()),
                }
            }
            if self.stop_requested.load(Ordering::Relaxed) {
                return Ok(());
            }
            if self.run_once(&mut events)? {
                self.log_unanswered_clients();
                let (pending, reports) = self.core.pending_and_report_counts();
                let violations = self.core.violations;
                log::info!(
                    "stopped: {pending} messages and {reports} final reports remain in the journal; violations: {violations:?}"
                );
                return Ok(());
            }
        }
    }

    /// Runs one iteration of the event loop; true once the process may end.
    fn run_once(&mut self, events: &mut Events) -> io::Result<bool> {
        let now = self.clock.now();
        let timeout = self
            .next_wakeup(now)
            .map(|wakeup| wakeup - now + TIMEOUT_MARGIN);
        self.connections.wait(events, timeout)?;
        self.dispatch(events);
        for id in self.connections.take_resumed() {
            self.process_connection(id);
        }
        self.run_timers();
        self.close_draining_clients();
        self.end_tick();
        let now = self.clock.now();
        self.ingress.grant_room(&mut self.connections, now);
        self.send_final_reports();
        Ok(self.continue_handover() || self.continue_shutdown())
    }

    /// Ends the tick if its interval has passed, and compacts the journal. As in the simulator, the core decides once a tick about
    /// everything that arrived during it.
    fn end_tick(&mut self) {
        let now = self.clock.now();
        if self.dirty && now - self.last_tick >= self.platform_settings.settings.tick {
            self.last_tick = now;
            self.dirty = false;
            let effects = self.core.step(now, Input::TickEnded);
            self.carry_out(effects);
            self.journal.end_tick();
        }
        if self
            .journal
            .compaction_due(now)
            .is_some_and(|due| due <= now)
        {
            self.journal.compact(self.clock.now());
        }
    }
}
