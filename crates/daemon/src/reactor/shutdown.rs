//! The steps from SIGTERM to the end of the process.

use super::*;

/// The platform's front may still send new connections for 400 ms after SIGTERM.
const STOP_ACCEPTING: Duration = Duration::from_millis(450);
/// From here on no new attempts: they could hardly end before the process does.
const STOP_SENDING: Duration = Duration::from_millis(2600);
/// SIGKILL comes at 3.7 s.
const STOP_ALL: Duration = Duration::from_millis(3400);

impl Reactor {
    /// The steps from SIGTERM to the end of the process; true at the end.
    pub(super) fn wind_down(&mut self) -> bool {
        let Some(since) = self.stopping else {
            return false;
        };
        let passed = self.clock.now() - since;
        if passed < STOP_ACCEPTING {
            return false;
        }
        if self.clients.is_some() || self.pushes.is_some() {
            self.accept(CLIENTS);
            self.accept(PUSHES);
            let listeners = self.clients.take().into_iter().chain(self.pushes.take());
            for mut listener in listeners {
                let _ = self.poll.registry().deregister(&mut listener);
            }
            // Between requests only: what has been read is answered first.
            let ids: Vec<usize> = self.connections.keys().copied().collect();
            ids.into_iter().for_each(|id| self.end_between(id));
        }
        if passed >= STOP_SENDING && !self.sending_stopped {
            self.sending_stopped = true;
            self.step(Input::Stopping);
        }
        let (pending, reports) = self.core.outstanding();
        let over = pending == 0 && reports == 0
            || self.sending_stopped && self.core.attempts_out() == 0 && reports == 0;
        let over = over && !self.connections.values().any(client_ingress::open);
        if !over && passed < STOP_ALL {
            return false;
        }
        self.end_waiting();
        true
    }

    /// Who still waits here for a message's end is told to come back; nothing of it was promised.
    pub(super) fn end_waiting(&mut self) {
        let waiting =
            |l: &Connection| matches!(&l.kind, ConnectionKind::Pusher { busy: Some(_), .. });
        let ids: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| waiting(l))
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            let after = Some(Duration::from_secs(5));
            self.say(
                id,
                &webpush::write_answer(core::Answer::Rejected { after }, ""),
            );
        }
    }
}
