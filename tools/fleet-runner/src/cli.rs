//! The command line.

use gumdrop::Options;

/// Runs a deployment's fleet with stand-ins, load and faults; exits non-zero on any violation.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    help: bool,
    /// The deployment's name.
    #[options(help = "blue-mahoe or kutch", default = "blue-mahoe", no_short)]
    pub deployment: String,
    /// Multiplies the deployment's sizes and rates.
    #[options(help = "sizes and rates, times this", default = "1", no_short)]
    pub scale: usize,
    /// How long load is sent and faults are injected.
    #[options(help = "seconds of load", default = "30", no_short)]
    pub seconds: u64,
    /// The name of the fault schedule.
    #[options(help = "none, plain, rolling or all", default = "plain", no_short)]
    pub faults: String,
    /// Decides the faults and the load.
    #[options(help = "seed of the faults and the load", default = "1", no_short)]
    pub seed: u64,
    /// Emptied at the start.
    #[options(help = "folder for data, logs and records", default = "fleet-data", no_short)]
    pub folder: String,
    /// Where the fleet's programs stand.
    #[options(help = "folder of the programs", default = "target/release", no_short)]
    pub programs: String,
    /// All of the fleet's ports follow from it.
    #[options(help = "first port", default = "21000", no_short)]
    pub port: u16,
    /// The attempts of a request in a retry storm; 0 for no storm.
    #[options(help = "retries at once per failed ask: a storm", default = "0", no_short)]
    pub storm: u32,
    /// The number of noisy neighbours.
    #[options(
        long = "greedy",
        meta = "GREEDY",
        help = "clients that retry at once without end, at ten times the lookups",
        default = "0",
        no_short
    )]
    pub noisy_clients: u64,
    /// Lookups a second of departing clients.
    #[options(
        long = "leavers",
        meta = "LEAVERS",
        help = "lookups a second whose clients leave before their answer",
        default = "0",
        no_short
    )]
    pub departing_per_s: u64,
    /// The body size of an upload.
    #[options(help = "bytes of one upload", default = "262144", no_short)]
    pub upload_bytes: usize,
    /// The faulty in a thousand requests at a target.
    #[options(help = "target faults in a thousand runs", default = "0", no_short)]
    pub per_mille: u64,
    /// The names of the targets' faults, with commas between them.
    #[options(help = "which target faults", default = "lost,garbage,cut,endless", no_short)]
    pub target_faults: String,
    /// Routes without load in each plan.
    #[options(help = "routes beside the three that carry load", default = "0", no_short)]
    pub routes: usize,
    /// The file of the processes' environment; empty for none.
    #[options(
        help = "file of NAME=VALUE lines for every process; tests/clock.variables lets clocks jump",
        default = "",
        no_short
    )]
    pub variables: String,
}
