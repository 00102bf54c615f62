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
    downUs: Option<u64>,
    pub refusals: u64,
}

impl PlatformList {
    pub fn heal(&mut self, nowUs: u64) {
        self.trouble = Trouble::None;
        if let Some(sinceUs) = self.downUs.take() {
            self.mute.push((sinceUs, nowUs));
        }
        self.rows.remove("a-passing-row");
    }

    /// How much of this time it showed nothing.
    pub fn mute_us(&self, fromUs: u64, toUs: u64) -> u64 {
        let open = self.downUs.map(|sinceUs| (sinceUs, toUs));
        let spans = self.mute.iter().copied().chain(open);
        spans.map(|(since, until)| until.min(toUs).saturating_sub(since.max(fromUs))).sum()
    }

    fn takes(&mut self, nowUs: u64, wordUs: u64) -> bool {
        let rate = if self.trouble == Trouble::Limited { 5 } else { 8 };
        self.served.retain(|atUs| nowUs < atUs + WINDOW_US);
        if self.served.len() >= rate {
            self.refusals += 1;
            self.mute.push((nowUs, nowUs + wordUs + RETRY_MS * 1_000));
            return false;
        }
        self.served.push_back(nowUs);
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
        self.list.heal(self.nowUs);
        self.list.trouble = trouble;
        self.list.glitch = true;
        if matches!(trouble, Trouble::Down | Trouble::Round | Trouble::Lost) {
            self.list.downUs = Some(self.nowUs);
        }
    }

    /// The list is paged, slow and rate-limited; a page is read at some moment on its way.
    pub fn fetch(&mut self, at: usize, number: u64, cursor: Option<String>) {
        let life = self.control[at].life;
        let slow = self.list.trouble == Trouble::Slow;
        let readUs = if slow {
            self.random.between(50_000, 150_000)
        } else {
            self.random.between(2_000, 50_000)
        };
        let event = Event::ListRead { at, life, number, cursor };
        match self.list.takes(self.nowUs, readUs) {
            true => self.after(readUs, event),
            false => {
                let result = PageResult { number, fetched: Fetched::Limited { waitMs: RETRY_MS } };
                self.after(readUs, Event::Page { at, life, result });
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
        let tookUs = if slow {
            self.random.between(50_000, 150_000)
        } else {
            self.random.between(2_000, 60_000)
        };
        let result = PageResult { number, fetched };
        self.after(tookUs, Event::Page { at, life, result });
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
