//! Breadth-first search by the number of choices on a path. The arrival of a message in order is
//! not a choice; every other action is one. All states that take a number of choices are explored
//! before those that take one more, so the first path found that violates a property has the fewest
//! choices.

use crate::actions::{Action, Rules};
use crate::world::{Isolation, SentMessage, World};
use std::collections::HashSet;

pub struct Model {
    pub name: &'static str,
    pub rules: Rules,
    /// Largest number of choices on one path.
    pub choices: usize,
    /// Number of states after which the search stops and reports that it is incomplete.
    pub states: usize,
}

/// Factor of each model's bound on states, raised by hand for a search that takes longer.
pub const LARGER_STATES: usize = 1;
/// Index that stands for no step: the parent of a path's first step, and the last step of the
/// initial state.
const NO_STEP: usize = usize::MAX;

/// An action on a path.
struct Step {
    /// Index of the step before.
    parent: usize,
    description: String,
}

/// A state that the search has reached.
struct Reached {
    /// Index of the last step of the path to the state.
    last_step: usize,
    /// Number of steps on that path.
    steps: usize,
    world: World,
}

struct Search {
    fingerprints: HashSet<u64>,
    steps: Vec<Step>,
    /// Number of steps on the longest path.
    longest: usize,
    max_states: usize,
}

impl Model {
    pub fn search(&self, start: World) {
        let fingerprints = HashSet::from([start.fingerprint(self.rules.horizon_ms)]);
        let max_states = self.states * LARGER_STATES;
        let mut search = Search { fingerprints, steps: Vec::new(), longest: 0, max_states };
        let mut frontier = vec![Reached { last_step: NO_STEP, steps: 0, world: start }];
        let mut complete_choices = None;
        for choices in 0..=self.choices {
            frontier = self.explore_choice(frontier, &mut search);
            if search.is_full() || frontier.is_empty() {
                break;
            }
            complete_choices = Some(choices);
        }
        let end = match (search.is_full(), frontier.is_empty()) {
            (true, _) => "stopped at the bound on states",
            (_, true) => "all states within the bounds",
            _ => "all states within the bound on choices",
        };
        let Search { fingerprints, longest, .. } = search;
        let complete_choices = complete_choices.map_or(0, |choices| choices);
        println!(
            "{}: {} states, {complete_choices} choices complete, {longest} steps at most, {end}",
            self.name,
            fingerprints.len()
        );
    }

    /// Explores the states that these lead to without a choice, and returns those that take one
    /// more choice.
    fn explore_choice(&self, mut pending: Vec<Reached>, search: &mut Search) -> Vec<Reached> {
        let mut next = Vec::new();
        while let Some(reached) = pending.pop() {
            for action in reached.world.actions(&self.rules) {
                let Some(after) = self.step(&reached, &action, search) else { continue };
                match action.is_in_order_delivery() {
                    true => pending.push(after),
                    false => next.push(after),
                }
            }
            if search.is_full() {
                break;
            }
        }
        next
    }

    /// Returns the state after an action, or `None` if the search has reached it before.
    fn step(&self, from: &Reached, action: &Action, search: &mut Search) -> Option<Reached> {
        let world = match from.world.after(action) {
            Ok(world) => world,
            Err(violation) => self.fail(&violation, from, action, &search.steps),
        };
        if !search.fingerprints.insert(world.fingerprint(self.rules.horizon_ms)) {
            return None;
        }
        search
            .steps
            .push(Step { parent: from.last_step, description: describe(&from.world, action) });
        let steps = from.steps + 1;
        search.longest = search.longest.max(steps);
        Some(Reached { last_step: search.steps.len() - 1, steps, world })
    }

    /// Panics with the violated property and the path to the state.
    fn fail(&self, violation: &str, from: &Reached, action: &Action, steps: &[Step]) -> ! {
        let mut path = vec![describe(&from.world, action)];
        let mut last_step = from.last_step;
        while let Some(step) = steps.get(last_step) {
            path.push(step.description.clone());
            last_step = step.parent;
        }
        path.reverse();
        panic!("{}: {violation}, after {} steps:\n{}", self.name, path.len(), path.join("\n"));
    }
}

impl Search {
    fn is_full(&self) -> bool {
        self.fingerprints.len() >= self.max_states
    }
}

fn describe(world: &World, action: &Action) -> String {
    let id = |at: usize| world.machines[at].node.id();
    let text =
        |sent: &SentMessage| format!("{} to {}: {:?}", sent.from.id, sent.to.id, sent.message);
    let now_ms = world.now_ms;
    match *action {
        Action::Deliver => format!("{now_ms} deliver {}", text(&world.in_flight[0])),
        Action::Duplicate => format!("{now_ms} deliver twice {}", text(&world.in_flight[0])),
        Action::Delay => format!("{now_ms} delay {}", text(&world.in_flight[0])),
        Action::DeliverLate(at) => {
            format!("{now_ms} deliver late {}", text(&world.out_of_order[at]))
        }
        Action::Isolate(Isolation { at, paused: true }) => format!("{now_ms} pause {}", id(at)),
        Action::Isolate(Isolation { at, paused: false }) => format!("{now_ms} isolate {}", id(at)),
        Action::Rejoin => format!("{now_ms} end the isolation"),
        Action::Advance(step_ms) => format!("{now_ms} advance by {step_ms}"),
        Action::Tick(at)
        | Action::Sync(at)
        | Action::SlowDisk(at)
        | Action::Crash(at)
        | Action::LoseDisk(at)
        | Action::Propose(at)
        | Action::TransferLeadership(at)
        | Action::Compact(at)
        | Action::AddLearner(at, _) => format!("{now_ms} {action:?} of member {}", id(at)),
    }
}
