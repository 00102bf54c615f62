//! Targets that run requests, crash, freeze and pass their address on.

use crate::list::Row;
use crate::world::{World, address};
use std::net::SocketAddr;

pub struct Target {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub alive: bool,
    pub frozen: bool,
    /// Of a thousand runs, so many lose their response.
    pub lost_per_mille: u64,
}

impl World {
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

    pub fn target_at(&self, address: SocketAddr) -> Option<&Target> {
        self.targets.iter().find(|target| target.alive && target.address == address)
    }

    pub fn target_mut(&mut self, instance: &str) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.instance == instance)
    }

    pub fn record_departure(&mut self, instance: &str) {
        self.list.departures.entry(instance.to_string()).or_insert(self.now_us);
    }
}
