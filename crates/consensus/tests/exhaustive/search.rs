//! Search by the number of choices: a message that arrives in order is none, all else is one.
//! All states of so many choices come before any of one more, so the first path that breaks a
//! property is one of the fewest choices.

use crate::actions::{Action, Rules};
use crate::world::{Flight, Isolation, World};
use std::collections::HashSet;

pub struct Model {
    pub name: &'static str,
    pub rules: Rules,
    /// Choices on one path.
    pub choices: usize,
    /// The search stops at so many states, and reports that it did.
    pub states: usize,
}

/// Raised by hand for a search that takes longer: multiplies the bound on states.
pub const LARGER_STATES: usize = 1;
const START: usize = usize::MAX;

struct Step {
    parent: usize,
    description: String,
}

struct Reached {
    at: usize,
    steps: usize,
    world: World,
}

struct Search {
    fingerprints: HashSet<u64>,
    steps: Vec<Step>,
    longest: usize,
    max_states: usize,
}

impl Model {
    pub fn search(&self, start: World) {
        let fingerprints = HashSet::from([start.fingerprint(self.rules.horizon_ms)]);
        let max_states = self.states * LARGER_STATES;
        let mut search = Search { fingerprints, steps: Vec::new(), longest: 0, max_states };
        let mut frontier = vec![Reached { at: START, steps: 0, world: start }];
        let mut complete_choices = None;
        for choices in 0..=self.choices {
            frontier = self.one_more_choice(frontier, &mut search);
            if search.is_full() || frontier.is_empty() {
                break;
            }
            complete_choices = Some(choices);
        }
        let end = match (search.is_full(), frontier.is_empty()) {
            (true, _) => "cut short",
            (_, true) => "all states within the bounds",
            _ => "all states of so many choices",
        };
        let Search { fingerprints, longest, .. } = search;
        let complete_choices = complete_choices.map_or(0, |choices| choices);
        println!(
            "{}: {} states, {complete_choices} choices whole, longest path {longest} steps, {end}",
            self.name,
            fingerprints.len()
        );
    }

    /// Explores what needs no choice from these states, and returns the states one more choice away.
    fn one_more_choice(&self, mut pending: Vec<Reached>, search: &mut Search) -> Vec<Reached> {
        let mut next = Vec::new();
        while let Some(reached) = pending.pop() {
            for action in reached.world.actions(&self.rules) {
                let Some(after) = self.step(&reached, &action, search) else { continue };
                match action.is_expected() {
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

    fn step(&self, from: &Reached, action: &Action, search: &mut Search) -> Option<Reached> {
        let world = match from.world.after(action) {
            Ok(world) => world,
            Err(fault) => self.fail(&fault, from, action, &search.steps),
        };
        if !search.fingerprints.insert(world.fingerprint(self.rules.horizon_ms)) {
            return None;
        }
        search.steps.push(Step { parent: from.at, description: describe(&from.world, action) });
        let steps = from.steps + 1;
        search.longest = search.longest.max(steps);
        Some(Reached { at: search.steps.len() - 1, steps, world })
    }

    fn fail(&self, fault: &str, from: &Reached, action: &Action, steps: &[Step]) -> ! {
        let mut path = vec![describe(&from.world, action)];
        let mut at = from.at;
        while let Some(step) = steps.get(at) {
            path.push(step.description.clone());
            at = step.parent;
        }
        path.reverse();
        panic!("{}: {fault}, after {} steps:\n{}", self.name, path.len(), path.join("\n"));
    }
}

impl Search {
    fn is_full(&self) -> bool {
        self.fingerprints.len() >= self.max_states
    }
}

fn describe(world: &World, action: &Action) -> String {
    let id = |at: usize| world.machines[at].node.id();
    let flight = |one: &Flight| format!("{} to {}: {:?}", one.from.id, one.to.id, one.message);
    let now_ms = world.now_ms;
    match *action {
        Action::Deliver => format!("{now_ms} deliver {}", flight(&world.in_flight[0])),
        Action::Duplicate => format!("{now_ms} deliver and repeat {}", flight(&world.in_flight[0])),
        Action::Delay => format!("{now_ms} delay {}", flight(&world.in_flight[0])),
        Action::DeliverLate(at) => {
            format!("{now_ms} deliver late {}", flight(&world.out_of_turn[at]))
        }
        Action::Isolate(Isolation { at, paused: true }) => format!("{now_ms} pause {}", id(at)),
        Action::Isolate(Isolation { at, paused: false }) => format!("{now_ms} cut off {}", id(at)),
        Action::Rejoin => format!("{now_ms} all reach each other again"),
        Action::Advance(step_ms) => format!("{now_ms} advance by {step_ms}"),
        Action::Tick(at)
        | Action::Sync(at)
        | Action::SlowDisk(at)
        | Action::Crash(at)
        | Action::LoseDisk(at)
        | Action::Propose(at)
        | Action::TransferLeadership(at)
        | Action::Compact(at)
        | Action::Learner(at, _) => format!("{now_ms} {action:?} of member {}", id(at)),
    }
}
