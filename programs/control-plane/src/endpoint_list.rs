use crate::Dialect;
use crate::core::{Command, Fetch};
use postbarrow_constants::nodes::*;
use postbarrow_controller::{Fetched, PageResult};
use std::io;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use ureq::Agent;

/// Fetches pages of the platform's list as the controller asks for them, a few beside each other.
pub fn start(
    url: String,
    dialect: Arc<dyn Dialect>,
    commands: Sender<Command>,
) -> io::Result<Sender<Fetch>> {
    let (queue, fetches) = channel::<Fetch>();
    let fetches = Arc::new(Mutex::new(fetches));
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(Duration::from_millis(LIST_PAGE_WAIT_MS)))
        .build();
    let agent = Agent::new_with_config(config);
    for at in 0..LIST_IN_FLIGHT {
        let (url, commands, fetches) = (url.clone(), commands.clone(), fetches.clone());
        let (agent, dialect) = (agent.clone(), dialect.clone());
        thread::Builder::new().name(format!("list {at}")).spawn(move || {
            loop {
                let next = fetches.lock().ok().and_then(|fetches| fetches.recv().ok());
                let Some(Fetch { number, cursor }) = next else { return };
                let fetched = get(&agent, &url, cursor.as_deref(), dialect.as_ref());
                if commands.send(Command::Page(PageResult { number, fetched })).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(queue)
}

fn get(agent: &Agent, url: &str, cursor: Option<&str>, dialect: &dyn Dialect) -> Fetched {
    let mut request = agent.get(url);
    if let Some(cursor) = cursor {
        request = request.query(dialect.cursor_parameter(), cursor);
    }
    let mut response = match request.call() {
        Ok(response) => response,
        Err(error) => return Fetched::Failed(error.to_string()),
    };
    match response.status().as_u16() {
        200 => {
            let limit = LIST_PAGE_BYTES as u64 + 1;
            match response.body_mut().with_config().limit(limit).read_to_vec() {
                Ok(bytes) => {
                    dialect.parse_page(&bytes).map_or_else(Fetched::Failed, Fetched::Listed)
                }
                Err(error) => Fetched::Failed(error.to_string()),
            }
        }
        429 | 503 => {
            let header = response.headers().get("retry-after");
            let told = header.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
            let wait_ms = told.map_or(LIST_PAUSE_MS as f64, |wait_s| (wait_s * 1_000.0).max(0.0));
            Fetched::Limited { wait_ms: wait_ms as u64 }
        }
        status => Fetched::Failed(format!("status {status}")),
    }
}
