//! Measures how many recent requests a plan would affect, and compares the numbers with the bounds
//! that the operator set.

use crate::client_handler::ClientRequest;
use postbarrow_messages::{Request, Response};
use postbarrow_plan::Plan;
use postbarrow_routing::{RecentRequests, Traffic};

/// The controller did not respond. That says nothing about the plan, so the plan must not be
/// refused for it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("no controller responded")]
pub struct NoControllerResponse;

/// Bounds in a submission's query that are not whole numbers.
#[derive(Debug, PartialEq, Eq)]
pub struct BoundsError {
    parameters: Vec<&'static str>,
}

impl std::error::Error for BoundsError {}

impl std::fmt::Display for BoundsError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        for (index, parameter) in self.parameters.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(out, "{separator}{parameter} must be a whole number")?;
        }
        Ok(())
    }
}

/// The largest numbers of recent requests that a submission may affect. A bound of none allows any
/// number.
#[derive(Default)]
pub struct TrafficBounds {
    max_lost: Option<u64>,
    max_changed: Option<u64>,
    max_limited: Option<u64>,
}

impl TrafficBounds {
    /// Reads the bounds from a request's query.
    ///
    /// # Errors
    /// At least one bound is not a whole number; the error names all of these.
    pub fn read(request: &ClientRequest<'_>) -> Result<TrafficBounds, BoundsError> {
        let mut parameters = Vec::new();
        let mut read_bound = |parameter: &'static str| {
            let text = request.query(parameter)?;
            let number = text.parse().ok();
            if number.is_none() {
                parameters.push(parameter);
            }
            number
        };
        let bounds = TrafficBounds {
            max_lost: read_bound("most-lost"),
            max_changed: read_bound("most-changed"),
            max_limited: read_bound("most-limited"),
        };
        if parameters.is_empty() { Ok(bounds) } else { Err(BoundsError { parameters }) }
    }

    /// Returns whether the submission sets at least one bound.
    pub fn is_bounded(&self) -> bool {
        self.max_lost.or(self.max_changed).or(self.max_limited).is_some()
    }

    /// Returns a message for each bound that the traffic exceeds, and one if the submission sets
    /// bounds but no request could be compared.
    pub fn exceeded(&self, traffic: &Traffic) -> Vec<String> {
        let rows = [
            ("lose their route", self.max_lost, traffic.lose_route),
            ("change service, targets or kind", self.max_changed, traffic.changed),
            ("break a limit", self.max_limited, traffic.limited),
        ];
        let mut exceeded: Vec<String> = rows
            .iter()
            .filter_map(|(change, max, found)| {
                let max = (*max)?;
                (*found > max).then(|| format!("{found} recent asks would {change}, {max} allowed"))
            })
            .collect();
        if self.is_bounded() && traffic.compared == 0 && !traffic.missing.is_empty() {
            exceeded.push(format!("nothing to measure by: {}", traffic.missing.join("; ")));
        }
        exceeded
    }
}

/// Routes the recent requests by the plan in force and by this one, and compares the results. Runs
/// on the client's thread, before a Begin record is written for the submission.
///
/// # Errors
/// The controller did not respond.
pub fn measure_traffic(
    plan: &Plan,
    send: &dyn Fn(Request) -> Response,
) -> Result<Traffic, NoControllerResponse> {
    let Response::RequestSamples { samples, seen, seconds } = send(Request::RequestSamples) else {
        return Err(NoControllerResponse);
    };
    let text = match send(Request::Show) {
        Response::Plan { text, .. } => text,
        Response::TimedOut | Response::Unavailable => return Err(NoControllerResponse),
        _ => return Ok(Traffic::unknown("no plan is in force to compare with")),
    };
    Ok(match Plan::read(&text) {
        Ok(in_force) => {
            Traffic::compare(&in_force, plan, &RecentRequests { samples, observed: seen, seconds })
        }
        Err(_) => Traffic::unknown("the plan in force can't be read by this version"),
    })
}
