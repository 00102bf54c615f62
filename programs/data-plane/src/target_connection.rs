//! One connection to a target, which carries one request at a time.

use crate::answer::{self, Parsed, Size};
use crate::dialect::Heard;
use crate::proof::read_proof;
use postbarrow_constants::traffic::*;
use postbarrow_downstream::client_watch::{ClientWatch, Waited};
use postbarrow_downstream::memory::{Memory, Reserved};
use postbarrow_node::{Passed, TargetResponse};
use postbarrow_state::Target;
use postbarrow_transport::{Interest, clock_ms, give_up_unheard};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

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

/// Who may end the passing of a request, and how its response is judged.
pub struct Terms<'a> {
    /// Asked once, right before the first byte.
    pub may_send: &'a dyn Fn() -> bool,
    /// Whose leaving ends the work.
    pub client: &'a ClientWatch<'a>,
    /// What a response is worth; the second value says whether it is the connection's first.
    pub judge: &'a dyn Fn(&TargetResponse, bool) -> Heard,
}

/// Why a wait on a connection came to nothing.
enum Interrupted {
    Late,
    ClientLeft,
    Failed(String),
}

const CLIENT_LEFT: &str = "the client left";

impl TargetConnection {
    /// Connects, within `TARGET_CONNECT_MS` and until a moment of the boot-time clock, unless the
    /// client leaves before.
    ///
    /// # Errors
    /// Why there is no connection.
    pub fn open(
        address: SocketAddr,
        until_ms: u64,
        client: &ClientWatch,
    ) -> Result<TargetConnection, String> {
        let until_ms = until_ms.min(clock_ms() + TARGET_CONNECT_MS);
        let stream = connect(address, until_ms, client).map_err(|why| format!("connect: {why}"))?;
        Ok(TargetConnection {
            stream,
            buffer: Vec::new(),
            start: 0,
            unheard_ms: 0,
            first: true,
            used_ms: clock_ms(),
            keep_ms: TARGET_IDLE_MS,
        })
    }

    /// Nothing came on it since it was given back, and the target has not closed it.
    pub fn is_fresh(&self) -> bool {
        let seen = self.stream.peek(&mut [0]);
        let is_quiet = seen.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        is_quiet && clock_ms() < self.used_ms + self.keep_ms
    }

    /// Asks who is there: instance, service and labels must be the target's own. Gives how many
    /// requests are at work at the target.
    ///
    /// # Errors
    /// No proof by then, or that of another target.
    pub fn prove(
        &mut self,
        target: &Target,
        until_ms: u64,
        client: &ClientWatch,
    ) -> Result<u64, String> {
        let host = ("Host".to_string(), target.address.to_string());
        let request = Outgoing {
            method: "GET",
            path: PROOF_PATH,
            headers: &[host],
            body: &[],
            until_ms,
            repeatable: true,
        };
        let terms = Terms { may_send: &|| true, client, judge: &|_, _| Heard::Whole };
        let space = Memory::new(HEAD_BYTES as u64);
        let mut memory = space.reserve(0).ok_or("no space for a proof")?;
        match self.exchange(&request, &terms, &mut memory) {
            (Passed::Whole(response), true) => check_proof(&response, target),
            (Passed::Whole(_), false) => Err("the target closes after its proof".into()),
            (Passed::Unsent(why) | Passed::NotRun(why) | Passed::Unknown { why, .. }, _) => {
                Err(format!("proof: {why}"))
            }
        }
    }

    /// Passes a request on, once. The connection comes back only if it may be used again.
    pub fn pass(
        mut self,
        request: &Outgoing<'_>,
        terms: &Terms<'_>,
        memory: &mut Reserved,
    ) -> (Passed, Option<TargetConnection>) {
        let (passed, is_reusable) = self.exchange(request, terms, memory);
        (passed, is_reusable.then_some(self))
    }

    /// Sends a request and reads up to its response; tells whether the connection rests clean.
    fn exchange(
        &mut self,
        request: &Outgoing<'_>,
        terms: &Terms<'_>,
        memory: &mut Reserved,
    ) -> (Passed, bool) {
        let bytes = encode(request);
        self.be_patient(request.repeatable);
        if !(terms.may_send)() {
            return (Passed::Unsent("no longer allowed".into()), false);
        }
        if let Err((sent, interrupted)) = self.write(&bytes, request.until_ms, terms.client) {
            let why = interrupted.why("sending");
            let passed = match sent {
                0 => Passed::Unsent(why),
                _ => Passed::Unknown { late: false, why },
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
    ) -> (Passed, bool) {
        loop {
            let read = self.read(request, terms.client, memory);
            let (response, keeps_open) = match read {
                Ok(read) => read,
                Err(interrupted) => {
                    let late = matches!(interrupted, Interrupted::Late);
                    let why = interrupted.why("reading");
                    return (Passed::Unknown { late, why }, false);
                }
            };
            let heard = (terms.judge)(&response, self.first);
            self.first = false;
            let passed = match heard {
                Heard::Another if keeps_open => continue,
                Heard::Another => Passed::Unknown { late: false, why: "another's".into() },
                Heard::Unsound(why) => return (Passed::Unknown { late: false, why }, false),
                Heard::NotRun(why) => Passed::NotRun(why),
                Heard::Whole => Passed::Whole(response),
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

    fn be_patient(&mut self, repeatable: bool) {
        let unheard_ms = if repeatable { TARGET_UNHEARD_MS } else { 0 };
        if unheard_ms != self.unheard_ms {
            let _ = give_up_unheard(&self.stream, unheard_ms);
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
            Ok(Waited::Ready) => Ok(()),
            Ok(Waited::ClientLeft) => Err(Interrupted::ClientLeft),
            Ok(Waited::TimedOut) => Err(Interrupted::Late),
            Err(error) => Err(Interrupted::Failed(error.to_string())),
        }
    }

    /// Reads at least one byte more.
    fn more(&mut self, until_ms: u64, client: &ClientWatch) -> Result<(), Interrupted> {
        loop {
            self.wait(Interest::Read, until_ms, client)?;
            let had = self.buffer.len();
            self.buffer.resize(had + READ_BYTES, 0);
            let read = self.stream.read(&mut self.buffer[had..]);
            self.buffer.truncate(had + read.as_ref().map_or(0, |length| *length));
            match read {
                Ok(0) => return Err(Interrupted::Failed("closed before the end".into())),
                Ok(_) => return Ok(()),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock | ErrorKind::Interrupted => {}
                    _ => return Err(Interrupted::Failed(error.to_string())),
                },
            }
        }
    }

    /// One whole response, and whether the target keeps the connection open after it.
    fn read(
        &mut self,
        request: &Outgoing<'_>,
        client: &ClientWatch,
        memory: &mut Reserved,
    ) -> Result<(TargetResponse, bool), Interrupted> {
        let parsed = self.read_head(request, client)?;
        let mut response = parsed.response;
        response.body = match parsed.size {
            Size::Bytes(size) => self.read_sized(size, request.until_ms, client, memory)?,
            Size::Chunks => self.read_chunks(request.until_ms, client, memory)?,
        };
        Ok((response, parsed.again))
    }

    /// The head of a final response; interim ones are passed over.
    fn read_head(
        &mut self,
        request: &Outgoing<'_>,
        client: &ClientWatch,
    ) -> Result<Parsed, Interrupted> {
        loop {
            let rest = &self.buffer[self.start..];
            match answer::parse(rest, request.method).map_err(Interrupted::Failed)? {
                None if rest.len() > HEAD_BYTES => {
                    return Err(Interrupted::Failed("its head is too large".into()));
                }
                None => self.more(request.until_ms, client)?,
                Some(parsed) => {
                    self.start += parsed.length;
                    self.keep_ms = parsed.keep_ms.unwrap_or(self.keep_ms);
                    if parsed.response.status >= FIRST_FINAL_STATUS {
                        return Ok(parsed);
                    }
                }
            }
        }
    }

    fn read_sized(
        &mut self,
        size: usize,
        until_ms: u64,
        client: &ClientWatch,
        memory: &mut Reserved,
    ) -> Result<Vec<u8>, Interrupted> {
        if size > RESPONSE_BYTES || !memory.grow(size as u64) {
            return Err(no_space());
        }
        self.buffer.reserve(size.saturating_sub(self.buffer.len() - self.start));
        while self.buffer.len() - self.start < size {
            self.more(until_ms, client)?;
        }
        let body = self.buffer[self.start..self.start + size].to_vec();
        self.start += size;
        Ok(body)
    }

    fn read_chunks(
        &mut self,
        until_ms: u64,
        client: &ClientWatch,
        memory: &mut Reserved,
    ) -> Result<Vec<u8>, Interrupted> {
        let mut body = Vec::new();
        loop {
            let rest = &self.buffer[self.start..];
            let Some((used, part)) = answer::chunk(rest).map_err(Interrupted::Failed)? else {
                self.more(until_ms, client)?;
                continue;
            };
            if !memory.grow(part.len() as u64) || body.len() + part.len() > RESPONSE_BYTES {
                return Err(no_space());
            }
            let is_last = part.is_empty();
            body.extend_from_slice(&rest[part]);
            self.start += used;
            if is_last {
                return Ok(body);
            }
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

fn no_space() -> Interrupted {
    Interrupted::Failed("this node has no space for it".into())
}

fn connect(address: SocketAddr, until_ms: u64, client: &ClientWatch) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => return Err(error),
        _ => {}
    }
    let stream = TcpStream::from(socket);
    match client.wait_for(&stream, Interest::Write, until_ms)? {
        Waited::Ready => stream.take_error()?.map_or(Ok(stream), Err),
        Waited::ClientLeft => Err(io::Error::other(CLIENT_LEFT)),
        Waited::TimedOut => Err(ErrorKind::TimedOut.into()),
    }
}

/// The bytes of a request, with a length of its own for its body.
fn encode(request: &Outgoing<'_>) -> Vec<u8> {
    let Outgoing { method, path, headers, body, .. } = request;
    let mut bytes = Vec::with_capacity(HEAD_GUESS_BYTES + body.len());
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

fn check_proof(response: &TargetResponse, target: &Target) -> Result<u64, String> {
    if response.status != 200 {
        return Err(format!("proof: status {}", response.status));
    }
    let text = std::str::from_utf8(&response.body).map_err(|error| format!("proof: {error}"))?;
    let proof = read_proof(text)?;
    if proof.instance != target.instance
        || proof.service != target.service
        || proof.labels != target.labels
    {
        return Err(format!("another target stands at {}", target.address));
    }
    Ok(proof.occupancy)
}
