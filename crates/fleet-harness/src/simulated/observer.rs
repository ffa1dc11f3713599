//! Compares each member's view of the fleet with the members that run, and measures when all views agree, how fast crashes are
//! detected, and which share of a limit all members use together.

use std::collections::BTreeMap;

use cranehill_scheduler::Time;

use super::member::Seen;

/// An event of one member. Members are numbered from 0.
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
    /// The member announced to the others that it leaves, and ended.
    Ended,
    /// The member was suspended, as a process by SIGSTOP; it neither runs timers nor receives packets.
    Stopped,
    /// The member continues after it was suspended, as a process after SIGCONT.
    Resumed,
    /// The member's own incarnation changed to this one.
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
    /// The member's quota divisor changed: it divides shared limits by this number of senders.
    Senders(u32),
    /// The member's timer fired more than one membership period late, as after a process pause. The member postponed all its
    /// timers by the delay.
    ProcessPaused,
    /// The member received a packet and dropped it, such as an invalid or outdated one.
    PacketDropped,
    /// The member rejoined with a new incarnation after other members had considered it down.
    Rejoined,
}

/// State of a member in another member's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum View {
    /// The viewer has not reported on the member since it started.
    Unknown,
    /// Considered alive in its current incarnation.
    Alive,
    /// Considered alive in an earlier incarnation.
    AliveInEarlierIncarnation,
    /// Suspected to be down in any incarnation.
    Suspect,
    /// Considered down, or known to have left the fleet.
    Down,
}

/// Whether a member runs. A suspended member counts as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    NotStarted,
    Running,
    /// Crashed, or ended after an announcement, and not started again.
    Ended {
        since: Time,
        crashed: bool,
    },
}

/// The current views of all members, and the figures that follow from all observations so far.
#[derive(Debug)]
pub struct Observer {
    member_count: usize,
    /// Each member's view of each member, at index `viewer * member_count + member`.
    views: Vec<View>,
    presence: Vec<Presence>,
    /// Latest known incarnation of each member.
    incarnation: Vec<u64>,
    /// Whether each member ended at least once. Such a member is left out of the traffic averages, and a view that considers it
    /// down is not counted as false even after it runs again.
    has_ended: Vec<bool>,
    /// Number of pairs of a running viewer and another member for which the viewer's view contradicts whether the member runs.
    wrong_views: usize,
    /// Number of members that have never been started.
    not_started: usize,
    /// Number of starts, crashes and other ends of members.
    presence_changes: usize,
    /// Quota divisor of each member: the number of senders by which it divides shared limits.
    divisors: Vec<u32>,
    /// Number of running members for each quota divisor.
    by_divisor: BTreeMap<u32, usize>,
    /// Largest sum, at any time so far, of the running members' shares of a shared limit; 1.0 is the whole limit.
    largest_share: f64,
    /// Seconds from a crash until a viewer considered the member down, for each such viewer.
    detections: Vec<f64>,
    /// Time from which members are cut off from each other. From then on, a view that considers a running member down is not
    /// counted as false.
    cut_start: Option<Time>,
    /// Number of times that a view changed to down for a running member that had never ended, before any cut.
    false_downs: usize,
    /// Number of [`MemberEvent::ProcessPaused`] events.
    late_runs: usize,
    dropped_packets: usize,
}

impl Observer {
    /// An observer of `member_count` members, of which none has started.
    pub fn new(member_count: usize) -> Observer {
        Observer {
            member_count,
            views: vec![View::Unknown; member_count * member_count],
            presence: vec![Presence::NotStarted; member_count],
            incarnation: vec![0; member_count],
            has_ended: vec![false; member_count],
            wrong_views: 0,
            not_started: member_count,
            presence_changes: 0,
            // Until it reports another divisor, a member divides by the configured number of members.
            divisors: vec![member_count as u32; member_count],
            by_divisor: BTreeMap::new(),
            largest_share: 0.0,
            detections: Vec::new(),
            cut_start: None,
            false_downs: 0,
            late_runs: 0,
            dropped_packets: 0,
        }
    }

    /// Sets the time at which members are cut off from each other. From then on no view is counted as a false down.
    pub fn set_cut_start(&mut self, at: Time) {
        self.cut_start = Some(at);
    }

    /// Whether all members have been started, and every running member considers exactly the running members alive, each in its
    /// current incarnation. Members that ended must be considered down, or be unknown to the viewer.
    pub fn agrees(&self) -> bool {
        self.wrong_views == 0 && self.not_started == 0
    }

    /// Updates views and figures with an observation. Those of one member must be added in the order of their times.
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
                Presence::Ended {
                    since: *at,
                    crashed: true,
                },
            ),
            MemberEvent::Ended => self.set_presence(
                reporter,
                Presence::Ended {
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

    /// Whether the member has neither crashed nor ended so far.
    pub fn never_ended(&self, member: usize) -> bool {
        !self.has_ended[member]
    }

    /// Number of starts, crashes and other ends of members so far.
    pub fn presence_changes(&self) -> usize {
        self.presence_changes
    }

    /// Largest sum, at any time so far, of the running members' shares of a shared limit; 1.0 is the whole limit. A member's share
    /// is one divided by its quota divisor.
    pub fn largest_share(&self) -> f64 {
        self.largest_share
    }

    /// Seconds from a crash until a viewer considered the member down, one value for each crash and viewer.
    pub fn detections(&self) -> Vec<f64> {
        self.detections.clone()
    }

    /// Number of times that a viewer began to consider a running member down although that member had never ended and no cut had
    /// begun.
    pub fn false_downs(&self) -> usize {
        self.false_downs
    }

    /// Number of times that a member's timer fired more than one membership period late.
    pub fn late_runs(&self) -> usize {
        self.late_runs
    }

    /// Number of packets that members received and dropped.
    pub fn dropped_packets(&self) -> usize {
        self.dropped_packets
    }

    /// Number of pairs of a running viewer and a running member that the viewer does not consider alive in its current incarnation.
    pub fn missing_live_members(&self) -> usize {
        let running = |member: &usize| self.presence[*member] == Presence::Running;
        self.pairs()
            .filter(|(viewer, member)| running(member) && self.is_view_wrong(*viewer, *member))
            .count()
    }

    /// Number of pairs of a running viewer and a crashed member that the viewer considers alive or suspects.
    pub fn undetected_crashes(&self) -> usize {
        let crashed = |member: &usize| {
            matches!(
                self.presence[*member],
                Presence::Ended { crashed: true, .. }
            )
        };
        self.pairs()
            .filter(|(viewer, member)| crashed(member) && self.is_view_wrong(*viewer, *member))
            .count()
    }

    /// All pairs of a viewer and a viewed member, including each member with itself.
    fn pairs(&self) -> impl Iterator<Item = (usize, usize)> {
        (0..self.member_count)
            .flat_map(|viewer| (0..self.member_count).map(move |member| (viewer, member)))
    }

    /// Whether a running viewer's view contradicts whether the other member runs.
    fn is_view_wrong(&self, viewer: usize, member: usize) -> bool {
        if viewer == member || self.presence[viewer] != Presence::Running {
            return false;
        }
        let view = self.views[viewer * self.member_count + member];
        match self.presence[member] {
            Presence::Running => view != View::Alive,
            Presence::NotStarted | Presence::Ended { .. } => {
                !matches!(view, View::Unknown | View::Down)
            }
        }
    }

    /// Number of wrong views that this member has of others, or that others have of it.
    fn wrong_views_with(&self, member: usize) -> usize {
        let wrong_with_other = |other: &usize| {
            usize::from(self.is_view_wrong(member, *other))
                + usize::from(self.is_view_wrong(*other, member))
        };
        (0..self.member_count)
            .map(|other| wrong_with_other(&other))
            .sum()
    }

    fn set_presence(&mut self, member: usize, presence: Presence) {
        self.wrong_views -= self.wrong_views_with(member);
        let was_running = self.presence[member] == Presence::Running;
        self.not_started -= usize::from(self.presence[member] == Presence::NotStarted);
        self.presence_changes += 1;
        self.presence[member] = presence;
        if presence == Presence::Running {
            // A member that starts again has no view of the others yet.
            self.views[member * self.member_count..][..self.member_count].fill(View::Unknown);
            self.divisors[member] = self.member_count as u32;
        } else {
            self.has_ended[member] = true;
        }
        self.wrong_views += self.wrong_views_with(member);
        match (was_running, presence == Presence::Running) {
            (false, true) => *self.by_divisor.entry(self.divisors[member]).or_default() += 1,
            (true, false) => self.remove_divisor(member),
            _ => {}
        }
        self.update_largest_share();
    }

    /// Records a member's incarnation unless it is outdated. Views of an earlier incarnation are no longer current.
    fn set_incarnation(&mut self, member: usize, incarnation: u64) {
        if incarnation <= self.incarnation[member] {
            return;
        }
        self.wrong_views -= self.wrong_views_with(member);
        self.incarnation[member] = incarnation;
        for viewer in 0..self.member_count {
            let view = &mut self.views[viewer * self.member_count + member];
            if *view == View::Alive {
                *view = View::AliveInEarlierIncarnation;
            }
        }
        self.wrong_views += self.wrong_views_with(member);
    }

    fn update_view(
        &mut self,
        at: Time,
        viewer: usize,
        member: usize,
        incarnation: u64,
        seen: Seen,
    ) {
        // The viewer's report may be processed before the other member's report of its new incarnation.
        self.set_incarnation(member, incarnation);
        let is_current = incarnation == self.incarnation[member];
        let view = match seen {
            Seen::Alive if is_current => View::Alive,
            Seen::Alive => View::AliveInEarlierIncarnation,
            Seen::Suspect => View::Suspect,
            Seen::Down | Seen::Left => View::Down,
        };
        let before = self.views[viewer * self.member_count + member];
        self.wrong_views -= usize::from(self.is_view_wrong(viewer, member));
        self.views[viewer * self.member_count + member] = view;
        self.wrong_views += usize::from(self.is_view_wrong(viewer, member));
        if view == View::Down && before != View::Down {
            self.record_down(at, member);
        }
    }

    /// Counts a view that changed to down as a detected crash or a false down.
    fn record_down(&mut self, at: Time, member: usize) {
        match self.presence[member] {
            Presence::Ended {
                since,
                crashed: true,
            } => {
                self.detections.push((at - since).as_secs_f64());
            }
            Presence::Running
                if !self.has_ended[member] && self.cut_start.is_none_or(|cut| at < cut) =>
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
