//! A watch on all keys, and the check that it neither misses nor repeats a revision.

use crate::client::new_agent;
use crate::coordination_calls::{CallResult, CompletedCall};
use crate::nodes::Nodes;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The revisions that the watch received, where it started, and whether the gateway ended it.
#[derive(Default)]
pub struct WatchedRevisions {
    /// The revisions in the order of their arrival.
    pub revisions: Vec<u64>,
    /// The revision after which the watch must receive every put.
    pub from: u64,
    /// Whether the gateway refused to continue the watch, since it no longer retains the revisions
    /// that follow the watch's position.
    pub too_old: bool,
}

/// Starts a thread that watches all keys until the run has ended, polling one node after another.
pub fn start(nodes: &Arc<Nodes>, run_ended: &Arc<AtomicBool>) -> JoinHandle<WatchedRevisions> {
    let (nodes, run_ended) = (nodes.clone(), run_ended.clone());
    thread::spawn(move || {
        let mut watched = WatchedRevisions::default();
        let mut after: Option<u64> = None;
        let agent = new_agent();
        let mut poll = 0;
        while !run_ended.load(Relaxed) {
            poll += 1;
            let Some(node) = nodes.pick(poll) else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let query = after.map_or(String::new(), |after| format!("?after={after}"));
            let url = format!("http://{node}/coordination/watch/keys{query}");
            let request = agent.get(url).config().timeout_global(Some(Duration::from_secs(2)));
            let Ok(mut response) = request.build().call() else { continue };
            if response.status() == 410 {
                watched.too_old = true;
                return watched;
            }
            let Ok(text) = response.body_mut().with_config().limit(16 << 20).read_to_string()
            else {
                continue;
            };
            if response.status() != 200 {
                thread::sleep(Duration::from_millis(50));
                continue;
            }
            watched.revisions.extend(numbers(&text, "revision"));
            if let Some(next) = numbers(&text, "next").first() {
                if after.is_none() {
                    watched.from = *next;
                }
                after = Some(*next);
            }
        }
        watched
    })
}

/// Returns the numbers in all fields of this name, in their order.
fn numbers(json: &str, field: &str) -> Vec<u64> {
    let start = format!("\"{field}\":");
    json.split(start.as_str())
        .skip(1)
        .filter_map(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
        .collect()
}

/// Returns the violations of these guarantees: received revisions increase without repeats, and no
/// acknowledged put is missing.
pub fn check(watched: &WatchedRevisions, calls: &[CompletedCall]) -> Vec<String> {
    let mut violations = Vec::new();
    if watched.too_old {
        violations
            .push("the gateway refused to continue the watch: its position is too old".to_string());
    }
    if watched.revisions.windows(2).any(|pair| pair[0] >= pair[1]) {
        violations.push("the watch received a revision twice or out of order".to_string());
    }
    let received: BTreeSet<u64> = watched.revisions.iter().copied().collect();
    for call in calls {
        if let CallResult::Put { revision, .. } = call.result
            && revision > watched.from
            && !received.contains(&revision)
        {
            violations.push(format!("the watch never received revision {revision}"));
        }
    }
    violations
}

#[cfg(test)]
mod tests;
