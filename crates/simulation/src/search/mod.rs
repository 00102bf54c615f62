//! Bounded model checking: an exhaustive breadth-first search over every order of events that a
//! model allows.

mod forwarded;
mod request;

pub use forwarded::{
    DepartingCaller, ForwardedAction, ForwardedCall, ForwardedCalls, ForwardedState, NUMBER,
};
pub use request::{Faults, Kind, RequestAction, RequestState, Requests};

use std::collections::HashSet;
use std::fmt::{Debug, Display, Formatter};
use std::hash::Hash;
use std::rc::Rc;

/// A system of which every order of events is explored.
pub trait Model {
    /// A state of the system, with everything that determines the events possible from it. Equal
    /// states are explored once.
    type State: Clone + Eq + Hash;
    /// One event, which changes the state.
    type Action: Clone + Debug;

    /// Returns the state in which the search begins.
    fn initial(&self) -> Self::State;
    /// Returns all events that are possible in this state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// Returns the state that an event leads to from this state.
    fn step(&self, state: &Self::State, action: &Self::Action) -> Self::State;
    /// Checks the invariants, which must hold in every state.
    ///
    /// # Errors
    /// Returns the first invariant found that this state violates.
    fn check(&self, state: &Self::State) -> Result<(), Violation>;
}

/// A description of an invariant that a state violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation(pub String);

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The limits of a search; it omits states beyond them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of events on a path from the initial state.
    pub depth: usize,
    /// Maximum number of distinct states.
    pub states: usize,
}

/// The extent of a search that found no violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Number of distinct states that were explored.
    pub states: usize,
    /// Number of events on the shortest path to the most distant explored state.
    pub depth: usize,
    /// Whether every reachable state was explored, i.e. no limit was reached.
    pub complete: bool,
}

/// A state that violates an invariant, and a shortest path to it.
#[derive(Debug)]
pub struct Counterexample<A> {
    /// The violated invariant.
    pub violation: Violation,
    /// The events from the initial state to the violating state, in order.
    pub path: Vec<A>,
}

struct SearchNode<M: Model> {
    state: Rc<M::State>,
    /// The index of the preceding node and the event that led from it; `None` for the initial
    /// state.
    parent: Option<(usize, M::Action)>,
    depth: usize,
}

/// Explores every state that is reachable from the initial state within the bounds, in the order of
/// their distance from it.
///
/// # Errors
/// Returns a state that violates an invariant and is nearest to the initial state.
pub fn search<M: Model>(model: &M, bounds: Bounds) -> Result<Coverage, Counterexample<M::Action>> {
    let initial = Rc::new(model.initial());
    let mut visited = HashSet::from([initial.clone()]);
    let mut nodes: Vec<SearchNode<M>> = vec![SearchNode { state: initial, parent: None, depth: 0 }];
    let mut coverage = Coverage { states: 1, depth: 0, complete: true };
    let mut index = 0;
    while index < nodes.len() {
        let (state, depth) = (nodes[index].state.clone(), nodes[index].depth);
        coverage.depth = depth;
        if let Err(violation) = model.check(&state) {
            return Err(Counterexample { violation, path: path_to(&nodes, index) });
        }
        for action in model.actions(&state) {
            let next = Rc::new(model.step(&state, &action));
            if visited.contains(&next) {
                continue;
            }
            if depth >= bounds.depth || nodes.len() >= bounds.states {
                coverage.complete = false;
                continue;
            }
            visited.insert(next.clone());
            nodes.push(SearchNode { state: next, parent: Some((index, action)), depth: depth + 1 });
        }
        index += 1;
    }
    coverage.states = nodes.len();
    Ok(coverage)
}

/// Returns the events on the path from the initial state to the node at `index`.
fn path_to<M: Model>(nodes: &[SearchNode<M>], mut index: usize) -> Vec<M::Action> {
    let mut path = Vec::new();
    while let Some((parent, action)) = &nodes[index].parent {
        path.push(action.clone());
        index = *parent;
    }
    path.reverse();
    path
}
