//! The state that a node's threads share: read lock-free, each concern with one owner.
//!
//! Nothing here imports a module that uses [`Shared`].

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

/// The owners of the state that threads share.
pub struct Shared {
    /// This node.
    pub own: Node,
    /// What clients and targets speak.
    pub dialect: Arc<dyn Dialect>,
    /// Until when this node may serve.
    pub lease: Lease,
    /// Routes, services and targets in force.
    pub routing: RoutingTable,
    /// Idle connections to targets.
    pub pools: ConnectionPools,
    /// Budgets of bytes for bodies.
    pub memory: MemoryLimits,
    /// What is in flight.
    pub admission: AdmissionCounters,
    /// Requests observed, for rehearsals.
    pub samples: SampleBuffer,
    /// Graceful shutdown.
    pub lifecycle: Lifecycle,
    /// Numbers and idempotency keys that no other request gets.
    pub keys: KeyGenerator,
    /// The way to the control loop, and through it to the controller.
    pub control_loop: ControlLoopHandle,
}

impl Shared {
    /// The state of a node that has no lease and no plan yet.
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

    /// Whether clients may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.lifecycle.is_stopping()
            && self.lease.is_valid()
            && self.routing.load().state.plan.is_some()
    }

    /// Puts a new image into force: the pools first, so that no request meets a target without one.
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
