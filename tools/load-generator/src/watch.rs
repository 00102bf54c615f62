use crate::calls::{Done, What};
use crate::client::agent;
use crate::nodes::Nodes;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What a watch on all keys was told, in order.
#[derive(Default)]
pub struct Told {
    pub revisions: Vec<u64>,
    pub from: u64,
    pub too_old: bool,
}

pub fn start(nodes: &Arc<Nodes>, ended: &Arc<AtomicBool>) -> JoinHandle<Told> {
    let (nodes, ended) = (nodes.clone(), ended.clone());
    thread::spawn(move || {
        let mut told = Told::default();
        let mut after: Option<u64> = None;
        let agent = agent();
        let mut turn = 0;
        while !ended.load(Relaxed) {
            turn += 1;
            let Some(node) = nodes.pick(turn) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let query = after.map_or(String::new(), |after| format!("?after={after}"));
            let url = format!("http://{node}/coordination/watch/keys{query}");
            let request = agent.get(url).config().timeout_global(Some(Duration::from_secs(2)));
            let Ok(mut response) = request.build().call() else { continue };
            if response.status() == 410 {
                told.too_old = true;
                return told;
            }
            let Ok(text) = response.body_mut().with_config().limit(16 << 20).read_to_string()
            else {
                continue;
            };
            if response.status() != 200 {
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            let numbers = |field: &str| -> Vec<u64> {
                let mark = format!("\"{field}\":");
                text.split(mark.as_str())
                    .skip(1)
                    .filter_map(|part| {
                        part.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
                    })
                    .collect()
            };
            told.revisions.extend(numbers("revision"));
            if let Some(next) = numbers("next").first() {
                if after.is_none() {
                    told.from = *next;
                }
                after = Some(*next);
            }
        }
        told
    })
}

/// Revisions rise without repeats, and no acknowledged put is missing.
pub fn check(told: &Told, calls: &[Done]) -> Vec<String> {
    let mut violations = Vec::new();
    if told.too_old {
        violations.push("the watch was told too old while it followed".to_string());
    }
    if told.revisions.windows(2).any(|pair| pair[0] >= pair[1]) {
        violations.push("the watch was told a revision twice or out of order".to_string());
    }
    let seen: BTreeSet<u64> = told.revisions.iter().copied().collect();
    for done in calls {
        if let What::Put { left, .. } = done.what
            && left > told.from
            && !seen.contains(&left)
        {
            violations.push(format!("the watch was never told of revision {left}"));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
