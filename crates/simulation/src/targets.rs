use crate::world::{Event, World, address};
use postbarrow_controller::{Fetched, PageResult};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const PAGE: usize = 10;

pub struct Target {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub alive: bool,
    pub frozen: bool,
    /// Of a thousand runs, so many lose their response.
    pub lostPerMille: u64,
}

pub struct Row {
    pub service: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub draining: bool,
}

/// The platform's list; `left` tells when it first showed an instance leaving or gone.
#[derive(Default)]
pub struct PlatformList {
    pub rows: BTreeMap<String, Row>,
    pub left: BTreeMap<String, u64>,
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
            lostPerMille: 5,
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

    pub fn shows_leaving(&mut self, instance: &str) {
        self.list.left.entry(instance.to_string()).or_insert(self.nowUs);
    }

    /// The list is paged, slow and rate-limited.
    pub fn fetch(&mut self, at: usize, walk: u64, cursor: Option<String>) {
        let life = self.control[at].life;
        let tookUs = self.random.between(10_000, 120_000);
        let fetched = match self.random.below(100) {
            0..=2 => Fetched::Limited { waitMs: 300 },
            3 => Fetched::Failed("the list is not there".into()),
            _ => Fetched::Page(self.page(cursor.as_deref()).into_bytes()),
        };
        let result = PageResult { walk, fetched };
        self.after(tookUs, Event::Page { at, life, result });
    }

    fn page(&self, cursor: Option<&str>) -> String {
        let from = cursor.and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let rows: Vec<String> = self
            .list
            .rows
            .iter()
            .skip(from)
            .take(PAGE)
            .map(|(instance, row)| {
                format!(
                    "{{\"instance\":\"{instance}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"draining\":{}}}",
                    row.service, row.address, row.zone, row.draining
                )
            })
            .collect();
        let to = from + rows.len();
        let next = if to < self.list.rows.len() { format!("\"{to}\"") } else { "null".into() };
        format!("{{\"targets\":[{}],\"next\":{next}}}", rows.join(","))
    }
}
