//! The options of the command line.

use gumdrop::Options;

/// Runs a deployment's fleet with stand-ins, load and faults; exits non-zero on any violation.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    help: bool,
    /// The name of the deployment to run; `Deployment::from_cli` knows the names.
    #[options(help = "blue-mahoe or kutch", default = "blue-mahoe", no_short)]
    pub deployment: String,
    /// The factor by which the deployment's sizes and rates are multiplied; at least 1.
    #[options(help = "sizes and rates, times this", default = "1", no_short)]
    pub scale: usize,
    /// How long load is sent and faults are injected, in seconds; at least 1.
    #[options(help = "seconds of load", default = "30", no_short)]
    pub seconds: u64,
    /// The name of the fault schedule: `none`, `plain`, `rolling` or `all`.
    #[options(help = "none, plain, rolling or all", default = "plain", no_short)]
    pub faults: String,
    /// The seed from which the faults and the load are drawn.
    #[options(help = "seed of the faults and the load", default = "1", no_short)]
    pub seed: u64,
    /// The folder for data, logs and records; it is emptied at the start.
    #[options(help = "folder for data, logs and records", default = "fleet-data", no_short)]
    pub folder: String,
    /// The folder that contains the programs of the fleet's processes.
    #[options(help = "folder of the programs", default = "target/release", no_short)]
    pub programs: String,
    /// The first port of the fleet, from which all its other ports are computed.
    #[options(help = "first port", default = "21000", no_short)]
    pub port: u16,
    /// The maximum number of attempts of a request in a retry storm; 0 for no storm.
    #[options(help = "retries at once per failed ask: a storm", default = "0", no_short)]
    pub storm: u32,
    /// The number of noisy neighbours: clients that retry without pause or end.
    #[options(
        long = "greedy",
        meta = "GREEDY",
        help = "clients that retry at once without end, at ten times the lookups",
        default = "0",
        no_short
    )]
    pub noisy_clients: u64,
    /// Lookups per second whose clients close their connection before the response.
    #[options(
        long = "leavers",
        meta = "LEAVERS",
        help = "lookups a second whose clients leave before their answer",
        default = "0",
        no_short
    )]
    pub departing_per_s: u64,
    /// The size of the body of an upload, in bytes.
    #[options(help = "bytes of one upload", default = "262144", no_short)]
    pub upload_bytes: usize,
    /// How many of a thousand requests at a target get a fault; at most 1000.
    #[options(help = "target faults in a thousand runs", default = "0", no_short)]
    pub per_mille: u64,
    /// The names of the faults that targets draw from, separated by commas.
    #[options(help = "which target faults", default = "lost,garbage,cut,endless", no_short)]
    pub target_faults: String,
    /// The number of routes without load in each plan, beside the three that carry load.
    #[options(help = "routes beside the three that carry load", default = "0", no_short)]
    pub routes: usize,
    /// The file of environment variables for every process; empty for none.
    #[options(
        help = "file of NAME=VALUE lines for every process; tests/clock.variables lets clocks jump",
        default = "",
        no_short
    )]
    pub variables: String,
}
