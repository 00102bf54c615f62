//! Idle connections to targets.

use crate::target_connection::TargetConnection;
use crossbeam_queue::ArrayQueue;
use postbarrow_constants::traffic::IDLE_CONNECTIONS;
use postbarrow_routing::Table;
use postbarrow_state::{Name, Target};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

type Idle = Arc<ArrayQueue<TargetConnection>>;

/// Idle connections by target; made anew with each image, so that none outlives its target.
#[derive(Default)]
pub struct Pools(HashMap<Name, (SocketAddr, Idle)>);

impl Pools {
    /// The pools of a new image, with the connections of targets that it still has.
    pub fn carry(old: &Pools, table: &Table) -> Pools {
        let pool = |target: &Target| match old.0.get(&target.instance) {
            Some((address, idle)) if *address == target.address => idle.clone(),
            _ => Arc::new(ArrayQueue::new(IDLE_CONNECTIONS)),
        };
        let targets = table.state.targets.values();
        Pools(
            targets
                .map(|target| (target.instance.clone(), (target.address, pool(target))))
                .collect(),
        )
    }

    /// A connection that rested and is fit for use; those that are not are closed.
    pub fn take(&self, target: &Target) -> Option<TargetConnection> {
        let (address, idle) = self.0.get(&target.instance)?;
        if *address != target.address {
            return None;
        }
        std::iter::from_fn(|| idle.pop()).find(TargetConnection::is_fresh)
    }

    /// Lets a connection rest, unless enough of them do.
    pub fn give(&self, target: &Target, connection: TargetConnection) {
        if let Some((address, idle)) = self.0.get(&target.instance)
            && *address == target.address
        {
            let _ = idle.push(connection);
        }
    }
}
