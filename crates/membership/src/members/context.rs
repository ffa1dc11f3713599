//! The context that is passed to all parts of a member: settings, clock, random numbers, timers and collected effects.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::anti_entropy::Message;
use crate::event::Effect;
use crate::identity::Identity;
use crate::seal::{MAX_MESSAGE_BYTES, MessageKind, seal};
use crate::settings::Settings;
use crate::timers::Timers;
use crate::token_bucket::{TokenBucket, TrafficClass};

/// The limit on the bytes a member sends per second. Urgent packets, such as probes and their answers (see [`TokenBucket`]), are
/// not limited. On average a member receives as much as it sends; with urgent packets that is at most 13 kB per second in both
/// directions together.
const MAX_BYTES_PER_SECOND: u32 = 5_000;
/// The capacity of the token bucket, as the time in which it fills at [`MAX_BYTES_PER_SECOND`].
const MAX_BURST: Duration = Duration::from_secs(2);
/// The range of the random factor of a delay with jitter.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// A timer of a member.
#[derive(Debug)]
pub(super) enum Timer {
    /// A timer that `foca` scheduled.
    Swim(foca::Timer<Identity>),
    /// Announce this member to a seed that is unknown or a member that is down.
    ContactAbsent,
    /// Send a round of gossip.
    Gossip,
    /// Start an anti-entropy comparison with a random member.
    AntiEntropy,
    /// Decide on this member's vote.
    Vote,
}

/// The settings, clock, random numbers, timers and pending effects of a member.
pub(super) struct Context {
    pub(super) settings: Settings,
    /// The time of the input that is being handled; it never decreases.
    pub(super) now: Time,
    pub(super) rng: ChaCha8Rng,
    pub(super) timers: Timers<Timer>,
    bandwidth: TokenBucket,
    /// The number of the next packet to send, by which receivers detect replayed packets.
    packet_number: u64,
    effects: Vec<Effect>,
}

impl Context {
    pub(super) fn new(settings: Settings, rng: ChaCha8Rng, now: Time) -> Context {
        Context {
            settings,
            now,
            rng,
            timers: Timers::new(),
            bandwidth: TokenBucket::new(MAX_BYTES_PER_SECOND, MAX_BURST, now),
            packet_number: 0,
            effects: Vec::new(),
        }
    }

    /// The time of the current input in milliseconds since 1970.
    pub(super) fn now_ms(&self) -> u64 {
        to_ms(self.now)
    }

    /// Schedules a timer after a delay with jitter, so that the members' timers don't synchronize.
    pub(super) fn schedule_with_jitter(&mut self, delay: Duration, timer: Timer) {
        let delay = delay.mul_f64(self.rng.random_range(JITTER));
        self.timers.schedule(self.now + delay, timer);
    }

    /// Whether the limit on sent bytes allows a packet of this class now.
    pub(super) fn may_send(&mut self, class: TrafficClass) -> bool {
        self.bandwidth.allows(self.now, class)
    }

    /// Seals and sends a message that already begins with the identity of its sender and the address of its receiver.
    pub(super) fn send(&mut self, kind: MessageKind, to: SocketAddr, message: &[u8]) {
        let (key, now_ms) = (&self.settings.key, to_ms(self.now));
        let bytes = seal(key, now_ms, self.packet_number, kind, message);
        self.packet_number += 1;
        self.bandwidth.charge(self.now, bytes.len());
        self.effects.push(Effect::Send { to, bytes });
    }

    /// Prefixes a body with the sender's identity and the receiver's address, then seals and sends the message.
    pub(super) fn send_addressed(
        &mut self,
        from: &Identity,
        kind: MessageKind,
        to: SocketAddr,
        body: &[u8],
    ) {
        let Some(mut message) = encode(&(from, to)) else {
            return;
        };
        message.extend_from_slice(body);
        self.send(kind, to, &message);
    }

    pub(super) fn send_anti_entropy(&mut self, from: &Identity, to: SocketAddr, message: &Message) {
        if let Some(body) = encode(message) {
            self.send_addressed(from, MessageKind::AntiEntropy, to, &body);
        }
    }

    /// Adds an effect to those that [`crate::Members::step`] returns.
    pub(super) fn report(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Takes the effects collected since the last call, with a wake-up request if the next wake-up has changed.
    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        let wakeup = self.timers.changed_wakeup();
        self.effects.extend(wakeup.map(Effect::WakeAt));
        std::mem::take(&mut self.effects)
    }
}

/// The maximum size in bytes of the body that `from` can send with [`Context::send_addressed`], so that the message fits into a
/// packet. The receiver's address is assumed to be encoded in as many bytes as that of `from`.
pub(super) fn max_body(from: &Identity) -> usize {
    let prefix_bytes = encode(&(from, from.address)).map_or(0, |bytes| bytes.len());
    MAX_MESSAGE_BYTES.saturating_sub(prefix_bytes)
}

/// Encodes a value. Never `None` for the types used here, whose encoding to memory can't fail.
fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(value).ok()
}

/// Converts a time to milliseconds since 1970.
pub(super) fn to_ms(time: Time) -> u64 {
    time.0 / 1_000_000
}
