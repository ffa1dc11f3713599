//! `cranehill rig --members-only`: a fleet of simulated members alone, and what its membership costs.

use std::time::Duration;

use clap::ValueEnum;
use cranehill_fleet_harness::simulated::{
    Conditions, Disturbance, SimulatedFleetFigures, SimulatedFleetPlan, Spread, Transport, play,
};
use serde_json::{Value, json};

/// A cut ends so long before the play does, at least: the views have this part of it to agree again.
const CUT_PART: u32 = 2;
/// With one side of a cut evicted by the other, both together take at most this much of a limit: docs/membership.md.
const SHARE_MOST_EVICTED: f64 = 1.5;

/// What the command line asks for.
#[derive(Clone, Debug, clap::Args)]
pub struct SimulatedMembersArgs {
    /// Add so many simulated members: many in one process, with real membership and decisions, and without clients.
    #[arg(long, alias = "hollow", value_name = "M", default_value_t = 0)]
    pub simulated: usize,
    /// Play simulated members alone, without a scenario and without real senders.
    #[arg(long, conflicts_with_all = ["scenario", "nodes", "out", "alone"])]
    pub members_only: bool,
    /// With --members-only: what disturbs the fleet.
    #[arg(long, value_enum, default_value_t = Kind::None, requires = "members_only")]
    pub disturbance: Kind,
    /// With --members-only: seconds that are measured, after all have agreed.
    #[arg(
        long,
        alias = "lasts",
        value_name = "SECONDS",
        default_value_t = 60,
        requires = "members_only"
    )]
    pub duration: u64,
    /// With --disturbance halves: seconds until the cut heals, in place of half of the play.
    #[arg(
        long,
        alias = "cut-lasts",
        value_name = "SECONDS",
        requires = "members_only"
    )]
    pub cut_duration: Option<u64>,
    /// With --members-only: the part of all packets that is lost.
    #[arg(
        long,
        value_name = "PART",
        default_value_t = 0.0,
        requires = "members_only"
    )]
    pub loss: f64,
    /// With --members-only: on a simulated network and clock, in place of UDP on loopback.
    #[arg(long, requires = "members_only")]
    pub virtual_time: bool,
}

/// The disturbances by their names on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    None,
    /// One in ten members is killed at once.
    Crashes,
    /// One in thirty is.
    Rack,
    /// One zone of six is.
    Zone,
    /// Two halves are cut off from each other.
    Halves,
    /// Thirty members are restarted at once.
    Restarts,
}

impl SimulatedMembersArgs {
    fn plan(&self, seed: u64) -> SimulatedFleetPlan {
        let duration = Duration::from_secs(self.duration);
        let cut = self
            .cut_duration
            .map_or(duration / CUT_PART, Duration::from_secs);
        let disturbance = match self.disturbance {
            Kind::None => Disturbance::None,
            Kind::Crashes => Disturbance::Crashes { one_in: 10 },
            Kind::Rack => Disturbance::RackDown,
            Kind::Zone => Disturbance::ZoneDown { zones: 6 },
            Kind::Halves => Disturbance::Halves { duration: cut },
            Kind::Restarts => Disturbance::Restarts { count: 30 },
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

/// Plays it and prints what came of it; false if anything that was expected did not come.
pub fn run(args: &SimulatedMembersArgs, seed: u64, as_json: bool) -> Result<bool, String> {
    let plan = args.plan(seed);
    let figures = play(&plan).map_err(|e| e.to_string())?;
    let failed = figures.failed(share_most(&plan));
    if as_json {
        println!("{}", summary(&plan, &figures, &failed));
    } else {
        table(&plan, &figures, &failed)
            .iter()
            .for_each(|line| println!("{line}"));
    }
    Ok(failed.is_empty())
}

/// A cut that lasts longer than the eviction delay can't be told from deaths.
fn share_most(plan: &SimulatedFleetPlan) -> f64 {
    match (plan.disturbance, plan.timing.eviction_delay) {
        (Disturbance::Halves { duration }, Some(delay)) if duration >= delay => SHARE_MOST_EVICTED,
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
            "  crash to down in a view: {detection}; {} never",
            f.undetected
        ),
        format!(
            "  a member a second: {} bytes sent, {} received, {} packets sent, {:.2} ms of CPU; {} kB of memory",
            spread(&f.bytes_sent_per_second),
            spread(&f.bytes_received_per_second),
            spread(&f.packets_sent_per_second),
            f.cpu_milliseconds_per_second,
            f.resident_bytes_per_member / 1024
        ),
        format!(
            "  largest packet {} bytes; {} packets lost, {} refused; {} times held up",
            f.largest_packet, f.lost, f.refused, f.held_up
        ),
        format!(
            "  {} live members not seen at the end, {} false downs; at most {:.3} of a limit taken",
            f.missing_live_members, f.false_downs, f.largest_share
        ),
    ];
    lines.extend(failed.iter().map(|why| format!("  FAILED: {why}")));
    lines
}
