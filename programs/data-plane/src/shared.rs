//! The state that a node's threads share, with one type for each concern. Reading it takes no
//! locks.
//!
//! The submodules must not import a module that uses [`Shared`].

mod admission_counters;
mod connection_pools;
mod control_loop_handle;
mod key_generator;
mod lease;
mod lifecycle;
mod memory_limits;
mod routing_table;
mod sample_buffer;

pub use admission_counters::AdmissionCounters;
pub use connection_pools::ConnectionPools;
pub use control_loop_handle::ControlLoopHandle;
pub use key_generator::KeyGenerator;
pub use lease::Lease;
pub use lifecycle::Lifecycle;
pub use memory_limits::MemoryLimits;
pub use routing_table::RoutingTable;
pub use sample_buffer::SampleBuffer;

use crate::command::Command;
use crate::dialect::Dialect;
use postbarrow_routing::Table;
use postbarrow_startup::Bounds;
use postbarrow_state::{Node, State};
use std::sync::Arc;
use std::sync::mpsc::Sender;

/// The state that a node's threads share.
pub struct Shared {
    /// This node's incarnation, name, addresses and zone.
    pub own: Node,
    /// The dialect of this node's clients and targets.
    pub dialect: Arc<dyn Dialect>,
    /// The lease of this node, which may serve requests only while the lease is valid.
    pub lease: Lease,
    /// The routing table in force: routes, services and targets.
    pub routing: RoutingTable,
    /// The pools of idle connections to targets.
    pub pools: ConnectionPools,
    /// The memory budgets for bodies.
    pub memory: MemoryLimits,
    /// The counters of connections, requests, calls and watches, by which admission is decided.
    pub admission: AdmissionCounters,
    /// Samples of client requests, for rehearsals of plans.
    pub samples: SampleBuffer,
    /// The progress of a graceful shutdown.
    pub lifecycle: Lifecycle,
    /// The generator of unique request numbers and idempotency keys.
    pub keys: KeyGenerator,
    /// The handle of the control loop, which sends requests to the controller.
    pub control_loop: ControlLoopHandle,
}

impl Shared {
    /// Returns the state of a node that has no lease and no plan yet.
    pub fn new(
        own: Node,
        dialect: Arc<dyn Dialect>,
        bounds: &Bounds,
        commands: Sender<Command>,
    ) -> Self {
        Shared {
            lease: Lease::default(),
            routing: RoutingTable::new(bounds),
            pools: ConnectionPools::default(),
            memory: MemoryLimits::new(bounds.bodies_bytes()),
            admission: AdmissionCounters::default(),
            samples: SampleBuffer::default(),
            lifecycle: Lifecycle::default(),
            keys: KeyGenerator::new(own.incarnation),
            control_loop: ControlLoopHandle::new(commands),
            own,
            dialect,
        }
    }

    /// Returns whether the node is ready for clients: not stopping, with a valid lease and a plan
    /// in force.
    pub fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping()
            && self.lease.is_valid()
            && self.routing.load().state.plan.is_some()
    }

    /// Puts a new image of the state, up to this log offset, into force. The connection pools are
    /// replaced before the routing table, so that every target in the table has a pool.
    pub fn publish(&self, state: Arc<State>, offset: u64) {
        let old = self.routing.load();
        let same_targets = state.targets.ptr_eq(&old.state.targets);
        let table = Table::new(state, offset, &old);
        if !same_targets {
            self.pools.carry_over(&table);
        }
        self.routing.store(table);
    }
}
