//! Idle connections to targets.

use crate::target_connection::TargetConnection;
use arc_swap::{ArcSwap, Guard};
use crossbeam_queue::ArrayQueue;
use postbarrow_constants::traffic::IDLE_CONNECTIONS;
use postbarrow_routing::Table;
use postbarrow_state::{Name, Target};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

type Idle = Arc<ArrayQueue<TargetConnection>>;

/// The pools of the image in force: swapped as one, never locked.
#[derive(Default)]
pub struct ConnectionPools {
    pools: ArcSwap<Pools>,
}

impl ConnectionPools {
    /// The pools in force.
    pub fn load(&self) -> Guard<Arc<Pools>> {
        self.pools.load()
    }

    /// Swaps in the pools of a new image, with the connections of targets that it still has.
    pub fn carry_over(&self, table: &Table) {
        let pools = Pools::carried_over(&self.pools.load(), table);
        self.pools.store(Arc::new(pools));
    }
}

/// Idle connections by target; built anew with each image, so that none outlives its target.
#[derive(Default)]
pub struct Pools(HashMap<Name, (SocketAddr, Idle)>);

impl Pools {
    fn carried_over(old: &Pools, table: &Table) -> Pools {
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

    /// The oldest idle connection that is reusable; those before it are closed.
    pub fn take(&self, target: &Target) -> Option<TargetConnection> {
        let (address, idle) = self.0.get(&target.instance)?;
        if *address != target.address {
            return None;
        }
        std::iter::from_fn(|| idle.pop()).find(TargetConnection::is_reusable)
    }

    /// Stores a connection as idle, or closes it if the pool is full or its target was removed.
    pub fn put(&self, target: &Target, connection: TargetConnection) {
        if let Some((address, idle)) = self.0.get(&target.instance)
            && *address == target.address
        {
            let _ = idle.push(connection);
        }
    }
}
