//! Senders that are members of a fleet: their addresses, scheduled actions on their processes, and their views of the fleet at the end.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::fleet::{MemberAction, ScheduledAction, Which};
use cranehill_simulation::scenario::Scenario;
use serde_json::Value;

use super::state::{Restart, Runner};
use super::timers::Timer;
use crate::network::Network;
use crate::senders::FleetSettings;

/// Timeout for connecting to a sender, and for reading its view of the fleet.
const VIEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of senders in each sender's list of seeds, which it contacts first.
const SEEDS: usize = 3;

/// The fleet settings of each sender; empty for a scenario without a fleet.
pub(super) fn addresses(
    scenario: &Scenario,
    network: &mut dyn Network,
) -> io::Result<Vec<FleetSettings>> {
    let Some(fleet) = &scenario.fleet else {
        return Ok(Vec::new());
    };
    let mut settings = Vec::new();
    for sender in 0..scenario.senders {
        // The address depends on this process's id, so that concurrent runs do not use the same one. The port that the system chose is
        // therefore still free when the sender starts or restarts.
        let ip = Ipv4Addr::new(127, 1, (std::process::id() % 250) as u8, 1 + sender as u8);
        let listen = UdpSocket::bind((ip, 0))?.local_addr()?;
        let advertise = network.sender_address(sender, listen)?;
        settings.push(FleetSettings {
            listen,
            advertise,
            seeds: Vec::new(),
            fleet: fleet.clone(),
        });
    }
    let senders: Vec<SocketAddr> = settings.iter().map(|member| member.advertise).collect();
    let others = network.join(fleet, &senders)?;
    let seeds: Vec<SocketAddr> = senders.into_iter().take(SEEDS).chain(others).collect();
    settings
        .iter_mut()
        .for_each(|member| member.seeds.clone_from(&seeds));
    Ok(settings)
}

impl Runner<'_> {
    /// Performs a scheduled action on senders' processes.
    pub(super) fn on_fleet_action(&mut self, index: usize) {
        let ScheduledAction {
            senders, action, ..
        } = self.scenario.scheduled_actions[index].clone();
        let now = self.now();
        // Higher numbers are simulated members; the network performs the action on them.
        for sender in senders
            .into_iter()
            .filter(|&sender| sender < self.scenario.senders)
        {
            match action {
                MemberAction::Stop { duration } => {
                    self.stop(sender);
                    self.timers.push(now + duration, Timer::Resume { sender });
                }
                MemberAction::Kill { back, folder } => self.kill(
                    sender,
                    Restart {
                        after: back,
                        folder,
                    },
                ),
                MemberAction::Term { back, folder } => self.terminate(
                    sender,
                    Restart {
                        after: back,
                        folder,
                    },
                ),
                MemberAction::Upgrade { kill } => {
                    self.upgrade(sender);
                    if let Some((which, after)) = kill {
                        self.timers
                            .push(now + after, Timer::KillDuringUpgrade { sender, which });
                    }
                }
            }
        }
    }

    /// Stops a sender's process by SIGSTOP.
    fn stop(&mut self, sender: usize) {
        self.record(Some(sender), AuditEvent::Signalled, "SIGSTOP");
        self.senders[sender].process.signal("STOP");
        // The load balancer detects that the sender does not respond.
        self.senders[sender].routed = false;
    }

    /// Continues a stopped process by SIGCONT.
    pub(super) fn resume(&mut self, sender: usize) {
        self.record(Some(sender), AuditEvent::Ready, "SIGCONT");
        let entry = &mut self.senders[sender];
        entry.process.signal("CONT");
        entry.routed = entry.process.is_ready();
    }

    /// Starts a second process of a sender, to which the first one hands its state over.
    fn upgrade(&mut self, sender: usize) {
        let mutation = self.plan.mutation.as_deref();
        let sink = self.event_sink.clone();
        let started = self.senders[sender].process.start_successor(sink, mutation);
        if let Err(e) = started {
            self.outcome
                .warnings
                .push(format!("sender {sender}: upgrade failed: {e}"));
        }
    }

    /// Kills one of the two processes of an upgrade, whether or not the hand-over is complete.
    pub(super) fn kill_during_upgrade(&mut self, sender: usize, which: Which) {
        let process = &mut self.senders[sender].process;
        match which {
            // The new process recovers as after a crash.
            Which::Old => {
                if process.kill_predecessor() {
                    self.record(
                        Some(sender),
                        AuditEvent::ProcessExited,
                        "the old process was killed",
                    );
                }
            }
            Which::New => {
                if process.kill_successor() {
                    // The old process still has the state that it handed over, and continues.
                    self.record(
                        Some(sender),
                        AuditEvent::ProcessExited,
                        "the new process was killed",
                    );
                    self.record(Some(sender), AuditEvent::Ready, "the old process continues");
                } else {
                    self.kill(sender, Restart::DEFAULT);
                }
            }
        }
    }

    /// Requests each sender's view of the fleet's members; `None` for a sender that does not respond.
    pub(super) fn fleet_views(&self) -> Vec<Option<Value>> {
        self.senders
            .iter()
            .map(|sender| fetch_view(sender.process.status_address?).ok())
            .collect()
    }
}

fn fetch_view(address: SocketAddr) -> io::Result<Value> {
    let mut stream = std::net::TcpStream::connect_timeout(&address, VIEW_TIMEOUT)?;
    stream.set_read_timeout(Some(VIEW_TIMEOUT))?;
    stream.write_all(b"GET /_status HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok(serde_json::from_str(body)?)
}
