//! The command line of `rehearse`.

use std::net::SocketAddr;
use std::path::PathBuf;

/// The arguments of `rehearse`.
#[derive(Clone, Debug, clap::Args)]
pub struct RehearseArgs {
    /// Scenarios (.toml), folders of scenarios, or push scripts (.txt), which run against one sender and a simulated push
    /// service.
    #[arg(value_name = "FILE")]
    pub(super) files: Vec<PathBuf>,
    /// Seed of each scenario's first run.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Run each scenario this many times, with consecutive seeds.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    pub(super) repeat: u64,
    /// Number of scenarios that run at the same time.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(super) jobs: u16,
    /// Number of senders, instead of the scenario's.
    #[arg(long)]
    pub(super) senders: Option<usize>,
    /// Submit to this running sender instead of starting any; rules that can't be checked there are left out.
    #[arg(long, value_name = "ADDRESS", requires = "directory", conflicts_with_all = ["senders", "mutations", "repeat", "jobs"])]
    pub(super) against: Option<SocketAddr>,
    /// Address at which that sender requests its endpoint list; the simulated discovery service listens there.
    #[arg(long, value_name = "ADDRESS")]
    pub(super) directory: Option<SocketAddr>,
    /// Write the configuration that such a sender needs for the scenario, and run nothing.
    #[arg(long, value_name = "FILE", requires = "directory")]
    pub(super) write_config: Option<PathBuf>,
    /// Write each scenario's report to this folder: JSON, every event as Parquet, and an HTML page with plots.
    #[arg(long, value_name = "DIR")]
    pub(super) out: Option<PathBuf>,
    /// Check that each mutation of this program, a build with the feature `mutations`, is detected by its rule, and that
    /// the running program passes the same scenarios.
    #[arg(long, alias = "breakages", value_name = "PROGRAM", conflicts_with_all = ["files", "repeat", "senders"])]
    pub(super) mutations: Option<PathBuf>,
}
