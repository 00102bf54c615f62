//! Breadth-first search: every state of a depth before any of the next, so the first path that
//! breaks a property is a shortest one.

use crate::actions::{Action, Rules};
use crate::world::World;
use std::collections::HashSet;

pub struct Model {
    pub name: &'static str,
    pub rules: Rules,
    pub depth: usize,
    /// The search of the last depth stops short at so many states, and says so.
    pub states: usize,
}

/// Raised by hand for a search that takes longer: multiplies the bound on states, and adds depth.
pub const LARGER_STATES: usize = 1;
pub const LARGER_DEPTH: usize = 0;

struct Step {
    parent: usize,
    said: String,
}

impl Model {
    pub fn search(&self, start: World) {
        let mut seen = HashSet::from([start.fingerprint(self.rules.horizon_ms)]);
        let mut steps: Vec<Step> = Vec::new();
        let mut frontier = vec![(usize::MAX, start)];
        let most = self.states * LARGER_STATES;
        let mut depth = 0;
        let mut whole = 0;
        while depth < self.depth + LARGER_DEPTH && !frontier.is_empty() && seen.len() < most {
            depth += 1;
            frontier = self.next_depth(&frontier, &mut seen, &mut steps, most);
            if seen.len() < most {
                whole = depth;
            }
        }
        let rest = if frontier.is_empty() { "all states" } else { "bounded" };
        println!(
            "{}: {} states, depth {whole} whole, {depth} begun, {rest}",
            self.name,
            seen.len()
        );
    }

    fn next_depth(
        &self,
        frontier: &[(usize, World)],
        seen: &mut HashSet<u64>,
        steps: &mut Vec<Step>,
        most: usize,
    ) -> Vec<(usize, World)> {
        let mut next = Vec::new();
        for (parent, world) in frontier {
            for action in world.actions(&self.rules) {
                let after = match world.after(&action, &self.rules) {
                    Ok(after) => after,
                    Err(fault) => self.fail(&fault, *parent, world, &action, steps),
                };
                if !seen.insert(after.fingerprint(self.rules.horizon_ms)) {
                    continue;
                }
                steps.push(Step { parent: *parent, said: describe(world, &action) });
                next.push((steps.len() - 1, after));
                if seen.len() >= most {
                    return next;
                }
            }
        }
        next
    }

    fn fail(&self, fault: &str, at: usize, world: &World, action: &Action, steps: &[Step]) -> ! {
        let mut path = vec![describe(world, action)];
        let mut at = at;
        while let Some(step) = steps.get(at) {
            path.push(step.said.clone());
            at = step.parent;
        }
        path.reverse();
        panic!("{}: {fault}, after {} steps:\n{}", self.name, path.len(), path.join("\n"));
    }
}

fn describe(world: &World, action: &Action) -> String {
    let id = |at: usize| world.machines[at].node.id();
    let flight = |at: usize| {
        let one = &world.flights[at];
        format!("{} to {}: {:?}", one.from.id, one.to.id, one.message)
    };
    let now_ms = world.now_ms;
    match *action {
        Action::Deliver(at) => format!("{now_ms} deliver {}", flight(at)),
        Action::Duplicate(at) => format!("{now_ms} deliver and keep {}", flight(at)),
        Action::Advance(step_ms) => format!("{now_ms} advance by {step_ms}"),
        Action::Pulse(at)
        | Action::Sync(at)
        | Action::Crash(at)
        | Action::LoseDisk(at)
        | Action::Propose(at)
        | Action::HandOver(at)
        | Action::Compact(at)
        | Action::Learner(at, _) => format!("{now_ms} {action:?} of member {}", id(at)),
    }
}
