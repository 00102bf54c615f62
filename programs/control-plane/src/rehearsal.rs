//! What a plan would change for recent requests, and how much of that its operator allows.

use crate::listener::ClientRequest;
use postbarrow_messages::{Request, Response};
use postbarrow_plan::Plan;
use postbarrow_routing::{RecentRequests, Traffic};

/// No controller told what recent requests would meet.
#[derive(Debug, PartialEq, Eq)]
pub struct NoControllerResponse;

/// The most that a submission allows of the recent asks that it would change.
#[derive(Default)]
pub struct TrafficBounds {
    lost: Option<u64>,
    changed: Option<u64>,
    limited: Option<u64>,
}

impl TrafficBounds {
    /// Reads the bounds from a request's query.
    ///
    /// # Errors
    /// Every bound that is no whole number.
    pub fn read(request: &ClientRequest<'_>) -> Result<TrafficBounds, Vec<String>> {
        let mut findings = Vec::new();
        let mut take = |name: &str| {
            let text = request.query(name)?;
            let number = text.parse().ok();
            if number.is_none() {
                findings.push(format!("{name} must be a whole number"));
            }
            number
        };
        let allowed = TrafficBounds {
            lost: take("most-lost"),
            changed: take("most-changed"),
            limited: take("most-limited"),
        };
        if findings.is_empty() { Ok(allowed) } else { Err(findings) }
    }

    /// Whether the submission allows only so much of anything.
    pub fn is_bounded(&self) -> bool {
        self.lost.or(self.changed).or(self.limited).is_some()
    }

    /// What is over the most allowed; a sample that can't tell is over any.
    pub fn over(&self, traffic: &Traffic) -> Vec<String> {
        let rows = [
            ("lose their route", self.lost, traffic.lose_route),
            ("change service, targets or kind", self.changed, traffic.changed),
            ("break a limit", self.limited, traffic.limited),
        ];
        let mut over: Vec<String> = rows
            .iter()
            .filter_map(|(what, most, found)| {
                let most = (*most)?;
                (*found > most).then(|| format!("{found} recent asks would {what}, {most} allowed"))
            })
            .collect();
        if self.is_bounded() && traffic.compared == 0 && !traffic.missing.is_empty() {
            over.push(format!("nothing to measure by: {}", traffic.missing.join("; ")));
        }
        over
    }
}

/// Recent requests through the plan in force and this one: on the door's own thread, before any
/// Begin.
///
/// # Errors
/// No controller answered: that says nothing of the plan, and must not refuse it.
pub fn traffic(
    plan: &Plan,
    ask: &dyn Fn(Request) -> Response,
) -> Result<Traffic, NoControllerResponse> {
    let Response::RequestSamples { samples, seen, seconds } = ask(Request::RequestSamples) else {
        return Err(NoControllerResponse);
    };
    let text = match ask(Request::Show) {
        Response::Plan { text, .. } => text,
        Response::TimedOut | Response::Unavailable => return Err(NoControllerResponse),
        _ => return Ok(Traffic::unknown("no plan is in force to compare with")),
    };
    Ok(match Plan::read(&text) {
        Ok(before) => {
            Traffic::of(&before, plan, &RecentRequests { samples, observed: seen, seconds })
        }
        Err(_) => Traffic::unknown("the plan in force can't be read by this version"),
    })
}
