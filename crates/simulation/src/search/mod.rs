//! Exhaustive search, breadth first, over every order of events that a model allows.

mod forwarded;
mod forwarded_log;
mod forwarded_rules;
mod forwarded_state;
mod request;
mod request_actions;
mod request_flow;
mod request_plan;
mod request_rules;
mod request_state;
mod request_wire;

pub use forwarded::{ForwardedAction, ForwardedCall, ForwardedCalls};
pub use forwarded_state::{ForwardedState, NUMBER};
pub use request::{Faults, Requests};
pub use request_actions::RequestAction;
pub use request_state::RequestState;
pub use request_wire::Kind;

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::rc::Rc;

/// A system whose every order of events is to be looked at.
pub trait Model {
    /// All that decides what may happen next; equal states are looked at once.
    type State: Clone + Eq + Hash;
    /// One event.
    type Action: Clone + Debug;

    /// Where every search begins.
    fn initial(&self) -> Self::State;
    /// All events that may be next.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// The state after an event.
    fn step(&self, state: &Self::State, action: &Self::Action) -> Self::State;
    /// What must hold in every state.
    ///
    /// # Errors
    /// What does not hold.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Events in a row.
    pub depth: usize,
    /// Different states in all.
    pub states: usize,
}

/// What a search looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Covered {
    /// Different states.
    pub states: usize,
    /// Events from the first state to the furthest.
    pub depth: usize,
    /// Every state in reach was looked at; no bound cut the search short.
    pub complete: bool,
}

/// A state in which something does not hold, and the shortest way to it.
#[derive(Debug)]
pub struct Counterexample<A> {
    /// What does not hold.
    pub violation: String,
    /// The events from the first state on.
    pub path: Vec<A>,
}

struct Node<M: Model> {
    state: Rc<M::State>,
    from: Option<(usize, M::Action)>,
    depth: usize,
}

/// Looks at every state in reach of the first, nearest first.
///
/// # Errors
/// The nearest state in which something does not hold.
pub fn search<M: Model>(model: &M, bounds: Bounds) -> Result<Covered, Counterexample<M::Action>> {
    let first = Rc::new(model.initial());
    let mut visited = HashSet::from([first.clone()]);
    let mut nodes: Vec<Node<M>> = vec![Node { state: first, from: None, depth: 0 }];
    let mut covered = Covered { states: 1, depth: 0, complete: true };
    let mut at = 0;
    while at < nodes.len() {
        let (state, depth) = (nodes[at].state.clone(), nodes[at].depth);
        covered.depth = depth;
        if let Err(violation) = model.check(&state) {
            return Err(Counterexample { violation, path: path_to(&nodes, at) });
        }
        for action in model.actions(&state) {
            let next = Rc::new(model.step(&state, &action));
            if visited.contains(&next) {
                continue;
            }
            if depth >= bounds.depth || nodes.len() >= bounds.states {
                covered.complete = false;
                continue;
            }
            visited.insert(next.clone());
            nodes.push(Node { state: next, from: Some((at, action)), depth: depth + 1 });
        }
        at += 1;
    }
    covered.states = nodes.len();
    Ok(covered)
}

fn path_to<M: Model>(nodes: &[Node<M>], mut at: usize) -> Vec<M::Action> {
    let mut path = Vec::new();
    while let Some((before, action)) = &nodes[at].from {
        path.push(action.clone());
        at = *before;
    }
    path.reverse();
    path
}
