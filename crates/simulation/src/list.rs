//! The platform's list of targets: paged, lagging, limited, and at times in trouble.

use crate::event::Event;
use crate::world::World;
use postbarrow_controller::{Fetched, PageResult};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const PAGES: usize = 4;
const PAGE_LEAST: usize = 4;
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
pub enum Trouble {
    #[default]
    None,
    Slow,
    Limited,
    Down,
    /// One answer without rows, though targets are there.
    Empty,
    /// One answer that ends after the first page.
    Less,
    Garbled,
    /// Cursors lead back to the start.
    Round,
    /// A row comes and goes at the front, so that all others shift between pages.
    Shifts,
    /// Some answers never come.
    Lost,
}

/// The platform's list; `left` tells when it first showed an instance leaving or gone.
#[derive(Default)]
pub struct PlatformList {
    pub rows: BTreeMap<String, Row>,
    pub left: BTreeMap<String, u64>,
    pub trouble: Trouble,
    served: VecDeque<u64>,
    /// Whether its next first page is still to be told wrong.
    glitch: bool,
    /// Times in which it refused or was out of reach, and so showed nothing.
    pub mute: Vec<(u64, u64)>,
    down_us: Option<u64>,
    pub refusals: u64,
}

impl PlatformList {
    pub fn heal(&mut self, now_us: u64) {
        self.trouble = Trouble::None;
        if let Some(since_us) = self.down_us.take() {
            self.mute.push((since_us, now_us));
        }
        self.rows.remove("a-passing-row");
    }

    /// How much of this time it showed nothing.
    pub fn mute_us(&self, from_us: u64, to_us: u64) -> u64 {
        let open = self.down_us.map(|since_us| (since_us, to_us));
        let spans = self.mute.iter().copied().chain(open);
        spans.map(|(since, until)| until.min(to_us).saturating_sub(since.max(from_us))).sum()
    }

    fn takes(&mut self, now_us: u64, word_us: u64) -> bool {
        let rate = if self.trouble == Trouble::Limited { 5 } else { 8 };
        self.served.retain(|at_us| now_us < at_us + WINDOW_US);
        if self.served.len() >= rate {
            self.refusals += 1;
            self.mute.push((now_us, now_us + word_us + RETRY_MS * 1_000));
            return false;
        }
        self.served.push_back(now_us);
        true
    }

    fn page(&self, cursor: Option<&str>, glitch: bool) -> String {
        let from = cursor.and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let rows: Vec<String> = self
            .rows
            .iter()
            .skip(from)
            .take(PAGE_LEAST.max(self.rows.len().div_ceil(PAGES)))
            .map(|(instance, row)| {
                format!(
                    "{{\"instance\":\"{instance}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"draining\":{}}}",
                    row.service, row.address, row.zone, row.draining
                )
            })
            .collect();
        let to = from + rows.len();
        let brief = self.trouble == Trouble::Less && glitch;
        let next = match self.trouble {
            Trouble::Round if to >= self.rows.len() => "\"0\"".into(),
            _ if to >= self.rows.len() || brief => "null".into(),
            _ => format!("\"{to}\""),
        };
        format!("{{\"targets\":[{}],\"next\":{next}}}", rows.join(","))
    }
}

impl World {
    pub fn trouble(&mut self, trouble: Trouble) {
        self.list.heal(self.now_us);
        self.list.trouble = trouble;
        self.list.glitch = true;
        if matches!(trouble, Trouble::Down | Trouble::Round | Trouble::Lost) {
            self.list.down_us = Some(self.now_us);
        }
    }

    /// The list is paged, slow and rate-limited; a page is read at some moment on its way.
    pub fn fetch(&mut self, at: usize, number: u64, cursor: Option<String>) {
        let life = self.control[at].life;
        let slow = self.list.trouble == Trouble::Slow;
        let read_us = if slow {
            self.random.between(50_000, 150_000)
        } else {
            self.random.between(2_000, 50_000)
        };
        let event = Event::ListRead { at, life, number, cursor };
        match self.list.takes(self.now_us, read_us) {
            true => self.after(read_us, event),
            false => {
                let result = PageResult { number, fetched: Fetched::Limited { wait_ms: RETRY_MS } };
                self.after(read_us, Event::Page { at, life, result });
            }
        }
    }

    pub fn list_read(&mut self, at: usize, life: u64, number: u64, cursor: Option<String>) {
        let glitch = cursor.is_none() && std::mem::take(&mut self.list.glitch);
        let page = self.list.page(cursor.as_deref(), glitch).into_bytes();
        let drawn = self.random.below(100);
        let fetched = match self.list.trouble {
            Trouble::Down => Fetched::Failed("the list is not there".into()),
            Trouble::Empty if glitch => Fetched::Page(b"{\"targets\":[],\"next\":null}".to_vec()),
            Trouble::Garbled if drawn < 20 => Fetched::Page(page[..page.len() / 2].to_vec()),
            Trouble::Lost if drawn < 30 => return,
            _ if drawn == 99 => Fetched::Failed("the list is not there".into()),
            _ => Fetched::Page(page),
        };
        if self.list.trouble == Trouble::Shifts {
            self.shift();
        }
        let slow = self.list.trouble == Trouble::Slow;
        let took_us = if slow {
            self.random.between(50_000, 150_000)
        } else {
            self.random.between(2_000, 60_000)
        };
        let result = PageResult { number, fetched };
        self.after(took_us, Event::Page { at, life, result });
    }

    fn shift(&mut self) {
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
