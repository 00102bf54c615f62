//! The readiness of the data nodes, and the plans that they follow.

use crate::error::FleetError;
use crate::fleet::{DataEndpoint, Fleet};
use std::time::{Duration, Instant};

/// The report of a data node's readiness.
pub struct NodeReadiness {
    /// Whether the data node accepts requests.
    pub is_ready: bool,
    /// The body of the report, which contains the version of the data node's plan.
    pub text: String,
}

impl Fleet {
    /// Returns the report of each data node; `None` for one that does not respond in time.
    pub fn readiness(&self) -> Vec<Option<NodeReadiness>> {
        let poll = |node: &DataEndpoint| {
            let request = self.agent.get(format!("http://{}/ready", node.http));
            let request = request.config().timeout_global(Some(Duration::from_millis(500)));
            let mut response = request.build().call().ok()?;
            let text = response.body_mut().read_to_string().ok()?;
            Some(NodeReadiness { is_ready: response.status() == 200, text })
        };
        std::thread::scope(|scope| {
            let polls: Vec<_> =
                self.data_endpoints.iter().map(|node| scope.spawn(move || poll(node))).collect();
            polls.into_iter().map(|poll| poll.join().unwrap_or(None)).collect()
        })
    }

    /// Waits until every data node is ready; returns how long that took, in milliseconds.
    ///
    /// # Errors
    /// When some data nodes are not ready after `max_ms` milliseconds.
    pub fn wait_ready(&self, max_ms: u128) -> Result<u128, FleetError> {
        let start = Instant::now();
        let nodes = self.data_endpoints.len();
        loop {
            let ready = self.readiness().iter().flatten().filter(|node| node.is_ready).count();
            if ready == nodes {
                return Ok(start.elapsed().as_millis());
            }
            if start.elapsed().as_millis() > max_ms {
                return Err(FleetError::NotReady { ready, nodes });
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
