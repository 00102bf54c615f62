//! Which recent requests a plan would change, and how many of them its operator allows.

use crate::client_handler::ClientRequest;
use postbarrow_messages::{Request, Response};
use postbarrow_plan::Plan;
use postbarrow_routing::{RecentRequests, Traffic};

/// The controller did not respond, which says nothing about the plan and must not refuse it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("no controller responded")]
pub struct NoControllerResponse;

/// Bounds of a submission's query that are no whole numbers.
#[derive(Debug, PartialEq, Eq)]
pub struct BoundsError {
    parameters: Vec<&'static str>,
}

impl std::error::Error for BoundsError {}

impl std::fmt::Display for BoundsError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        for (at, parameter) in self.parameters.iter().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            write!(out, "{separator}{parameter} must be a whole number")?;
        }
        Ok(())
    }
}

/// The largest numbers of recent requests that a submission may change; none allows any number.
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
    /// All bounds that are no whole numbers.
    pub fn read(request: &ClientRequest<'_>) -> Result<TrafficBounds, BoundsError> {
        let mut parameters = Vec::new();
        let mut take = |parameter: &'static str| {
            let text = request.query(parameter)?;
            let number = text.parse().ok();
            if number.is_none() {
                parameters.push(parameter);
            }
            number
        };
        let bounds = TrafficBounds {
            max_lost: take("most-lost"),
            max_changed: take("most-changed"),
            max_limited: take("most-limited"),
        };
        if parameters.is_empty() { Ok(bounds) } else { Err(BoundsError { parameters }) }
    }

    /// Whether the submission bounds anything.
    pub fn is_bounded(&self) -> bool {
        self.max_lost.or(self.max_changed).or(self.max_limited).is_some()
    }

    /// The bounds that this traffic exceeds; a sample that compares nothing exceeds any.
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

/// Runs the recent requests through the plan in force and through this one, on the client's own
/// thread and before any Begin record.
///
/// # Errors
/// The controller did not respond.
pub fn traffic(
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
            Traffic::of(&in_force, plan, &RecentRequests { samples, observed: seen, seconds })
        }
        Err(_) => Traffic::unknown("the plan in force can't be read by this version"),
    })
}
