//! The sizes and rates of the known deployments.

use crate::cli::Cli;
use crate::error::FleetError;
use std::time::Duration;

/// The number of control nodes of every fleet.
pub const CONTROL_NODES: usize = 3;
/// The names of the zones of every fleet.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Returns the zone of the control node, data node or target with this index among those of its
/// kind; the zones take turns.
pub fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// A service and its number of targets.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSize {
    /// The name of the service.
    pub service: &'static str,
    /// The number of targets of the service.
    pub targets: usize,
}

/// The load of a deployment, by kind of request or call.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Lookups per second.
    pub lookups: usize,
    /// Postings per second.
    pub postings: usize,
    /// Uploads per second.
    pub uploads: usize,
    /// Coordination calls per second.
    pub calls: usize,
}

/// The sizes and rates of a deployment: those that its operators stated, multiplied by the scale.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The number of data nodes.
    pub data_nodes: usize,
    /// The services, each with its number of targets.
    pub services: [ServiceSize; 3],
    /// The load that clients send.
    pub rates: Rates,
    /// The delay of a message from one zone to another.
    pub zone_delay: Duration,
}

impl Deployment {
    /// Returns the deployment that the command line names, multiplied by its scale.
    ///
    /// # Errors
    /// When no deployment has this name.
    pub fn from_cli(cli: &Cli) -> Result<Deployment, FleetError> {
        let (data_nodes, sizes, rates, zone_us) = match cli.deployment.as_str() {
            "blue-mahoe" => (11, [20, 9, 6], [80, 30, 10, 15], 500),
            "kutch" => (12, [23, 10, 6], [380, 130, 40, 65], 1_000),
            other => return Err(FleetError::UnknownDeployment(other.into())),
        };
        let scale = cli.scale.max(1);
        let [catalogue, ledger, photos] = sizes.map(|size| size * scale);
        let [lookups, postings, uploads, calls] = rates.map(|rate| rate * scale);
        Ok(Deployment {
            data_nodes: data_nodes * scale,
            services: [
                ServiceSize { service: "catalogue", targets: catalogue },
                ServiceSize { service: "ledger", targets: ledger },
                ServiceSize { service: "photos", targets: photos },
            ],
            rates: Rates { lookups, postings, uploads, calls },
            zone_delay: Duration::from_micros(zone_us),
        })
    }
}
