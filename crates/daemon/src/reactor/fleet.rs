//! The other senders: their packets, the timers of the membership, and its view for the operators.

use super::*;
use crate::fleet::Fleet;
use cranehill_membership::{Effect, Input, State, View};
use cranehill_recovery::Phase;
use cranehill_zone_failover::{Change, State as ZoneState};
use mio::net::UdpSocket;
use serde_json::{Value, json};

/// Packets read in one turn; the rest wait in the system's queue.
const PACKETS_A_TURN: usize = 64;
/// Larger than any that a member sends.
const PACKET_MOST: usize = 2048;
/// How often the log says that packets are dropped.
const REJECTION_WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// What the reactor keeps of the fleet.
pub(super) struct End {
    socket: UdpSocket,
    status: Option<TcpListener>,
    /// When the membership is due.
    pub(super) due: Option<Time>,
    /// More packets wait.
    pub(super) more: bool,
    dropped: u64,
    next_drop_warning: Time,
}

impl End {
    pub(super) fn open(fleet: &Fleet, registry: &mio::Registry, now: Time) -> Result<End, String> {
        let named = |e| sockets_error("fleet: listen", fleet.listen, e);
        let mut socket = UdpSocket::bind(fleet.listen).map_err(named)?;
        registry
            .register(&mut socket, FLEET, Interest::READABLE)
            .map_err(named)?;
        let mut status = None;
        if let Some(address) = fleet.status {
            let named = |e| sockets_error("fleet: status", address, e);
            let mut listener = TcpListener::bind(address).map_err(named)?;
            registry
                .register(&mut listener, STATUS, Interest::READABLE)
                .map_err(named)?;
            status = Some(listener);
        }
        Ok(End {
            socket,
            status,
            due: Some(now),
            more: false,
            dropped: 0,
            next_drop_warning: now,
        })
    }

    pub(super) fn status(&self) -> Option<&TcpListener> {
        self.status.as_ref()
    }

    pub(super) fn status_at(&self) -> Option<SocketAddr> {
        self.status.as_ref().and_then(|l| l.local_addr().ok())
    }
}

/// Tells the core what an earlier process had learned.
pub(super) fn restore_learned_state(dir: Option<&std::path::Path>, core: &mut Core, now: Time) {
    match dir
        .map(|dir| state_file::LEARNED_STATE.read(dir))
        .transpose()
    {
        Ok(bytes) => {
            if let Some(bytes) = bytes.flatten() {
                core.step(now, core::Input::LearnedStateRestored(bytes));
            }
        }
        Err(e) => log::warn!("recovery: the learned state can't be read: {e}"),
    }
    let (pending, _) = core.outstanding();
    log::info!(event = "recovery-started", pending; "recovery: started");
}

fn member(view: &View, now: Time) -> Value {
    let View {
        member,
        swim_incarnation,
        state,
        since,
    } = view;
    json!({"name": member.name, "at": member.at.to_string(), "life": member.incarnation, "incarnation": swim_incarnation,
        "state": state.label(), "age_ms": (now - *since).as_millis() as u64})
}

fn zone_name(names: &[String], zone: u32) -> &str {
    names.get(zone as usize).map_or("?", String::as_str)
}

/// What changes for a zone; a probe is no news.
pub(super) fn log_zone(change: &Change, names: &[String]) {
    match change {
        Change::Evacuate {
            zone,
            fails,
            serves,
            out,
        } => {
            let zone = zone_name(names, *zone);
            log::warn!(event = "zone", zone, state = "evacuated", fails, serves, out_ms = out.as_millis() as u64;
                "zones: {zone} is evacuated: it fails for {fails} members and serves {serves}; for {out:?} at least");
        }
        Change::Return { zone, .. } => {
            let zone = zone_name(names, *zone);
            log::info!(event = "zone", zone, state = "recovery-ramp"; "zones: {zone} answers probe calls; the recovery ramp begins");
        }
        Change::InService { zone } => {
            let zone = zone_name(names, *zone);
            log::info!(event = "zone", zone, state = "in-service"; "zones: {zone} is in service again");
        }
        Change::Probe { zone, .. } => {
            let zone = zone_name(names, *zone);
            log::debug!(event = "zone", zone, state = "probe"; "zones: a probe call may go to {zone}");
        }
        Change::ProbeOver { .. } => {}
    }
}

fn zones_shown(states: &[(u32, ZoneState)], names: &[String], now: Time) -> Value {
    let shown = states.iter().map(|(zone, state)| {
        let (argument, since) = match state {
            ZoneState::InService => ("free", None),
            ZoneState::Evacuated(since) => ("left", Some(*since)),
            ZoneState::Returning(since) => ("returning", Some(*since)),
        };
        json!({"zone": zone_name(names, *zone), "state": argument,
            "for_ms": since.map(|since| (now - since).as_millis() as u64)})
    });
    shown.collect()
}

fn phase_json(phase: Phase, now: Time) -> Value {
    let ms = |d: Duration| d.as_millis() as u64;
    match phase {
        Phase::Recovering { since } => json!({"state": "recovering", "for_ms": ms(now - since)}),
        Phase::Full { took, since } => {
            json!({"state": "full", "took_ms": ms(took), "for_ms": ms(now - since)})
        }
    }
}

fn notify(view: &View, before: Option<State>) {
    let (name, state) = (view.member.name.as_str(), view.state.label());
    let before = before.map_or("unknown", State::label);
    log::info!(event = "member", member = name, at:% = view.member.at, incarnation = view.member.incarnation,
        swim_incarnation = view.swim_incarnation, state, before;
        "fleet: {name} at {} is {state}, was {before}", view.member.at);
}

impl Reactor {
    pub(super) fn hear_fleet(&mut self) {
        for _ in 0..PACKETS_A_TURN {
            let Some(end) = &mut self.fleet else { return };
            let mut packet = [0; PACKET_MOST];
            end.more = false;
            match end.socket.recv_from(&mut packet) {
                Ok((len, _)) => self.step_fleet(Input::PacketReceived(packet[..len].to_vec())),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Such as the answer of a machine where nobody listens any more to what we sent there.
                Err(e) => log::debug!("fleet: {e}"),
            }
        }
        if let Some(end) = &mut self.fleet {
            end.more = true;
        }
    }

    /// As [`Reactor::step`], but the decisions have no turn unless something changed for them.
    pub(super) fn step_fleet(&mut self, input: Input) {
        let effects = self.core.step(self.clock.now(), core::Input::Fleet(input));
        self.carry_out(effects);
    }

    pub(super) fn on_fleet(&mut self, effect: Effect) {
        let now = self.clock.now();
        let Some(end) = &mut self.fleet else { return };
        match effect {
            Effect::Send { to, bytes } => {
                // A packet that does not go is a packet lost.
                if let Err(e) = end.socket.send_to(&bytes, to) {
                    log::debug!("fleet: to {to}: {e}");
                }
            }
            Effect::WakeAt(at) => end.due = Some(at),
            Effect::Changed { view, before } => notify(&view, before),
            // The core's own.
            Effect::LearnedRequested { .. } | Effect::LearnedReceived { .. } => {}
            Effect::Rejoined {
                incarnation: own_incarnation,
            } => {
                log::warn!(event = "rejoined", incarnation = own_incarnation; "fleet: the peers took this process for down; it rejoined as incarnation {own_incarnation}");
            }
            Effect::ProcessPaused(by) => {
                log::warn!(event = "process-pause", paused_ms = by.as_millis() as u64;
                    "fleet: this process was paused for {by:?}; it draws no conclusion about its peers from that time");
            }
            Effect::Dropped(why) => {
                end.dropped += 1;
                // One line a second: a flood must not become a flood of lines.
                if now >= end.next_drop_warning {
                    let dropped = std::mem::take(&mut end.dropped);
                    end.next_drop_warning = now + REJECTION_WARNING_INTERVAL;
                    log::warn!(event = "packet-dropped", cause = why.label(), dropped;
                        "fleet: a packet was dropped: {why}; {dropped} since the last such line");
                }
            }
            Effect::ShareDivisor(senders) => {
                self.dirty = true;
                log::info!(event = "quota-divisor", senders; "fleet: shared limits are divided by {senders} senders");
            }
        }
    }

    pub(super) fn remember(&mut self, bytes: &[u8]) {
        let Some(dir) = &self.state_dir else { return };
        let now = self.clock.now();
        if let Err(e) = state_file::LEARNED_STATE.write(dir, bytes)
            && now >= self.next_unsaved_warning
        {
            self.next_unsaved_warning = now + COMPACTION_WARNING_INTERVAL;
            log::warn!("recovery: the learned state can't be written: {e}");
        }
    }

    pub(super) fn status(&self) -> Vec<u8> {
        let Some(members) = self.core.members() else {
            return http::write_response(404, "Not Found", &[], "");
        };
        let (now, me) = (self.clock.now(), members.me());
        let views: Vec<Value> = members.views().map(|v| member(v, now)).collect();
        let refused: BTreeMap<&str, u64> = members
            .dropped()
            .map(|(why, times)| (why.label(), times))
            .collect();
        let (pending, reports) = self.core.outstanding();
        let body = json!({"name": me.name, "at": me.at.to_string(), "life": me.incarnation, "senders": members.share_divisor(),
            "members": views, "refused": refused, "held": pending, "reports": reports,
            "zones": self.core.zone_states().map(|states| zones_shown(&states, &self.platform_settings.names.zones, now)),
            "recovery": self.core.phase().map(|phase| phase_json(phase, now))});
        let headers = [
            ("Content-Type", "application/json".to_owned()),
            ("Connection", "close".to_owned()),
        ];
        http::write_response(200, "OK", &headers, &format!("{body}\n"))
    }
}
