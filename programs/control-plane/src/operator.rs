use crate::Asker;
use crate::rehearse::{self, Allowed, NoController};
use facet::Facet;
use log::info;
use postbarrow_constants::coordination::SUBMIT_WAIT_MS;
use postbarrow_constants::plans::PLAN_TEXT_BYTES;
use postbarrow_constants::traffic::RETRY_AFTER_S;
use postbarrow_messages::{Request, Response as Told, Submission};
use postbarrow_plan::Plan;
use postbarrow_routing::Traffic;
use rouille::{Request as HttpRequest, Response, Server};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::thread;

#[derive(Facet)]
struct Refused {
    error: String,
    findings: Vec<Finding>,
}

#[derive(Facet)]
struct Finding {
    place: String,
    line: Option<u64>,
    message: String,
}

#[derive(Facet)]
struct Over {
    error: String,
    traffic: Traffic,
}

/// The operator's door, on every control node; each passes questions to the controller.
pub fn start(address: SocketAddr, asker: Asker) -> io::Result<SocketAddr> {
    let ask = {
        let asker = asker.clone();
        move |ask: Request, wait_ms: u64| asker.ask(ask, wait_ms)
    };
    let server = Server::new(address, move |request| {
        let _at_work = asker.at_work();
        serve(request, &ask)
    })
    .map_err(|error| io::Error::other(error.to_string()))?;
    let address = server.server_addr();
    thread::Builder::new().name("operator".into()).spawn(move || server.run())?;
    Ok(address)
}

fn serve(request: &HttpRequest, ask: &dyn Fn(Request, u64) -> Told) -> Response {
    let url = request.url();
    match (request.method(), url.as_str()) {
        ("POST", "/plans") => submit(request, ask),
        ("GET", "/plan") => answer(ask(Request::Show, SUBMIT_WAIT_MS)),
        ("GET", "/targets") => answer(ask(Request::Targets, SUBMIT_WAIT_MS)),
        ("GET", "/members") => answer(ask(Request::Members, SUBMIT_WAIT_MS)),
        ("GET", "/status") => answer(ask(Request::Status, SUBMIT_WAIT_MS)),
        (_, "/plans" | "/plan" | "/targets" | "/members" | "/status") => {
            refused(405, "another method", Vec::new())
        }
        _ => refused(404, "plans, plan, targets, members or status", Vec::new()),
    }
}

fn submit(request: &HttpRequest, ask: &dyn Fn(Request, u64) -> Told) -> Response {
    let length = request.header("Content-Length").and_then(|text| text.parse::<u64>().ok());
    if length.is_some_and(|length| length > PLAN_TEXT_BYTES as u64) {
        return refused(413, "the plan is too large", Vec::new());
    }
    let mut given = Vec::new();
    let body = request.data().map(|body| body.take(PLAN_TEXT_BYTES as u64 + 1));
    let read = body.map(|mut body| body.read_to_end(&mut given));
    if !matches!(read, Some(Ok(_))) || length.is_some_and(|length| length != given.len() as u64) {
        return refused(400, "the body ended before its length", Vec::new());
    }
    if given.len() > PLAN_TEXT_BYTES {
        return refused(413, "the plan is too large", Vec::new());
    }
    let plan = match Plan::read(&given) {
        Ok(plan) => plan,
        Err(findings) => {
            let rows = findings.findings.into_iter().map(|finding| Finding {
                place: finding.place,
                line: finding.line.map(|line| line as u64),
                message: finding.message,
            });
            return refused(400, "the plan has findings", rows.collect());
        }
    };
    let allowed = match Allowed::read(request) {
        Ok(allowed) => allowed,
        Err(findings) => return refused(400, &findings.join("; "), Vec::new()),
    };
    let traffic = match rehearse::traffic(&plan, ask) {
        Ok(traffic) => traffic,
        Err(NoController) if allowed.is_bounded() => return answer(Told::Unavailable),
        Err(NoController) => Traffic::unknown("no controller told of recent asks"),
    };
    let over = allowed.over(&traffic);
    if !over.is_empty() {
        let refused = Over { error: over.join("; "), traffic };
        return told(422, &refused);
    }
    let says = |name: &str| {
        request.get_param(name).is_some_and(|value| value == "true" || value.is_empty())
    };
    let submission = Submission {
        version: plan.version.as_str().into(),
        base: plan.base.as_deref().map(Into::into),
        records: plan.records(),
        dry_run: says("dry-run"),
        allow_empty: says("allow-empty"),
    };
    info!("operator: plan {} with {} routes", plan.version, plan.routes.len());
    answer(with_traffic(ask(Request::Submit(submission), SUBMIT_WAIT_MS), &traffic))
}

/// The controller's word on the plan, and beside it what the door measured.
fn with_traffic(told: Told, traffic: &Traffic) -> Told {
    let Told::Operator { status: 200, mut body } = told else { return told };
    if body.pop() == Some(b'}') {
        body.extend(b",\"traffic\":");
        body.extend(facet_json::to_vec(traffic).unwrap_or_else(|_| b"null".to_vec()));
        body.push(b'}');
    }
    Told::Operator { status: 200, body }
}

fn told<'f, T: Facet<'f>>(status: u16, value: &T) -> Response {
    let body = facet_json::to_vec(value).unwrap_or_default();
    Response::from_data("application/json", body).with_status_code(status)
}

fn answer(told: Told) -> Response {
    match told {
        Told::Plan { version, offset, text } => Response::from_data("application/json", text)
            .with_additional_header("Postbarrow-Version", version.to_string())
            .with_additional_header("Postbarrow-Offset", offset.to_string()),
        Told::Operator { status, body } => {
            let response = Response::from_data("application/json", body).with_status_code(status);
            if status == 503 { again(response) } else { response }
        }
        Told::Refused(why) => refused(400, &why, Vec::new()),
        Told::Unavailable => again(refused(
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

fn again(response: Response) -> Response {
    response.with_additional_header("Retry-After", RETRY_AFTER_S.to_string())
}

fn refused(status: u16, error: &str, findings: Vec<Finding>) -> Response {
    told(status, &Refused { error: error.into(), findings })
}

#[cfg(test)]
mod tests;
