//! Starts and lookups of targets, and their rows in the endpoint list.

use crate::network::address;
use crate::node::endpoint_list::Row;
use crate::node::target::Target;
use crate::world::World;
use std::net::SocketAddr;

impl World {
    /// Starts a target at the address `at`, or at a new one if `None`, adds its row to the endpoint
    /// list and returns its instance.
    pub fn add_target(&mut self, service: &str, at: Option<SocketAddr>) -> String {
        let number = self.targets.len();
        let address = at.unwrap_or_else(|| address(4, number, 80));
        let instance = format!("{service}-{number}");
        self.targets.push(Target {
            instance: instance.clone(),
            service: service.into(),
            address,
            alive: true,
            frozen: false,
            lost_per_mille: 5,
        });
        let zone = ["a", "b", "c"][number / 3 % 3];
        let row = Row { service: service.into(), address, zone, draining: false };
        self.list.rows.insert(instance.clone(), row);
        instance
    }

    /// Returns the running target at this address, if any.
    pub fn target_at(&self, address: SocketAddr) -> Option<&Target> {
        self.targets.iter().find(|target| target.alive && target.address == address)
    }

    /// Returns the target of this instance, if there is one.
    pub fn target_mut(&mut self, instance: &str) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.instance == instance)
    }

    /// Records that the endpoint list now shows this instance as draining or gone, unless it did
    /// before.
    pub fn record_departure(&mut self, instance: &str) {
        self.list.departures.entry(instance.to_string()).or_insert(self.now_us);
    }
}
