//! The listeners for clients, Web Push and operators.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use crate::tokens::CLIENTS;

/// Delay before accepting is retried after an error, such as no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a socket can't be opened for listening.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ListenError {
    /// The address can't be bound.
    #[error("{purpose} {address}: {source}")]
    Bind {
        /// The setting that the address comes from.
        purpose: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// A listener received from the old process can't be used.
    #[error("hand-over: inherited listener: {0}")]
    Inherited(#[source] io::Error),
}

impl ListenError {
    pub(crate) fn bind(
        purpose: &'static str,
        address: SocketAddr,
    ) -> impl Fn(io::Error) -> ListenError {
        move |source| ListenError::Bind {
            purpose,
            address,
            source,
        }
    }
}

/// The result of accepting on a listener.
pub(crate) enum Accepted {
    /// A new connection.
    Stream(TcpStream),
    /// The connection was aborted, or accepting was interrupted; another connection may be waiting.
    Aborted,
    /// No connection is waiting.
    Nothing,
}

/// The listeners of this sender.
#[derive(Default)]
pub(crate) struct Listeners {
    pub(crate) clients: Option<TcpListener>,
    pub(crate) web_push: Option<TcpListener>,
    pub(crate) operators: Option<TcpListener>,
    /// When accepting clients is retried without an event of the poll.
    accept_retry: Option<Time>,
}

impl Listeners {
    /// Accepts a client's connection, or one for Web Push.
    pub(crate) fn accept_client(&mut self, token: Token, now: Time) -> Accepted {
        let listener = if token == CLIENTS {
            &self.clients
        } else {
            &self.web_push
        };
        let Some(listener) = listener else {
            return Accepted::Nothing;
        };
        accept(listener).unwrap_or_else(|e| {
            log::error!("accept: client not accepted: {e}");
            // The poll reports no further event for connections that are already waiting.
            self.accept_retry = Some(now + ACCEPT_RETRY_DELAY);
            Accepted::Nothing
        })
    }

    /// Schedules a retry: [`Listeners::take_accept_due`] returns true once `at` is reached.
    pub(crate) fn retry_accept_at(&mut self, at: Time) {
        self.accept_retry = Some(at);
    }

    /// When accepting clients must be retried.
    pub(crate) fn accept_due(&self) -> Option<Time> {
        self.accept_retry
    }

    /// Whether the retry is due; clears it if so.
    pub(crate) fn take_accept_due(&mut self, now: Time) -> bool {
        self.accept_retry.take_if(|at| *at <= now).is_some()
    }

    /// Whether the listeners for clients and Web Push are open.
    pub(crate) fn is_open(&self) -> bool {
        self.clients.is_some() || self.web_push.is_some()
    }

    /// Closes the listeners for clients and Web Push.
    pub(crate) fn close(&mut self, registry: &Registry) {
        let listeners = self.clients.take().into_iter().chain(self.web_push.take());
        for mut listener in listeners {
            let _ = registry.deregister(&mut listener);
        }
    }
}

/// Accepts one connection. A connection that its peer has aborted is not an error.
pub(crate) fn accept(listener: &TcpListener) -> io::Result<Accepted> {
    match listener.accept() {
        Ok((stream, _)) => Ok(Accepted::Stream(stream)),
        Err(e) => match e.kind() {
            ErrorKind::WouldBlock => Ok(Accepted::Nothing),
            ErrorKind::Interrupted | ErrorKind::ConnectionAborted => Ok(Accepted::Aborted),
            _ => Err(e),
        },
    }
}

/// Binds a listener and registers it with the poll.
pub(crate) fn bind(
    purpose: &'static str,
    address: SocketAddr,
    token: Token,
    registry: &Registry,
) -> Result<TcpListener, ListenError> {
    let named = ListenError::bind(purpose, address);
    let mut listener = TcpListener::bind(address).map_err(&named)?;
    registry
        .register(&mut listener, token, Interest::READABLE)
        .map_err(&named)?;
    Ok(listener)
}

/// Registers a listener received from the old process with the poll.
pub(crate) fn inherit(
    listener: std::net::TcpListener,
    token: Token,
    registry: &Registry,
) -> Result<TcpListener, ListenError> {
    listener
        .set_nonblocking(true)
        .map_err(ListenError::Inherited)?;
    let mut listener = TcpListener::from_std(listener);
    registry
        .register(&mut listener, token, Interest::READABLE)
        .map_err(ListenError::Inherited)?;
    Ok(listener)
}

/// The address of a listener, if there is one.
pub(crate) fn local_address(listener: Option<&TcpListener>) -> Option<SocketAddr> {
    listener?.local_addr().ok()
}
