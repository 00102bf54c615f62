//! Pools of idle connections to targets.

use crate::target_connection::TargetConnection;
use arc_swap::{ArcSwap, Guard};
use crossbeam_queue::ArrayQueue;
use postbarrow_constants::traffic::IDLE_CONNECTIONS;
use postbarrow_routing::Table;
use postbarrow_state::{Name, Target};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

type IdleQueue = Arc<ArrayQueue<TargetConnection>>;

/// The pools for the targets in force, which are replaced atomically and read without locks.
#[derive(Default)]
pub struct ConnectionPools {
    pools: ArcSwap<Pools>,
}

impl ConnectionPools {
    /// Returns the pools in force.
    pub fn load(&self) -> Guard<Arc<Pools>> {
        self.pools.load()
    }

    /// Replaces the pools by those for the targets of a new routing table; a target that remains at
    /// its address keeps its idle connections.
    pub fn carry_over(&self, table: &Table) {
        let pools = Pools::carried_over(&self.pools.load(), table);
        self.pools.store(Arc::new(pools));
    }
}

/// Idle connections by target instance. The pools are rebuilt whenever the targets change, so that
/// no connection outlives its target.
#[derive(Default)]
pub struct Pools(HashMap<Name, (SocketAddr, IdleQueue)>);

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

    /// Removes and returns the oldest reusable idle connection to a target; closes older ones that
    /// are not reusable. Returns `None` if there is none.
    pub fn take(&self, target: &Target) -> Option<TargetConnection> {
        let (address, idle) = self.0.get(&target.instance)?;
        if *address != target.address {
            return None;
        }
        std::iter::from_fn(|| idle.pop()).find(TargetConnection::is_reusable)
    }

    /// Stores a connection as idle, or closes it if the pool is full or the target was removed or
    /// moved to another address.
    pub fn put(&self, target: &Target, connection: TargetConnection) {
        if let Some((address, idle)) = self.0.get(&target.instance)
            && *address == target.address
        {
            let _ = idle.push(connection);
        }
    }
}
