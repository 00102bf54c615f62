//! The HTTP interface of operators in Postbarrow's own dialect.

use crate::client_handler::{ClientHandler, ClientRequest};
use crate::plan_submission::{SubmitOptions, to_submission};
use crate::rehearsal::{self, NoControllerResponse, TrafficBounds};
use facet::Facet;
use log::info;
use postbarrow_constants::coordination::SUBMIT_WAIT_MS;
use postbarrow_constants::traffic::RETRY_AFTER_S;
use postbarrow_messages::{Request, Response};
use postbarrow_node::TargetResponse;
use postbarrow_plan::Plan;
use postbarrow_reading::Findings;
use postbarrow_routing::Traffic;

/// Answers operators' requests with the controller's responses.
pub struct OperatorHandler;

/// The body of a rejection.
#[derive(Facet)]
struct RejectionBody {
    error: String,
    findings: Vec<FindingBody>,
}

#[derive(Facet)]
struct FindingBody {
    #[facet(rename = "place")]
    field_path: String,
    line: Option<u64>,
    message: String,
}

/// The body of a rejection for bounds that recent requests exceed.
#[derive(Facet)]
struct ExceededBody {
    error: String,
    traffic: Traffic,
}

impl ClientHandler for OperatorHandler {
    fn answer(&self, request: &ClientRequest<'_>) -> TargetResponse {
        let send = |to_controller: Request| {
            request.request_sender.send(to_controller, SUBMIT_WAIT_MS, request.client)
        };
        serve(request, &send)
    }

    fn reject(&self, status: u16, reason: &str) -> TargetResponse {
        rejection(status, reason, Vec::new())
    }
}

/// Sends a request to the controller and waits for its response.
type SendRequest<'a> = &'a dyn Fn(Request) -> Response;

fn serve(request: &ClientRequest<'_>, send: SendRequest<'_>) -> TargetResponse {
    match (request.head.method.as_str(), request.head.path()) {
        ("POST", "/plans") => submit(request, send),
        ("GET", "/plan") => to_http(send(Request::Show)),
        ("GET", "/targets") => to_http(send(Request::Targets)),
        ("GET", "/members") => to_http(send(Request::Members)),
        ("GET", "/status") => to_http(send(Request::Status)),
        (_, "/plans" | "/plan" | "/targets" | "/members" | "/status") => {
            rejection(405, "another method", Vec::new())
        }
        _ => rejection(404, "plans, plan, targets, members or status", Vec::new()),
    }
}

/// Rehearses the plan on recent requests and submits it.
fn submit(request: &ClientRequest<'_>, send: SendRequest<'_>) -> TargetResponse {
    let plan = match Plan::read(request.body) {
        Ok(plan) => plan,
        Err(findings) => {
            return rejection(400, "the plan has findings", finding_bodies(findings));
        }
    };
    let bounds = match TrafficBounds::read(request) {
        Ok(bounds) => bounds,
        Err(error) => return rejection(400, &error.to_string(), Vec::new()),
    };
    let traffic = match rehearsal::measure_traffic(&plan, send) {
        Ok(traffic) => traffic,
        Err(NoControllerResponse) if bounds.is_bounded() => return to_http(Response::Unavailable),
        Err(NoControllerResponse) => Traffic::unknown("no controller told of recent asks"),
    };
    let exceeded = bounds.exceeded(&traffic);
    if !exceeded.is_empty() {
        return json(422, &ExceededBody { error: exceeded.join("; "), traffic });
    }
    let is_set = |name: &str| request.query(name).is_some_and(|value| matches!(value, "" | "true"));
    let options = SubmitOptions { dry_run: is_set("dry-run"), allow_empty: is_set("allow-empty") };
    let submission = match to_submission(&plan, options) {
        Ok(submission) => submission,
        Err(error) => return rejection(413, &error.to_string(), Vec::new()),
    };
    info!("operator: submission version={} routes={}", plan.version, plan.routes.len());
    to_http(with_traffic(send(Request::Submit(submission)), &traffic))
}

fn finding_bodies(findings: Findings) -> Vec<FindingBody> {
    let bodies = findings.findings.into_iter().map(|finding| FindingBody {
        field_path: finding.field_path,
        line: finding.line.map(|line| line as u64),
        message: finding.message,
    });
    bodies.collect()
}

/// Adds the rehearsal's measurements to a successful response of the controller.
fn with_traffic(response: Response, traffic: &Traffic) -> Response {
    let Response::Operator { status: 200, mut body } = response else { return response };
    if body.pop() == Some(b'}') {
        body.extend(b",\"traffic\":");
        body.extend(facet_json::to_vec(traffic).unwrap_or_else(|_| b"null".to_vec()));
        body.push(b'}');
    }
    Response::Operator { status: 200, body }
}

fn to_http(response: Response) -> TargetResponse {
    match response {
        Response::Plan { version, offset, text } => {
            let mut response = json_bytes(200, text);
            response.headers.push(("Postbarrow-Version".into(), version.to_string()));
            response.headers.push(("Postbarrow-Offset".into(), offset.to_string()));
            response
        }
        Response::Operator { status: 503, body } => with_retry_after(json_bytes(503, body)),
        Response::Operator { status, body } => json_bytes(status, body),
        Response::Refused(reason) => rejection(400, &reason, Vec::new()),
        Response::Unavailable => with_retry_after(rejection(
            503,
            "no controller is in reach; nothing was done, asking the same again is safe",
            Vec::new(),
        )),
        _ => with_retry_after(rejection(
            504,
            "no word from a controller; asking the same again is safe",
            Vec::new(),
        )),
    }
}

fn with_retry_after(mut response: TargetResponse) -> TargetResponse {
    response.headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
    response
}

fn rejection(status: u16, error: &str, findings: Vec<FindingBody>) -> TargetResponse {
    json(status, &RejectionBody { error: error.into(), findings })
}

fn json<'f, T: Facet<'f>>(status: u16, value: &T) -> TargetResponse {
    json_bytes(status, facet_json::to_vec(value).unwrap_or_default())
}

fn json_bytes(status: u16, body: Vec<u8>) -> TargetResponse {
    let headers = vec![("Content-Type".to_string(), "application/json".to_string())];
    TargetResponse { status, headers, body }
}

#[cfg(test)]
mod tests;
