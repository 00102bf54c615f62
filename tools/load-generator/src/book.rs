use crate::client::{Ask, Kind, Told};
use std::collections::{BTreeMap, HashMap};
use std::io;

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub method: String,
    pub digest: String,
    pub target: String,
}

const GREEDY: &str = "greedy-";

pub struct Budget {
    pub seconds: f64,
    pub allowance: f64,
    /// Goes of clients that the book does not follow one by one.
    pub greedy: usize,
}

pub fn read_runs(folder: &str) -> io::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for file in std::fs::read_dir(folder)? {
        let text = std::fs::read_to_string(file?.path())?;
        for line in text.lines() {
            let parts: Vec<&str> = line.split(' ').collect();
            if let [id, instance, method, digest, target, _at_ms] = parts[..] {
                runs.push(Run {
                    id: id.into(),
                    instance: instance.into(),
                    method: method.into(),
                    digest: digest.into(),
                    target: target.into(),
                });
            }
        }
    }
    Ok(runs)
}

/// Compares what clients asked and were told with what targets ran.
pub fn check(asks: &[Ask], runs: &[Run], budget: &Budget) -> Vec<String> {
    let mut violations = Vec::new();
    let known: HashMap<&str, &Ask> = asks.iter().map(|ask| (ask.id.as_str(), ask)).collect();
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    let counted_elsewhere =
        |run: &Run| run.id.starts_with(GREEDY) || run.id.starts_with(crate::leavers::PREFIX);
    let known_runs = runs.iter().filter(|run| !counted_elsewhere(run));
    for run in known_runs {
        by_id.entry(run.id.as_str()).or_default().push(run);
        let Some(ask) = known.get(run.id.as_str()) else {
            violations.push(format!("{} ran {}, which no client sent", run.instance, run.id));
            continue;
        };
        if run.digest != ask.digest || run.method != ask.method || run.target != ask.target {
            violations.push(format!("{} ran {} altered", run.instance, run.id));
        }
        let service = run.instance.split('-').next().unwrap_or_default();
        if service != service_of(ask.kind) {
            violations.push(format!("{} ran {}, of another service", run.instance, run.id));
        }
    }
    for ask in asks {
        let ran = by_id.get(ask.id.as_str()).map_or(&[][..], |runs| runs.as_slice());
        if ask.kind != Kind::Lookup && ran.len() > 1 {
            let where_: Vec<&str> = ran.iter().map(|run| run.instance.as_str()).collect();
            violations.push(format!("{} ran {} times: {}", ask.id, ran.len(), where_.join(", ")));
        }
        let not_run = match ask.kind {
            Kind::Lookup => ask.told.iter().all(|told| *told == Told::NotRun),
            _ => matches!(ask.told.last(), Some(Told::NotRun)),
        };
        if not_run && !ask.told.is_empty() && !ran.is_empty() {
            violations.push(format!("{} was told not run, but {} ran it", ask.id, ran[0].instance));
        }
        if ask.told.contains(&Told::Ran) && ran.is_empty() {
            violations.push(format!("{} was told a success no target gave", ask.id));
        }
        if let Some(wrong) = &ask.wrong {
            violations.push(format!("{}: {wrong}", ask.id));
        }
    }
    let greedy = runs.iter().filter(|run| run.id.starts_with(GREEDY)).count();
    violations.extend(over_budget(asks, &by_id, greedy, budget));
    violations
}

fn over_budget(
    asks: &[Ask],
    by_id: &HashMap<&str, Vec<&Run>>,
    greedy: usize,
    budget: &Budget,
) -> Vec<String> {
    let mut counts: BTreeMap<Kind, (usize, usize)> = BTreeMap::new();
    for ask in asks {
        let ran = by_id.get(ask.id.as_str()).map_or(0, Vec::len);
        let count = counts.entry(ask.kind).or_default();
        count.0 += ask.told.len();
        count.1 += ran.saturating_sub(ask.told.len());
    }
    let lookups = counts.entry(Kind::Lookup).or_default();
    lookups.0 += budget.greedy;
    lookups.1 += greedy.saturating_sub(budget.greedy);
    println!("Extra tries beyond asks at targets: {counts:?}");
    let over = counts.into_iter().filter_map(|(kind, (asked, extra))| {
        let most = asked as f64 / 5.0 + budget.allowance * budget.seconds;
        (extra as f64 > most)
            .then(|| format!("{kind:?}: {extra} extra tries for {asked} asks, over {most:.0}"))
    });
    over.collect()
}

pub fn service_of(kind: Kind) -> &'static str {
    match kind {
        Kind::Lookup => "catalogue",
        Kind::Posting => "ledger",
        Kind::Upload => "photos",
    }
}

#[cfg(test)]
mod tests;
