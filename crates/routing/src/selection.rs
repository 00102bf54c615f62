//! Selection: which target gets the next attempt of a request.
//!
//! 1. Targets that this request has already tried are excluded.
//! 2. Ejected targets are excluded, unless all remaining targets are ejected.
//! 3. If all remaining targets report their slots, the one with the lowest score is selected:
//!    `(own + others + 1) * slow start / slots + zone + random`.
//!    `own` and `others` are the requests in flight of this node and of the other nodes. A target
//!    that is warming up counts [`SLOW_START_FACTOR`] times as loaded (2.0). Another zone costs
//!    [`CROSS_ZONE_PENALTY`] of the slots (0.1). `random` is drawn below [`RANDOM_TIE_MARGIN`]
//!    (0.1), so that nodes with the same reports do not all select the same target.
//! 4. Otherwise two targets are drawn and the one with fewer requests in flight is selected (the
//!    power of two choices: Mitzenmacher, 2001). This is done among the targets of the node's zone
//!    and among all targets. The target of the node's zone is selected, since a request within its
//!    zone is faster, unless the other one has more than [`ZONE_SLACK_REQUESTS`] (4) fewer requests
//!    in flight.

use crate::{Load, mix};
use postbarrow_constants::traffic::{
    CROSS_ZONE_PENALTY, RANDOM_TIE_MARGIN, SLOW_START_FACTOR, ZONE_SLACK_REQUESTS,
};
use postbarrow_state::{Name, Target};
use std::sync::Arc;

/// A target that a request may go to, with its load.
pub type Candidate = (Arc<Target>, Arc<Load>);

/// Changes the seed for the second of two draws, so that it is independent of the first.
const SECOND_DRAW: u64 = 0x5bd1_e995;

/// Selects the target for the next attempt of a request at a node in this zone; none if all were
/// tried.
pub fn select_target(
    targets: &[Candidate],
    zone: &str,
    tried: &[Name],
    now_ms: u64,
    seed: u64,
) -> Option<Candidate> {
    let candidates = eligible(targets, tried, now_ms);
    if candidates.iter().all(|(target, _)| target.slots > 0) {
        return lowest_score(&candidates, zone, now_ms, seed).cloned();
    }
    let in_zone: Vec<&Candidate> =
        candidates.iter().filter(|(target, _)| target.zone == zone).copied().collect();
    let in_any_zone = less_loaded_of_two(&candidates, seed)?;
    let selected = match less_loaded_of_two(&in_zone, mix(seed)) {
        Some(in_own_zone)
            if in_own_zone.1.total_in_flight()
                <= in_any_zone.1.total_in_flight() + ZONE_SLACK_REQUESTS =>
        {
            in_own_zone
        }
        _ => in_any_zone,
    };
    Some(selected.clone())
}

/// Returns the targets that were not tried yet, without the ejected ones unless all are ejected.
fn eligible<'c>(targets: &'c [Candidate], tried: &[Name], now_ms: u64) -> Vec<&'c Candidate> {
    let is_untried = |candidate: &&Candidate| !tried.contains(&candidate.0.instance);
    let healthy: Vec<&Candidate> = targets
        .iter()
        .filter(is_untried)
        .filter(|candidate| !candidate.1.is_ejected(now_ms))
        .collect();
    if healthy.is_empty() { targets.iter().filter(is_untried).collect() } else { healthy }
}

/// Returns the target with the lowest score; one random number is drawn for each target, in order.
fn lowest_score<'c>(
    candidates: &[&'c Candidate],
    zone: &str,
    now_ms: u64,
    seed: u64,
) -> Option<&'c Candidate> {
    let mean = mean_report(candidates);
    let mut random = seed;
    let mut score = |(target, load): &Candidate| {
        random = mix(random);
        let random_margin = (random % 1_024) as f64 / 1_024.0 * RANDOM_TIE_MARGIN;
        let requests = load.in_flight() as f64 + load.others_in_flight(now_ms, mean) + 1.0;
        let slow_start = if target.warming_up { SLOW_START_FACTOR } else { 1.0 };
        let zone_penalty = if target.zone == zone { 0.0 } else { CROSS_ZONE_PENALTY };
        requests * slow_start / target.slots as f64 + zone_penalty + random_margin
    };
    let scored = candidates.iter().map(|candidate| (score(candidate), *candidate));
    scored.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, candidate)| candidate)
}

/// Returns the mean of the last reports of the candidates; 0 if none has reported.
fn mean_report(candidates: &[&Candidate]) -> f64 {
    let reports = candidates.iter().filter_map(|candidate| candidate.1.last_report());
    let (sum, count) = reports.fold((0, 0), |(sum, count), report| (sum + report, count + 1));
    if count == 0 { 0.0 } else { sum as f64 / count as f64 }
}

/// Draws two candidates and returns the one with fewer requests in flight; the first one drawn if
/// they have the same number.
fn less_loaded_of_two<'c>(candidates: &[&'c Candidate], seed: u64) -> Option<&'c Candidate> {
    let count = candidates.len() as u64;
    if count == 0 {
        return None;
    }
    let first = candidates[(mix(seed) % count) as usize];
    let second = candidates[(mix(seed ^ SECOND_DRAW) % count) as usize];
    Some(if second.1.total_in_flight() < first.1.total_in_flight() { second } else { first })
}
