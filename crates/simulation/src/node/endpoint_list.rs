//! The platform's endpoint list, which is paged and rate-limited, lags behind the targets, and may
//! be faulty.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of pages of the list.
const MAX_PAGES: usize = 4;

/// Minimum number of rows on each page but the last.
const MIN_PAGE_ROWS: usize = 4;

/// Time span over which the rate limit counts the served pages, in microseconds.
const RATE_WINDOW_US: u64 = 1_000_000;

/// Delay before the next fetch that the rate limit returns with a refusal, in milliseconds.
pub const RETRY_MS: u64 = 1_000;

/// One row of the endpoint list, which describes a target.
pub struct Row {
    /// The name of the target's service.
    pub service: String,
    /// The address at which the target accepts requests.
    pub address: SocketAddr,
    /// The zone in which the target runs.
    pub zone: &'static str,
    /// Whether the list shows the target as draining.
    pub draining: bool,
}

/// A fault of the endpoint list, which lasts until it is healed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFault {
    /// The list is correct.
    #[default]
    None,
    /// A page takes 50 to 150 ms until it is read, and another 50 to 150 ms until it arrives.
    Slow,
    /// The rate limit is 5 pages a second instead of 8.
    Limited,
    /// Every fetch fails.
    Down,
    /// One first page has no rows and no cursor, although targets are listed.
    Empty,
    /// One first page has no cursor, so that the list seems to end there.
    Truncated,
    /// A fifth of the pages are cut off in the middle.
    Garbled,
    /// The cursor of the last page leads back to the first page.
    CursorLoop,
    /// A row appears and disappears before all others, so that rows shift between pages while the
    /// list is read.
    ShiftingRows,
    /// Three of ten pages are lost on their way to the control node.
    LostPages,
}

/// The endpoint list, its present fault and its history.
#[derive(Default)]
pub struct PlatformList {
    /// The rows of the list, by the target's instance.
    pub rows: BTreeMap<String, Row>,
    /// The true time at which the list first showed an instance as draining or gone, in
    /// microseconds, by instance.
    pub departures: BTreeMap<String, u64>,
    /// The active fault.
    pub fault: ListFault,
    /// The times at which the rate limit permitted fetches within the last second, in microseconds.
    pub(crate) permitted_us: VecDeque<u64>,
    /// Whether the fault of a first page is still due for the next read of that page.
    pub(crate) faulty_page_due: bool,
    /// Time spans, from and to in microseconds, in which the rate limit or a fault kept control
    /// nodes from reading the whole list.
    pub unavailable: Vec<(u64, u64)>,
    /// The time since which the active fault keeps control nodes from reading the whole list, in
    /// microseconds; `None` without such a fault.
    pub(crate) down_us: Option<u64>,
    /// Number of fetches that the rate limit refused.
    pub refusals: u64,
}

impl PlatformList {
    /// Ends the active fault.
    pub fn heal(&mut self, now_us: u64) {
        self.fault = ListFault::None;
        if let Some(since_us) = self.down_us.take() {
            self.unavailable.push((since_us, now_us));
        }
        self.rows.remove("a-passing-row");
    }

    /// Returns the sum, in microseconds, of the spans between these two times in which the rate
    /// limit or a fault kept control nodes from reading the whole list; where spans overlap, each
    /// counts.
    pub fn unavailable_us(&self, from_us: u64, to_us: u64) -> u64 {
        let open = self.down_us.map(|since_us| (since_us, to_us));
        let spans = self.unavailable.iter().copied().chain(open);
        spans.map(|(since, until)| until.min(to_us).saturating_sub(since.max(from_us))).sum()
    }

    /// Returns whether the rate limit permits a fetch now. A refused fetch makes the list count as
    /// unavailable until `RETRY_MS` after its response, which takes `response_us`.
    pub(crate) fn permits(&mut self, now_us: u64, response_us: u64) -> bool {
        let max_pages = if self.fault == ListFault::Limited { 5 } else { 8 };
        self.permitted_us.retain(|at_us| now_us < at_us + RATE_WINDOW_US);
        if self.permitted_us.len() >= max_pages {
            self.refusals += 1;
            self.unavailable.push((now_us, now_us + response_us + RETRY_MS * 1_000));
            return false;
        }
        self.permitted_us.push_back(now_us);
        true
    }

    /// Returns the JSON text of the page at this cursor, or of the first page if there is none.
    pub(crate) fn page(&self, cursor: Option<&str>, faulty_page_due: bool) -> String {
        let from = cursor.and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let rows: Vec<String> = self
            .rows
            .iter()
            .skip(from)
            .take(MIN_PAGE_ROWS.max(self.rows.len().div_ceil(MAX_PAGES)))
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
