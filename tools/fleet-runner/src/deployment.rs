//! The sizes and rates of the known deployments.

use crate::cli::Cli;
use crate::error::FleetError;
use std::time::Duration;

/// The control nodes of every fleet.
pub const CONTROL_NODES: usize = 3;
/// The zones of every fleet.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The zone of the process with this position among its like.
pub fn zone(position: usize) -> &'static str {
    ZONES[position % ZONES.len()]
}

/// The targets of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSize {
    /// The service's name.
    pub service: &'static str,
    /// How many targets it has.
    pub targets: usize,
}

/// Requests and calls a second.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Lookups a second.
    pub lookups: usize,
    /// Postings a second.
    pub postings: usize,
    /// Uploads a second.
    pub uploads: usize,
    /// Coordination calls a second.
    pub calls: usize,
}

/// A deployment's sizes and rates, as its operators stated them.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// How many data nodes it has.
    pub data_nodes: usize,
    /// Its services.
    pub services: [ServiceSize; 3],
    /// Its load.
    pub rates: Rates,
    /// How long a message takes from zone to zone.
    pub zone_delay: Duration,
}

impl Deployment {
    /// The deployment that the command line names, scaled.
    ///
    /// # Errors
    /// When no deployment has this name.
    pub fn of(cli: &Cli) -> Result<Deployment, FleetError> {
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
