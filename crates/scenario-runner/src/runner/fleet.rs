//! Senders that are members of a fleet: their addresses, scheduled actions on their processes, and their views at the end.

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

/// How long the request for a sender's view may last.
const VIEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Members that each sender contacts first.
const SEEDS: usize = 3;

/// The fleet settings of each sender; empty for a scenario without a fleet.
pub(super) fn addresses(
    scenario: &Scenario,
    network: &mut dyn Network,
) -> io::Result<Vec<FleetSettings>> {
    let Some(fleet) = &scenario.fleet else {
        return Ok(Vec::new());
    };
    let mut places = Vec::new();
    for sender in 0..scenario.senders {
        // No other run on this machine uses the address, so the port is still free when the sender starts, or starts again.
        let ip = Ipv4Addr::new(127, 1, (std::process::id() % 250) as u8, 1 + sender as u8);
        let listen = UdpSocket::bind((ip, 0))?.local_addr()?;
        let advertise = network.sender_address(sender, listen)?;
        places.push(FleetSettings {
            listen,
            advertise,
            seeds: Vec::new(),
            fleet: fleet.clone(),
        });
    }
    let senders: Vec<SocketAddr> = places.iter().map(|p| p.advertise).collect();
    let others = network.join(fleet, &senders)?;
    let seeds: Vec<SocketAddr> = senders.into_iter().take(SEEDS).chain(others).collect();
    places.iter_mut().for_each(|p| p.seeds.clone_from(&seeds));
    Ok(places)
}

impl Runner<'_> {
    /// Carries out a scheduled action on senders' processes.
    pub(super) fn on_fleet_action(&mut self, index: usize) {
        let ScheduledAction {
            senders, action, ..
        } = self.scenario.scheduled_actions[index].clone();
        let now = self.now();
        // The network that has simulated members carries it out on them.
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

    fn stop(&mut self, sender: usize) {
        self.record(Some(sender), AuditEvent::Signalled, "SIGSTOP");
        self.senders[sender].process.signal("STOP");
        // The load balancer notices that nobody answers.
        self.senders[sender].routed = false;
    }

    /// Continues a stopped process.
    pub(super) fn resume(&mut self, sender: usize) {
        self.record(Some(sender), AuditEvent::Ready, "SIGCONT");
        let one = &mut self.senders[sender];
        one.process.signal("CONT");
        one.routed = one.process.is_ready();
    }

    /// Starts a second process of a sender beside the first.
    fn upgrade(&mut self, sender: usize) {
        let mutation = self.plan.mutation.as_deref();
        let sink = self.event_sink.clone();
        let started = self.senders[sender].process.start_successor(sink, mutation);
        if let Err(e) = started {
            self.outcome.warnings.push(format!("sender {sender}: {e}"));
        }
    }

    /// Kills one of the two processes of an upgrade, at any point of the hand-over.
    pub(super) fn kill_during_upgrade(&mut self, sender: usize, which: Which) {
        let process = &mut self.senders[sender].process;
        match which {
            // The new one recovers as after a crash.
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
                    // The state that it had inherited is lost with it; the old one continues.
                    self.record(
                        Some(sender),
                        AuditEvent::ProcessExited,
                        "the new process was killed",
                    );
                    self.record(Some(sender), AuditEvent::Ready, "the old one goes on");
                } else {
                    self.kill(sender, Restart::USUAL);
                }
            }
        }
    }

    /// Requests the view of the fleet of each sender that runs.
    pub(super) fn fleet_views(&self) -> Vec<Option<Value>> {
        self.senders
            .iter()
            .map(|s| fetch_view(s.process.status_address?).ok())
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
