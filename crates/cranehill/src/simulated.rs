//! `cranehill fleet-test --members-only`: runs a fleet of simulated members only, and measures the cost of its membership.

use std::time::Duration;

use clap::ValueEnum;
use cranehill_fleet_harness::simulated::{
    Conditions, Disturbance, SimulatedFleetError, SimulatedFleetFigures, SimulatedFleetPlan,
    Spread, Transport, play,
};
use serde_json::{Value, json};

use crate::verdict::Verdict;

/// Without `--cut-duration`, a cut is as long as the run divided by this; in the rest of the run the views can agree again.
const DEFAULT_CUT_DIVISOR: u32 = 2;
/// If one side of a cut evicts the other, both together use at most this many times a limit; see docs/membership.md.
const MAX_SHARE_AFTER_EVICTION: f64 = 1.5;

/// The arguments of `fleet-test` on simulated members.
#[derive(Clone, Debug, clap::Args)]
pub struct SimulatedMembersArgs {
    /// Add this many simulated members: all in one process, with real membership and decisions, but without clients.
    #[arg(long, alias = "hollow", value_name = "M", default_value_t = 0)]
    pub(crate) simulated: usize,
    /// Run simulated members only, without a scenario and without real senders.
    #[arg(long, conflicts_with_all = ["scenario", "nodes", "out", "alone"])]
    pub(crate) members_only: bool,
    /// With --members-only: the fault that is injected.
    #[arg(long, value_enum, default_value_t = DisturbanceKind::None, requires = "members_only")]
    disturbance: DisturbanceKind,
    /// With --members-only: seconds to measure, from when all views agree.
    #[arg(
        long,
        alias = "lasts",
        value_name = "SECONDS",
        default_value_t = 60,
        requires = "members_only"
    )]
    duration: u64,
    /// With --disturbance halves: seconds until the cut heals, instead of half of the duration.
    #[arg(
        long,
        alias = "cut-lasts",
        value_name = "SECONDS",
        requires = "members_only"
    )]
    cut_duration: Option<u64>,
    /// With --members-only: share of all packets that is lost, 0 to 1.
    #[arg(
        long,
        value_name = "PART",
        default_value_t = 0.0,
        requires = "members_only"
    )]
    loss: f64,
    /// With --members-only: use a simulated network and clock instead of UDP on loopback.
    #[arg(long, requires = "members_only")]
    virtual_time: bool,
}

/// Faults by their names on the command line. Members that are killed are all killed at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum DisturbanceKind {
    /// No fault.
    None,
    /// One in ten members is killed.
    Crashes,
    /// One in thirty members is killed.
    Rack,
    /// All members of one zone of six are killed.
    Zone,
    /// Two halves are cut off from each other.
    Halves,
    /// Thirty members are killed, and restarted shortly after.
    Restarts,
}

impl SimulatedMembersArgs {
    fn plan(&self, seed: u64) -> SimulatedFleetPlan {
        let duration = Duration::from_secs(self.duration);
        let cut = self
            .cut_duration
            .map_or(duration / DEFAULT_CUT_DIVISOR, Duration::from_secs);
        let disturbance = match self.disturbance {
            DisturbanceKind::None => Disturbance::None,
            DisturbanceKind::Crashes => Disturbance::Crashes { one_in: 10 },
            DisturbanceKind::Rack => Disturbance::RackDown,
            DisturbanceKind::Zone => Disturbance::ZoneDown { zones: 6 },
            DisturbanceKind::Halves => Disturbance::Halves { duration: cut },
            DisturbanceKind::Restarts => Disturbance::Restarts { count: 30 },
        };
        let transport = if self.virtual_time {
            Transport::Virtual
        } else {
            Transport::Udp
        };
        let conditions = Conditions {
            loss: self.loss,
            ..Conditions::default()
        };
        SimulatedFleetPlan {
            members: self.simulated,
            duration,
            disturbance,
            transport,
            seed,
            conditions,
            ..Default::default()
        }
    }
}

/// The options are invalid, or a socket fails.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SimulatedError(#[from] SimulatedFleetError);

/// Runs the fleet and prints its figures; `Failed` if an expectation is missed.
pub fn run(
    args: &SimulatedMembersArgs,
    seed: u64,
    as_json: bool,
) -> Result<Verdict, SimulatedError> {
    let plan = args.plan(seed);
    let figures = play(&plan)?;
    let failed = figures.failed(max_share(&plan));
    if as_json {
        println!("{}", summary(&plan, &figures, &failed));
    } else {
        table(&plan, &figures, &failed)
            .iter()
            .for_each(|line| println!("{line}"));
    }
    Ok(Verdict::passed_if(failed.is_empty()))
}

/// The largest share of a limit that all members together may use. To each side, a cut as long as the eviction delay
/// looks like crashes of the other side.
fn max_share(plan: &SimulatedFleetPlan) -> f64 {
    match (plan.disturbance, plan.timing.eviction_delay) {
        (Disturbance::Halves { duration }, Some(delay)) if duration >= delay => {
            MAX_SHARE_AFTER_EVICTION
        }
        _ => 1.0,
    }
}

fn summary(plan: &SimulatedFleetPlan, figures: &SimulatedFleetFigures, failed: &[String]) -> Value {
    let spread = |s: &Spread| json!({"mean": s.mean, "p99": s.p99, "most": s.most});
    let ms = |d: Duration| d.as_millis() as u64;
    let f = figures;
    json!({
        "members": f.members, "seed": plan.seed, "transport": format!("{:?}", plan.transport),
        "disturbance": format!("{:?}", plan.disturbance), "lasted_ms": ms(plan.duration),
        "holds": failed.is_empty(), "failed": failed,
        "agreed_at_start_ms": f.agreed_at_start.map(ms), "agreed_after_ms": f.agreed_after.map(ms),
        "bytes_sent_per_second": spread(&f.bytes_sent_per_second),
        "bytes_received_per_second": spread(&f.bytes_received_per_second),
        "packets_sent_per_second": spread(&f.packets_sent_per_second),
        "largest_packet": f.largest_packet,
        "cpu_ms_per_second": f.cpu_milliseconds_per_second, "resident_bytes": f.resident_bytes_per_member,
        "detection_s": f.detection.as_ref().map(spread), "undetected": f.undetected,
        "missing_live_members": f.missing_live_members, "false_downs": f.false_downs,
        "largest_share": f.largest_share, "held_up": f.held_up, "refused": f.refused, "lost": f.lost,
    })
}

fn table(
    plan: &SimulatedFleetPlan,
    figures: &SimulatedFleetFigures,
    failed: &[String],
) -> Vec<String> {
    let f = figures;
    let seconds =
        |d: Option<Duration>| d.map_or("never".into(), |d| format!("{:.2} s", d.as_secs_f64()));
    let spread = |s: &Spread| format!("{:.0} (p99 {:.0}, most {:.0})", s.mean, s.p99, s.most);
    let detection = f.detection.as_ref().map_or("none".into(), |d| {
        format!(
            "{:.2} s on average, p99 {:.2} s, {:.2} s at most",
            d.mean, d.p99, d.most
        )
    });
    let mut lines = vec![
        format!(
            "{} simulated members, {:?}, {:?}, {} s, seed {}",
            f.members,
            plan.transport,
            plan.disturbance,
            plan.duration.as_secs(),
            plan.seed
        ),
        format!(
            "  views agreed after the start: {}",
            seconds(f.agreed_at_start)
        ),
        format!(
            "  views agreed after the disturbance: {}",
            seconds(f.agreed_after)
        ),
        format!(
            "  time from a crash until a view shows the member down: {detection}; {} never",
            f.undetected
        ),
        format!(
            "  per member and second: {} bytes sent, {} received, {} packets sent, {:.2} ms of CPU; {} kB of memory",
            spread(&f.bytes_sent_per_second),
            spread(&f.bytes_received_per_second),
            spread(&f.packets_sent_per_second),
            f.cpu_milliseconds_per_second,
            f.resident_bytes_per_member / 1024
        ),
        format!(
            "  largest packet {} bytes; {} packets lost, {} dropped by members; {} times a member ran late",
            f.largest_packet, f.lost, f.refused, f.held_up
        ),
        format!(
            "  {} live members missing from a view at the end, {} times a live member was considered down; at most {:.3} of a limit used",
            f.missing_live_members, f.false_downs, f.largest_share
        ),
    ];
    lines.extend(failed.iter().map(|why| format!("  FAILED: {why}")));
    lines
}
