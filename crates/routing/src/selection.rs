use crate::mix;
use postbarrow_constants::traffic::*;
use postbarrow_state::{Name, State, Target};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// What this node knows of one target's occupancy.
#[derive(Debug, Default)]
pub struct Load {
    in_flight: AtomicU64,
    /// What a response or a probe told last, without this node's own requests, and when.
    reported: AtomicU64,
    reported_ms: AtomicU64,
    failed_until_ms: AtomicU64,
    /// Failures in a row.
    failures: AtomicU64,
}

impl Load {
    pub fn enter(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }
    pub fn leave(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }
    pub fn report(&self, occupancy: u64) {
        self.reported.store(occupancy, Relaxed);
    }
    /// The same from a target with known slots, whose word grows old.
    pub fn report_slots_used(&self, now_ms: u64, occupancy: u64) {
        self.reported.store(occupancy, Relaxed);
        self.reported_ms.store(now_ms, Relaxed);
    }
    /// Asks of others there, as far as is known: what was told drifts towards what is usual.
    fn others(&self, now_ms: u64, usual: f64) -> f64 {
        let told_ms = self.reported_ms.load(Relaxed);
        if told_ms == 0 {
            return usual;
        }
        let age = now_ms.saturating_sub(told_ms) as f64 / LOAD_REPORT_DECAY_MS;
        usual + (self.reported.load(Relaxed) as f64 - usual) * (-age).exp()
    }
    pub fn on_failure(&self, now_ms: u64) {
        let before = self.failures.fetch_add(1, Relaxed).min(16);
        let pause_ms = (EJECTION_MS << before).min(EJECTION_MAX_MS);
        self.failed_until_ms.store(now_ms + pause_ms, Relaxed);
    }
    /// It is full, not ill.
    pub fn on_rejection(&self, now_ms: u64) {
        let until_ms = now_ms + REJECTION_PAUSE_MS;
        self.failed_until_ms.fetch_max(until_ms, Relaxed);
    }
    pub fn on_success(&self) {
        self.failures.store(0, Relaxed);
        self.failed_until_ms.store(0, Relaxed);
    }
    fn occupancy(&self) -> u64 {
        self.in_flight.load(Relaxed) + self.reported.load(Relaxed)
    }
    fn is_failed(&self, now_ms: u64) -> bool {
        now_ms < self.failed_until_ms.load(Relaxed)
    }
}

pub type Loads = HashMap<Name, Arc<Load>>;

/// Loads outlive the plan: a table made anew keeps those of targets it still has.
pub fn carry(old: &Loads, state: &State) -> Loads {
    let keep = |instance: &Name| old.get(instance).cloned().unwrap_or_default();
    state.targets.keys().map(|instance| (instance.clone(), keep(instance))).collect()
}

pub type Candidate = (Arc<Target>, Arc<Load>);

/// The emptier of two drawn, from the own zone unless another is much emptier.
pub fn select_target(
    targets: &[Candidate],
    zone: &str,
    tried: &[Name],
    now_ms: u64,
    seed: u64,
) -> Option<Candidate> {
    let fresh = |choice: &&Candidate| !tried.contains(&choice.0.instance);
    let sound: Vec<&Candidate> =
        targets.iter().filter(fresh).filter(|choice| !choice.1.is_failed(now_ms)).collect();
    let all: Vec<&Candidate> =
        if sound.is_empty() { targets.iter().filter(fresh).collect() } else { sound };
    if all.iter().all(|choice| choice.0.slots > 0) {
        return by_slots(&all, zone, now_ms, seed).cloned();
    }
    let near: Vec<&Candidate> =
        all.iter().filter(|choice| choice.0.zone == zone).copied().collect();
    let far = emptier(&all, seed)?;
    let chosen = match emptier(&near, mix(seed)) {
        Some(near) if near.1.occupancy() <= far.1.occupancy() + ZONE_SLACK_REQUESTS => near,
        _ => far,
    };
    Some(chosen.clone())
}

/// The target with the most room, as far as this node knows: its own requests and the last reports.
fn by_slots<'c>(
    among: &[&'c Candidate],
    zone: &str,
    now_ms: u64,
    seed: u64,
) -> Option<&'c Candidate> {
    let told = among.iter().filter(|choice| choice.1.reported_ms.load(Relaxed) > 0);
    let (sum, count) = told
        .fold((0, 0), |(sum, count), choice| (sum + choice.1.reported.load(Relaxed), count + 1));
    let usual = if count == 0 { 0.0 } else { sum as f64 / count as f64 };
    let mut drawn = seed;
    let mut score = |choice: &Candidate| {
        drawn = mix(drawn);
        let chance = (drawn % 1_024) as f64 / 1_024.0 * RANDOM_TIE_MARGIN;
        let requests = choice.1.in_flight() as f64 + choice.1.others(now_ms, usual) + 1.0;
        let cold = if choice.0.warming_up { SLOW_START_FACTOR } else { 1.0 };
        let far = if choice.0.zone == zone { 0.0 } else { CROSS_ZONE_PENALTY };
        requests * cold / choice.0.slots as f64 + far + chance
    };
    let scored = among.iter().map(|choice| (score(choice), *choice));
    scored.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, choice)| choice)
}

fn emptier<'c>(among: &[&'c Candidate], seed: u64) -> Option<&'c Candidate> {
    let count = among.len() as u64;
    if count == 0 {
        return None;
    }
    let first = (mix(seed) % count) as usize;
    let second = (mix(seed ^ 0x5bd1_e995) % count) as usize;
    let (one, two) = (among[first], among[second]);
    Some(if two.1.occupancy() < one.1.occupancy() { two } else { one })
}
