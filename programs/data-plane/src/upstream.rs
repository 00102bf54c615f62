use crate::proof::read_proof;
use crate::straight::Straight;
use crate::wire::{Gate, OnceConnector, Wire};
use crossbeam_queue::ArrayQueue;
use postbarrow_constants::traffic::*;
use postbarrow_downstream::memory::Reserved;
use postbarrow_node::{Passed, TargetResponse};
use postbarrow_routing::Table;
use postbarrow_state::{Name, Target};
use postbarrow_transport::clock_ms;
use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use ureq::http::{Request, Response, Uri, header};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, Body};

/// One connection whose other end proved who it is.
pub struct Proved {
    agent: Agent,
    wire: Arc<Wire>,
    address: SocketAddr,
    used_ms: u64,
}

/// A connection that may carry asks to the one target it was opened to.
pub enum Upstream {
    Proved(Proved),
    Straight(Straight),
}

impl Upstream {
    fn is_fresh(&self) -> bool {
        match self {
            Upstream::Proved(proved) => clock_ms() < proved.used_ms + IDLE_CONNECTION_MS,
            Upstream::Straight(straight) => straight.is_fresh(),
        }
    }
}

type Idle = Arc<ArrayQueue<Upstream>>;

/// Idle proved connections by target; made anew with each image, so that none outlives its target.
#[derive(Default)]
pub struct Pools(HashMap<Name, (SocketAddr, Idle)>);

impl Pools {
    pub fn carry(old: &Pools, table: &Table) -> Pools {
        let pool = |target: &Target| match old.0.get(&target.instance) {
            Some((address, idle)) if *address == target.address => idle.clone(),
            _ => Arc::new(ArrayQueue::new(IDLE_CONNECTIONS)),
        };
        let targets = table.state.targets.values();
        Pools(
            targets
                .map(|target| (target.instance.clone(), (target.address, pool(target))))
                .collect(),
        )
    }

    pub fn take(&self, target: &Target) -> Option<Upstream> {
        let (address, idle) = self.0.get(&target.instance)?;
        if *address != target.address {
            return None;
        }
        std::iter::from_fn(|| idle.pop()).find(Upstream::is_fresh)
    }

    pub fn give(&self, target: &Target, upstream: Upstream) {
        if let Some((address, idle)) = self.0.get(&target.instance)
            && *address == target.address
        {
            let _ = idle.push(upstream);
        }
    }
}

impl Proved {
    /// Opens a connection and asks on it who is there, before anything else may use it.
    pub fn open(target: &Target) -> Result<(Proved, u64), String> {
        let wire = Arc::new(Wire::default());
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .user_agent(ureq::config::AutoHeaderValue::None)
            .accept(ureq::config::AutoHeaderValue::None)
            .accept_encoding(ureq::config::AutoHeaderValue::None)
            .allow_non_standard_methods(true)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .max_idle_age(Duration::from_millis(IDLE_CONNECTION_MS))
            .max_response_header_size(HEAD_BYTES)
            .no_delay(true)
            .build();
        let connector = OnceConnector::new(wire.clone());
        let agent = Agent::with_parts(config, connector, DefaultResolver::default());
        let mut proved = Proved { agent, wire, address: target.address, used_ms: clock_ms() };
        let occupancy = proved.prove(target)?;
        Ok((proved, occupancy))
    }

    /// The probe: instance, service and labels must be the target's own; occupancy comes back.
    pub fn prove(&mut self, target: &Target) -> Result<u64, String> {
        let uri = format!("http://{}{PROOF_PATH}", self.address);
        let request = Request::get(uri).body(()).map_err(|error| error.to_string())?;
        let wait = Duration::from_millis(PROOF_WAIT_MS);
        let request = self.agent.configure_request(request).timeout_global(Some(wait)).build();
        let mut response = self.agent.run(request).map_err(|error| format!("probe: {error}"))?;
        if response.status() != 200 {
            return Err(format!("probe: status {}", response.status()));
        }
        let body = response.body_mut().with_config().limit(HEAD_BYTES as u64).read_to_string();
        let proof = read_proof(&body.map_err(|error| format!("probe: {error}"))?)?;
        if proof.instance != target.instance
            || proof.service != target.service
            || proof.labels != target.labels
        {
            return Err(format!("another target stands at {}", self.address));
        }
        self.used_ms = clock_ms();
        Ok(proof.occupancy)
    }

    pub fn gate(&self, gate: Gate) {
        self.wire.gate(gate);
    }

    /// Passes an ask on, once. The connection comes back only if it can be used again.
    pub fn pass(
        mut self,
        method: &str,
        target: &str,
        headers: &[(String, String)],
        body: &[u8],
        wait_ms: u64,
        memory: &mut Reserved,
    ) -> (Passed, Option<Proved>) {
        let before = self.wire.sent();
        let unsent = |why: String| (Passed::Unsent(why), None);
        let uri: Uri = match format!("http://{}{target}", self.address).parse() {
            Ok(uri) => uri,
            Err(error) => return unsent(format!("target of the ask: {error}")),
        };
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(name, value);
        }
        let wait = Duration::from_millis(wait_ms.max(1));
        let sent = if body.is_empty() && matches!(method, "GET" | "HEAD" | "OPTIONS" | "DELETE") {
            request.body(()).map(|request| {
                let request = self.agent.configure_request(request);
                self.agent.run(request.timeout_global(Some(wait)).build())
            })
        } else {
            request.body(body).map(|request| {
                let request = self.agent.configure_request(request);
                self.agent.run(request.timeout_global(Some(wait)).build())
            })
        };
        let failed = |wire: &Wire, error: ureq::Error| {
            if wire.sent() == before {
                return Passed::Unsent(error.to_string());
            }
            Passed::Unknown {
                late: matches!(error, ureq::Error::Timeout(_)),
                why: error.to_string(),
            }
        };
        let response = match sent {
            Err(error) => return unsent(error.to_string()),
            Ok(Err(error)) => return (failed(&self.wire, error), None),
            Ok(Ok(response)) => response,
        };
        match whole(response, method, memory) {
            Ok((response, again)) => {
                self.used_ms = clock_ms();
                (Passed::Whole(response), again.then_some(self))
            }
            Err(Some(error)) => (failed(&self.wire, error), None),
            Err(None) => {
                let why =
                    "the response has no clear length, or this node no space for it".to_string();
                (Passed::Unknown { late: false, why }, None)
            }
        }
    }
}

/// Takes in the whole response. One whose end is only the connection's end could be cut, so it
/// does not count as whole.
fn whole(
    mut response: Response<Body>,
    method: &str,
    memory: &mut Reserved,
) -> Result<(TargetResponse, bool), Option<ureq::Error>> {
    let count = |name| response.headers().get_all(name).iter().count();
    let lengths = count(header::CONTENT_LENGTH);
    let codings = count(header::TRANSFER_ENCODING);
    let status = response.status().as_u16();
    let bodiless = method == "HEAD" || matches!(status, 204 | 304);
    if lengths + codings > 1 || (lengths + codings == 0 && !bodiless) {
        return Err(None);
    }
    let chunked = response.headers().get(header::TRANSFER_ENCODING);
    if chunked.is_some_and(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return Err(None);
    }
    let close = response.headers().get_all(header::CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    });
    let mut headers = Vec::new();
    for (name, value) in response.headers() {
        let Ok(value) = std::str::from_utf8(value.as_bytes()) else { return Err(None) };
        headers.push((name.as_str().to_string(), value.to_string()));
    }
    let old = response.version() != ureq::http::Version::HTTP_11;
    let body = take_in(response.body_mut(), memory)?;
    Ok((TargetResponse { status, headers, body }, !close && !old))
}

/// Piece by piece, each reserved before it is read.
fn take_in(body: &mut Body, memory: &mut Reserved) -> Result<Vec<u8>, Option<ureq::Error>> {
    let mut taken = Vec::new();
    let mut reader = body.with_config().limit(RESPONSE_BYTES as u64).reader();
    loop {
        if !memory.grow(READ_BYTES as u64) {
            return Err(None);
        }
        let read = reader.by_ref().take(READ_BYTES as u64).read_to_end(&mut taken);
        if read.map_err(|error| Some(ureq::Error::from(error)))? < READ_BYTES {
            return Ok(taken);
        }
    }
}
