//! A stand-in for the platform's endpoint list, which is paged, slow and rate-limited, and injects
//! the fault that a file names.

use crate::error::StandInError;
use gumdrop::Options;
use rouille::{Request, Response};
use std::str::FromStr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

// The options of the command `list`; a doc comment would be printed in its help.
#[derive(Debug, Options)]
pub struct ListOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", required, no_short)]
    http: String,
    #[options(
        help = "file with one target a line, JSON; read anew for each page",
        required,
        no_short
    )]
    file: String,
    #[options(help = "targets on a page", default = "10", no_short)]
    page: usize,
    #[options(help = "each page takes this long", default = "100", no_short)]
    slow_ms: u64,
    #[options(help = "pages a second, at most", default = "8", no_short)]
    rate: usize,
    #[options(
        long = "trouble",
        meta = "TROUBLE",
        help = "file whose word is its trouble: slow MS, rate N, down, empty, less",
        no_short
    )]
    fault_file: Option<String>,
}

/// The present fault of the list.
#[derive(Clone, Copy, PartialEq)]
enum ListFault {
    None,
    /// Each page is served after this delay, in milliseconds.
    Slow {
        delay_ms: u64,
    },
    /// At most this many pages per second are served.
    Limited {
        pages_per_s: usize,
    },
    /// Each request for a page gets status 500.
    Down,
    /// The list contains no targets.
    Empty,
    /// Each page claims to be the last, so that clients read only the first.
    FirstPageOnly,
}

impl FromStr for ListFault {
    type Err = std::convert::Infallible;

    /// An unknown name stands for no fault, and an invalid number for 0.
    fn from_str(text: &str) -> Result<ListFault, Self::Err> {
        let (name, number) = text.trim().split_once(' ').unwrap_or((text.trim(), "0"));
        let number: u64 = number.parse().unwrap_or(0);
        Ok(match name {
            "slow" => ListFault::Slow { delay_ms: number },
            "rate" => ListFault::Limited { pages_per_s: number as usize },
            "down" => ListFault::Down,
            "empty" => ListFault::Empty,
            "less" => ListFault::FirstPageOnly,
            _ => ListFault::None,
        })
    }
}

struct EndpointList {
    options: ListOptions,
    /// The times at which the pages of the last second were served.
    served: Mutex<Vec<Instant>>,
}

/// Serves the list until the process is ended.
///
/// # Panics
/// When the server can't listen on its address.
pub fn run(options: ListOptions) -> Result<(), StandInError> {
    let http = options.http.clone();
    let list = EndpointList { options, served: Mutex::new(Vec::new()) };
    rouille::start_server(http, move |request| list.serve(request))
}

impl EndpointList {
    /// Reads the present fault; no fault if its file is not set or can't be read.
    fn fault(&self) -> ListFault {
        let file = self.options.fault_file.as_ref();
        let text = file.and_then(|file| std::fs::read_to_string(file).ok()).unwrap_or_default();
        let Ok(fault) = text.parse();
        fault
    }

    fn serve(&self, request: &Request) -> Response {
        let fault = self.fault();
        let rate = match fault {
            ListFault::Limited { pages_per_s } => pages_per_s,
            _ => self.options.rate,
        };
        if !self.is_within_rate(rate) {
            return Response::text("too many")
                .with_status_code(429)
                .with_additional_header("Retry-After", "1");
        }
        let delay_ms = match fault {
            ListFault::Slow { delay_ms } => delay_ms,
            _ => self.options.slow_ms,
        };
        std::thread::sleep(Duration::from_millis(delay_ms));
        match fault {
            ListFault::Down => Response::text("out of order").with_status_code(500),
            ListFault::Empty => {
                Response::from_data("application/json", "{\"targets\":[],\"next\":null}")
            }
            _ => self.page(request, fault == ListFault::FirstPageOnly),
        }
    }

    /// Returns the page at the request's cursor; `is_last` omits the cursor of the next page.
    fn page(&self, request: &Request, is_last: bool) -> Response {
        let Ok(text) = std::fs::read_to_string(&self.options.file) else {
            return Response::text("no list").with_status_code(500);
        };
        let lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
        let cursor = request.get_param("cursor").and_then(|text| text.parse::<usize>().ok());
        let from = cursor.unwrap_or(0);
        let to = (from + self.options.page).min(lines.len());
        let rows = lines.get(from..to).unwrap_or_default().join(",");
        let next = if to < lines.len() && !is_last { format!("\"{to}\"") } else { "null".into() };
        let body = format!("{{\"targets\":[{rows}],\"next\":{next}}}");
        Response::from_data("application/json", body)
    }

    /// Returns whether another page may be served now, and counts it if so.
    fn is_within_rate(&self, pages_per_s: usize) -> bool {
        let Ok(mut served) = self.served.lock() else { return false };
        let now = Instant::now();
        served.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        let is_within = served.len() < pages_per_s;
        if is_within {
            served.push(now);
        }
        is_within
    }
}
