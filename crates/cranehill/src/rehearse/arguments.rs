//! The command line of `rehearse`.

use std::net::SocketAddr;
use std::path::PathBuf;

/// The arguments of `rehearse`.
#[derive(Clone, Debug, clap::Args)]
pub struct RehearseArgs {
    /// Days (.toml) or folders of them, or scripts of pushes (.txt) against one sender and a simulated server push service.
    #[arg(value_name = "FILE")]
    pub(super) files: Vec<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Play each day so often, with one seed after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    pub(super) repeat: u64,
    /// Play so many days at once.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(super) jobs: u16,
    /// So many senders, whatever the day says.
    #[arg(long)]
    pub(super) senders: Option<usize>,
    /// Hand in at this sender, which runs already, and start none: what can be judged there is.
    #[arg(long, value_name = "ADDRESS", requires = "directory", conflicts_with_all = ["senders", "mutations", "repeat", "jobs"])]
    pub(super) against: Option<SocketAddr>,
    /// Where that sender asks for its list of endpoints: the rehearsal answers there.
    #[arg(long, value_name = "ADDRESS")]
    pub(super) directory: Option<SocketAddr>,
    /// Write the configuration with which such a sender fits the day, and play nothing.
    #[arg(long, value_name = "FILE", requires = "directory")]
    pub(super) write_config: Option<PathBuf>,
    /// Write each day's report there: JSON, every event as Parquet, and a page with plots.
    #[arg(long, value_name = "DIR")]
    pub(super) out: Option<PathBuf>,
    /// Play the broken builds: this program, built with the feature `mutations`, must be caught at each of them, and
    /// the present one must pass the same days.
    #[arg(long, alias = "breakages", value_name = "PROGRAM", conflicts_with_all = ["files", "repeat", "senders"])]
    pub(super) mutations: Option<PathBuf>,
}
