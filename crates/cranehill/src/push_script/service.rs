//! The simulated push service of a script.

use std::collections::VecDeque;
use std::time::Instant;

use cranehill_daemon::http::Request;

use super::script::ServiceReply;
use crate::simulated_server::Reply;

/// The scripted replies that are not used yet, and a count of the requests that violated a `Retry-After`.
#[derive(Default)]
pub(super) struct PushService {
    replies: VecDeque<ServiceReply>,
    blocked_until: Option<Instant>,
    requests_while_blocked: usize,
}

impl PushService {
    pub(super) fn add_reply(&mut self, reply: ServiceReply) {
        self.replies.push_back(reply);
    }

    /// Requests that arrived before a `Retry-After` of this service had passed.
    pub(super) fn requests_while_blocked(&self) -> usize {
        self.requests_while_blocked
    }

    /// The first remaining reply for this push or for any push; 201 if there is none.
    pub(super) fn answer(&mut self, request: &Request) -> Reply {
        let now = Instant::now();
        if self.blocked_until.is_some_and(|end| now < end) {
            self.requests_while_blocked += 1;
        }
        let name = push_name(request);
        let matching = self
            .replies
            .iter()
            .position(|reply| reply.push.as_deref().is_none_or(|push| push == name));
        let Some(next) = matching.and_then(|index| self.replies.remove(index)) else {
            return Reply::status(201);
        };
        if let Some(retry_after) = next.retry_after {
            self.blocked_until = self.blocked_until.max(Some(now + retry_after));
        }
        next.reply
    }
}

/// The name of the push that a request is for: the last part of its path.
pub(super) fn push_name(request: &Request) -> &str {
    request.path.rsplit('/').next().unwrap_or("")
}
