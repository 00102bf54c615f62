//! What operators speak at the product's own door.

use crate::listener::{ClientHandler, ClientRequest};
use crate::rehearsal::{self, NoControllerResponse, TrafficBounds};
use facet::Facet;
use log::info;
use postbarrow_constants::coordination::SUBMIT_WAIT_MS;
use postbarrow_constants::traffic::RETRY_AFTER_S;
use postbarrow_messages::{Request, Response, Submission};
use postbarrow_node::TargetResponse;
use postbarrow_plan::Plan;
use postbarrow_routing::Traffic;

/// The operators of the product; each question goes to the controller.
pub struct OperatorHandler;

#[derive(Facet)]
struct RejectionBody {
    error: String,
    findings: Vec<FindingBody>,
}

#[derive(Facet)]
struct FindingBody {
    place: String,
    line: Option<u64>,
    message: String,
}

#[derive(Facet)]
struct OverBoundsBody {
    error: String,
    traffic: Traffic,
}

impl ClientHandler for OperatorHandler {
    fn answer(&self, request: &ClientRequest<'_>) -> TargetResponse {
        let ask =
            |question: Request| request.requests.request(question, SUBMIT_WAIT_MS, request.client);
        serve(request, &ask)
    }

    fn reject(&self, status: u16, why: &str) -> TargetResponse {
        refused(status, why, Vec::new())
    }
}

type Ask<'a> = &'a dyn Fn(Request) -> Response;

fn serve(request: &ClientRequest<'_>, ask: Ask<'_>) -> TargetResponse {
    match (request.head.method.as_str(), request.head.path()) {
        ("POST", "/plans") => submit(request, ask),
        ("GET", "/plan") => tell(ask(Request::Show)),
        ("GET", "/targets") => tell(ask(Request::Targets)),
        ("GET", "/members") => tell(ask(Request::Members)),
        ("GET", "/status") => tell(ask(Request::Status)),
        (_, "/plans" | "/plan" | "/targets" | "/members" | "/status") => {
            refused(405, "another method", Vec::new())
        }
        _ => refused(404, "plans, plan, targets, members or status", Vec::new()),
    }
}

/// Rehearses the plan on recent requests and hands it over. An operator that left meanwhile hands
/// over nothing.
fn submit(request: &ClientRequest<'_>, ask: Ask<'_>) -> TargetResponse {
    let plan = match Plan::read(request.body) {
        Ok(plan) => plan,
        Err(findings) => {
            let rows = findings.findings.into_iter().map(|finding| FindingBody {
                place: finding.field_path,
                line: finding.line.map(|line| line as u64),
                message: finding.message,
            });
            return refused(400, "the plan has findings", rows.collect());
        }
    };
    let allowed = match TrafficBounds::read(request) {
        Ok(allowed) => allowed,
        Err(findings) => return refused(400, &findings.join("; "), Vec::new()),
    };
    let traffic = match rehearsal::traffic(&plan, ask) {
        Ok(traffic) => traffic,
        Err(NoControllerResponse) if allowed.is_bounded() => return tell(Response::Unavailable),
        Err(NoControllerResponse) => Traffic::unknown("no controller told of recent asks"),
    };
    let over = allowed.over(&traffic);
    if !over.is_empty() {
        return json(422, &OverBoundsBody { error: over.join("; "), traffic });
    }
    if request.client.has_departed() {
        return tell(Response::Unavailable);
    }
    let says = |name: &str| request.query(name).is_some_and(|value| matches!(value, "" | "true"));
    let submission = Submission {
        version: plan.version.as_str().into(),
        base: plan.base.as_deref().map(Into::into),
        records: plan.records(),
        dry_run: says("dry-run"),
        allow_empty: says("allow-empty"),
    };
    info!("operator: plan {} with {} routes", plan.version, plan.routes.len());
    tell(with_traffic(ask(Request::Submit(submission)), &traffic))
}

/// The controller's word on the plan, and beside it what the door measured.
fn with_traffic(response: Response, traffic: &Traffic) -> Response {
    let Response::Operator { status: 200, mut body } = response else { return response };
    if body.pop() == Some(b'}') {
        body.extend(b",\"traffic\":");
        body.extend(facet_json::to_vec(traffic).unwrap_or_else(|_| b"null".to_vec()));
        body.push(b'}');
    }
    Response::Operator { status: 200, body }
}

fn tell(response: Response) -> TargetResponse {
    match response {
        Response::Plan { version, offset, text } => {
            let mut response = whole(200, text);
            response.headers.push(("Postbarrow-Version".into(), version.to_string()));
            response.headers.push(("Postbarrow-Offset".into(), offset.to_string()));
            response
        }
        Response::Operator { status: 503, body } => again(whole(503, body)),
        Response::Operator { status, body } => whole(status, body),
        Response::Refused(why) => refused(400, &why, Vec::new()),
        Response::Unavailable => again(refused(
            503,
            "no controller is in reach; nothing was done, asking the same again is safe",
            Vec::new(),
        )),
        _ => again(refused(
            504,
            "no word from a controller; asking the same again is safe",
            Vec::new(),
        )),
    }
}

fn again(mut response: TargetResponse) -> TargetResponse {
    response.headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
    response
}

fn refused(status: u16, error: &str, findings: Vec<FindingBody>) -> TargetResponse {
    json(status, &RejectionBody { error: error.into(), findings })
}

fn json<'f, T: Facet<'f>>(status: u16, value: &T) -> TargetResponse {
    whole(status, facet_json::to_vec(value).unwrap_or_default())
}

fn whole(status: u16, body: Vec<u8>) -> TargetResponse {
    let headers = vec![("Content-Type".to_string(), "application/json".to_string())];
    TargetResponse { status, headers, body }
}

#[cfg(test)]
mod tests;
