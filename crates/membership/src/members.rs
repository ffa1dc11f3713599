//! [`Members`]: `foca` and what goes round it, driven by packets and timers.

mod anti_entropy;
mod quorum;
mod swim;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cranehill_scheduler::Time;
use foca::{AccumulatingRuntime, Foca, PostcardCodec, Timer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::digest::ShortHash;
use crate::event::{Effect, Input};
use crate::member_table::{MemberTable, View};
use crate::quota::QuotaDivisor;
use crate::seal::{self, DropReason, Kind, MAX_PACKET, ReplayFilter};
use crate::settings::{FANOUT, GOSSIPS_PER_PERIOD, Settings};
use crate::token_bucket::TokenBucket;
use crate::vote::{DownSets, MAX_PAYLOAD, VoteHandler, Votes};
use crate::voting::Voting;
use crate::{Identity, digest};

/// Bytes of one piece of what a member tells: with who it is from and for, it must fit into a packet.
pub const MAX_LEARNED_PIECE: usize = 1024;
/// Bytes that a member sends a second, at most but for what can't wait. As much comes in, on average: at most 13 kB in both
/// directions with what can't wait.
const SENT_BYTES_PER_SECOND: u32 = 5_000;
/// Bytes unsent for so long may be sent later.
const BURST: Duration = Duration::from_secs(2);
/// Periods between two words to somebody who should be there and is not.
const CALL_PERIODS: u32 = 2;
/// Who has heard nobody for two periods may be deaf itself, and accuses nobody until it has been so for this many times
/// the suspicion: then it is alone, and nobody hears it either, or the others are gone.
const DEAF_SUSPICIONS: u32 = 4;

#[derive(Debug)]
enum Due {
    Swim(Timer<Identity>),
    Call,
    Gossip,
    AntiEntropy,
    Vote,
}

/// The members of the fleet as one of them sees them.
pub struct Members {
    set: Settings,
    foca: Foca<Identity, PostcardCodec, ChaCha8Rng, VoteHandler>,
    runtime: AccumulatingRuntime<Identity>,
    token_bucket: TokenBucket,
    /// Our own incarnation, by the latest packet.
    swim_incarnation: u16,

    votes: Arc<Mutex<Votes>>,
    sets: DownSets,
    voting: Voting,
    vote_number: u32,
    /// When a look at the down members is due.
    vote_at: Option<Time>,
    payload: Vec<u8>,

    views: MemberTable,
    /// Something may have changed in what `foca` holds of the others.
    views_stale: bool,
    /// For how long members that we were told of had been down.
    down_for: BTreeMap<SocketAddr, Duration>,
    /// Members that our own probes missed, with the incarnation that is suspected.
    accused: BTreeMap<SocketAddr, u16>,
    share: QuotaDivisor,
    share_divisor: u32,
    /// Changes of votes that the share has taken in.
    votes_counted: u64,
    /// Changes of who is active.
    active_changes: u64,

    /// Whether the latest exchange found a difference.
    differed: bool,
    /// When to forget what nobody needs any more.
    keep_at: Time,
    /// Sets that we have asked for since the last period.
    requested: BTreeSet<ShortHash>,
    /// Who last told of a vote for a set that isn't known here, and so holds the set.
    holders: BTreeMap<ShortHash, SocketAddr>,

    replays: ReplayFilter,
    timers: BTreeMap<(Time, u64), Due>,
    timer_count: u64,
    wake_at: Option<Time>,
    /// When something of the fleet came last.
    last_heard: Time,
    packet_number: u64,
    rng: ChaCha8Rng,
    now: Time,
    left: bool,
    dropped: BTreeMap<DropReason, u64>,
    effects: Vec<Effect>,
}

impl fmt::Debug for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Members")
            .field("me", self.me())
            .field("views", &self.views)
            .finish_non_exhaustive()
    }
}

fn millis(time: Time) -> u64 {
    time.0 / 1_000_000
}

fn lock(votes: &Mutex<Votes>) -> MutexGuard<'_, Votes> {
    votes.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Members {
    /// Takes part from the next [`Input::Due`] on, which is to come at once.
    pub fn new(set: Settings, seed: u64, now: Time) -> Members {
        let me = Identity {
            at: set.at,
            incarnation: millis(now),
            name: set.name.clone(),
        };
        let votes = Arc::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let own = ChaCha8Rng::seed_from_u64(rng.random());
        let handler = VoteHandler(Arc::clone(&votes));
        let foca = Foca::with_custom_broadcast(me, set.config(), own, PostcardCodec, handler);
        let mut members = Members {
            foca,
            runtime: AccumulatingRuntime::new(),
            token_bucket: TokenBucket::new(SENT_BYTES_PER_SECOND, BURST, now),
            swim_incarnation: 0,
            votes,
            sets: DownSets::default(),
            voting: Voting::new(set.period, set.configured_members),
            vote_number: 0,
            vote_at: None,
            payload: Vec::new(),
            views: MemberTable::default(),
            views_stale: false,
            down_for: BTreeMap::new(),
            accused: BTreeMap::new(),
            share: QuotaDivisor::new(set.configured_members, set.eviction_delay),
            share_divisor: set.configured_members.max(1),
            votes_counted: 0,
            active_changes: 0,
            differed: false,
            keep_at: now,
            requested: BTreeSet::new(),
            holders: BTreeMap::new(),
            replays: ReplayFilter::default(),
            timers: BTreeMap::new(),
            timer_count: 0,
            wake_at: None,
            last_heard: now,
            packet_number: 0,
            rng,
            now,
            left: false,
            dropped: BTreeMap::new(),
            effects: Vec::new(),
            set,
        };
        members.at(now, Due::Call);
        members.at(now + members.set.period, Due::AntiEntropy);
        members.at(now + members.set.period / GOSSIPS_PER_PERIOD, Due::Gossip);
        members
    }

    /// Ourselves, in our present incarnation.
    pub fn me(&self) -> &Identity {
        self.foca.identity()
    }

    /// The others.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.iter()
    }

    /// What each member that is there says to all, by its latest vote.
    pub fn payloads(&self) -> Vec<(SocketAddr, Vec<u8>)> {
        let votes = lock(&self.votes);
        let active = self
            .views
            .named()
            .filter(|(_, view)| view.state.is_active());
        let payload = |name| {
            votes
                .get(name)
                .map(|vote| vote.payload.clone())
                .unwrap_or_default()
        };
        active
            .map(|(name, view)| (view.member.at, payload(name)))
            .collect()
    }

    /// While it stays the same, so does [`Members::payloads`].
    pub fn payloads_version(&self) -> u64 {
        self.active_changes + lock(&self.votes).payload_changes()
    }

    /// Senders to leave room for, ourselves included.
    pub fn share_divisor(&self) -> u32 {
        self.share_divisor
    }

    /// Packets dropped since the start, by cause.
    pub fn dropped(&self) -> impl Iterator<Item = (DropReason, u64)> {
        self.dropped.iter().map(|(&why, &times)| (why, times))
    }

    /// Takes one input in and tells what to do.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        if !self.left {
            self.take(input);
            self.drain_runtime();
            self.refresh_views();
            self.count_votes();
        }
        self.set_alarm();
        std::mem::take(&mut self.effects)
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::PacketReceived(bytes) => {
                if let Err(why) = self.receive(&bytes) {
                    self.drop_packet(why);
                }
            }
            Input::TimerFired => {
                // The alarm is spent, also if a new timer is for this very moment.
                self.wake_at = None;
                self.due();
            }
            Input::Leave => self.leave(),
            Input::RequestLearned => self.request_learned(),
            Input::SetPayload(payload)
                if payload.len() > MAX_PAYLOAD || payload == self.payload => {}
            Input::SetPayload(payload) => {
                self.payload = payload;
                self.cast_vote(false);
                self.broadcast_vote();
                // Others act on it together: it does not wait for the next round.
                let _ = self.foca.gossip(&mut self.runtime);
            }
            Input::SendLearned { to, chunks } => {
                for piece in chunks {
                    self.send(Kind::LearnedReply, to, &piece);
                }
            }
        }
    }

    fn at(&mut self, at: Time, due: Due) {
        self.timer_count += 1;
        self.timers.insert((at, self.timer_count), due);
    }

    /// After a pause that differs a little each time, so that members don't fall into step.
    fn after(&mut self, pause: Duration, due: Due) {
        let pause = pause.mul_f64(self.rng.random_range(0.75..1.25));
        self.at(self.now + pause, due);
    }

    fn drop_packet(&mut self, why: DropReason) {
        *self.dropped.entry(why).or_default() += 1;
        self.effects.push(Effect::Dropped(why));
    }

    fn receive(&mut self, bytes: &[u8]) -> Result<(), DropReason> {
        if bytes.len() > MAX_PACKET {
            return Err(DropReason::TooLong);
        }
        let max_age = self.set.max_packet_age.as_millis() as u64;
        let opened = seal::open(&self.set.key, millis(self.now), max_age, bytes)?;
        match opened.kind {
            Kind::Swim => self.receive_swim(opened.number, opened.message),
            kind => self.receive_addressed(kind, opened.number, opened.message),
        }
    }

    /// What says itself who it is from and for.
    fn receive_addressed(
        &mut self,
        kind: Kind,
        number: u64,
        message: &[u8],
    ) -> Result<(), DropReason> {
        let ((from, to), body) = postcard::take_from_bytes::<(Identity, SocketAddr)>(message)
            .map_err(|_| DropReason::Unreadable)?;
        self.replays.accept(from.at, from.incarnation, number)?;
        if to != self.me().at || from.at == to {
            return Err(DropReason::Unreadable);
        }
        self.last_heard = self.now;
        match kind {
            Kind::AntiEntropy => return self.receive_exchange(from, body),
            Kind::LearnedReply => {
                self.effects.push(Effect::LearnedReceived {
                    by: from.at,
                    piece: body.to_vec(),
                });
            }
            _ => self.effects.push(Effect::LearnedRequested { by: from.at }),
        }
        Ok(())
    }

    fn request_learned(&mut self) {
        let alive = |v: &&View| v.state == crate::State::Alive;
        let mut alive: Vec<SocketAddr> = self
            .views
            .iter()
            .filter(alive)
            .map(|v| v.member.at)
            .collect();
        for _ in 0..FANOUT.get().min(alive.len()) {
            let one = alive.swap_remove(self.rng.random_range(0..alive.len()));
            self.send(Kind::LearnedRequest, one, &[]);
        }
    }

    /// Sends what says itself who it is from and for.
    fn send(&mut self, kind: Kind, to: SocketAddr, body: &[u8]) {
        let Ok(mut message) = postcard::to_stdvec(&(self.me(), to)) else {
            return;
        };
        message.extend_from_slice(body);
        self.seal(kind, to, &message);
    }

    fn seal(&mut self, kind: Kind, to: SocketAddr, message: &[u8]) {
        let bytes = seal::seal(
            &self.set.key,
            millis(self.now),
            self.packet_number,
            kind,
            message,
        );
        self.packet_number += 1;
        self.token_bucket.charge(self.now, bytes.len());
        self.effects.push(Effect::Send { to, bytes });
    }

    fn due(&mut self) {
        let Some((&(first, _), _)) = self.timers.first_key_value() else {
            return;
        };
        let stalled = self.now - first;
        if stalled > self.set.period {
            // We were stopped, or starved. Answers that came meanwhile were not heard, so what our timers would conclude
            // about others would be about ourselves (Lifeguard, section IV-A).
            let moved = std::mem::take(&mut self.timers);
            self.timers = moved
                .into_iter()
                .map(|((at, n), due)| ((at + stalled, n), due))
                .collect();
            self.effects.push(Effect::ProcessPaused(stalled));
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                Due::Swim(timer) => self.swim_due(timer),
                Due::Call => self.contact_absent(),
                Due::Gossip => self.gossip_due(),
                Due::AntiEntropy => self.exchange_due(),
                Due::Vote => self.vote_due(),
            }
        }
    }

    fn set_alarm(&mut self) {
        let next = self.timers.first_key_value().map(|(&(at, _), _)| at);
        if next != self.wake_at {
            self.wake_at = next;
            self.effects.extend(next.map(Effect::WakeAt));
        }
    }

    fn my_hash(&self) -> ShortHash {
        digest::identity_hash(self.me())
    }
}
