//! [`Rule::Return`]: senders that saw a destination fail do not overload it while it warms up after the outage.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::audit::findings::{Findings, Violation};
use crate::audit::observation::{Observation, RuleAuditor};
use crate::audit::record::{AuditEvent, AuditRecord, DeliveryOutcome};
use crate::audit::rule::Rule;
use crate::return_guard::{Return, call_weight};

/// Calls that a violation lists as evidence, the latest first.
const MAX_EVIDENCE_CALLS: usize = 8;

#[derive(Debug)]
struct Call {
    at: Duration,
    sender: usize,
    weight: f64,
    wire: String,
}

/// A destination since the end of its last outage.
#[derive(Debug)]
struct Recovery {
    /// End of the outage.
    since: Duration,
    /// Calls per second when warm.
    capacity: f64,
    ramp: Return,
    /// Cost of each message of a call after the first, in calls of one message.
    item_cost: f64,
    /// Senders that saw a failure during the outage.
    informed: BTreeSet<usize>,
    /// Calls within the current overload window.
    calls: VecDeque<Call>,
    /// A violation was found. At most one is reported for each outage.
    violated: bool,
}

/// Checks [`Rule::Return`].
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// When a call or connection last failed or was rejected, by destination and sender.
    last_failure: BTreeMap<(u64, usize), Duration>,
    /// Destination of the call that waits for its reply, by connection.
    unanswered: BTreeMap<u64, u64>,
    /// Senders that are shutting down or not running. The connections that they close are no evidence of a failed destination.
    ending: BTreeSet<usize>,
    recoveries: BTreeMap<u64, Recovery>,
}

impl RuleAuditor for SlowStart {
    fn observe(&mut self, observed: &Observation<'_>, findings: &mut Findings) {
        let record = observed.record;
        match &record.event {
            AuditEvent::Replied {
                destination,
                connection,
                outcomes,
                ..
            } => {
                self.unanswered.remove(connection);
                let is_done = |(_, outcome): &_| *outcome == DeliveryOutcome::Done;
                if !outcomes.iter().all(is_done) {
                    self.failed(*destination, record);
                }
            }
            AuditEvent::Broke {
                destination,
                connection,
                ..
            } => {
                self.unanswered.remove(connection);
                self.failed(*destination, record);
            }
            AuditEvent::Called {
                destination,
                connection,
                ids,
                ..
            } => {
                self.unanswered.insert(*connection, *destination);
                self.called(*destination, ids.len(), observed, findings);
            }
            AuditEvent::Closed { connection } => self.closed(*connection, record),
            AuditEvent::Signalled | AuditEvent::ProcessExited => self.ending.extend(record.sender),
            AuditEvent::Ready => {
                if let Some(sender) = record.sender {
                    self.ending.remove(&sender);
                }
            }
            AuditEvent::Fell { destination } => {
                self.judge_overload(*destination, "the destination failed", observed, findings);
            }
            AuditEvent::Back { .. } => self.recovered(observed),
            _ => {}
        }
    }
}

impl SlowStart {
    fn failed(&mut self, destination: u64, record: &AuditRecord) {
        if let Some(sender) = record.sender {
            self.last_failure.insert((destination, sender), record.at);
        }
    }

    /// A sender that closes a connection before the reply has seen the destination fail to answer.
    fn closed(&mut self, connection: u64, record: &AuditRecord) {
        let destination = self.unanswered.remove(&connection);
        let ending = record.sender.is_none_or(|s| self.ending.contains(&s));
        if let Some(destination) = destination.filter(|_| !ending) {
            self.failed(destination, record);
        }
    }

    fn recovered(&mut self, observed: &Observation<'_>) {
        let AuditEvent::Back {
            destination,
            since,
            down,
            capacity,
            cold,
            warm,
            item,
        } = observed.record.event
        else {
            return;
        };
        let recovery = Recovery {
            since,
            capacity,
            ramp: Return {
                cold,
                warm,
                multiple: observed.limits.overload_factor,
                fall: observed.limits.overload_window,
                slack: observed.limits.chance_margin,
            },
            item_cost: item,
            informed: self.failed_since(destination, since.saturating_sub(down)),
            calls: VecDeque::new(),
            violated: false,
        };
        self.recoveries.insert(destination, recovery);
    }

    /// Senders that saw a destination fail at or after `begin`.
    fn failed_since(&self, destination: u64, begin: Duration) -> BTreeSet<usize> {
        let of_destination = (destination, usize::MIN)..=(destination, usize::MAX);
        self.last_failure
            .range(of_destination)
            .filter(|(_, at)| **at >= begin)
            .map(|((_, sender), _)| *sender)
            .collect()
    }

    fn called(
        &mut self,
        destination: u64,
        messages: usize,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let record = observed.record;
        let Some(sender) = record.sender else { return };
        let Some(recovery) = self.recoveries.get_mut(&destination) else {
            return;
        };
        let elapsed = record.at.saturating_sub(recovery.since);
        if record.at < recovery.since || elapsed >= recovery.ramp.warm {
            return;
        }
        recovery.calls.push_back(Call {
            at: record.at,
            sender,
            weight: call_weight(messages, recovery.item_cost),
            wire: record.wire.clone(),
        });
        let window = observed.limits.overload_window;
        let is_old = |call: &Call| record.at.saturating_sub(call.at) >= window;
        while recovery.calls.front().is_some_and(is_old) {
            recovery.calls.pop_front();
        }
        let budget = recovery.ramp.budget(elapsed, recovery.capacity);
        if recovery.total_weight() <= budget {
            findings.kept(Rule::Return);
            return;
        }
        let why = format!("the bound is {budget:.1}");
        self.judge_overload(destination, &why, observed, findings);
    }

    /// An overload violates the rule if senders that saw the outage sent more than
    /// [`RuleLimits::informed_share`](crate::audit::limits::RuleLimits::informed_share) of it.
    fn judge_overload(
        &mut self,
        destination: u64,
        why: &str,
        observed: &Observation<'_>,
        findings: &mut Findings,
    ) {
        let Some(recovery) = self.recoveries.get_mut(&destination) else {
            return;
        };
        let total = recovery.total_weight();
        let informed = recovery.informed_weight();
        if recovery.violated || informed <= total * observed.limits.informed_share {
            return;
        }
        recovery.violated = true;
        let latest = recovery.calls.iter().rev().take(MAX_EVIDENCE_CALLS);
        findings.broken(Violation {
            rule: Rule::Return,
            id: None,
            destination: Some(destination),
            at: observed.record.at,
            why: format!(
                "{total:.1} calls in {:.1} s, {informed:.1} of them from senders that saw it fail; {why}",
                observed.limits.overload_window.as_secs_f64()
            ),
            wire: latest.map(|call| call.wire.clone()).collect(),
        });
    }
}

impl Recovery {
    fn total_weight(&self) -> f64 {
        self.calls.iter().map(|call| call.weight).sum()
    }

    fn informed_weight(&self) -> f64 {
        let informed = self
            .calls
            .iter()
            .filter(|call| self.informed.contains(&call.sender));
        informed.map(|call| call.weight).sum()
    }
}
