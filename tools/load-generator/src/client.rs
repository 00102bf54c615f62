//! Requests of clients: their attempts, and the outcome that the gateway reported for each.

use std::time::Duration;
use tools_shared::{client_config, sha256_hex};
use ureq::Agent;

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(12);

/// The kinds of requests; each goes to a different service.
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

    /// Returns the service that executes requests of this kind.
    pub fn service(self) -> &'static str {
        match self {
            Kind::Lookup => "catalogue",
            Kind::Posting => "ledger",
            Kind::Upload => "photos",
        }
    }
}

/// The outcome of one attempt, as far as the client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The client received a target's success.
    Ran,
    /// The gateway reported that no target executed the request.
    NotRun,
    /// A target may have executed the request or not.
    Unknown,
    /// The gateway reported that an earlier attempt with the same key is still in flight.
    Pending,
    /// No node was ready or the connection was refused, so nothing was sent.
    Unreached,
}

/// A request of a client, with the outcomes of all its attempts.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The id of the request, sent as `X-Id`.
    pub id: String,
    /// The kind of the request, which decides its service and the checks.
    pub kind: Kind,
    /// The HTTP method.
    pub method: &'static str,
    /// The path and query.
    pub target: String,
    /// The SHA-256 of the request's body, in hexadecimal digits.
    pub digest: String,
    /// The idempotency key; `None` if the request has none.
    pub key: Option<String>,
    /// The outcomes of the finished attempts, in their order.
    pub outcomes: Vec<Outcome>,
    /// The HTTP status of the last response; 0 before the first response.
    pub status: u16,
    /// The duration of the first attempt, in milliseconds.
    pub took_ms: f64,
    /// The first mismatch of a success with the request or with its stated digest; `None` if there
    /// was none.
    pub mismatch: Option<String>,
    /// Whether the last response had a `Retry-After` header.
    pub retry_after: bool,
}

impl ClientRequest {
    /// Returns a request with this body that was not sent yet.
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
            mismatch: None,
            retry_after: false,
        }
    }

    /// Returns a lookup that was not sent yet.
    pub fn lookup(id: String, seed: u64) -> ClientRequest {
        let target = format!("/stock/{id}?q=%20{}", seed % 97);
        ClientRequest::new(id, Kind::Lookup, "GET", target, &[])
    }

    /// Sends the request once to one node and records the outcome.
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
                let mismatch = self.mismatch.take();
                self.mismatch = mismatch.or_else(|| self.find_mismatch(&body, digest.as_deref()));
                Outcome::Ran
            }
            (None, Ok(_)) if self.status == 200 => Outcome::Ran,
            (Some("ran"), _) => Outcome::Unknown,
            (Some("not-run"), _) => Outcome::NotRun,
            (Some("pending"), _) => Outcome::Pending,
            _ => Outcome::Unknown,
        }
    }

    /// Returns the mismatch of a success's body with the request or with the digest that the target
    /// stated for the body; `None` if there is none.
    fn find_mismatch(&self, body: &[u8], stated_digest: Option<&str>) -> Option<String> {
        let text = String::from_utf8_lossy(body);
        if stated_digest != Some(sha256_hex(body).as_str()) {
            return Some(format!(
                "the response body of {} bytes does not match its digest",
                body.len()
            ));
        }
        if !text.contains(&format!("\"id\":\"{}\"", self.id)) {
            return Some("the response belongs to another request".into());
        }
        if !text.contains(&format!("\"digest\":\"{}\"", self.digest)) {
            return Some("the target ran the request with another body".into());
        }
        None
    }
}

/// Returns an HTTP client with connections of its own, which it reuses until they have been idle
/// for 5 s.
pub fn new_agent() -> Agent {
    let config = client_config(ATTEMPT_TIMEOUT)
        .max_redirects(0)
        .max_idle_age(Duration::from_secs(5))
        .build();
    Agent::new_with_config(config)
}
