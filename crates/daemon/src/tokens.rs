//! The poll's tokens. A connection's token is its id, counted from [`FIRST_CONNECTION`].

use mio::Token;

pub(crate) const CLIENTS: Token = Token(0);
pub(crate) const WEB_PUSH: Token = Token(1);
/// Token for the caller's source of signals, registered with [`crate::reactor::Reactor::registry`].
pub const SIGNALS: Token = Token(2);
pub(crate) const STOP: Token = Token(3);
pub(crate) const FLEET: Token = Token(4);
pub(crate) const STATUS: Token = Token(5);
pub(crate) const OPERATOR: Token = Token(6);
pub(crate) const HANDOVER: Token = Token(7);
pub(crate) const FIRST_CONNECTION: usize = 16;
