use sha2::{Digest, Sha256};
use std::time::Duration;
use ureq::Agent;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Lookup,
    Posting,
    Upload,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    Ran,
    NotRun,
    Unknown,
    Pending,
    /// The connection was refused: nothing was sent.
    Unreached,
}

#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub kind: Kind,
    pub method: &'static str,
    pub target: String,
    pub digest: String,
    pub key: Option<String>,
    pub told: Vec<Told>,
    pub status: u16,
    pub took_ms: f64,
    /// What was wrong with a response, if anything was.
    pub wrong: Option<String>,
    pub retry_after: bool,
}

impl Ask {
    pub fn lookup(id: String, seed: u64) -> Ask {
        Ask {
            target: format!("/stock/{id}?q=%20{}", seed % 97),
            id,
            kind: Kind::Lookup,
            method: "GET",
            digest: hex(&Sha256::digest([])),
            key: None,
            told: Vec::new(),
            status: 0,
            took_ms: 0.0,
            wrong: None,
            retry_after: false,
        }
    }
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .timeout_global(Some(Duration::from_secs(12)))
        .max_idle_age(Duration::from_secs(5))
        .build();
    Agent::new_with_config(config)
}

/// One go of an ask at one node; what was told is put in the ask.
pub fn go(agent: &Agent, node: &str, ask: &mut Ask, body: &[u8]) {
    let url = format!("http://{node}{}", ask.target);
    let mut request = ureq::http::Request::builder()
        .method(ask.method)
        .uri(url)
        .header("x-id", &ask.id)
        .header("connection", if ask.kind == Kind::Lookup { "keep-alive" } else { "close" });
    if let Some(key) = &ask.key {
        request = request.header("idempotency-key", key);
    }
    let sent = match ask.kind {
        Kind::Lookup => request.body(()).map(|request| agent.run(request)),
        _ => request.body(body).map(|request| agent.run(request)),
    };
    let told = match sent {
        Ok(Ok(mut response)) => {
            ask.status = response.status().as_u16();
            ask.retry_after = response.headers().contains_key("retry-after");
            let text = |name: &str| {
                let value = response.headers().get(name);
                value.and_then(|value| value.to_str().ok()).map(str::to_string)
            };
            let (outcome, whole) = (text("postbarrow-outcome"), text("x-digest"));
            let body = response.body_mut().with_config().limit(64 << 20).read_to_vec();
            match (outcome.as_deref(), body) {
                (Some("ran"), Ok(body)) if ask.status == 200 => {
                    ask.wrong = ask.wrong.take().or_else(|| wrong(ask, &body, whole.as_deref()));
                    Told::Ran
                }
                (None, Ok(_)) if ask.status == 200 => Told::Ran,
                (Some("ran"), _) => Told::Unknown,
                (Some("not-run"), _) => Told::NotRun,
                (Some("pending"), _) => Told::Pending,
                _ => Told::Unknown,
            }
        }
        Ok(Err(ureq::Error::Io(error)))
            if error.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            Told::Unreached
        }
        _ => Told::Unknown,
    };
    ask.told.push(told);
}

fn wrong(ask: &Ask, body: &[u8], whole: Option<&str>) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    if whole != Some(hex(&Sha256::digest(body)).as_str()) {
        return Some(format!("a body of {} bytes is not whole", body.len()));
    }
    if !text.contains(&format!("\"id\":\"{}\"", ask.id)) {
        return Some("the response is another ask's".into());
    }
    if !text.contains(&format!("\"digest\":\"{}\"", ask.digest)) {
        return Some("the target ran another body".into());
    }
    None
}
