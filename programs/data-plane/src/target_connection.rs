//! One connection to a target, which carries one request at a time.

mod connect;
mod proving;
mod response;

use crate::dialect::ResponseJudgement;
use postbarrow_constants::traffic::*;
use postbarrow_downstream::client_watch::{ClientWatch, WaitOutcome};
use postbarrow_downstream::memory_budget::Reserved;
use postbarrow_node::{AttemptOutcome, TargetResponse};
use postbarrow_transport::{Interest, clock_ms, set_unacknowledged_timeout};
use socket2::SockRef;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A connection to a target. It is read byte by byte, so that bytes that are no part of the
/// response are seen, and every wait on it ends when the client of its request leaves.
pub struct TargetConnection {
    /// Never blocks by itself.
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes of the buffer that are used up.
    start: usize,
    /// How long bytes may stay unacknowledged; 0 is the system's own patience.
    unheard_ms: u64,
    /// No response was read on it yet.
    first: bool,
    used_ms: u64,
    /// How long it may rest unused.
    keep_ms: u64,
}

/// A request as its target gets it.
pub struct Outgoing<'a> {
    pub method: &'a str,
    /// Path and query, as they came.
    pub path: &'a str,
    pub headers: &'a [(String, String)],
    pub body: &'a [u8],
    /// Its response must be whole by then, on the boot-time clock.
    pub until_ms: u64,
    /// Another target may be asked instead, so a machine that hears nothing is left soon.
    pub repeatable: bool,
}

/// For how long a request ends with its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndsWithClient {
    /// To its response: it may be repeated.
    Always,
    /// Until its last byte is sent: its target may be running it from then on.
    UntilSent,
    /// Never: a repeat under its key gets what comes of it.
    Never,
}

/// Who may end the passing of a request, and how its response is judged.
pub struct Terms<'a> {
    /// Asked once, right before the first byte.
    pub may_send: &'a dyn Fn() -> bool,
    /// Whose leaving ends the work, for as long as `ends_with_client` says.
    pub client: &'a ClientWatch<'a>,
    pub ends_with_client: EndsWithClient,
    /// What a response is worth; the second value says whether it is the connection's first.
    pub judge: &'a dyn Fn(&TargetResponse, bool) -> ResponseJudgement,
}

/// Why a wait on a connection came to nothing.
enum Interrupted {
    Late,
    ClientLeft,
    Failed(String),
}

const CLIENT_LEFT: &str = "the client left";

impl TargetConnection {
    /// Nothing came on it since it was given back, and the target has not closed it.
    pub fn is_fresh(&self) -> bool {
        let seen = self.stream.peek(&mut [0]);
        let is_quiet = seen.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        is_quiet && clock_ms() < self.used_ms + self.keep_ms
    }

    /// Passes a request on, once. The connection comes back only if it may be used again.
    pub fn pass(
        mut self,
        request: &Outgoing<'_>,
        terms: &Terms<'_>,
        memory: &mut Reserved,
    ) -> (AttemptOutcome, Option<TargetConnection>) {
        let (passed, is_reusable) = self.exchange(request, terms, memory);
        (passed, is_reusable.then_some(self))
    }

    /// Sends a request and reads up to its response; tells whether the connection rests clean.
    fn exchange(
        &mut self,
        request: &Outgoing<'_>,
        terms: &Terms<'_>,
        memory: &mut Reserved,
    ) -> (AttemptOutcome, bool) {
        let bytes = encode(request);
        self.be_patient(request.repeatable);
        if !(terms.may_send)() {
            return (AttemptOutcome::Unsent("no longer allowed".into()), false);
        }
        let nobody = ClientWatch::nobody();
        let client = match terms.ends_with_client {
            EndsWithClient::Never => &nobody,
            EndsWithClient::Always | EndsWithClient::UntilSent => terms.client,
        };
        if let Err((sent, interrupted)) = self.write(&bytes, request.until_ms, client) {
            if matches!(interrupted, Interrupted::ClientLeft) {
                self.take_back_unsent();
            }
            let why = interrupted.why("sending");
            let passed = match sent {
                0 => AttemptOutcome::Unsent(why),
                _ => AttemptOutcome::Unknown { late: false, reason: why },
            };
            return (passed, false);
        }
        drop(bytes);
        self.read_own(request, terms, memory)
    }

    /// Reads responses until one that is not another request's.
    fn read_own(
        &mut self,
        request: &Outgoing<'_>,
        terms: &Terms<'_>,
        memory: &mut Reserved,
    ) -> (AttemptOutcome, bool) {
        let nobody = ClientWatch::nobody();
        let client = match terms.ends_with_client {
            EndsWithClient::Always => terms.client,
            EndsWithClient::UntilSent | EndsWithClient::Never => &nobody,
        };
        loop {
            let read = self.read(request, client, memory);
            let (response, keeps_open) = match read {
                Ok(read) => read,
                Err(interrupted) => {
                    let late = matches!(interrupted, Interrupted::Late);
                    let why = interrupted.why("reading");
                    return (AttemptOutcome::Unknown { late, reason: why }, false);
                }
            };
            let heard = (terms.judge)(&response, self.first);
            self.first = false;
            let passed = match heard {
                ResponseJudgement::Misdirected if keeps_open => continue,
                ResponseJudgement::Misdirected => {
                    AttemptOutcome::Unknown { late: false, reason: "another's".into() }
                }
                ResponseJudgement::Unsound(why) => {
                    return (AttemptOutcome::Unknown { late: false, reason: why }, false);
                }
                ResponseJudgement::NotRun(why) => AttemptOutcome::NotRun(why),
                ResponseJudgement::Complete => AttemptOutcome::Complete(response),
            };
            let is_clean = keeps_open && self.start == self.buffer.len();
            self.rest();
            return (passed, is_clean);
        }
    }

    fn rest(&mut self) {
        self.used_ms = clock_ms();
        self.buffer = Vec::new();
        self.start = 0;
    }

    /// What the system still holds of a request goes out no more: the connection ends with a reset.
    fn take_back_unsent(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    fn be_patient(&mut self, repeatable: bool) {
        let unheard_ms = if repeatable { TARGET_UNRESPONSIVE_MS } else { 0 };
        if unheard_ms != self.unheard_ms {
            let _ = set_unacknowledged_timeout(&self.stream, unheard_ms);
            self.unheard_ms = unheard_ms;
        }
    }

    /// Writes all, or tells how many bytes the system took before it failed.
    fn write(
        &mut self,
        bytes: &[u8],
        until_ms: u64,
        client: &ClientWatch,
    ) -> Result<(), (usize, Interrupted)> {
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]) {
                Ok(0) => return Err((sent, Interrupted::Failed("closed".into()))),
                Ok(length) => sent += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => self
                    .wait(Interest::Write, until_ms, client)
                    .map_err(|interrupted| (sent, interrupted))?,
                Err(error) => return Err((sent, Interrupted::Failed(error.to_string()))),
            }
        }
        Ok(())
    }

    fn wait(
        &self,
        interest: Interest,
        until_ms: u64,
        client: &ClientWatch,
    ) -> Result<(), Interrupted> {
        match client.wait_for(&self.stream, interest, until_ms) {
            Ok(WaitOutcome::Ready) => Ok(()),
            Ok(WaitOutcome::ClientDeparted) => Err(Interrupted::ClientLeft),
            Ok(WaitOutcome::TimedOut) => Err(Interrupted::Late),
            Err(error) => Err(Interrupted::Failed(error.to_string())),
        }
    }
}

impl Interrupted {
    fn why(self, doing: &str) -> String {
        match self {
            Interrupted::Late => format!("{doing}: late"),
            Interrupted::ClientLeft => format!("{doing}: {CLIENT_LEFT}"),
            Interrupted::Failed(why) => format!("{doing}: {why}"),
        }
    }
}

/// The bytes of a request, with a length of its own for its body.
fn encode(request: &Outgoing<'_>) -> Vec<u8> {
    let Outgoing { method, path, headers, body, .. } = request;
    let mut bytes = Vec::with_capacity(HEAD_INITIAL_BYTES + body.len());
    let _ = write!(bytes, "{method} {path} HTTP/1.1\r\n");
    for (name, value) in *headers {
        let _ = write!(bytes, "{name}: {value}\r\n");
    }
    let bodiless = matches!(*method, "GET" | "HEAD" | "OPTIONS" | "DELETE");
    if !body.is_empty() || !bodiless {
        let _ = write!(bytes, "Content-Length: {}\r\n", body.len());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}
