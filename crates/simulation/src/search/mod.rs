//! Exhaustive search, breadth first, over every order of events that a model allows (bounded model
//! checking).

mod forwarded;
mod request;

pub use forwarded::{ForwardedAction, ForwardedCall, ForwardedCalls, ForwardedState, NUMBER};
pub use request::{Faults, Kind, RequestAction, RequestState, Requests};

use std::collections::HashSet;
use std::fmt::{Debug, Display, Formatter};
use std::hash::Hash;
use std::rc::Rc;

/// A system of which every order of events is explored.
pub trait Model {
    /// All that decides what may happen next; equal states are explored once.
    type State: Clone + Eq + Hash;
    /// One event.
    type Action: Clone + Debug;

    /// The initial state.
    fn initial(&self) -> Self::State;
    /// All events that are possible next.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// The state after an event.
    fn step(&self, state: &Self::State, action: &Self::Action) -> Self::State;
    /// Checks the invariants, which must hold in every state.
    ///
    /// # Errors
    /// The invariant that does not hold.
    fn check(&self, state: &Self::State) -> Result<(), Violation>;
}

/// An invariant that does not hold in some state, in words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(pub String);

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum events from the initial state.
    pub depth: usize,
    /// Maximum distinct states.
    pub states: usize,
}

/// What a search covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Covered {
    /// Distinct states.
    pub states: usize,
    /// Events from the initial state to the furthest.
    pub depth: usize,
    /// Every reachable state was explored; no bound ended the search early.
    pub complete: bool,
}

/// A state that violates an invariant, and a shortest path to it.
#[derive(Debug)]
pub struct Counterexample<A> {
    /// The invariant that does not hold.
    pub violation: Violation,
    /// The events from the initial state on.
    pub path: Vec<A>,
}

struct Node<M: Model> {
    state: Rc<M::State>,
    from: Option<(usize, M::Action)>,
    depth: usize,
}

/// Explores every state reachable from the initial one, nearest first.
///
/// # Errors
/// The nearest state that violates an invariant.
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
