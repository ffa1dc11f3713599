//! The senders' processes: started, watched, ended, started again.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::fleet::{Folder, MemberAction};
use cranehill_simulation::scenario::{ScheduledSignal, Signal};

use super::state::{Restart, Runner};
use super::timers::Timer;
use crate::error::RunError;
use crate::senders::{ProcessEvent, ProcessEventKind};

/// A sender that runs this long after SIGTERM is killed.
const TERM_TIMEOUT: Duration = Duration::from_millis(3700);
/// The load balancer sends connections to a sender for this long after SIGTERM.
const ROUTING_AFTER_TERM: Duration = Duration::from_millis(300);
/// How often the loop checks whether a process has ended after SIGTERM.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Distinct warnings of the senders' logs that are kept.
const MAX_WARNINGS: usize = 50;

impl Runner<'_> {
    /// Starts a sender, or uses the one that runs already.
    pub(super) fn start(&mut self, sender: usize) -> Result<(), RunError> {
        let mutation = self.plan.mutation.as_deref();
        let one = &mut self.senders[sender];
        one.end_expected = false;
        if let Some(against) = &self.plan.against {
            one.process.client_address = Some(against.clients);
            one.routed = true;
            return Ok(());
        }
        one.process.has_operator_address = self
            .scenario
            .scheduled_actions
            .iter()
            .any(|a| matches!(a.action, MemberAction::Upgrade { .. }));
        one.process.start(self.event_sink.clone(), mutation)
    }

    /// Starts a sender again, unless another restart has done so already.
    pub(super) fn restart(&mut self, sender: usize) -> Result<(), RunError> {
        if self.senders[sender].process.is_running() {
            return Ok(());
        }
        self.start(sender)
    }

    /// Handles the events of processes that have arrived.
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
        if kind.is_of_one_process() && !process.is_current(incarnation) {
            return log::debug!(
                "an event of an earlier process of sender {sender} is ignored: {kind:?}"
            );
        }
        match kind {
            ProcessEventKind::ClientListener(address) => {
                // In an upgrade the old process is ended once the new one is ready.
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

    /// A listener of a sender is open; with the last one the sender accepts messages.
    fn on_listening(&mut self, sender: usize, address: SocketAddr) {
        if self.senders[sender].process.is_ready() {
            self.senders[sender].routed = true;
            self.record(
                Some(sender),
                AuditEvent::Ready,
                &format!("listens at {address}"),
            );
        }
    }

    /// Keeps the first of each warning; warnings differ by the text behind the log's head.
    fn keep_warning(&mut self, sender: usize, line: &str) {
        let text = line.split_once("] ").map_or(line, |(_, text)| text);
        let warnings = &mut self.outcome.warnings;
        if warnings.len() < MAX_WARNINGS && !warnings.iter().any(|w| w.ends_with(text)) {
            warnings.push(format!("sender {sender}: {text}"));
        }
    }

    /// A sender's log has ended, and so does its process a moment later.
    fn on_process_ended(&mut self, sender: usize) {
        let one = &mut self.senders[sender];
        if one.end_expected {
            return;
        }
        one.end_expected = true;
        one.routed = false;
        one.process.kill();
        self.outcome.crashed.push(sender);
        self.record(
            Some(sender),
            AuditEvent::ProcessExited,
            "ended without a signal",
        );
    }

    /// Sends a scheduled signal.
    pub(super) fn on_signal(&mut self, signal: usize) {
        let ScheduledSignal { sender, signal, .. } = self.scenario.signals[signal];
        match signal {
            Signal::Hup => self.senders[sender].process.signal("HUP"),
            Signal::Kill => self.kill(sender, Restart::USUAL),
            Signal::Term => self.terminate(sender, Restart::USUAL),
        }
    }

    /// Ends a sender by SIGKILL.
    pub(super) fn kill(&mut self, sender: usize, restart: Restart) {
        self.senders[sender].end_expected = true;
        self.senders[sender].restart = restart;
        self.record(Some(sender), AuditEvent::Signalled, "SIGKILL");
        self.senders[sender].process.kill();
        self.on_exit(sender);
    }

    /// Ends a sender by SIGTERM.
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

    /// The load balancer notices that a sender is ending.
    pub(super) fn stop_routing(&mut self, sender: usize) {
        if self.senders[sender].end_expected {
            self.senders[sender].routed = false;
        }
    }

    /// Checks whether a process has ended, and kills it at `kill_at`.
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

    /// A process has ended as scheduled: its folder is kept, removed or damaged by the scenario, and it starts again if it is to.
    fn on_exit(&mut self, sender: usize) {
        let now = self.now();
        self.senders[sender].routed = false;
        self.record(
            Some(sender),
            AuditEvent::ProcessExited,
            "its process has ended",
        );
        self.senders[sender].notified.clear();
        let Restart { after, folder } = self.senders[sender].restart;
        if folder == Folder::Wiped {
            self.senders[sender].process.remove_state();
        }
        if folder == Folder::Wiped || after.is_none() {
            self.lose_messages(sender, None, "what it held is lost");
        } else if folder == Folder::Cut {
            self.damage_journal(sender);
        }
        if let Some(after) = after {
            self.timers.push(now + after, Timer::Start { sender });
        }
    }
}
