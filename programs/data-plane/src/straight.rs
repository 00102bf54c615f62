use crate::dialect::{Heard, Named};
use crate::wire::Gate;
use postbarrow_constants::traffic::*;
use postbarrow_downstream::head::Head;
use postbarrow_downstream::memory::Reserved;
use postbarrow_node::{Passed, TargetResponse};
use postbarrow_transport::{clock_ms, give_up_unheard};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// A connection to a target that is named in each ask, read byte by byte so that whose response it
/// is can be told.
pub struct Straight {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    wait_ms: u64,
    unheard_ms: u64,
    first: bool,
    used_ms: u64,
    keep_ms: u64,
}

pub struct Sent<'a> {
    pub head: &'a Head,
    pub headers: &'a [(String, String)],
    pub body: &'a [u8],
    pub wait_ms: u64,
    /// Another target may be asked instead, so a machine that hears nothing is left soon.
    pub repeatable: bool,
    pub gate: Gate,
}

enum Unread {
    Late,
    Failed(String),
}

impl Straight {
    pub fn open(address: SocketAddr, wait_ms: u64) -> Result<Straight, String> {
        let wait = Duration::from_millis(wait_ms.clamp(1, TARGET_CONNECT_MS));
        let open = || {
            let stream = TcpStream::connect_timeout(&address, wait)?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let stream = open().map_err(|error: std::io::Error| format!("connect: {error}"))?;
        let (buffer, used_ms) = (Vec::new(), clock_ms());
        let keep_ms = TARGET_IDLE_MS;
        Ok(Straight {
            stream,
            buffer,
            start: 0,
            wait_ms: 0,
            unheard_ms: 0,
            first: true,
            used_ms,
            keep_ms,
        })
    }

    /// Nothing came on it since it was given back, and the target has not closed it.
    pub fn is_fresh(&self) -> bool {
        let mut byte = [0u8; 1];
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        let seen =
            unsafe { libc::recv(self.stream.as_raw_fd(), byte.as_mut_ptr().cast(), 1, flags) };
        let quiet = seen < 0 && std::io::Error::last_os_error().kind() == ErrorKind::WouldBlock;
        quiet && clock_ms() < self.used_ms + self.keep_ms
    }

    /// Sends one ask and reads its response. The connection comes back if it may be used again.
    pub fn pass(
        mut self,
        sent: Sent<'_>,
        named: &dyn Named,
        memory: &mut Reserved,
    ) -> (Passed, Option<Straight>) {
        let until_ms = clock_ms() + sent.wait_ms.max(1);
        let mut out = Vec::with_capacity(512);
        let _ = write!(out, "{} {} HTTP/1.1\r\n", sent.head.method, sent.head.target);
        for (name, value) in sent.headers {
            let _ = write!(out, "{name}: {value}\r\n");
        }
        let bodiless = matches!(sent.head.method.as_str(), "GET" | "HEAD" | "OPTIONS" | "DELETE");
        if !sent.body.is_empty() || !bodiless {
            let _ = write!(out, "Content-Length: {}\r\n", sent.body.len());
        }
        out.extend_from_slice(b"\r\n");
        if !(sent.gate)() {
            return (Passed::Unsent("no longer allowed".into()), None);
        }
        out.extend_from_slice(sent.body);
        let unheard_ms = if sent.repeatable { TARGET_UNHEARD_MS } else { 0 };
        if unheard_ms != self.unheard_ms {
            let _ = give_up_unheard(&self.stream, unheard_ms);
            self.unheard_ms = unheard_ms;
        }
        if let Err((bytes, why)) = self.write(&out, until_ms) {
            let passed = match bytes {
                0 => Passed::Unsent(why),
                _ => Passed::Unknown { late: false, why },
            };
            return (passed, None);
        }
        drop(out);
        loop {
            let read = self.read(&sent.head.method, until_ms, memory);
            let (response, again) = match read {
                Ok(read) => read,
                Err(Unread::Late) => {
                    return (Passed::Unknown { late: true, why: "silent".into() }, None);
                }
                Err(Unread::Failed(why)) => return (Passed::Unknown { late: false, why }, None),
            };
            let heard = named.heard(sent.head, &response, self.first);
            self.first = false;
            let passed = match heard {
                Heard::Another if again => continue,
                Heard::Another => Passed::Unknown { late: false, why: "another's".into() },
                Heard::Unsound(why) => return (Passed::Unknown { late: false, why }, None),
                Heard::NotRun(why) => Passed::NotRun(why),
                Heard::Whole => Passed::Whole(response),
            };
            self.used_ms = clock_ms();
            let clean = again && self.start == self.buffer.len();
            self.buffer = Vec::new();
            self.start = 0;
            return (passed, clean.then_some(self));
        }
    }

    fn write(&mut self, bytes: &[u8], until_ms: u64) -> Result<(), (usize, String)> {
        let mut done = 0;
        while done < bytes.len() {
            if done > 0 || bytes.len() > WRITE_BYTES {
                let left_ms = until_ms.saturating_sub(clock_ms());
                if left_ms == 0 {
                    return Err((done, "late while sending".into()));
                }
                let _ = self.stream.set_write_timeout(Some(Duration::from_millis(left_ms)));
            }
            match self.stream.write(&bytes[done..]) {
                Ok(0) => return Err((done, "closed while sending".into())),
                Ok(length) => done += length,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err((done, format!("sending: {error}"))),
            }
        }
        Ok(())
    }

    fn more(&mut self, until_ms: u64) -> Result<(), Unread> {
        let left_ms = until_ms.saturating_sub(clock_ms());
        if left_ms == 0 {
            return Err(Unread::Late);
        }
        if left_ms > self.wait_ms || left_ms + TIMEOUT_SLACK_MS < self.wait_ms {
            self.wait_ms = left_ms;
            let _ = self.stream.set_read_timeout(Some(Duration::from_millis(left_ms)));
        }
        let had = self.buffer.len();
        self.buffer.resize(had + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[had..]);
        self.buffer.truncate(had + read.as_ref().map_or(0, |length| *length));
        match read {
            Ok(0) => Err(Unread::Failed("closed before the end".into())),
            Ok(_) => Ok(()),
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => Ok(()),
                _ => Err(Unread::Failed(format!("reading: {error}"))),
            },
        }
    }

    /// One whole response, and whether the connection may be used again after it.
    fn read(
        &mut self,
        method: &str,
        until_ms: u64,
        memory: &mut Reserved,
    ) -> Result<(TargetResponse, bool), Unread> {
        let (mut response, again, size) = loop {
            match crate::answer::parse(&self.buffer[self.start..], method) {
                Err(why) => return Err(Unread::Failed(why)),
                Ok(None) if self.buffer.len() - self.start > HEAD_BYTES => {
                    return Err(Unread::Failed("its head is too large".into()));
                }
                Ok(None) => self.more(until_ms)?,
                Ok(Some(parsed)) => {
                    self.start += parsed.length;
                    if let Some(keep_ms) = parsed.keep_ms {
                        self.keep_ms = keep_ms;
                    }
                    if parsed.response.status < 200 {
                        continue;
                    }
                    break (parsed.response, parsed.again, parsed.size);
                }
            }
        };
        let full = || Unread::Failed("this node has no space for it".into());
        match size {
            crate::answer::Size::Bytes(size) => {
                if size > RESPONSE_BYTES || !memory.grow(size as u64) {
                    return Err(full());
                }
                self.buffer.reserve(size.saturating_sub(self.buffer.len() - self.start));
                while self.buffer.len() - self.start < size {
                    self.more(until_ms)?;
                }
                response.body = self.buffer[self.start..self.start + size].to_vec();
                self.start += size;
            }
            crate::answer::Size::Chunks => loop {
                let rest = &self.buffer[self.start..];
                match crate::answer::chunk(rest).map_err(Unread::Failed)? {
                    None => self.more(until_ms)?,
                    Some((used, part)) => {
                        if !memory.grow(part.len() as u64)
                            || response.body.len() + part.len() > RESPONSE_BYTES
                        {
                            return Err(full());
                        }
                        let last = part.is_empty();
                        response.body.extend_from_slice(&rest[part]);
                        self.start += used;
                        if last {
                            break;
                        }
                    }
                }
            },
        }
        Ok((response, again))
    }
}
