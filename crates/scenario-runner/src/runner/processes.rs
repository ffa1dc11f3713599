//! Starts, ends and restarts the senders' processes, and handles the events that their logs show.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::fleet::{Folder, MemberAction};
use cranehill_simulation::scenario::{ScheduledSignal, Signal};

use super::state::{Restart, Runner};
use super::timers::Timer;
use crate::error::RunError;
use crate::senders::{ProcessEvent, ProcessEventKind};

/// A sender that still runs this long after SIGTERM is killed.
const TERM_TIMEOUT: Duration = Duration::from_millis(3700);
/// How long after SIGTERM the load balancer still sends messages to the sender.
const ROUTING_AFTER_TERM: Duration = Duration::from_millis(300);
/// Interval between checks whether a process has exited after SIGTERM.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Upper bound on the distinct warnings that are kept from the senders' logs.
const MAX_WARNINGS: usize = 50;

impl Runner<'_> {
    /// Starts a sender, or uses the running one of [`Plan::against`](crate::Plan::against).
    pub(super) fn start(&mut self, sender: usize) -> Result<(), RunError> {
        let mutation = self.plan.mutation.as_deref();
        let entry = &mut self.senders[sender];
        entry.end_expected = false;
        if let Some(against) = &self.plan.against {
            entry.process.client_address = Some(against.clients);
            entry.routed = true;
            return Ok(());
        }
        entry.process.has_operator_address = self
            .scenario
            .scheduled_actions
            .iter()
            .any(|scheduled| matches!(scheduled.action, MemberAction::Upgrade { .. }));
        entry.process.start(self.event_sink.clone(), mutation)
    }

    /// Starts a sender again, unless it runs because another restart was due earlier.
    pub(super) fn restart(&mut self, sender: usize) -> Result<(), RunError> {
        if self.senders[sender].process.is_running() {
            return Ok(());
        }
        self.start(sender)
    }

    /// Handles all events of processes that are in the channel.
    pub(super) fn on_process_events(&mut self) {
        while let Ok(event) = self.process_events.try_recv() {
            self.on_process_event(event);
        }
    }

    fn on_process_event(&mut self, event: ProcessEvent) {
        let ProcessEvent {
            sender,
            incarnation,
            kind,
        } = event;
        let process = &mut self.senders[sender].process;
        if kind.is_process_specific() && !process.is_current(incarnation) {
            return log::debug!(
                "sender {sender}: ignored an event of an earlier process: {kind:?}"
            );
        }
        match kind {
            ProcessEventKind::ClientListener(address) => {
                // In an upgrade the old process is ended once the new one accepts clients.
                process.terminate_predecessor();
                process.client_address = Some(address);
                self.on_listening(sender, address);
            }
            ProcessEventKind::WebPushListener(address) => {
                process.web_push_address = Some(address);
                self.on_listening(sender, address);
            }
            ProcessEventKind::StatusListener(address) => process.status_address = Some(address),
            ProcessEventKind::LogLine(line) => self.outcome.logs.push((sender, line)),
            ProcessEventKind::Warning(line) => self.keep_warning(sender, &line),
            ProcessEventKind::Ended => self.on_process_ended(sender),
        }
    }

    /// Handles a listener that a sender has opened. Once all are open, the load balancer uses the sender.
    fn on_listening(&mut self, sender: usize, address: SocketAddr) {
        if self.senders[sender].process.is_ready() {
            self.senders[sender].routed = true;
            self.record(
                Some(sender),
                AuditEvent::Ready,
                &format!("listening at {address}"),
            );
        }
    }

    /// Keeps a warning unless it is known already. Warnings are compared without the prefix of the log line, which contains the time.
    fn keep_warning(&mut self, sender: usize, line: &str) {
        let text = line.split_once("] ").map_or(line, |(_, text)| text);
        let warnings = &mut self.outcome.warnings;
        if warnings.len() < MAX_WARNINGS && !warnings.iter().any(|known| known.ends_with(text)) {
            warnings.push(format!("sender {sender}: {text}"));
        }
    }

    /// Handles the end of a sender's log, which means that its process is exiting: a crash, unless the end was expected.
    fn on_process_ended(&mut self, sender: usize) {
        let entry = &mut self.senders[sender];
        if entry.end_expected {
            return;
        }
        entry.end_expected = true;
        entry.routed = false;
        entry.process.kill();
        self.outcome.crashed.push(sender);
        self.record(
            Some(sender),
            AuditEvent::ProcessExited,
            "process exited unexpectedly",
        );
    }

    /// Sends the scheduled signal with this index.
    pub(super) fn on_signal(&mut self, signal: usize) {
        let ScheduledSignal { sender, signal, .. } = self.scenario.signals[signal];
        match signal {
            Signal::Hup => self.senders[sender].process.signal("HUP"),
            Signal::Kill => self.kill(sender, Restart::DEFAULT),
            Signal::Term => self.terminate(sender, Restart::DEFAULT),
        }
    }

    /// Kills a sender's process by SIGKILL.
    pub(super) fn kill(&mut self, sender: usize, restart: Restart) {
        self.senders[sender].end_expected = true;
        self.senders[sender].restart = restart;
        self.record(Some(sender), AuditEvent::Signalled, "SIGKILL");
        self.senders[sender].process.kill();
        self.on_exit(sender);
    }

    /// Terminates a sender's process by SIGTERM; it is killed if it does not exit in time.
    pub(super) fn terminate(&mut self, sender: usize, restart: Restart) {
        let now = self.now();
        self.senders[sender].end_expected = true;
        self.senders[sender].restart = restart;
        self.record(Some(sender), AuditEvent::Signalled, "SIGTERM");
        self.senders[sender].process.signal("TERM");
        self.timers
            .push(now + ROUTING_AFTER_TERM, Timer::StopRouting { sender });
        self.timers.push(
            now + EXIT_CHECK_INTERVAL,
            Timer::AwaitExit {
                sender,
                kill_at: now + TERM_TIMEOUT,
            },
        );
    }

    /// The load balancer detects that a sender is shutting down.
    pub(super) fn stop_routing(&mut self, sender: usize) {
        if self.senders[sender].end_expected {
            self.senders[sender].routed = false;
        }
    }

    /// Checks whether a process has exited, and kills it at `kill_at`.
    pub(super) fn await_exit(&mut self, sender: usize, kill_at: Duration) {
        let now = self.now();
        if self.senders[sender].process.is_running() {
            if now < kill_at {
                return self.timers.push(
                    now + EXIT_CHECK_INTERVAL,
                    Timer::AwaitExit { sender, kill_at },
                );
            }
            self.senders[sender].process.kill();
        }
        self.on_exit(sender);
    }

    /// Handles the scheduled end of a process: keeps, deletes or damages its state folder as the scenario requires, and schedules the
    /// restart, if any.
    fn on_exit(&mut self, sender: usize) {
        let now = self.now();
        self.senders[sender].routed = false;
        self.record(Some(sender), AuditEvent::ProcessExited, "process exited");
        self.senders[sender].listed_states.clear();
        let Restart { after, folder } = self.senders[sender].restart;
        if folder == Folder::Wiped {
            self.senders[sender].process.remove_state();
        }
        if folder == Folder::Wiped || after.is_none() {
            self.lose_messages(sender, None, "all its messages are lost");
        } else if folder == Folder::Cut {
            self.damage_journal(sender);
        }
        if let Some(after) = after {
            self.timers.push(now + after, Timer::Start { sender });
        }
    }
}
