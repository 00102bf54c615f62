//! The platform's list of targets: paged, lagging, limited, and at times in trouble.

use crate::event::Event;
use crate::world::World;
use postbarrow_controller::{Fetched, PageResult};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const PAGES: usize = 4;
const MIN_PAGE_ROWS: usize = 4;
const WINDOW_US: u64 = 1_000_000;
const RETRY_MS: u64 = 1_000;

pub struct Row {
    pub service: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub draining: bool,
}

/// What goes wrong with the list itself, until it is healed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListFault {
    #[default]
    None,
    Slow,
    Limited,
    Down,
    /// One answer without rows, though targets are there.
    Empty,
    /// One answer that ends after the first page.
    Truncated,
    Garbled,
    /// Cursors lead back to the start.
    CursorLoop,
    /// A row comes and goes at the front, so that all others shift between pages.
    ShiftingRows,
    /// Some answers never come.
    LostPages,
}

/// The platform's list; `left` tells when it first showed an instance leaving or gone.
#[derive(Default)]
pub struct PlatformList {
    pub rows: BTreeMap<String, Row>,
    pub departures: BTreeMap<String, u64>,
    pub fault: ListFault,
    served: VecDeque<u64>,
    /// Whether its next first page is still to be told wrong.
    faulty_page_due: bool,
    /// Times in which it refused or was out of reach, and so showed nothing.
    pub unavailable: Vec<(u64, u64)>,
    down_us: Option<u64>,
    pub refusals: u64,
}

impl PlatformList {
    pub fn heal(&mut self, now_us: u64) {
        self.fault = ListFault::None;
        if let Some(since_us) = self.down_us.take() {
            self.unavailable.push((since_us, now_us));
        }
        self.rows.remove("a-passing-row");
    }

    /// How much of this time it showed nothing.
    pub fn unavailable_us(&self, from_us: u64, to_us: u64) -> u64 {
        let open = self.down_us.map(|since_us| (since_us, to_us));
        let spans = self.unavailable.iter().copied().chain(open);
        spans.map(|(since, until)| until.min(to_us).saturating_sub(since.max(from_us))).sum()
    }

    fn permits(&mut self, now_us: u64, response_us: u64) -> bool {
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

    fn page(&self, cursor: Option<&str>, faulty_page_due: bool) -> String {
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

impl World {
    pub fn inject_list_fault(&mut self, fault: ListFault) {
        self.list.heal(self.now_us);
        self.list.fault = fault;
        self.list.faulty_page_due = true;
        if matches!(fault, ListFault::Down | ListFault::CursorLoop | ListFault::LostPages) {
            self.list.down_us = Some(self.now_us);
        }
    }

    /// The list is paged, slow and rate-limited; a page is read at some moment on its way.
    pub fn fetch(&mut self, at: usize, number: u64, cursor: Option<String>) {
        let incarnation = self.control[at].incarnation;
        let slow = self.list.fault == ListFault::Slow;
        let read_us = if slow {
            self.random.between(50_000, 150_000)
        } else {
            self.random.between(2_000, 50_000)
        };
        let event = Event::ListRead { at, incarnation, number, cursor };
        match self.list.permits(self.now_us, read_us) {
            true => self.after(read_us, event),
            false => {
                let result = PageResult { number, fetched: Fetched::Limited { wait_ms: RETRY_MS } };
                self.after(read_us, Event::Page { at, incarnation, result });
            }
        }
    }

    pub fn list_read(&mut self, at: usize, incarnation: u64, number: u64, cursor: Option<String>) {
        let faulty_page_due = cursor.is_none() && std::mem::take(&mut self.list.faulty_page_due);
        let page = self.list.page(cursor.as_deref(), faulty_page_due).into_bytes();
        let drawn = self.random.below(100);
        let fetched = match self.list.fault {
            ListFault::Down => Fetched::Failed("the list is not there".into()),
            ListFault::Empty if faulty_page_due => {
                Fetched::Page(b"{\"targets\":[],\"next\":null}".to_vec())
            }
            ListFault::Garbled if drawn < 20 => Fetched::Page(page[..page.len() / 2].to_vec()),
            ListFault::LostPages if drawn < 30 => return,
            _ if drawn == 99 => Fetched::Failed("the list is not there".into()),
            _ => Fetched::Page(page),
        };
        if self.list.fault == ListFault::ShiftingRows {
            self.shift_rows();
        }
        let slow = self.list.fault == ListFault::Slow;
        let took_us = if slow {
            self.random.between(50_000, 150_000)
        } else {
            self.random.between(2_000, 60_000)
        };
        let result = PageResult { number, fetched };
        self.after(took_us, Event::Page { at, incarnation, result });
    }

    fn shift_rows(&mut self) {
        if !self.random.chance(150) {
            return;
        }
        if self.list.rows.remove("a-passing-row").is_none() {
            let address = crate::world::address(5, 1, 80);
            let row = Row { service: "passing".into(), address, zone: "a", draining: false };
            self.list.rows.insert("a-passing-row".into(), row);
        }
    }
}
