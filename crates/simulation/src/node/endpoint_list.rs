//! The platform's endpoint list: paged, lagging, rate-limited, and at times faulty.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const PAGES: usize = 4;

const MIN_PAGE_ROWS: usize = 4;

const WINDOW_US: u64 = 1_000_000;

/// How long a refused fetch has to wait, in milliseconds.
pub const RETRY_MS: u64 = 1_000;

/// A target as the endpoint list shows it.
pub struct Row {
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: &'static str,
    /// Whether it is draining.
    pub draining: bool,
}

/// A fault of the endpoint list itself, until it is healed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFault {
    /// No fault.
    #[default]
    None,
    /// A page takes 50 to 150 ms until it is read, and as long again until it arrives.
    Slow,
    /// The rate limit is 5 pages a second instead of 8.
    Limited,
    /// Every fetch fails.
    Down,
    /// One response without rows, though targets are there.
    Empty,
    /// One response that ends after the first page.
    Truncated,
    /// A fifth of the pages ends halfway.
    Garbled,
    /// Cursors lead back to the start.
    CursorLoop,
    /// A row appears and disappears at the front, so that all others shift between pages.
    ShiftingRows,
    /// Three of ten responses are lost.
    LostPages,
}

/// The endpoint list; `departures` has when it first showed an instance as draining or gone.
#[derive(Default)]
pub struct PlatformList {
    /// Rows by instance.
    pub rows: BTreeMap<String, Row>,
    /// When an instance was first shown as draining or gone, in microseconds.
    pub departures: BTreeMap<String, u64>,
    /// The present fault.
    pub fault: ListFault,
    pub(crate) served: VecDeque<u64>,
    /// Whether its next first page is to be wrong.
    pub(crate) faulty_page_due: bool,
    /// Spans in which it refused or failed, and so showed nothing.
    pub unavailable: Vec<(u64, u64)>,
    pub(crate) down_us: Option<u64>,
    /// Fetches that the rate limit refused.
    pub refusals: u64,
}

impl PlatformList {
    /// Ends the present fault.
    pub fn heal(&mut self, now_us: u64) {
        self.fault = ListFault::None;
        if let Some(since_us) = self.down_us.take() {
            self.unavailable.push((since_us, now_us));
        }
        self.rows.remove("a-passing-row");
    }

    /// For how much of this span it showed nothing, in microseconds.
    pub fn unavailable_us(&self, from_us: u64, to_us: u64) -> u64 {
        let open = self.down_us.map(|since_us| (since_us, to_us));
        let spans = self.unavailable.iter().copied().chain(open);
        spans.map(|(since, until)| until.min(to_us).saturating_sub(since.max(from_us))).sum()
    }

    pub(crate) fn permits(&mut self, now_us: u64, response_us: u64) -> bool {
        let rate = if self.fault == ListFault::Limited { 5 } else { 8 };
        self.served.retain(|at_us| now_us < at_us + WINDOW_US);
        if self.served.len() >= rate {
            self.refusals += 1;
            self.unavailable.push((now_us, now_us + response_us + RETRY_MS * 1_000));
            return false;
        }
        self.served.push_back(now_us);
        true
    }

    pub(crate) fn page(&self, cursor: Option<&str>, faulty_page_due: bool) -> String {
        let from = cursor.and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let rows: Vec<String> = self
            .rows
            .iter()
            .skip(from)
            .take(MIN_PAGE_ROWS.max(self.rows.len().div_ceil(PAGES)))
            .map(|(instance, row)| {
                format!(
                    "{{\"instance\":\"{instance}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"draining\":{}}}",
                    row.service, row.address, row.zone, row.draining
                )
            })
            .collect();
        let to = from + rows.len();
        let is_truncated = self.fault == ListFault::Truncated && faulty_page_due;
        let next = match self.fault {
            ListFault::CursorLoop if to >= self.rows.len() => "\"0\"".into(),
            _ if to >= self.rows.len() || is_truncated => "null".into(),
            _ => format!("\"{to}\""),
        };
        format!("{{\"targets\":[{}],\"next\":{next}}}", rows.join(","))
    }
}
