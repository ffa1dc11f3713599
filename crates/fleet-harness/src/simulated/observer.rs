//! Compares the members' reports with what was done to them: agreement, detection, shares.

use std::collections::BTreeMap;

use cranehill_scheduler::Time;

use super::member::Seen;

/// A report of one member, with members by their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When it was made.
    pub at: Time,
    /// The member that reports.
    pub by: usize,
    /// What it reports.
    pub what: Observed,
}

/// What was observed of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observed {
    /// It was started, and sees nobody yet.
    Started,
    /// Its process was killed.
    Crashed,
    /// It has announced its end, and ended.
    Ended,
    /// It was stopped, as by SIGSTOP.
    Stopped,
    /// It continues after a stop.
    Resumed,
    /// It has this incarnation from now on.
    Incarnation(u64),
    /// The state of another member in its view has changed.
    Sees {
        /// The other member.
        member: usize,
        /// The incarnation of the other member.
        incarnation: u64,
        /// The state from now on.
        seen: Seen,
    },
    /// It divides shared limits by this number of senders.
    Senders(u32),
    /// It ran late, and draws no conclusion from that time.
    ProcessPaused,
    /// It dropped a packet.
    PacketDropped,
    /// The others held it to be down; it has rejoined.
    Rejoined,
}

/// One member in another's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum View {
    Unknown,
    /// Alive, in its present incarnation.
    Alive,
    /// Alive, in an earlier incarnation.
    AliveBefore,
    Suspect,
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    NotStarted,
    Running,
    Away { since: Time, crashed: bool },
}

/// The views of all members, and what was done to the members.
#[derive(Debug)]
pub struct Observer {
    count: usize,
    /// By viewer, then by member.
    views: Vec<View>,
    presence: Vec<Presence>,
    incarnation: Vec<u64>,
    /// Members that were away at some time: their traffic is no measure, their downs have a cause.
    away_once: Vec<bool>,
    /// Pairs of a running viewer and a member where the view is not what it should be.
    wrong: usize,
    not_started: usize,
    /// Starts and ends of members.
    presence_changes: usize,
    /// Number of senders that a member divides shared limits by, and how many running members divide by each number.
    divisors: Vec<u32>,
    divided_by: BTreeMap<u32, usize>,
    largest_share: f64,
    /// Seconds from a crash to a view.
    detections: Vec<f64>,
    /// From then on, a down may be explained by a cut.
    cut_from: Option<Time>,
    false_downs: usize,
    held_up: usize,
    refused: usize,
}

impl Observer {
    /// No member has started.
    pub fn new(count: usize) -> Observer {
        Observer {
            count,
            views: vec![View::Unknown; count * count],
            presence: vec![Presence::NotStarted; count],
            incarnation: vec![0; count],
            away_once: vec![false; count],
            wrong: 0,
            not_started: count,
            presence_changes: 0,
            divisors: vec![count as u32; count],
            divided_by: BTreeMap::new(),
            largest_share: 0.0,
            detections: Vec::new(),
            cut_from: None,
            false_downs: 0,
            held_up: 0,
            refused: 0,
        }
    }

    /// Paths between members are cut from then on, for some time.
    pub fn cut_from(&mut self, at: Time) {
        self.cut_from = Some(at);
    }

    /// Every running member sees all running members alive, and no other.
    pub fn agrees(&self) -> bool {
        self.wrong == 0 && self.not_started == 0
    }

    /// Adds an observation.
    pub fn note(&mut self, observation: &Observation) {
        let Observation { at, by, what } = observation;
        let by = *by;
        match what {
            Observed::Started => self.set_presence(by, Presence::Running),
            Observed::Crashed => self.set_presence(
                by,
                Presence::Away {
                    since: *at,
                    crashed: true,
                },
            ),
            Observed::Ended => self.set_presence(
                by,
                Presence::Away {
                    since: *at,
                    crashed: false,
                },
            ),
            Observed::Incarnation(incarnation) => self.set_generation(by, *incarnation),
            Observed::Sees {
                member,
                incarnation,
                seen,
            } => self.sees(*at, by, *member, *incarnation, *seen),
            Observed::Senders(senders) => self.divides(by, *senders),
            Observed::ProcessPaused => self.held_up += 1,
            Observed::PacketDropped => self.refused += 1,
            Observed::Rejoined | Observed::Stopped | Observed::Resumed => {}
        }
    }

    /// The member ran throughout.
    pub fn never_away(&self, member: usize) -> bool {
        !self.away_once[member]
    }

    /// Starts and ends of members so far.
    pub fn presence_changes(&self) -> usize {
        self.presence_changes
    }

    /// The largest share of a shared limit that all running members allowed themselves together.
    pub fn largest_share(&self) -> f64 {
        self.largest_share
    }

    /// Seconds from each crash to each view that held the member to be down.
    pub fn detections(&self) -> Vec<f64> {
        self.detections.clone()
    }

    /// Times that a member was held to be down that was neither away nor cut off.
    pub fn false_downs(&self) -> usize {
        self.false_downs
    }

    /// Times that a member ran late.
    pub fn held_up(&self) -> usize {
        self.held_up
    }

    /// Packets that members dropped.
    pub fn refused(&self) -> usize {
        self.refused
    }

    /// Pairs of a running viewer and a running member that it does not see alive.
    pub fn missing(&self) -> usize {
        let running = |member: &usize| self.presence[*member] == Presence::Running;
        self.pairs()
            .filter(|(viewer, member)| running(member) && self.is_wrong(*viewer, *member))
            .count()
    }

    /// Pairs of a running viewer and a crashed member that it knows and does not hold to be down.
    pub fn undetected(&self) -> usize {
        let crashed =
            |member: &usize| matches!(self.presence[*member], Presence::Away { crashed: true, .. });
        self.pairs()
            .filter(|(viewer, member)| crashed(member) && self.is_wrong(*viewer, *member))
            .count()
    }

    fn pairs(&self) -> impl Iterator<Item = (usize, usize)> {
        (0..self.count).flat_map(|viewer| (0..self.count).map(move |member| (viewer, member)))
    }

    fn is_wrong(&self, viewer: usize, member: usize) -> bool {
        if viewer == member || self.presence[viewer] != Presence::Running {
            return false;
        }
        let view = self.views[viewer * self.count + member];
        match self.presence[member] {
            Presence::Running => view != View::Alive,
            Presence::NotStarted | Presence::Away { .. } => {
                !matches!(view, View::Unknown | View::Down)
            }
        }
    }

    /// Wrong pairs with this member, as viewer or as viewed.
    fn wrong_with(&self, member: usize) -> usize {
        let either = |other: &usize| {
            usize::from(self.is_wrong(member, *other)) + usize::from(self.is_wrong(*other, member))
        };
        (0..self.count).map(|other| either(&other)).sum()
    }

    fn set_presence(&mut self, member: usize, presence: Presence) {
        self.wrong -= self.wrong_with(member);
        let was_running = self.presence[member] == Presence::Running;
        self.not_started -= usize::from(self.presence[member] == Presence::NotStarted);
        self.presence_changes += 1;
        self.presence[member] = presence;
        if presence == Presence::Running {
            // Its view is lost with its last process.
            self.views[member * self.count..][..self.count].fill(View::Unknown);
            self.divisors[member] = self.count as u32;
        } else {
            self.away_once[member] = true;
        }
        self.wrong += self.wrong_with(member);
        match (was_running, presence == Presence::Running) {
            (false, true) => *self.divided_by.entry(self.divisors[member]).or_default() += 1,
            (true, false) => self.divides_no_more(member),
            _ => {}
        }
        self.note_share();
    }

    fn set_generation(&mut self, member: usize, incarnation: u64) {
        if incarnation <= self.incarnation[member] {
            return;
        }
        self.wrong -= self.wrong_with(member);
        self.incarnation[member] = incarnation;
        for viewer in 0..self.count {
            let view = &mut self.views[viewer * self.count + member];
            if *view == View::Alive {
                *view = View::AliveBefore;
            }
        }
        self.wrong += self.wrong_with(member);
    }

    fn sees(&mut self, at: Time, viewer: usize, member: usize, incarnation: u64, seen: Seen) {
        // Reports of two members may overtake each other: a member has the incarnation that it is seen in.
        self.set_generation(member, incarnation);
        let present = incarnation == self.incarnation[member];
        let view = match seen {
            Seen::Alive if present => View::Alive,
            Seen::Alive => View::AliveBefore,
            Seen::Suspect => View::Suspect,
            Seen::Down | Seen::Left => View::Down,
        };
        let before = self.views[viewer * self.count + member];
        self.wrong -= usize::from(self.is_wrong(viewer, member));
        self.views[viewer * self.count + member] = view;
        self.wrong += usize::from(self.is_wrong(viewer, member));
        if view == View::Down && before != View::Down {
            self.note_down(at, member);
        }
    }

    fn note_down(&mut self, at: Time, member: usize) {
        match self.presence[member] {
            Presence::Away {
                since,
                crashed: true,
            } => {
                self.detections.push((at - since).as_secs_f64());
            }
            Presence::Running
                if !self.away_once[member] && self.cut_from.is_none_or(|cut| at < cut) =>
            {
                self.false_downs += 1;
            }
            _ => {}
        }
    }

    fn divides(&mut self, member: usize, senders: u32) {
        if self.presence[member] == Presence::Running {
            self.divides_no_more(member);
            *self.divided_by.entry(senders).or_default() += 1;
        }
        self.divisors[member] = senders;
        self.note_share();
    }

    fn divides_no_more(&mut self, member: usize) {
        let divisor = self.divisors[member];
        if let Some(count) = self.divided_by.get_mut(&divisor) {
            *count -= 1;
            if *count == 0 {
                self.divided_by.remove(&divisor);
            }
        }
    }

    fn note_share(&mut self) {
        let share = self
            .divided_by
            .iter()
            .map(|(divisor, count)| *count as f64 / f64::from(*divisor))
            .sum();
        self.largest_share = self.largest_share.max(share);
    }
}
