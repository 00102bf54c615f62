use crate::mix;
use postbarrow_constants::traffic::{FAILED_PAUSE_MS, ZONE_SLACK_ASKS};
use postbarrow_state::{Name, State, Target};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// What this node knows of one target's occupancy.
#[derive(Debug, Default)]
pub struct Load {
    atWork: AtomicU64,
    reported: AtomicU64,
    failedUntilMs: AtomicU64,
}

impl Load {
    pub fn enter(&self) {
        self.atWork.fetch_add(1, Relaxed);
    }
    pub fn leave(&self) {
        self.atWork.fetch_sub(1, Relaxed);
    }
    pub fn at_work(&self) -> u64 {
        self.atWork.load(Relaxed)
    }
    pub fn report(&self, occupancy: u64) {
        self.reported.store(occupancy, Relaxed);
    }
    pub fn failed(&self, nowMs: u64) {
        self.failedUntilMs.store(nowMs + FAILED_PAUSE_MS, Relaxed);
    }
    pub fn recovered(&self) {
        self.failedUntilMs.store(0, Relaxed);
    }
    fn occupancy(&self) -> u64 {
        self.atWork.load(Relaxed) + self.reported.load(Relaxed)
    }
    fn is_failed(&self, nowMs: u64) -> bool {
        nowMs < self.failedUntilMs.load(Relaxed)
    }
}

pub type Loads = HashMap<Name, Arc<Load>>;

/// Loads outlive the plan: a table made anew keeps those of targets it still has.
pub fn carry(old: &Loads, state: &State) -> Loads {
    let keep = |instance: &Name| old.get(instance).cloned().unwrap_or_default();
    state.targets.keys().map(|instance| (instance.clone(), keep(instance))).collect()
}

pub type Choice = (Arc<Target>, Arc<Load>);

/// The emptier of two drawn, from the own zone unless another is much emptier.
pub fn pick(
    targets: &[Choice],
    zone: &str,
    tried: &[Name],
    nowMs: u64,
    seed: u64,
) -> Option<Choice> {
    let fresh = |choice: &&Choice| !tried.contains(&choice.0.instance);
    let sound: Vec<&Choice> =
        targets.iter().filter(fresh).filter(|choice| !choice.1.is_failed(nowMs)).collect();
    let all: Vec<&Choice> =
        if sound.is_empty() { targets.iter().filter(fresh).collect() } else { sound };
    let near: Vec<&Choice> = all.iter().filter(|choice| choice.0.zone == zone).copied().collect();
    let far = emptier(&all, seed)?;
    let chosen = match emptier(&near, mix(seed)) {
        Some(near) if near.1.occupancy() <= far.1.occupancy() + ZONE_SLACK_ASKS => near,
        _ => far,
    };
    Some(chosen.clone())
}

fn emptier<'c>(among: &[&'c Choice], seed: u64) -> Option<&'c Choice> {
    let count = among.len() as u64;
    if count == 0 {
        return None;
    }
    let first = (mix(seed) % count) as usize;
    let second = (mix(seed ^ 0x5bd1_e995) % count) as usize;
    let (one, two) = (among[first], among[second]);
    Some(if two.1.occupancy() < one.1.occupancy() { two } else { one })
}
