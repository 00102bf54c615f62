//! Which data nodes are ready, and for which plan.

use crate::error::FleetError;
use crate::fleet::{DataEndpoint, Fleet};
use std::time::{Duration, Instant};

/// What a data node reports of itself.
pub struct NodeReadiness {
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Its report, which names the version of its plan.
    pub text: String,
}

impl Fleet {
    /// What each data node reports; `None` for one that does not respond.
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

    /// Waits until every data node is ready; returns how long it took.
    ///
    /// # Errors
    /// When that takes longer than `max_ms`.
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
