//! Fetches pages of the platform's endpoint list over HTTP.

use crate::Dialect;
use crate::command::{Command, PageRequest};
use postbarrow_constants::nodes::*;
use postbarrow_controller::{Fetched, PageResult};
use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use ureq::Agent;

/// Starts the fetchers, `LIST_IN_FLIGHT` threads that share one queue, and returns the sender of
/// that queue.
///
/// # Errors
/// A thread can't be started.
pub fn start(
    url: String,
    dialect: Arc<dyn Dialect>,
    commands: Sender<Command>,
) -> io::Result<Sender<PageRequest>> {
    let (queue, requests) = channel::<PageRequest>();
    let requests = Arc::new(Mutex::new(requests));
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(Duration::from_millis(LIST_PAGE_WAIT_MS)))
        .build();
    let agent = Agent::new_with_config(config);
    for number in 0..LIST_IN_FLIGHT {
        let fetcher = Fetcher { agent: agent.clone(), url: url.clone(), dialect: dialect.clone() };
        let (requests, commands) = (requests.clone(), commands.clone());
        thread::Builder::new()
            .name(format!("list {number}"))
            .spawn(move || fetcher.run(&requests, &commands))?;
    }
    Ok(queue)
}

struct Fetcher {
    agent: Agent,
    url: String,
    dialect: Arc<dyn Dialect>,
}

impl Fetcher {
    fn run(self, requests: &Mutex<Receiver<PageRequest>>, commands: &Sender<Command>) {
        loop {
            let next = requests.lock().ok().and_then(|requests| requests.recv().ok());
            let Some(PageRequest { number, cursor }) = next else { return };
            let fetched = self.fetch_in_spite_of_panics(cursor.as_deref());
            if commands.send(Command::Page(PageResult { number, fetched })).is_err() {
                return;
            }
        }
    }

    /// Fetches a page. A panic is a failed fetch and not the end of the fetcher: the HTTP client
    /// panics where the system has no thread left for it, which may be so for a moment only.
    fn fetch_in_spite_of_panics(&self, cursor: Option<&str>) -> Fetched {
        let fetched = panic::catch_unwind(AssertUnwindSafe(|| self.fetch(cursor)));
        fetched.unwrap_or_else(|_| Fetched::Failed("the fetch panicked".into()))
    }

    fn fetch(&self, cursor: Option<&str>) -> Fetched {
        let mut request = self.agent.get(&self.url);
        if let Some(cursor) = cursor {
            request = request.query(self.dialect.cursor_parameter(), cursor);
        }
        match request.call() {
            Ok(response) => self.read(response),
            Err(error) => Fetched::Failed(error.to_string()),
        }
    }

    fn read(&self, mut response: ureq::http::Response<ureq::Body>) -> Fetched {
        match response.status().as_u16() {
            200 => {
                let limit = LIST_PAGE_BYTES as u64 + 1;
                match response.body_mut().with_config().limit(limit).read_to_vec() {
                    Ok(bytes) => self
                        .dialect
                        .parse_page(&bytes)
                        .map_or_else(|error| Fetched::Failed(error.findings), Fetched::Parsed),
                    Err(error) => Fetched::Failed(error.to_string()),
                }
            }
            429 | 503 => Fetched::RateLimited { wait_ms: retry_after_ms(&response) },
            status => Fetched::Failed(format!("status {status}")),
        }
    }
}

/// Returns the Retry-After header (RFC 9110, 10.2.3) in milliseconds. Fractions of a second are
/// accepted. Without the header, or with a date in it, returns `LIST_PAUSE_MS`.
fn retry_after_ms(response: &ureq::http::Response<ureq::Body>) -> u64 {
    let header = response.headers().get("retry-after");
    let wait_s = header.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    wait_s.map_or(LIST_PAUSE_MS as f64, |wait_s| (wait_s * 1_000.0).max(0.0)) as u64
}

#[cfg(test)]
mod tests;
