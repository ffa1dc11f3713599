//! What all parts of a member use: its settings, clock, random numbers and timers, and the packets and events that it emits.

use std::net::SocketAddr;
use std::time::Duration;

use cranehill_scheduler::Time;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::anti_entropy::Message;
use crate::event::Effect;
use crate::identity::Identity;
use crate::seal::{Kind, MAX_MESSAGE, seal};
use crate::settings::Settings;
use crate::timers::Timers;
use crate::token_bucket::{TokenBucket, TrafficClass};

/// Bytes that a member sends a second, besides what can't wait. As much arrives on average: with what can't wait, at most 13 kB
/// a second in both directions.
const MAX_BYTES_PER_SECOND: u32 = 5_000;
/// How long unused bytes may add up.
const MAX_BURST: Duration = Duration::from_secs(2);
/// The random factors of a jittered delay.
const JITTER: std::ops::Range<f64> = 0.75..1.25;

/// A timer of a member.
#[derive(Debug)]
pub(super) enum Timer {
    /// A timer of `foca`.
    Swim(foca::Timer<Identity>),
    /// Announce ourselves to a member that is absent.
    ContactAbsent,
    /// Send a round of gossip.
    Gossip,
    /// Compare states with a random member.
    AntiEntropy,
    /// Decide on our vote.
    Vote,
}

/// The settings, clock, random numbers, timers and outgoing packets of a member.
pub(super) struct Context {
    pub(super) settings: Settings,
    pub(super) now: Time,
    pub(super) rng: ChaCha8Rng,
    pub(super) timers: Timers<Timer>,
    bandwidth: TokenBucket,
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

    /// The present time in milliseconds since 1970.
    pub(super) fn now_ms(&self) -> u64 {
        to_ms(self.now)
    }

    /// Schedules a timer after a delay that varies a little, so that members don't synchronize.
    pub(super) fn schedule_with_jitter(&mut self, delay: Duration, timer: Timer) {
        let delay = delay.mul_f64(self.rng.random_range(JITTER));
        self.timers.schedule(self.now + delay, timer);
    }

    /// Whether the byte limit allows a packet of this class now.
    pub(super) fn may_send(&mut self, class: TrafficClass) -> bool {
        self.bandwidth.allows(self.now, class)
    }

    /// Sends a message that contains its sender and receiver.
    pub(super) fn send(&mut self, kind: Kind, to: SocketAddr, message: &[u8]) {
        let (key, now_ms) = (&self.settings.key, to_ms(self.now));
        let bytes = seal(key, now_ms, self.packet_number, kind, message);
        self.packet_number += 1;
        self.bandwidth.charge(self.now, bytes.len());
        self.effects.push(Effect::Send { to, bytes });
    }

    /// Sends a message with its sender and receiver in front of it.
    pub(super) fn send_addressed(
        &mut self,
        from: &Identity,
        kind: Kind,
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
            self.send_addressed(from, Kind::AntiEntropy, to, &body);
        }
    }

    /// Reports an event to the caller.
    pub(super) fn report(&mut self, event: Effect) {
        self.effects.push(event);
    }

    /// The effects since the last call, with a request for the next wake-up.
    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        let wakeup = self.timers.changed_wakeup();
        self.effects.extend(wakeup.map(Effect::WakeAt));
        std::mem::take(&mut self.effects)
    }
}

/// Bytes of the body of an addressed message from a sender, so that it fits into a packet.
pub(super) fn max_body(from: &Identity) -> usize {
    let frame = encode(&(from, from.at)).map_or(0, |bytes| bytes.len());
    MAX_MESSAGE.saturating_sub(frame)
}

/// Encodes a value; `None` can't happen for values in memory.
fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(value).ok()
}

/// A time in milliseconds since 1970.
pub(super) fn to_ms(time: Time) -> u64 {
    time.0 / 1_000_000
}
