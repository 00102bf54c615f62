use crate::book::Run;
use crate::client::{Kind, Told};
use crate::schedule::Asked;

const SHOWN: usize = 30;

pub fn print(asked: &Asked, runs: &[Run], violations: &[String]) {
    println!("{:.1} s, {} asks, {} runs", asked.seconds, asked.asks.len(), runs.len());
    for kind in [Kind::Lookup, Kind::Posting, Kind::Upload] {
        let asks: Vec<_> = asked.asks.iter().filter(|ask| ask.kind == kind).collect();
        let count = |told: Told| asks.iter().filter(|ask| ask.told.last() == Some(&told)).count();
        let took = asks.iter().filter(|ask| ask.told == [Told::Ran]).map(|ask| ask.took_ms);
        let goes: usize = asks.iter().map(|ask| ask.told.len()).sum();
        println!(
            "{kind:?}: {} asks in {goes} goes, {} ran, {} not run, {} unknown, {} pending, {} unreached; {}",
            asks.len(),
            count(Told::Ran),
            count(Told::NotRun),
            count(Told::Unknown),
            count(Told::Pending),
            count(Told::Unreached),
            percentiles(took.collect()),
        );
    }
    let sound = asked.calls.iter().filter(|done| done.sound).count();
    let took: Vec<f64> = asked.calls.iter().map(|done| done.took_ms()).collect();
    println!("Coordination: {} calls, {sound} answered; {}", asked.calls.len(), percentiles(took));
    let direct: Vec<f64> = asked.direct.iter().map(|ask| ask.took_ms).collect();
    if !direct.is_empty() {
        println!("Direct: {} lookups; {}", direct.len(), percentiles(direct));
    }
    println!("{} violations", violations.len());
    for violation in violations.iter().take(SHOWN) {
        println!("  {violation}");
    }
}

fn percentiles(mut took: Vec<f64>) -> String {
    took.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = ((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1));
        took.get(index).copied().unwrap_or(0.0)
    };
    format!("ms p50 {:.1} p90 {:.1} p99 {:.1} max {:.1}", at(0.5), at(0.9), at(0.99), at(1.0))
}
