//! The options of the command line.

use gumdrop::Options;

/// Drives the gateway and checks its books; exits non-zero on any violation.
#[derive(Debug, Options)]
pub struct Cli {
    #[options(help = "print help")]
    help: bool,
    /// The file of the data nodes, with the zone and the address of one node on each line.
    #[options(help = "file of nodes: a line each, ZONE IP:PORT", required, no_short)]
    pub nodes: String,
    /// The folder of the targets' execution records.
    #[options(help = "folder where the stand-in targets record their runs", required, no_short)]
    pub records: String,
    /// How long load is sent, in seconds.
    #[options(help = "how long", default = "30", no_short)]
    pub seconds: u64,
    /// Lookups per second.
    #[options(help = "lookups a second", default = "80", no_short)]
    pub lookups: f64,
    /// Postings per second.
    #[options(help = "postings a second", default = "30", no_short)]
    pub postings: f64,
    /// Uploads per second.
    #[options(help = "uploads a second", default = "10", no_short)]
    pub uploads: f64,
    /// Coordination calls per second.
    #[options(help = "coordination calls a second", default = "15", no_short)]
    pub calls: f64,
    /// The size of the body of an upload, in bytes.
    #[options(help = "bytes of one upload", default = "262144", no_short)]
    pub upload_bytes: usize,
    /// The maximum number of attempts of a request in a retry storm; 0 for no storm.
    #[options(
        help = "of retries at once per failed ask, up to this many: a storm",
        default = "0",
        no_short
    )]
    pub storm: u32,
    /// The number of noisy neighbours: clients that retry without pause or end.
    #[options(
        long = "greedy",
        meta = "GREEDY",
        help = "clients that ask again at once and without end",
        default = "0",
        no_short
    )]
    pub noisy_clients: u64,
    /// Lookups per second of all noisy neighbours together, without their retries.
    #[options(
        long = "greedy-rate",
        meta = "GREEDY-RATE",
        help = "their lookups a second, all together",
        default = "800",
        no_short
    )]
    pub noisy_per_s: f64,
    /// Lookups per second whose clients close their connection before the response.
    #[options(
        long = "leavers",
        meta = "LEAVERS",
        help = "lookups a second whose clients leave before their answer",
        default = "0",
        no_short
    )]
    pub departing_per_s: f64,
    /// The number of threads that send the scheduled load.
    #[options(help = "worker threads", default = "96", no_short)]
    pub workers: usize,
    /// The seed of the scheduled load.
    #[options(help = "seed", default = "1", no_short)]
    pub seed: u64,
    /// The number of executions that are allowed beyond one for every five attempts, per kind of
    /// request and second.
    #[options(
        help = "allowance of extra tries beyond a fifth, per service and second",
        default = "3.0",
        no_short
    )]
    pub allowance: f64,
    /// The address of a target for direct lookups, past the gateway; `None` for none.
    #[options(
        help = "a stand-in target, asked directly ten times a second to compare",
        meta = "IP:PORT",
        no_short
    )]
    pub direct: Option<String>,
}
