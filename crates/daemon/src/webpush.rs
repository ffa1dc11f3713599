//! Web Push (RFC 8030, with VAPID as in RFC 8292), both ways: as the service that app destinations post to, and
//! as the client of the push services behind it. Pure; the reactor owns the connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use cranehill_scheduler::Time;
use cranehill_scheduler::api::{
    Class, Condition, Decay, DedupScope, DestinationId, Effect, EndpointId, Entry, Kind, Rules,
    Settings, Status,
};
use cranehill_scheduler::profile::Names;
use p256::ecdsa::signature::Signer;
use p256::ecdsa::{Signature, SigningKey};
use serde::{Deserialize, Serialize};

use crate::config::PlatformSettings;
use crate::destination_protocol::{DestinationResponse, Verdict};
use crate::http::{self, Request, Response, header};
use crate::time_span;
use cranehill_core::{Answer, Attempt, Envelope, Listing, Message, Origin};

/// Push services are numbered from here on, out of the way of the platform's destinations.
const FIRST: u64 = 1 << 40;
/// What a message with a TTL of zero has: one attempt, now or not at all.
const AT_ONCE: Duration = Duration::from_secs(2);
/// A signed token's life; the most that RFC 8292 allows is a day.
const TOKEN_VALIDITY: u64 = 12 * 3600;
/// Headers that describe the message and travel with it.
const CARRIED: [&str; 6] = [
    "Content-Encoding",
    "Content-Type",
    "Encryption",
    "Crypto-Key",
    "Urgency",
    "Topic",
];

/// The file under `deploy/` that says where this front listens and whom it reaches.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub listen: Option<String>,
    pub vapid: Option<VapidFile>,
    #[serde(default)]
    pub upstream: Vec<Upstream>,
    #[serde(default)]
    pub location: Vec<Location>,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct VapidFile {
    /// The private key: 32 bytes in base64url.
    pub key: String,
    pub subject: String,
}

/// A push service.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    pub name: String,
    /// Calls a second that it takes, where known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    pub server: Vec<Server>,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub address: String,
    /// Listed, but sent nothing new.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

/// Which posts go to which push service. The longest path that fits counts.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Location {
    pub path: String,
    pub upstream: String,
    /// What stands at the service in place of `path`; the same if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
}

/// Reads and checks the file.
pub fn parse_file(text: &str) -> Result<File, String> {
    let file: File = time_span::parse(text)?;
    file.check()?;
    Ok(file)
}

impl File {
    pub fn check(&self) -> Result<(), String> {
        if let Some(listen) = &self.listen {
            loopback("listen", listen)?;
        }
        for (i, upstream) in self.upstream.iter().enumerate() {
            if self.upstream[..i].iter().any(|u| u.name == upstream.name) {
                return Err(format!("upstream '{}' is named twice", upstream.name));
            }
            if upstream.server.is_empty() {
                return Err(format!("upstream '{}' has no server", upstream.name));
            }
            if upstream.rate.is_some_and(|r| !r.is_finite() || r <= 0.0) {
                return Err(format!(
                    "upstream '{}': rate must be above zero",
                    upstream.name
                ));
            }
            for server in &upstream.server {
                loopback(&format!("upstream '{}'", upstream.name), &server.address)?;
            }
        }
        for location in &self.location {
            if !location.path.starts_with('/')
                || location.to.as_ref().is_some_and(|t| !t.starts_with('/'))
            {
                return Err(format!(
                    "location '{}': a path must begin with '/'",
                    location.path
                ));
            }
            if !self.upstream.iter().any(|u| u.name == location.upstream) {
                return Err(format!(
                    "location '{}': no upstream '{}'",
                    location.path, location.upstream
                ));
            }
        }
        if let Some(vapid) = &self.vapid {
            Vapid::new(vapid)?;
        }
        Ok(())
    }

    pub fn listen(&self) -> Option<SocketAddr> {
        self.listen.as_ref()?.parse().ok()
    }
}

/// Only plain connections on this machine: there is no TLS here, so nothing else would be safe.
fn loopback(what: &str, text: &str) -> Result<(), String> {
    let address: SocketAddr = text
        .parse()
        .map_err(|_| format!("{what}: '{text}' is not an address and port"))?;
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(format!("{what}: '{text}' is not on this machine"))
    }
}

/// Our key, and the tokens signed with it.
#[derive(Debug)]
pub struct Vapid {
    key: SigningKey,
    public: String,
    subject: String,
    tokens: HashMap<String, (String, u64)>,
}

impl Vapid {
    pub fn new(file: &VapidFile) -> Result<Vapid, String> {
        let bytes = URL_SAFE_NO_PAD
            .decode(&file.key)
            .map_err(|_| "vapid: key is not base64url")?;
        let key =
            SigningKey::from_slice(&bytes).map_err(|_| "vapid: key is not a P-256 private key")?;
        let public = URL_SAFE_NO_PAD.encode(key.verifying_key().to_sec1_point(false).as_bytes());
        if !file.subject.starts_with("mailto:") && !file.subject.starts_with("https:") {
            return Err("vapid: subject must be a mailto: or https: address".into());
        }
        Ok(Vapid {
            key,
            public,
            subject: file.subject.clone(),
            tokens: HashMap::new(),
        })
    }

    /// The `Authorization` for a push service, signed anew at half its life.
    pub fn authorization(&mut self, origin: &str, unix_now: u64) -> String {
        let fresh = |t: &&(String, u64)| t.1 > unix_now + TOKEN_VALIDITY / 2;
        let token = match self.tokens.get(origin).filter(fresh) {
            Some((token, _)) => token.clone(),
            None => {
                let expires = unix_now + TOKEN_VALIDITY;
                let claims =
                    serde_json::json!({"aud": origin, "exp": expires, "sub": self.subject});
                let part = |v: &str| URL_SAFE_NO_PAD.encode(v);
                let signed = format!(
                    "{}.{}",
                    part(r#"{"typ":"JWT","alg":"ES256"}"#),
                    part(&claims.to_string())
                );
                let signature: Signature = self.key.sign(signed.as_bytes());
                let token = format!("{signed}.{}", URL_SAFE_NO_PAD.encode(signature.to_bytes()));
                self.tokens
                    .insert(origin.to_owned(), (token.clone(), expires));
                token
            }
        };
        format!("vapid t={token}, k={}", self.public)
    }
}

/// The front as it runs.
#[derive(Debug)]
pub struct Push {
    file: File,
    vapid: Option<Vapid>,
    /// Class of messages without a topic: a repeat would be shown twice.
    class: usize,
    kind: usize,
    next: u64,
}

impl Push {
    /// Adds this front's classes and kind to the site.
    pub fn new(file: File, platform_settings: &mut PlatformSettings) -> Result<Push, String> {
        let class = platform_settings.settings.classes.len();
        let kind = platform_settings.settings.kinds.len();
        let usual = platform_settings
            .settings
            .classes
            .first()
            .cloned()
            .unwrap_or_else(default_class);
        let once = Class {
            effect: Effect::Unsafe,
            in_order: false,
            ..usual
        };
        // A message with a topic replaces the one before it, so a repeat does no harm.
        let topic = Class {
            effect: Effect::Safe,
            ..once.clone()
        };
        platform_settings.settings.classes.extend([once, topic]);
        platform_settings.settings.kinds.push(Kind {
            per_call: 1,
            apart: false,
        });
        let vapid = file.vapid.as_ref().map(Vapid::new).transpose()?;
        Ok(Push {
            file,
            vapid,
            class,
            kind,
            next: 0,
        })
    }

    /// The push services, as a part of the list of endpoints.
    pub fn listings(&self) -> Vec<Listing> {
        let mut listings = Vec::new();
        for (place, upstream) in (FIRST..).zip(&self.file.upstream) {
            for server in &upstream.server {
                let condition = if server.draining {
                    Condition::Draining
                } else {
                    Condition::Ready
                };
                listings.push(Listing {
                    entry: Entry {
                        endpoint: EndpointId(format!("push/{}/{}", upstream.name, server.address)),
                        destination: DestinationId(place),
                        condition,
                        zone: 0,
                        kind: self.kind,
                        rate: upstream.rate.unwrap_or(0.0),
                    },
                    address: server.address.clone(),
                });
            }
        }
        listings
    }

    /// A post to this front as a message, or the answer that it gets at once.
    pub fn accept(
        &mut self,
        request: Request,
        from: usize,
        platform_settings: &PlatformSettings,
        now: Time,
    ) -> Result<Message, (u16, &'static str)> {
        let fits = |l: &&Location| request.path.starts_with(&l.path);
        let location = self
            .file
            .location
            .iter()
            .filter(fits)
            .max_by_key(|l| l.path.len());
        let location = location.ok_or((404, "no such push resource"))?;
        if request.method != "POST" {
            return Err((405, "only POST is taken here"));
        }
        let ttl = header(&request.headers, "ttl").ok_or((400, "TTL is required"))?;
        if ttl.is_empty() || !ttl.bytes().all(|b| b.is_ascii_digit()) {
            return Err((400, "TTL must be a number of seconds"));
        }
        // More digits than fit only mean a very long time.
        let ttl: u64 = ttl
            .parse()
            .unwrap_or(u64::from(u32::MAX))
            .min(u64::from(u32::MAX));
        if let Some(urgency) = header(&request.headers, "urgency")
            && !["very-low", "low", "normal", "high"].contains(&urgency)
        {
            return Err((400, "Urgency not known"));
        }
        let topic = header(&request.headers, "topic");
        if let Some(topic) = topic {
            let plain = topic
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
            if topic.is_empty() || topic.len() > 32 || !plain {
                return Err((400, "Topic must be at most 32 characters of base64url"));
            }
        }
        let class = self.class + usize::from(topic.is_some());
        let deadline = platform_settings.settings.classes[class].deadline;
        let left = if ttl == 0 {
            AT_ONCE
        } else {
            Duration::from_secs(ttl)
        }
        .min(deadline);
        let rest = &request.path[location.path.len()..];
        let carried = |name: &&str| {
            Some((
                (*name).to_owned(),
                header(&request.headers, name)?.to_owned(),
            ))
        };
        let envelope = Envelope {
            path: format!("{}{rest}", location.to.as_ref().unwrap_or(&location.path)),
            headers: CARRIED.iter().filter_map(carried).collect(),
            expires: now + Duration::from_secs(ttl),
        };
        let place = self
            .file
            .upstream
            .iter()
            .position(|u| u.name == location.upstream);
        self.next += 1;
        Ok(Message {
            id: format!("push-{}", self.next),
            class,
            // No tenant's share: push services are reached on their own account.
            tenant: usize::MAX,
            destination: FIRST + place.unwrap_or(0) as u64,
            key: None,
            ordering_key: None,
            body: Arc::from(request.body),
            left,
            spent: if ttl == 0 {
                platform_settings.settings.attempts_cap - 1
            } else {
                0
            },
            envelope: Some(Arc::new(envelope)),
            from: Origin::Waiting(from),
        })
    }

    /// The bytes of a post to a push service.
    pub fn call(&mut self, host: &str, attempt: &Attempt, now: Time) -> Vec<u8> {
        let Some(envelope) = &attempt.envelope else {
            return Vec::new();
        };
        let mut headers = vec![("TTL", (envelope.expires - now).as_secs().to_string())];
        headers.extend(
            envelope
                .headers
                .iter()
                .map(|(n, v)| (n.as_str(), v.clone())),
        );
        if let Some(vapid) = &mut self.vapid {
            let seconds = now.0 / 1_000_000_000;
            headers.push((
                "Authorization",
                vapid.authorization(&format!("http://{host}"), seconds),
            ));
        }
        http::write_request("POST", &envelope.path, host, &headers, &attempt.body)
    }
}

/// What a push service's answer says.
pub fn read(response: &Response, unix_now: Duration) -> DestinationResponse {
    let verdict = match response.status {
        200..300 => Verdict {
            status: Status::Served,
            over: true,
        },
        429 | 503 => Verdict::of(Status::Overloaded),
        404 | 410 => Verdict::of(Status::RecipientRemoved),
        500..600 => Verdict::of(Status::Error),
        // 400, 401, 403, 413 and their like: the same message will not be taken the next time either.
        _ => Verdict::of(Status::PermanentError),
    };
    let waits = verdict.status == Status::Overloaded;
    let wait = http::retry_after(&response.headers, unix_now).filter(|_| waits);
    DestinationResponse {
        verdicts: vec![verdict],
        wait,
        report: None,
    }
}

/// The one answer to a post.
pub fn answer(answer: Answer, id: &str) -> Vec<u8> {
    match answer {
        Answer::Delivered | Answer::Accepted => http::write_response(
            201,
            "Created",
            &[("Location", format!("/message/{id}"))],
            "",
        ),
        Answer::Rejected { after } => {
            // Whole seconds, and never sooner than meant.
            let seconds = after.unwrap_or_default().as_millis().div_ceil(1000).max(1);
            let headers = [("Retry-After", seconds.to_string())];
            http::write_response(
                503,
                "Service Unavailable",
                &headers,
                "refused; come again later\n",
            )
        }
        Answer::RecipientRemoved => {
            http::write_response(410, "Gone", &[], "the subscription is gone\n")
        }
        Answer::Expired => {
            http::write_response(504, "Gateway Timeout", &[], "given up: out of time\n")
        }
        Answer::Failed => http::write_response(
            504,
            "Gateway Timeout",
            &[],
            "given up: the push service did not take it\n",
        ),
    }
}

pub fn error(status: u16, why: &str) -> Vec<u8> {
    let reason = match status {
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        _ => "Service Unavailable",
    };
    let mut headers = Vec::new();
    if status == 405 {
        headers.push(("Allow", "POST".to_owned()));
    }
    http::write_response(status, reason, &headers, &format!("{why}\n"))
}

fn default_class() -> Class {
    Class {
        latency_objective: Duration::from_secs(4),
        deadline: Duration::from_secs(20),
        effect: Effect::Unsafe,
        dedup: DedupScope::All,
        window: Duration::from_secs(20),
        in_order: false,
        priority_weight: 1.0,
        late_share: 0.4,
    }
}

/// The site of a sender that runs without the platform: this front alone.
pub fn alone() -> PlatformSettings {
    let settings = Settings {
        classes: Vec::new(),
        kinds: Vec::new(),
        tenants: Vec::new(),
        over_share_worth: 1.0,
        decay: Decay::Halving,
        slots: 16,
        max_pending: 256,
        attempts_cap: 6,
        connect_timeout: Duration::from_millis(1500),
        conn_idle: Duration::from_secs(15),
        instances: 1,
        zone: 0,
        ask_for_list: false,
        rates_listed: true,
        probes: false,
        retry_after: true,
        max_retry_after: Duration::from_secs(2),
        tick: Duration::from_millis(5),
        rules: Rules {
            cold_from: 0.23,
            cold: Duration::from_millis(9100),
            fall_multiple: 1.5,
            fall: Duration::from_secs(3),
            key_quiet: Duration::ZERO,
            must_ask_in: Duration::from_secs(10),
            grace_to_answer: Duration::from_millis(20),
        },
    };
    PlatformSettings::new(settings, Names::default())
}
