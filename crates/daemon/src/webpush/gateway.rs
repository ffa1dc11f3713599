//! Conversion of application servers' requests to messages, and of attempts to requests to push services.

use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{Attempt, Envelope, Listing, Message, Origin};
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{
    Class, Condition, DedupScope, DestinationId, DestinationKind, Effect, EndpointId, Entry,
};

use super::file::{File, Location};
use super::vapid::{Vapid, VapidError};
use crate::http::{self, Headers, Request, header};
use crate::platform_settings::PlatformSettings;

/// The destination id of the first push service; far above the ids of the platform's destinations.
const FIRST_DESTINATION: u64 = 1 << 40;
/// Deadline of a message with a TTL of zero, which gets one immediate attempt.
const ZERO_TTL_DEADLINE: Duration = Duration::from_secs(2);
/// A longer TTL, also one that does not fit into 64 bits, is shortened to this, in seconds.
const MAX_TTL_SECONDS: u64 = u32::MAX as u64;
/// Limit of a topic (RFC 8030, section 5.4).
const MAX_TOPIC_LENGTH: usize = 32;
/// The values of the `Urgency` header (RFC 8030, section 5.3).
const URGENCIES: [&str; 4] = ["very-low", "low", "normal", "high"];
/// Request headers that are forwarded to the push service.
const FORWARDED_HEADERS: [&str; 6] = [
    "Content-Encoding",
    "Content-Type",
    "Encryption",
    "Crypto-Key",
    "Urgency",
    "Topic",
];

/// Why a request is rejected: the HTTP status, and the reason in the response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
}

const fn reject<T>(status: u16, reason: &'static str) -> Result<T, Rejection> {
    Err(Rejection { status, reason })
}

/// Converts Web Push requests to messages and back, according to the Web Push file.
#[derive(Debug)]
pub(crate) struct WebPushGateway {
    file: File,
    vapid: Option<Vapid>,
    /// Position in the settings of the class for messages without a topic; that for messages with a topic follows. A repeat of a
    /// message without a topic would be shown to the user twice.
    class: usize,
    /// Position in the settings of the endpoint kind of push services.
    kind: usize,
    /// Messages accepted so far, from which their ids are derived.
    messages: u64,
}

impl WebPushGateway {
    /// Creates the gateway, and adds the classes and the endpoint kind of Web Push to the settings.
    pub(crate) fn new(
        file: File,
        platform_settings: &mut PlatformSettings,
    ) -> Result<WebPushGateway, VapidError> {
        let settings = &mut platform_settings.settings;
        let (class, kind) = (settings.classes.len(), settings.kinds.len());
        let without_topic = Class {
            effect: Effect::Unsafe,
            in_order: false,
            ..settings
                .classes
                .first()
                .cloned()
                .unwrap_or_else(default_class)
        };
        // A message with a topic replaces the previous one with that topic, so a repeat is harmless.
        let with_topic = Class {
            effect: Effect::Safe,
            ..without_topic.clone()
        };
        settings.classes.extend([without_topic, with_topic]);
        settings.kinds.push(DestinationKind {
            max_messages_per_call: 1,
            separate_routes: false,
        });
        let vapid = file.vapid.as_ref().map(Vapid::new).transpose()?;
        Ok(WebPushGateway {
            file,
            vapid,
            class,
            kind,
            messages: 0,
        })
    }

    /// The push services as entries of the endpoint list.
    pub(crate) fn listings(&self) -> Vec<Listing> {
        let mut listings = Vec::new();
        for (destination, upstream) in (FIRST_DESTINATION..).zip(&self.file.upstream) {
            for server in &upstream.server {
                let condition = if server.draining {
                    Condition::Draining
                } else {
                    Condition::Ready
                };
                let entry = Entry {
                    endpoint: EndpointId(format!("push/{}/{}", upstream.name, server.address)),
                    destination: DestinationId(destination),
                    condition,
                    zone: 0,
                    kind: self.kind,
                    rate: upstream.rate.unwrap_or(0.0),
                };
                listings.push(Listing {
                    entry,
                    address: server.address.clone(),
                });
            }
        }
        listings
    }

    /// Converts a request on `connection` to a message, or returns why it is rejected.
    pub(crate) fn accept(
        &mut self,
        request: Request,
        connection: usize,
        platform_settings: &PlatformSettings,
        now: Time,
    ) -> Result<Message, Rejection> {
        let Some(location) = self.location(&request.path) else {
            return reject(404, "no such push resource");
        };
        if request.method != "POST" {
            return reject(405, "only POST is taken here");
        }
        let ttl_seconds = ttl_seconds(&request.headers)?;
        check_urgency(&request.headers)?;
        let has_topic = has_topic(&request.headers)?;
        let settings = &platform_settings.settings;
        let class = self.class + usize::from(has_topic);
        let time_to_live = if ttl_seconds == 0 {
            ZERO_TTL_DEADLINE
        } else {
            Duration::from_secs(ttl_seconds)
        };
        let expires = now + Duration::from_secs(ttl_seconds);
        let envelope = envelope(location, &request, expires);
        let destination = self.destination(&location.upstream);
        self.messages += 1;
        Ok(Message {
            id: format!("push-{}", self.messages),
            class,
            // Web Push messages belong to no tenant, so no quota applies.
            tenant: usize::MAX,
            destination,
            idempotency_key: None,
            ordering_key: None,
            body: Arc::from(request.body),
            time_left: time_to_live.min(settings.classes[class].deadline),
            attempts_used: if ttl_seconds == 0 {
                settings.max_attempts - 1
            } else {
                0
            },
            envelope: Some(Arc::new(envelope)),
            origin: Origin::Waiting(connection),
        })
    }

    /// The location with the longest prefix of the path.
    fn location(&self, path: &str) -> Option<&Location> {
        let locations = self.file.location.iter();
        locations
            .filter(|location| path.starts_with(&location.path))
            .max_by_key(|location| location.path.len())
    }

    fn destination(&self, upstream: &str) -> u64 {
        let position = self.file.upstream.iter().position(|u| u.name == upstream);
        FIRST_DESTINATION + position.unwrap_or(0) as u64
    }

    /// Encodes an attempt's request to a push service.
    pub(crate) fn write_call(&mut self, host: &str, attempt: &Attempt, now: Time) -> Vec<u8> {
        let Some(envelope) = &attempt.envelope else {
            return Vec::new();
        };
        let ttl = (envelope.expires - now).as_secs();
        let mut headers = vec![("TTL", ttl.to_string())];
        let forwarded = envelope.headers.iter();
        headers.extend(forwarded.map(|(name, value)| (name.as_str(), value.clone())));
        if let Some(vapid) = &mut self.vapid {
            let unix_seconds = now.0 / 1_000_000_000;
            let authorization = vapid.authorization(&format!("http://{host}"), unix_seconds);
            headers.push(("Authorization", authorization));
        }
        http::write_request("POST", &envelope.path, host, &headers, &attempt.body)
    }
}

fn ttl_seconds(headers: &Headers) -> Result<u64, Rejection> {
    let Some(ttl) = header(headers, "ttl") else {
        return reject(400, "TTL is required");
    };
    if ttl.is_empty() || !ttl.bytes().all(|b| b.is_ascii_digit()) {
        return reject(400, "TTL must be a number of seconds");
    }
    Ok(ttl.parse().unwrap_or(MAX_TTL_SECONDS).min(MAX_TTL_SECONDS))
}

fn check_urgency(headers: &Headers) -> Result<(), Rejection> {
    match header(headers, "urgency") {
        Some(urgency) if !URGENCIES.contains(&urgency) => reject(400, "Urgency not known"),
        _ => Ok(()),
    }
}

fn has_topic(headers: &Headers) -> Result<bool, Rejection> {
    let Some(topic) = header(headers, "topic") else {
        return Ok(false);
    };
    let is_base64url = topic
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
    if topic.is_empty() || topic.len() > MAX_TOPIC_LENGTH || !is_base64url {
        return reject(400, "Topic must be at most 32 characters of base64url");
    }
    Ok(true)
}

/// The path and headers of the request to the push service, and when the message's TTL ends.
fn envelope(location: &Location, request: &Request, expires: Time) -> Envelope {
    let target = location.to.as_ref().unwrap_or(&location.path);
    let rest = &request.path[location.path.len()..];
    let forwarded = |name: &&str| {
        let value = header(&request.headers, name)?;
        Some(((*name).to_owned(), value.to_owned()))
    };
    Envelope {
        path: format!("{target}{rest}"),
        headers: FORWARDED_HEADERS.iter().filter_map(forwarded).collect(),
        expires,
    }
}

/// The class on which those of Web Push are based if the platform's settings have no class.
fn default_class() -> Class {
    Class {
        latency_objective: Duration::from_secs(4),
        deadline: Duration::from_secs(20),
        effect: Effect::Unsafe,
        dedup: DedupScope::All,
        dedup_window: Duration::from_secs(20),
        in_order: false,
        priority_weight: 1.0,
        min_weight_share: 0.4,
    }
}
