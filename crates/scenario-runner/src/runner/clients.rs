//! Clients: they submit messages to the sender that the simulated load balancer chooses, and wait for the answer.

use std::time::Duration;

use cranehill_simulation::audit::{Answer, AuditEvent};
use cranehill_simulation::clients::{ClientAnswer, Submission};
use cranehill_simulation::scenario::Effect;
use mio::net::TcpStream;

use super::connection::{ClientProtocol, ClientRole, ConnectionId, Role};
use super::state::Runner;
use super::timers::Timer;
use crate::wire::{
    Framed, encode_post, encode_put, parse_client_answer, parse_post_answer, push_path,
};

/// How long after the end of a posted message's time to live its client still waits for the answer. A later answer is ignored.
const POST_GRACE: Duration = Duration::from_secs(1);
/// Minimum time to live of a Web Push post in seconds; its TTL header is in whole seconds.
const MIN_POST_TTL_S: u64 = 1;

/// The request that submits a message, and the audit event to record for it.
struct ClientRequest {
    bytes: Vec<u8>,
    /// How long the client waits for the answer.
    patience: Duration,
    event: AuditEvent,
    /// Text of the recorded event.
    line: String,
}

/// A sender's answer, and the text to record for it.
struct ReceivedAnswer {
    answer: Answer,
    text: String,
}

impl Runner<'_> {
    /// Submits the messages that are due, unless the timer for `at` has been replaced by an earlier one.
    pub(super) fn on_arrival(&mut self, at: Duration) {
        if self.next_arrival != Some(at) {
            return;
        }
        self.next_arrival = None;
        let now = self.now();
        for (_, message) in self.clients.hand_in(now) {
            self.outcome.submitted += 1;
            self.submit(message);
        }
        self.schedule_arrival();
    }

    /// Sets the timer for the next submission, if none is set for that time or earlier. [`on_arrival`](Runner::on_arrival) sets the next
    /// one.
    pub(super) fn schedule_arrival(&mut self) {
        let due = self
            .clients
            .next()
            .filter(|at| self.next_arrival.is_none_or(|set| *at < set));
        if let Some(at) = due {
            self.next_arrival = Some(at);
            self.timers.push(at, Timer::Arrival { at });
        }
    }

    /// Submits a message to a sender. If no sender can be reached, the client waits as long as for an answer, and then retries.
    fn submit(&mut self, message: Submission) {
        let protocol = self.protocol_for(&message);
        let chosen = match &message.ordering_key {
            Some(key) => self.sender_of_key(key),
            None => self.next_routed_sender(),
        };
        let Some(connection) = chosen.and_then(|sender| self.client_connection(sender, protocol))
        else {
            let at = self.now() + self.scenario.load.patience;
            return self.timers.push(at, Timer::Unrouted { id: message.id });
        };
        let request = match protocol {
            ClientProtocol::WebPush => self.post_request(&message),
            ClientProtocol::Resp => self.put_request(&message),
        };
        let timeout = self.now() + request.patience;
        let id = message.id.clone();
        let Some(open_connection) = self.connections.get_mut(&connection) else {
            return;
        };
        let sender = open_connection.sender;
        if let Some(client) = open_connection.client_mut() {
            client.in_flight = Some(message);
        }
        if protocol == ClientProtocol::WebPush {
            // The answer to a post is the end of the message, so the run must not end before it.
            self.pending.insert(id.clone(), sender);
        }
        self.record(Some(sender), request.event, &request.line);
        self.send(connection, &request.bytes);
        self.timers
            .push(timeout, Timer::ClientTimeout { connection, id });
    }

    fn protocol_for(&self, message: &Submission) -> ClientProtocol {
        let destination = self.scenario.destinations.get(message.destination as usize);
        if destination.is_some_and(|d| d.push) {
            ClientProtocol::WebPush
        } else {
            ClientProtocol::Resp
        }
    }

    /// The sender that the load balancer chooses, round robin; `None` if no sender is routed.
    fn next_routed_sender(&mut self) -> Option<usize> {
        let count = self.senders.len();
        let first = self.next_sender;
        self.next_sender = (first + 1) % count;
        (0..count)
            .map(|n| (first + n) % count)
            .find(|&sender| self.senders[sender].routed)
    }

    /// The sender for an ordering key: always the same one while it is routed, and otherwise the next that is.
    fn sender_of_key(&self, key: &str) -> Option<usize> {
        let count = self.senders.len();
        let first = usize::from_str_radix(key, 16).unwrap_or(0) % count;
        (0..count)
            .map(|n| (first + n) % count)
            .find(|&sender| self.senders[sender].routed)
    }

    /// An idle connection to a sender, or a new one; `None` if the sender has no address or the connection can't be opened.
    fn client_connection(
        &mut self,
        sender: usize,
        protocol: ClientProtocol,
    ) -> Option<ConnectionId> {
        while let Some(id) = self.senders[sender].idle.of(protocol).pop() {
            if self.connections.contains_key(&id) {
                return Some(id);
            }
        }
        let process = &self.senders[sender].process;
        let address = match protocol {
            ClientProtocol::Resp => process.client_address?,
            ClientProtocol::WebPush => process.web_push_address?,
        };
        let stream = TcpStream::connect(address).ok()?;
        let role = ClientRole {
            protocol,
            in_flight: None,
            has_received_answer: false,
        };
        self.add_connection(stream, sender, Role::Client(role)).ok()
    }

    fn post_request(&self, message: &Submission) -> ClientRequest {
        let Submission {
            id,
            class,
            destination,
            ..
        } = message;
        let time_to_live = Duration::from_secs(message.time_to_live.as_secs().max(MIN_POST_TTL_S));
        let topic = self.scenario.classes[*class].effect == Effect::Safe;
        ClientRequest {
            bytes: encode_post(message, time_to_live, topic),
            patience: time_to_live + POST_GRACE,
            event: AuditEvent::Posted {
                id: id.clone(),
                class: *class,
                destination: *destination,
                time_to_live,
            },
            line: format!(
                "POST {}{id} TTL {} topic {topic}",
                push_path(*destination),
                time_to_live.as_secs()
            ),
        }
    }

    fn put_request(&self, message: &Submission) -> ClientRequest {
        let Submission {
            id,
            class,
            destination,
            time_to_live,
            ordering_key,
            ..
        } = message;
        let event = AuditEvent::Submitted {
            id: id.clone(),
            class: *class,
            destination: *destination,
            time_to_live: *time_to_live,
            ordering_key: ordering_key.clone(),
        };
        let key = ordering_key
            .as_deref()
            .map(|key| format!(" key={key}"))
            .unwrap_or_default();
        let class_name = &self.scenario.classes[*class].name;
        ClientRequest {
            bytes: encode_put(message, class_name, &self.scenario.tenants[message.tenant]),
            patience: self.scenario.load.patience,
            event,
            line: format!(
                "MSG.PUT {id} {class_name} dest={destination} d={}{key}",
                time_to_live.as_millis()
            ),
        }
    }

    /// Handles all complete answers that have arrived on a client's connection.
    pub(super) fn read_answers(&mut self, id: ConnectionId) {
        while let Some(received) = self.next_answer(id) {
            self.on_answer(id, received);
        }
    }

    fn next_answer(&mut self, id: ConnectionId) -> Option<ReceivedAnswer> {
        let connection = self.connections.get_mut(&id)?;
        let Framed {
            value: answer,
            length,
        } = match connection.client()?.protocol {
            ClientProtocol::WebPush => parse_post_answer(&connection.input)?,
            ClientProtocol::Resp => {
                let Framed { value, length } = parse_client_answer(&connection.input)?;
                Framed {
                    value: audited_answer(value),
                    length,
                }
            }
        };
        let text = String::from_utf8_lossy(&connection.input[..length])
            .trim_end()
            .to_owned();
        connection.input.drain(..length);
        Some(ReceivedAnswer { answer, text })
    }

    fn on_answer(&mut self, id: ConnectionId, received: ReceivedAnswer) {
        let ReceivedAnswer { answer, text } = received;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let sender = connection.sender;
        let Some(client) = connection.client_mut() else {
            return;
        };
        let protocol = client.protocol;
        client.has_received_answer = true;
        let Some(message) = client.in_flight.take() else {
            return;
        };
        if protocol == ClientProtocol::WebPush {
            self.pending.remove(&message.id);
        }
        if answer == Answer::Accepted {
            self.pending.insert(message.id.clone(), sender);
        }
        let client_answer = answer_for_client(&answer);
        let line = format!("{text} to {}", message.id);
        self.record(
            Some(sender),
            AuditEvent::Answered {
                id: message.id.clone(),
                answer,
            },
            &line,
        );
        let now = self.now();
        self.clients.answered(now, &message.id, client_answer);
        self.schedule_arrival();
        self.senders[sender].idle.of(protocol).push(id);
    }

    /// Handles a client's connection that its sender has closed. `any_read` is true if bytes of an answer arrived before the end.
    pub(super) fn on_client_closed(&mut self, sender: usize, client: ClientRole, any_read: bool) {
        let Some(message) = client.in_flight else {
            return;
        };
        // A sender may close an idle connection while the client sends the next request. The sender has not read this request, so
        // the client sends it again on a new connection.
        if client.has_received_answer && !any_read {
            return self.submit(message);
        }
        let id = message.id;
        self.pending.remove(&id);
        let dropped = AuditEvent::Dropped { id: id.clone() };
        self.record(
            Some(sender),
            dropped,
            &format!("connection closed without an answer to {id}"),
        );
        self.client_unanswered(&id);
    }

    /// Closes a client's connection if it still waits for the answer to this message.
    pub(super) fn on_client_timeout(&mut self, connection: ConnectionId, id: &str) {
        let Some(open_connection) = self.connections.get(&connection) else {
            return;
        };
        let in_flight = open_connection
            .client()
            .and_then(|client| client.in_flight.as_ref());
        if in_flight.is_none_or(|message| message.id != id) {
            return;
        }
        let sender = open_connection.sender;
        self.remove_connection(connection);
        self.pending.remove(id);
        let abandoned = AuditEvent::Abandoned { id: id.to_owned() };
        self.record(
            Some(sender),
            abandoned,
            &format!("client timed out without an answer to {id}"),
        );
        self.client_unanswered(id);
    }

    /// Informs the client model that a submission remains without an answer, after which it submits the message again.
    pub(super) fn client_unanswered(&mut self, id: &str) {
        let now = self.now();
        self.clients.answered(now, id, ClientAnswer::Nothing);
        self.schedule_arrival();
    }
}

fn audited_answer(client_answer: ClientAnswer) -> Answer {
    match client_answer {
        ClientAnswer::Accepted => Answer::Accepted,
        ClientAnswer::Rejected { after } => Answer::Rejected { after },
        ClientAnswer::Error | ClientAnswer::Nothing => Answer::Error,
    }
}

fn answer_for_client(answer: &Answer) -> ClientAnswer {
    match answer {
        Answer::Accepted | Answer::Delivered => ClientAnswer::Accepted,
        Answer::Rejected { after } => ClientAnswer::Rejected { after: *after },
        Answer::Failed | Answer::Error => ClientAnswer::Error,
    }
}
