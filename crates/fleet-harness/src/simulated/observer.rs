//! Compares the members' reports with the starts, stops and faults of the run, to evaluate agreement, detection of crashes and
//! shares of limits.

use std::collections::BTreeMap;

use cranehill_scheduler::Time;

use super::member::Seen;

/// An event of one member. Members are given by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Time of the event.
    pub at: Time,
    /// Number of the member that the event belongs to.
    pub reporter: usize,
    /// The kind of event, with its values.
    pub event: MemberEvent,
}

/// An event of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The member was started, and sees no other member yet.
    Started,
    /// The member was killed without an announcement.
    Crashed,
    /// The member announced its end and ended.
    Ended,
    /// The member was stopped, as by SIGSTOP.
    Stopped,
    /// The member continues after a stop.
    Resumed,
    /// The member has this incarnation from now on.
    Incarnation(u64),
    /// The state of another member changed in its view.
    Sees {
        /// Number of the other member.
        member: usize,
        /// Incarnation of the other member.
        incarnation: u64,
        /// The new state of the other member.
        seen: Seen,
    },
    /// The member divides shared limits by this number of senders from now on.
    Senders(u32),
    /// The member ran late, as after a process pause, and postponed its timers by that time.
    ProcessPaused,
    /// The member dropped a received packet.
    PacketDropped,
    /// The member rejoined with a new incarnation after others held it to be down.
    Rejoined,
}

/// State of a member in another member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum View {
    Unknown,
    /// Alive in its current incarnation.
    Alive,
    /// Alive in an earlier incarnation.
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

/// The current views of all members, and the figures that follow from all observations so far.
#[derive(Debug)]
pub struct Observer {
    count: usize,
    /// Views at index `viewer * count + member`.
    views: Vec<View>,
    presence: Vec<Presence>,
    incarnation: Vec<u64>,
    /// Members that ended at some time. Their traffic is not measured, and a view that holds them to be down is not false.
    has_ended: Vec<bool>,
    /// Number of pairs of a running viewer and a member whose view does not match the member's presence.
    wrong: usize,
    not_started: usize,
    /// Number of starts and ends of members.
    presence_changes: usize,
    /// Number of senders by which each member divides shared limits, and how many running members divide by each number.
    divisors: Vec<u32>,
    by_divisor: BTreeMap<u32, usize>,
    largest_share: f64,
    /// Seconds from a crash until a view held the member to be down.
    detections: Vec<f64>,
    /// Start of a cut. From then on, a view that holds a running member to be down is not counted as false.
    cut_from: Option<Time>,
    false_downs: usize,
    late_runs: usize,
    dropped_packets: usize,
}

impl Observer {
    /// An observer of `count` members, of which none has started.
    pub fn new(count: usize) -> Observer {
        Observer {
            count,
            views: vec![View::Unknown; count * count],
            presence: vec![Presence::NotStarted; count],
            incarnation: vec![0; count],
            has_ended: vec![false; count],
            wrong: 0,
            not_started: count,
            presence_changes: 0,
            divisors: vec![count as u32; count],
            by_divisor: BTreeMap::new(),
            largest_share: 0.0,
            detections: Vec::new(),
            cut_from: None,
            false_downs: 0,
            late_runs: 0,
            dropped_packets: 0,
        }
    }

    /// Marks the start of a cut between members. From then on no view counts as a false down.
    pub fn cut_from(&mut self, at: Time) {
        self.cut_from = Some(at);
    }

    /// Whether all members have been started, and every running one sees all running members alive and no others.
    pub fn agrees(&self) -> bool {
        self.wrong == 0 && self.not_started == 0
    }

    /// Adds an observation.
    pub fn add(&mut self, observation: &Observation) {
        let Observation {
            at,
            reporter,
            event,
        } = observation;
        let reporter = *reporter;
        match event {
            MemberEvent::Started => self.set_presence(reporter, Presence::Running),
            MemberEvent::Crashed => self.set_presence(
                reporter,
                Presence::Away {
                    since: *at,
                    crashed: true,
                },
            ),
            MemberEvent::Ended => self.set_presence(
                reporter,
                Presence::Away {
                    since: *at,
                    crashed: false,
                },
            ),
            MemberEvent::Incarnation(incarnation) => self.set_incarnation(reporter, *incarnation),
            MemberEvent::Sees {
                member,
                incarnation,
                seen,
            } => self.update_view(*at, reporter, *member, *incarnation, *seen),
            MemberEvent::Senders(senders) => self.set_divisor(reporter, *senders),
            MemberEvent::ProcessPaused => self.late_runs += 1,
            MemberEvent::PacketDropped => self.dropped_packets += 1,
            MemberEvent::Rejoined | MemberEvent::Stopped | MemberEvent::Resumed => {}
        }
    }

    /// Whether the member has not ended so far.
    pub fn never_ended(&self, member: usize) -> bool {
        !self.has_ended[member]
    }

    /// Number of starts and ends of members so far.
    pub fn presence_changes(&self) -> usize {
        self.presence_changes
    }

    /// The largest share of a shared limit that all running members together allowed themselves; 1.0 is the whole limit.
    pub fn largest_share(&self) -> f64 {
        self.largest_share
    }

    /// Seconds from each crash to each view that held the member to be down.
    pub fn detections(&self) -> Vec<f64> {
        self.detections.clone()
    }

    /// Times that a running member was held to be down although it had not ended before and no cut had begun.
    pub fn false_downs(&self) -> usize {
        self.false_downs
    }

    /// Times that a member ran more than one period late.
    pub fn late_runs(&self) -> usize {
        self.late_runs
    }

    /// Received packets that members dropped.
    pub fn dropped_packets(&self) -> usize {
        self.dropped_packets
    }

    /// Number of pairs of a running viewer and a running member that the viewer does not see alive.
    pub fn missing(&self) -> usize {
        let running = |member: &usize| self.presence[*member] == Presence::Running;
        self.pairs()
            .filter(|(viewer, member)| running(member) && self.is_wrong(*viewer, *member))
            .count()
    }

    /// Number of pairs of a running viewer and a crashed member that the viewer knows and does not hold to be down.
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

    /// Number of wrong pairs with this member as viewer or as viewed member.
    fn wrong_with(&self, member: usize) -> usize {
        let wrong_pairs = |other: &usize| {
            usize::from(self.is_wrong(member, *other)) + usize::from(self.is_wrong(*other, member))
        };
        (0..self.count).map(|other| wrong_pairs(&other)).sum()
    }

    fn set_presence(&mut self, member: usize, presence: Presence) {
        self.wrong -= self.wrong_with(member);
        let was_running = self.presence[member] == Presence::Running;
        self.not_started -= usize::from(self.presence[member] == Presence::NotStarted);
        self.presence_changes += 1;
        self.presence[member] = presence;
        if presence == Presence::Running {
            // A member that starts again has no view of the others yet.
            self.views[member * self.count..][..self.count].fill(View::Unknown);
            self.divisors[member] = self.count as u32;
        } else {
            self.has_ended[member] = true;
        }
        self.wrong += self.wrong_with(member);
        match (was_running, presence == Presence::Running) {
            (false, true) => *self.by_divisor.entry(self.divisors[member]).or_default() += 1,
            (true, false) => self.remove_divisor(member),
            _ => {}
        }
        self.update_largest_share();
    }

    fn set_incarnation(&mut self, member: usize, incarnation: u64) {
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

    fn update_view(
        &mut self,
        at: Time,
        viewer: usize,
        member: usize,
        incarnation: u64,
        seen: Seen,
    ) {
        // This report may arrive before the other member's report of its new incarnation.
        self.set_incarnation(member, incarnation);
        let is_current = incarnation == self.incarnation[member];
        let view = match seen {
            Seen::Alive if is_current => View::Alive,
            Seen::Alive => View::AliveBefore,
            Seen::Suspect => View::Suspect,
            Seen::Down | Seen::Left => View::Down,
        };
        let before = self.views[viewer * self.count + member];
        self.wrong -= usize::from(self.is_wrong(viewer, member));
        self.views[viewer * self.count + member] = view;
        self.wrong += usize::from(self.is_wrong(viewer, member));
        if view == View::Down && before != View::Down {
            self.add_down(at, member);
        }
    }

    fn add_down(&mut self, at: Time, member: usize) {
        match self.presence[member] {
            Presence::Away {
                since,
                crashed: true,
            } => {
                self.detections.push((at - since).as_secs_f64());
            }
            Presence::Running
                if !self.has_ended[member] && self.cut_from.is_none_or(|cut| at < cut) =>
            {
                self.false_downs += 1;
            }
            _ => {}
        }
    }

    fn set_divisor(&mut self, member: usize, senders: u32) {
        if self.presence[member] == Presence::Running {
            self.remove_divisor(member);
            *self.by_divisor.entry(senders).or_default() += 1;
        }
        self.divisors[member] = senders;
        self.update_largest_share();
    }

    fn remove_divisor(&mut self, member: usize) {
        let divisor = self.divisors[member];
        if let Some(count) = self.by_divisor.get_mut(&divisor) {
            *count -= 1;
            if *count == 0 {
                self.by_divisor.remove(&divisor);
            }
        }
    }

    fn update_largest_share(&mut self) {
        let share = self
            .by_divisor
            .iter()
            .map(|(divisor, count)| *count as f64 / f64::from(*divisor))
            .sum();
        self.largest_share = self.largest_share.max(share);
    }
}
