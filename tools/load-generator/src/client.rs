//! One client's request: its attempts, and what the gateway reported of each.

use std::time::Duration;
use tools_shared::{client_config, sha256_hex};
use ureq::Agent;

/// How long an attempt may take.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(12);

/// The kinds of traffic, each for a service of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A read, which may run more than once.
    Lookup,
    /// A one-time request with a small body.
    Posting,
    /// A one-time request with a large body.
    Upload,
}

impl Kind {
    /// Every kind, in the order of the report.
    pub const ALL: [Kind; 3] = [Kind::Lookup, Kind::Posting, Kind::Upload];

    /// The service that runs it.
    pub fn service(self) -> &'static str {
        match self {
            Kind::Lookup => "catalogue",
            Kind::Posting => "ledger",
            Kind::Upload => "photos",
        }
    }
}

/// What the client learnt of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A success came from a target.
    Ran,
    /// The gateway says that no target ran it.
    NotRun,
    /// Nothing certain.
    Unknown,
    /// An earlier attempt with the same key is still in flight.
    Pending,
    /// The connection was refused: nothing was sent.
    Unreached,
}

/// A request with all its attempts.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Sent as `X-Id`.
    pub id: String,
    /// Decides the service and the checks.
    pub kind: Kind,
    /// The HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// The SHA-256 of the body, in hexadecimal digits.
    pub digest: String,
    /// The idempotency key, if it has one.
    pub key: Option<String>,
    /// One a finished attempt, in their order.
    pub outcomes: Vec<Outcome>,
    /// The last response's status; 0 before any.
    pub status: u16,
    /// How long the first attempt took.
    pub took_ms: f64,
    /// What was wrong with a response, if anything was.
    pub wrong: Option<String>,
    /// Whether the last response named a time for a retry.
    pub retry_after: bool,
}

impl ClientRequest {
    /// A request with this body that was not sent yet.
    pub fn new(id: String, kind: Kind, method: &'static str, target: String, body: &[u8]) -> Self {
        ClientRequest {
            id,
            kind,
            method,
            target,
            digest: sha256_hex(body),
            key: None,
            outcomes: Vec::new(),
            status: 0,
            took_ms: 0.0,
            wrong: None,
            retry_after: false,
        }
    }

    /// A lookup that was not sent yet.
    pub fn lookup(id: String, seed: u64) -> ClientRequest {
        let target = format!("/stock/{id}?q=%20{}", seed % 97);
        ClientRequest::new(id, Kind::Lookup, "GET", target, &[])
    }

    /// Sends it once to one node and records the outcome.
    pub fn attempt(&mut self, agent: &Agent, node: &str, body: &[u8]) {
        let url = format!("http://{node}{}", self.target);
        let connection = if self.kind == Kind::Lookup { "keep-alive" } else { "close" };
        let mut builder = ureq::http::Request::builder()
            .method(self.method)
            .uri(url)
            .header("x-id", &self.id)
            .header("connection", connection);
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        let sent = match self.kind {
            Kind::Lookup => builder.body(()).map(|request| agent.run(request)),
            _ => builder.body(body).map(|request| agent.run(request)),
        };
        let outcome = match sent {
            Ok(Ok(response)) => self.read_response(response),
            Ok(Err(ureq::Error::Io(error)))
                if error.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                Outcome::Unreached
            }
            _ => Outcome::Unknown,
        };
        self.outcomes.push(outcome);
    }

    fn read_response(&mut self, mut response: ureq::http::Response<ureq::Body>) -> Outcome {
        self.status = response.status().as_u16();
        self.retry_after = response.headers().contains_key("retry-after");
        let text = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|value| value.to_str().ok()).map(str::to_string)
        };
        let (reported, digest) = (text("postbarrow-outcome"), text("x-digest"));
        let body = response.body_mut().with_config().limit(64 << 20).read_to_vec();
        match (reported.as_deref(), body) {
            (Some("ran"), Ok(body)) if self.status == 200 => {
                let wrong = self.wrong.take();
                self.wrong = wrong.or_else(|| self.find_wrong(&body, digest.as_deref()));
                Outcome::Ran
            }
            (None, Ok(_)) if self.status == 200 => Outcome::Ran,
            (Some("ran"), _) => Outcome::Unknown,
            (Some("not-run"), _) => Outcome::NotRun,
            (Some("pending"), _) => Outcome::Pending,
            _ => Outcome::Unknown,
        }
    }

    /// What is wrong with a success's body, of which the target stated this digest.
    fn find_wrong(&self, body: &[u8], stated_digest: Option<&str>) -> Option<String> {
        let text = String::from_utf8_lossy(body);
        if stated_digest != Some(sha256_hex(body).as_str()) {
            return Some(format!("a body of {} bytes is not whole", body.len()));
        }
        if !text.contains(&format!("\"id\":\"{}\"", self.id)) {
            return Some("the response is another ask's".into());
        }
        if !text.contains(&format!("\"digest\":\"{}\"", self.digest)) {
            return Some("the target ran another body".into());
        }
        None
    }
}

/// A client of its own, with connections that it reuses for a while.
pub fn agent() -> Agent {
    let config = client_config(ATTEMPT_TIMEOUT)
        .max_redirects(0)
        .max_idle_age(Duration::from_secs(5))
        .build();
    Agent::new_with_config(config)
}
