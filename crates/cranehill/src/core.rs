//! The state of the sender and its one reducer. [`Core::step`] is the only place where state changes; what
//! is to be read or written in consequence is returned as effects. It knows no wire, socket, file or clock.
//!
//! Decisions (when, where, whether again, when to give up) are [`tansycroft::Sender`]'s alone. A turn goes in
//! two steps: [`Input::TurnOver`] asks for the turn's records to be kept, and only [`Input::Kept`] lets out
//! what depends on them: answers, calls and reports. So nothing is promised or sent that the ledger lacks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansycroft::api::{
    Action, Condition, DestId, EndpointId, Entry, Event, MsgId, Outcome, Past, Report, Settings, Status,
    Taken,
};
use tansycroft::{Sender, SettingsError, Time};

/// The largest body of a call with several notices, and what each adds besides its own body and key.
const CALL_MOST: usize = 64 * 1024;
const ITEM: usize = 128;
/// A partner that is no longer listed is known for so long.
const FORGOTTEN: Duration = Duration::from_secs(600);
/// Notices that have ended and are remembered, at most.
const ENDED_MOST: usize = 8192;

/// What a front passes along with a notice and the core does not look into.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Envelope {
    /// Where at the partner it goes, if not to the usual place.
    pub path: String,
    /// Headers that travel with it unchanged.
    pub headers: Vec<(String, String)>,
    /// When it is worth nothing to its receiver any more.
    pub expires: Time,
}

/// An episode notice as a client hands it in.
#[derive(Clone, Debug)]
pub struct Notice {
    pub id: String,
    /// Position in the settings' classes.
    pub class: usize,
    /// Position of the station in the settings.
    pub station: usize,
    /// The partner it is for.
    pub partner: u64,
    /// What the partner recognises a repeat by.
    pub key: Option<String>,
    pub body: Arc<[u8]>,
    /// How long it may still be delivered.
    pub left: Duration,
    /// Attempts that it may not use.
    pub spent: u32,
    pub envelope: Option<Arc<Envelope>>,
    pub from: Origin,
}

/// Who waits for an answer about a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client that is told when the notice is taken on, and of its end through the platform.
    Client(usize),
    /// A client whose answer is the notice's end; nothing is promised before, so nothing outlasts us.
    Waiting(usize),
    /// An earlier life of this sender.
    Ledger,
}

/// The answer to who handed a notice in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    TakenOn,
    Refused {
        after: Option<Duration>,
    },
    Failed,
    Delivered,
    Gone,
    /// Its time is out.
    GivenUp,
}

/// How a notice that was taken on ended without delivery, as the platform is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Closing {
    Returned { after_ms: u64 },
    Failed,
}

/// One endpoint as the directory lists it.
#[derive(Clone, Debug)]
pub struct Listing {
    pub entry: Entry,
    pub address: String,
}

/// How one notice's attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    pub id: String,
    pub attempt: u32,
    pub status: Status,
    /// The partner says that the notice is over: nothing more is owed.
    pub over: bool,
    pub took: Duration,
    pub told_wait: Option<Duration>,
    pub report: Option<Report>,
}

#[derive(Debug)]
pub enum Input {
    Handed(Notice),
    /// Whoever waited for this notice's end has left.
    Withdrawn(String),
    Listed {
        whole: bool,
        list: Vec<Listing>,
    },
    Ended(Vec<AttemptEnd>),
    Checked {
        endpoint: EndpointId,
        status: Status,
    },
    /// The timer asked for with [`Effect::WakeAt`] is due.
    Due,
    /// Everything of this turn is in.
    TurnOver,
    /// The records of [`Effect::Keep`] are in the ledger, or could not be written.
    Kept(bool),
    /// The platform has these closing reports.
    Reported(Vec<String>),
    /// What an earlier life left in the ledger.
    Recovered(Vec<Record>),
    /// No new attempts: the process is about to end.
    Stopping,
}

/// One notice in a call.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub number: u32,
    pub key: Option<String>,
    pub body: Arc<[u8]>,
    pub envelope: Option<Arc<Envelope>>,
    /// When the wait for it ends.
    pub until: Time,
    /// It is out of time then, so its call need not be broken off for a further attempt.
    pub last: bool,
}

#[derive(Clone, Debug)]
pub enum Effect {
    /// Write these down, then say [`Input::Kept`].
    Keep(Vec<Record>),
    Answer {
        to: Origin,
        id: String,
        answer: Answer,
    },
    Call {
        endpoint: EndpointId,
        address: String,
        attempts: Vec<Attempt>,
    },
    Report {
        id: String,
        closing: Closing,
    },
    /// End calls to these of which nothing is written yet: told to wait, or not to be sent to.
    HoldBack {
        endpoints: Vec<EndpointId>,
    },
    CloseIdle(EndpointId),
    Check {
        endpoint: EndpointId,
        address: String,
    },
    WakeAt(Time),
}

/// What the ledger keeps. Times are on the core's clock, which is anchored to Unix time.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    Taken {
        id: String,
        class: usize,
        station: usize,
        partner: u64,
        key: Option<String>,
        deadline: u64,
        #[serde(skip)]
        body: Arc<[u8]>,
    },
    /// Written before the attempt goes out.
    Sent { id: String, attempt: u32, endpoint: String, at: u64 },
    /// The attempt is back; it may have run unless `never_ran`.
    Back { id: String, attempt: u32, never_ran: bool },
    /// Ended; the platform is still to be told.
    Closing { id: String, closing: Closing },
    /// Nothing more is owed.
    Over { id: String },
}

/// When, where and as which attempt a notice first went out that may have run.
type FirstRun = (Time, EndpointId, u32);

/// What is known of a notice that is held.
#[derive(Debug)]
struct Held {
    notice: Notice,
    deadline: Time,
    attempts: u32,
    out: Option<(u32, Time)>,
    /// First attempt that may have run and still counts as such.
    maybe_ran: Option<FirstRun>,
    taken_on: bool,
    gone: bool,
}

#[derive(Debug)]
struct Partner {
    endpoint: Entry,
    address: String,
}

/// What must hold, counted where it does not. Debug builds stop instead.
#[derive(Debug, Default, Clone, Copy)]
pub struct Breaches {
    pub second_copy: u64,
    pub unknown_notice: u64,
    pub unlisted_endpoint: u64,
}

#[derive(Debug)]
pub struct Core {
    sender: Sender,
    set: Settings,
    now: Time,
    held: BTreeMap<String, Held>,
    closing: BTreeMap<String, Closing>,
    list: BTreeMap<EndpointId, Partner>,
    /// Partners listed now, or until lately, and when last.
    known: BTreeMap<u64, Time>,
    /// Ids of notices taken on that have ended, in the order in which they are forgotten.
    ended: BTreeSet<String>,
    ended_order: VecDeque<(Time, String)>,
    events: Vec<Event>,
    records: Vec<Record>,
    deferred: Vec<Effect>,
    /// Handed in this turn and not answered yet.
    fresh: BTreeSet<String>,
    stopping: bool,
    pub breaches: Breaches,
}

macro_rules! must_hold {
    ($self:ident.$field:ident, $cond:expr, $($what:tt)+) => {
        if !$cond {
            $self.breaches.$field += 1;
            log::error!($($what)+);
            debug_assert!(false, $($what)+);
        }
    };
}

impl Core {
    pub fn new(set: Settings, seed: u64, now: Time) -> Result<Core, SettingsError> {
        Ok(Core {
            sender: Sender::new(set.clone(), seed, now)?,
            set,
            now,
            held: BTreeMap::new(),
            closing: BTreeMap::new(),
            list: BTreeMap::new(),
            known: BTreeMap::new(),
            ended: BTreeSet::new(),
            ended_order: VecDeque::new(),
            events: Vec::new(),
            records: Vec::new(),
            deferred: Vec::new(),
            fresh: BTreeSet::new(),
            stopping: false,
            breaches: Breaches::default(),
        })
    }

    /// Takes one input in and tells what to do.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        match input {
            Input::Handed(notice) => self.on_handed(notice),
            Input::Withdrawn(id) => {
                if self.held.remove(&id).is_some() {
                    self.fresh.remove(&id);
                    self.events.push(Event::Lapsed(MsgId(id)));
                }
                Vec::new()
            }
            Input::Listed { whole, list } => self.on_listed(whole, list),
            Input::Ended(ends) => self.on_ended(ends),
            Input::Checked { endpoint, status } => {
                self.events.push(Event::Probed { endpoint, status });
                Vec::new()
            }
            Input::Due => {
                self.events.push(Event::Wake);
                Vec::new()
            }
            Input::TurnOver => self.on_turn_over(),
            Input::Kept(kept) => self.on_kept(kept),
            Input::Reported(ids) => {
                for id in ids {
                    if self.closing.remove(&id).is_some() {
                        self.records.push(Record::Over { id });
                    }
                }
                Vec::new()
            }
            Input::Recovered(records) => self.on_recovered(records),
            Input::Stopping => {
                self.stopping = true;
                Vec::new()
            }
        }
    }

    /// Whether the directory lists this partner, or did until lately: all of its endpoints may be in the middle
    /// of being replaced.
    pub fn knows(&self, partner: u64) -> bool {
        self.known.contains_key(&partner)
    }

    /// Endpoints that are kept, here and by the decisions.
    pub fn endpoints(&self) -> usize {
        self.list.len().max(self.sender.places())
    }

    /// Calls out just now.
    pub fn attempts_out(&self) -> usize {
        self.held.values().filter(|h| h.out.is_some()).count()
    }

    /// Notices held, and closing reports that the platform has yet to take.
    pub fn owed(&self) -> (usize, usize) {
        (self.held.len(), self.closing.len())
    }

    /// Everything owed, as the shortest run of records that [`Input::Recovered`] makes the same of.
    pub fn snapshot(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for (id, held) in self.held.iter().filter(|(_, h)| h.taken_on) {
            records.push(held.taken());
            let sent = |attempt: u32, endpoint: &EndpointId, at: Time| Record::Sent {
                id: id.clone(),
                attempt,
                endpoint: endpoint.0.clone(),
                at: at.0,
            };
            if let Some((at, endpoint, number)) = &held.maybe_ran {
                records.push(sent(*number, endpoint, *at));
            } else if held.attempts > 0 {
                records.push(sent(held.attempts - 1, &EndpointId(String::new()), self.now));
                records.push(Record::Back { id: id.clone(), attempt: held.attempts - 1, never_ran: true });
            }
            if held.maybe_ran.as_ref().is_some_and(|m| m.2 + 1 < held.attempts) {
                records.push(sent(held.attempts - 1, &EndpointId(String::new()), self.now));
            }
        }
        for (id, &closing) in &self.closing {
            records.push(Record::Closing { id: id.clone(), closing });
        }
        records
    }

    fn on_handed(&mut self, notice: Notice) -> Vec<Effect> {
        // The same id again is the same notice: a client resends what it could not know we had read.
        if let Some(held) = self.held.get(&notice.id) {
            if held.taken_on {
                let (to, id) = (notice.from, notice.id);
                return vec![Effect::Answer { to, id, answer: Answer::TakenOn }];
            }
            let refused = Answer::Refused { after: Some(Duration::from_millis(100)) };
            return vec![Effect::Answer { to: notice.from, id: notice.id, answer: refused }];
        }
        // So is one that has ended, for as long as a notice lasts: nothing goes out twice under one id, nor to
        // where somebody else under that id would have it go.
        if self.ended.contains(&notice.id) && matches!(notice.from, Origin::Client(_)) {
            return vec![Effect::Answer { to: notice.from, id: notice.id, answer: Answer::TakenOn }];
        }
        self.fresh.insert(notice.id.clone());
        let deadline = self.now + notice.left;
        self.hold(notice, deadline, None);
        Vec::new()
    }

    fn hold(&mut self, notice: Notice, deadline: Time, maybe_ran: Option<FirstRun>) {
        let past = Past {
            attempts: notice.spent,
            earlier_life: notice.from == Origin::Ledger,
            maybe_ran: maybe_ran.as_ref().map(|(at, endpoint, _)| (self.now - *at, endpoint.clone())),
        };
        self.events.push(Event::Accept(Taken {
            id: MsgId(notice.id.clone()),
            class: notice.class,
            tenant: notice.station,
            key: None,
            time_left: deadline - self.now,
            dest: DestId(notice.partner),
            past,
        }));
        let (attempts, taken_on) = (notice.spent, notice.from == Origin::Ledger);
        let id = notice.id.clone();
        let held = Held { notice, deadline, attempts, out: None, maybe_ran, taken_on, gone: false };
        self.held.insert(id, held);
    }

    fn on_listed(&mut self, whole: bool, list: Vec<Listing>) -> Vec<Effect> {
        let mut hold_back = Vec::new();
        if whole {
            let named: BTreeSet<&EndpointId> = list.iter().map(|l| &l.entry.endpoint).collect();
            hold_back.extend(self.list.keys().filter(|e| !named.contains(e)).cloned());
        }
        let mut entries = Vec::new();
        for Listing { entry, address } in list {
            if entry.condition != Condition::Ready {
                hold_back.push(entry.endpoint.clone());
            }
            entries.push(entry.clone());
            self.list.insert(entry.endpoint.clone(), Partner { endpoint: entry, address });
        }
        // What has gone must not be kept: on a long day the directory names endpoints without end.
        if whole {
            self.list.retain(|e, _| entries.iter().any(|entry| entry.endpoint == *e));
        }
        self.list.retain(|_, p| p.endpoint.condition != Condition::Gone);
        for partner in self.list.values() {
            self.known.insert(partner.endpoint.dest.0, self.now);
        }
        let now = self.now;
        self.known.retain(|_, listed| now - *listed < FORGOTTEN);
        self.events.push(Event::List { whole, entries });
        // Idle connections there would only hold descriptors, and must not serve who comes to that address next.
        let mut effects: Vec<Effect> = hold_back.iter().cloned().map(Effect::CloseIdle).collect();
        effects.push(Effect::HoldBack { endpoints: hold_back });
        effects
    }

    fn on_ended(&mut self, ends: Vec<AttemptEnd>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for end in ends {
            let told = end.told_wait;
            let Some(held) = self.held.get_mut(&end.id) else {
                // Withdrawn while out: the decisions still hear how it ended.
                self.events.push(outcome(end, true));
                continue;
            };
            let out = held.out.take_if(|(number, _)| *number == end.attempt);
            must_hold!(self.unknown_notice, out.is_some(), "an end for {} that was not out", end.id);
            let partner = held.notice.partner;
            let never_ran = matches!(
                end.status,
                Status::Refused | Status::NoConnection | Status::NotSent | Status::Gone | Status::Rejected
            );
            held.maybe_ran.take_if(|(.., number)| never_ran && *number == end.attempt);
            held.gone |= end.status == Status::Gone;
            let over = end.over || end.status == Status::Served;
            let (id, attempt) = (end.id.clone(), end.attempt);
            if over {
                let held = self.held.remove(&id);
                if let Some(held) = held.filter(|h| !h.taken_on) {
                    let answer =
                        if end.status == Status::Served { Answer::Delivered } else { Answer::Failed };
                    self.deferred.push(Effect::Answer { to: held.notice.from, id, answer });
                } else {
                    self.note_ended(&id);
                    self.records.push(Record::Over { id });
                }
            } else if held.taken_on {
                self.records.push(Record::Back { id, attempt, never_ran });
            }
            self.events.push(outcome(end, over));
            // A call still on its way to its connection would arrive inside the wait.
            if told.is_some() {
                let same = |p: &&Partner| p.endpoint.dest == DestId(partner);
                let endpoints = self.list.values().filter(same).map(|p| p.endpoint.endpoint.clone());
                effects.push(Effect::HoldBack { endpoints: endpoints.collect() });
            }
        }
        effects
    }

    fn note_ended(&mut self, id: &str) {
        let longest = self.set.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        if self.ended.insert(id.to_owned()) {
            self.ended_order.push_back((self.now + longest, id.to_owned()));
        }
        while self.ended_order.len() > ENDED_MOST
            || self.ended_order.front().is_some_and(|(until, _)| *until <= self.now)
        {
            let Some((_, id)) = self.ended_order.pop_front() else { return };
            self.ended.remove(&id);
        }
    }

    /// Lets the module decide on all that came in this turn.
    fn on_turn_over(&mut self) -> Vec<Effect> {
        let events = std::mem::take(&mut self.events);
        let actions = self.sender.handle(self.now, events);
        let mut calls: Vec<(EndpointId, String, Vec<Attempt>)> = Vec::new();
        let mut sent = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => {
                    if self.stopping {
                        continue;
                    }
                    self.on_send(id.0, endpoint, timeout, &mut calls, &mut sent);
                }
                Action::Refuse { id, after } => self.on_final(id.0, after, true),
                Action::Fail(id) => self.on_final(id.0, None, false),
                Action::Timer(after) => self.deferred.push(Effect::WakeAt(self.now + after)),
                Action::Close(endpoint) => self.deferred.push(Effect::CloseIdle(endpoint)),
                Action::Probe(endpoint) => {
                    if let Some(partner) = self.list.get(&endpoint) {
                        let address = partner.address.clone();
                        self.deferred.push(Effect::Check { endpoint, address });
                    }
                }
                // The directory is watched all the time.
                Action::Subscribe => {}
            }
        }
        // What survived its first verdict is taken on; its answer waits for the ledger, and goes first, since
        // a delivery counts only once the client knows that we have the notice.
        let mut answers = Vec::new();
        for id in std::mem::take(&mut self.fresh) {
            if let Some(held) = self.held.get_mut(&id)
                && let Origin::Client(_) = held.notice.from
            {
                held.taken_on = true;
                self.records.push(held.taken());
                answers.push(Effect::Answer { to: held.notice.from, id, answer: Answer::TakenOn });
            }
        }
        sent.retain(
            |r| matches!(r, Record::Sent { id, .. } if self.held.get(id).is_some_and(|h| h.taken_on)),
        );
        self.records.append(&mut sent);
        answers.append(&mut self.deferred);
        for (endpoint, address, attempts) in calls {
            answers.push(Effect::Call { endpoint, address, attempts });
        }
        self.deferred = answers;
        if self.records.is_empty() {
            return std::mem::take(&mut self.deferred);
        }
        vec![Effect::Keep(std::mem::take(&mut self.records))]
    }

    fn on_send(
        &mut self,
        id: String,
        endpoint: EndpointId,
        timeout: Duration,
        calls: &mut Vec<(EndpointId, String, Vec<Attempt>)>,
        sent: &mut Vec<Record>,
    ) {
        let Some(held) = self.held.get_mut(&id) else {
            must_hold!(self.unknown_notice, false, "a send for {id}, which is not held");
            return;
        };
        must_hold!(self.second_copy, held.out.is_none(), "a second copy of {id}");
        let Some(partner) = self.list.get(&endpoint) else {
            must_hold!(self.unlisted_endpoint, false, "a send to {endpoint}, which was never listed");
            return;
        };
        let number = held.attempts;
        held.attempts += 1;
        held.out = Some((number, self.now));
        held.maybe_ran.get_or_insert_with(|| (self.now, endpoint.clone(), number));
        let until = (self.now + timeout).min(held.deadline);
        let attempt = Attempt {
            id: id.clone(),
            number,
            key: held.notice.key.clone(),
            body: held.notice.body.clone(),
            envelope: held.notice.envelope.clone(),
            until,
            last: until >= held.deadline,
        };
        sent.push(Record::Sent { id, attempt: number, endpoint: endpoint.0.clone(), at: self.now.0 });
        // What one turn sends to one endpoint travels together, as far as its kind allows.
        let most = self.set.kinds.get(partner.endpoint.kind).map_or(1, |k| k.per_call.max(1)) as usize;
        // A call's body is bounded like any other: large notices must not share one.
        let size = |a: &Attempt| a.body.len() * 4 / 3 + a.key.as_ref().map_or(0, String::len) + ITEM;
        let fits =
            |c: &[Attempt]| c.len() < most && c.iter().map(size).sum::<usize>() + size(&attempt) <= CALL_MOST;
        match calls.iter_mut().find(|c| c.0 == endpoint && fits(&c.2)) {
            Some(call) => call.2.push(attempt),
            None => calls.push((endpoint, partner.address.clone(), vec![attempt])),
        }
    }

    fn on_final(&mut self, id: String, after: Option<Duration>, harmless: bool) {
        let Some(held) = self.held.remove(&id) else { return };
        self.fresh.remove(&id);
        if held.taken_on {
            let after_ms = after.map_or(0, |a| a.as_millis() as u64);
            let closing = if harmless { Closing::Returned { after_ms } } else { Closing::Failed };
            self.closing.insert(id.clone(), closing);
            self.note_ended(&id);
            self.records.push(Record::Closing { id: id.clone(), closing });
            self.deferred.push(Effect::Report { id, closing });
            return;
        }
        let answer = match harmless {
            true if held.gone => Answer::Gone,
            true if held.deadline <= self.now + self.set.tick * 2 => Answer::GivenUp,
            true => Answer::Refused { after },
            false => Answer::Failed,
        };
        self.deferred.push(Effect::Answer { to: held.notice.from, id, answer });
    }

    fn on_kept(&mut self, kept: bool) -> Vec<Effect> {
        let effects = std::mem::take(&mut self.deferred);
        if kept {
            return effects;
        }
        // The disk is full: what is new is refused, and no attempt goes out that a restart would not know of.
        let mut out = Vec::new();
        for effect in effects {
            match effect {
                Effect::Answer { to, id, answer: Answer::TakenOn } => {
                    self.held.remove(&id);
                    self.events.push(Event::Lapsed(MsgId(id.clone())));
                    let after = Some(self.set.max_retry_after);
                    out.push(Effect::Answer { to, id, answer: Answer::Refused { after } });
                }
                Effect::Call { attempts, .. } => {
                    let ended = |a: Attempt| AttemptEnd {
                        id: a.id,
                        attempt: a.number,
                        status: Status::NotSent,
                        over: false,
                        took: Duration::ZERO,
                        told_wait: None,
                        report: None,
                    };
                    let ends = attempts.into_iter().map(ended).collect();
                    self.on_ended(ends);
                }
                other => out.push(other),
            }
        }
        out
    }

    fn on_recovered(&mut self, records: Vec<Record>) -> Vec<Effect> {
        let mut open: BTreeMap<String, (Notice, Time, Option<FirstRun>)> = BTreeMap::new();
        for record in records {
            match record {
                Record::Taken { id, class, station, partner, key, deadline, body } => {
                    let deadline = Time(deadline);
                    let left = deadline - self.now;
                    let (spent, envelope, from) = (0, None, Origin::Ledger);
                    let notice = Notice {
                        id: id.clone(),
                        class,
                        station,
                        partner,
                        key,
                        body,
                        left,
                        spent,
                        envelope,
                        from,
                    };
                    open.insert(id, (notice, deadline, None));
                }
                Record::Sent { id, attempt, endpoint, at } => {
                    if let Some((notice, _, maybe_ran)) = open.get_mut(&id) {
                        notice.spent = notice.spent.max(attempt + 1);
                        maybe_ran.get_or_insert((Time(at), EndpointId(endpoint), attempt));
                    }
                }
                Record::Back { id, attempt, never_ran } => {
                    if let Some((.., maybe_ran)) = open.get_mut(&id) {
                        maybe_ran.take_if(|(.., number)| never_ran && *number == attempt);
                    }
                }
                Record::Closing { id, closing } => {
                    open.remove(&id);
                    self.closing.insert(id, closing);
                }
                Record::Over { id } => {
                    open.remove(&id);
                    self.closing.remove(&id);
                }
            }
        }
        for (notice, deadline, maybe_ran) in open.into_values() {
            self.hold(notice, deadline, maybe_ran);
        }
        let report = |(id, &closing): (&String, &Closing)| Effect::Report { id: id.clone(), closing };
        self.closing.iter().map(report).collect()
    }
}

impl Held {
    fn taken(&self) -> Record {
        let n = &self.notice;
        Record::Taken {
            id: n.id.clone(),
            class: n.class,
            station: n.station,
            partner: n.partner,
            key: n.key.clone(),
            deadline: self.deadline.0,
            body: n.body.clone(),
        }
    }
}

fn outcome(end: AttemptEnd, over: bool) -> Event {
    Event::Outcome(Outcome {
        id: MsgId(end.id),
        attempt: end.attempt,
        status: end.status,
        over,
        took: end.took,
        wait: end.told_wait,
        report: end.report,
    })
}
