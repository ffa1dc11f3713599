//! The listeners for clients, Web Push and operators.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use crate::tokens::CLIENTS;

/// When accepting is tried again after an error, such as none of the process's descriptors being free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a socket can't be listened on.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ListenError {
    /// The address can't be bound.
    #[error("{purpose} {address}: {source}")]
    Bind {
        /// What the address is for.
        purpose: &'static str,
        /// As configured.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A listener from the old process can't be used.
    #[error("hand-over: the listener: {0}")]
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

/// What accepting on a listener came to.
pub(crate) enum Accepted {
    /// A new connection.
    Stream(TcpStream),
    /// The connection was aborted; another one may wait.
    Aborted,
    /// No connection waits.
    Nothing,
}

/// The listeners for connections that this sender accepts.
#[derive(Default)]
pub(crate) struct Listeners {
    pub(crate) clients: Option<TcpListener>,
    pub(crate) web_push: Option<TcpListener>,
    pub(crate) operators: Option<TcpListener>,
    /// When clients are accepted again without a further event.
    accept_again: Option<Time>,
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
            log::error!("accept: {e}");
            // There is no further event for the connections that wait.
            self.accept_again = Some(now + ACCEPT_RETRY_DELAY);
            Accepted::Nothing
        })
    }

    /// Has [`Listeners::take_accept_due`] return true from this time on.
    pub(crate) fn accept_again_at(&mut self, at: Time) {
        self.accept_again = Some(at);
    }

    pub(crate) fn accept_due(&self) -> Option<Time> {
        self.accept_again
    }

    pub(crate) fn take_accept_due(&mut self, now: Time) -> bool {
        self.accept_again.take_if(|at| *at <= now).is_some()
    }

    /// Whether clients can connect.
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

/// Accepts one connection.
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

/// Listens at an address.
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

/// Continues on a listener of the old process.
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

/// Where a listener is, if there is one.
pub(crate) fn local_address(listener: Option<&TcpListener>) -> Option<SocketAddr> {
    listener?.local_addr().ok()
}
