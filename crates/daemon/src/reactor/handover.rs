//! A new version beside this one: what this process still does when it is asked to pass on, and what a new one begins with.

use super::*;
use crate::handover::{HandoverServer, InheritedClient};
const QUIET_MOST: Duration = Duration::from_millis(400);
use mio::unix::SourceFd;
use std::os::fd::{AsFd, AsRawFd};

/// The end of this process that passes on.
pub(super) struct End {
    server: HandoverServer,
    /// Somebody has come to the socket since it was looked at.
    pub(super) called: bool,
    /// Since when attempts are held back for it.
    quiet: Option<Time>,
}

impl End {
    /// Where the system or the folder has no such socket, a new version waits until this process has ended.
    pub(super) fn open(dir: &std::path::Path, registry: &mio::Registry) -> Option<End> {
        let opened = HandoverServer::open(dir).and_then(|server| {
            registry.register(
                &mut SourceFd(&server.listener().as_raw_fd()),
                HANDOVER,
                Interest::READABLE,
            )?;
            Ok(End {
                server,
                called: false,
                quiet: None,
            })
        });
        opened
            .inspect_err(|e| {
                log::warn!("hand-over: no socket in the folder: {e}; none will be possible")
            })
            .ok()
    }
}

impl Reactor {
    /// When the hand-over needs attention though nothing happens.
    pub(super) fn handover_due(&self, now: Time) -> Option<Time> {
        let since = self.handover.as_ref()?.quiet?;
        Some((now + self.platform_settings.settings.tick).min(since + QUIET_MOST))
    }

    /// Holds back attempts while somebody asks for all; true once everything has been passed on and this process is over.
    pub(super) fn pass_on(&mut self) -> bool {
        let now = self.clock.now();
        let Some(end) = self
            .handover
            .as_mut()
            .filter(|e| e.called || e.quiet.is_some())
        else {
            return false;
        };
        end.called = false;
        let asked = end.server.is_requested();
        match (asked, end.quiet) {
            (true, None) => {
                end.quiet = Some(now);
                let (pending, out) = (self.core.outstanding().0, self.core.attempts_out());
                log::info!(event = "handover-requested", pending, out; "hand-over: requested; {pending} messages pending, {out} attempts in flight");
                self.step(Input::Quiesced(true));
                false
            }
            (false, Some(_)) => {
                self.go_on("the requesting process disconnected");
                false
            }
            (true, Some(since)) if self.core.attempts_out() == 0 || now >= since + QUIET_MOST => {
                match self.pass_all() {
                    Ok(()) => true,
                    Err(e) => {
                        self.go_on(&e.to_string());
                        false
                    }
                }
            }
            _ => false,
        }
    }

    fn go_on(&mut self, why: &str) {
        log::warn!("hand-over: {why}; this process goes on");
        if let Some(end) = &mut self.handover {
            end.quiet = None;
            end.server.abort();
        }
        self.step(Input::Quiesced(false));
    }

    fn pass_all(&mut self) -> io::Result<()> {
        // What is still out is broken off, as at an end by signal: it may have been executed, and the journal says so.
        let out =
            |l: &Connection| matches!(l.kind, ConnectionKind::Destination { call: Some(_), .. });
        let late: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| out(l))
            .map(|(&id, _)| id)
            .collect();
        for id in late {
            let Some(Connection {
                kind:
                    ConnectionKind::Destination {
                        call: Some(out), ..
                    },
                up,
                ..
            }) = self.drop_connection(id)
            else {
                continue;
            };
            let status = if up {
                Status::TimedOut
            } else {
                Status::NoConnection
            };
            self.end_call(out, &DestinationResponse::all(Verdict::of(status)));
        }
        // All that clients have sent is read, kept and answered first.
        let clients: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, l)| client_ingress::of_client(l))
            .map(|(&id, _)| id)
            .collect();
        for &id in &clients {
            self.pump(id);
        }
        let effects = self.core.step(self.clock.now(), Input::TickEnded);
        self.carry_out(effects);
        let learned_state = self.core.learned_state();
        let Some(End { server, .. }) = &mut self.handover else {
            return Ok(());
        };
        server.pass_learned_state(learned_state)?;
        for (listener, push) in [(&self.clients, false), (&self.pushes, true)] {
            if let Some(listener) = listener {
                server.pass_listener(listener.as_fd(), push)?;
            }
        }
        let mut passed = 0;
        for id in clients {
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            // Who is in the middle of an answer, or waits for a push's end, can't be moved.
            if !matches!(connection.kind, ConnectionKind::Client { busy: false })
                || !connection.written_out()
                || connection.close_after
                || connection.ended
            {
                continue;
            }
            server.pass_client(
                connection.stream.as_fd(),
                connection.input.clone(),
                connection.asked,
            )?;
            // Passed on, it counts there: the two together hold no more than one did.
            if let Some(mut connection) = self.connections.remove(&id) {
                let _ = self.poll.registry().deregister(&mut connection.stream);
            }
            passed += 1;
        }
        server.finish()?;
        let (pending, reports) = self.core.outstanding();
        log::info!(event = "handover-complete", clients = passed, pending, reports;
            "hand-over: complete, with {passed} client connections; {pending} messages and {reports} final reports are in the journal");
        self.end_waiting();
        Ok(())
    }

    /// A client that an old process has passed on.
    pub(super) fn adopt(&mut self, client: InheritedClient) {
        let InheritedClient {
            stream,
            input,
            has_requested: asked,
        } = client;
        let ready = stream
            .set_nonblocking(true)
            .map(|()| TcpStream::from_std(stream));
        let added = ready.and_then(|stream| {
            self.add_connection(stream, ConnectionKind::Client { busy: false }, true)
        });
        match added {
            Ok(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    (connection.input, connection.asked) = (input, asked);
                }
                self.resume.push(id);
            }
            Err(e) => log::error!("hand-over: a client's connection: {e}"),
        }
    }

    pub(super) fn adopt_listener(
        &self,
        listener: std::net::TcpListener,
        token: Token,
    ) -> Result<TcpListener, String> {
        let named = |e: io::Error| format!("hand-over: the listener: {e}");
        listener.set_nonblocking(true).map_err(named)?;
        let mut listener = TcpListener::from_std(listener);
        self.poll
            .registry()
            .register(&mut listener, token, Interest::READABLE)
            .map_err(named)?;
        Ok(listener)
    }
}
