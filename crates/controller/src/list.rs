use crate::page::read_page;
use crate::{ControlNode, Effect, Fetched, PageResult};
use postbarrow_constants::nodes::*;
use postbarrow_state::{Name, Record, State, Target};
use std::collections::{BTreeMap, VecDeque};

/// One duty of the controller alone: walking the platform's list, page by page.
pub(crate) struct Walk {
    number: u64,
    dueMs: u64,
    fetching: bool,
    askedMs: u64,
    pages: usize,
    cursor: Option<String>,
    found: BTreeMap<Name, Target>,
    /// Pages that came while a transaction was open.
    kept: VecDeque<PageResult>,
    pub wholeMs: Option<u64>,
    pub finding: Option<String>,
}

impl Walk {
    pub fn new(nowMs: u64) -> Self {
        Walk {
            number: nowMs,
            dueMs: nowMs,
            fetching: false,
            askedMs: nowMs,
            pages: 0,
            cursor: None,
            found: BTreeMap::new(),
            kept: VecDeque::new(),
            wholeMs: None,
            finding: None,
        }
    }

    pub fn begin_anew(&mut self, nowMs: u64) {
        self.restart(nowMs);
        self.kept.clear();
        self.wholeMs = None;
    }

    /// A half walk removes nobody: what it found so far is dropped.
    fn restart(&mut self, dueMs: u64) {
        self.number += 1;
        self.dueMs = dueMs;
        self.fetching = false;
        self.pages = 0;
        self.cursor = None;
        self.found.clear();
    }
}

impl ControlNode {
    pub(crate) fn list_pulse(&mut self, nowMs: u64) {
        let (holds, open) = (self.holds(nowMs), self.is_open());
        let Some(lead) = &mut self.lead else { return };
        let walk = &mut lead.walk;
        if !open && let Some(kept) = walk.kept.pop_front() {
            return self.on_page(nowMs, kept);
        }
        if walk.fetching && nowMs > walk.askedMs + 2 * LIST_PAGE_WAIT_MS {
            walk.finding = Some("a page never came".into());
            walk.restart(nowMs + LIST_PAUSE_MS);
        }
        if walk.fetching || nowMs < walk.dueMs || !holds {
            return;
        }
        walk.fetching = true;
        walk.askedMs = nowMs;
        let fetch = Effect::Fetch { walk: walk.number, cursor: walk.cursor.clone() };
        self.effects.push(fetch);
    }

    pub(crate) fn on_page(&mut self, nowMs: u64, result: PageResult) {
        let open = self.is_open();
        let Some(lead) = &mut self.lead else { return };
        let walk = &mut lead.walk;
        if result.walk != walk.number || !walk.fetching {
            return;
        }
        if open {
            return walk.kept.push_back(result);
        }
        let bytes = match result.fetched {
            Fetched::Page(bytes) => bytes,
            Fetched::Limited { waitMs } => {
                walk.fetching = false;
                walk.dueMs = nowMs + waitMs.clamp(LIST_PAUSE_MS, LIST_RETRY_MOST_MS);
                return;
            }
            Fetched::Failed(why) => return self.walk_failed(nowMs, why),
        };
        let page = match read_page(&bytes) {
            Ok(page) => page,
            Err(findings) => return self.walk_failed(nowMs, findings.to_string()),
        };
        walk.pages += 1;
        if walk.pages > LIST_PAGES {
            return self.walk_failed(nowMs, "has no last page".into());
        }
        for target in &page.targets {
            walk.found.insert(target.instance.clone(), target.clone());
        }
        walk.fetching = false;
        let whole = page.next.is_none();
        walk.dueMs = nowMs;
        walk.cursor = page.next;
        let Some(state) = lead.writer.as_ref().map(|writer| writer.current()) else { return };
        let mut records = changes(state, page.targets);
        if whole {
            records.extend(absences(state, &walk.found));
            walk.wholeMs = Some(nowMs);
            walk.finding = None;
            walk.restart(nowMs + LIST_PAUSE_MS);
        }
        if !records.is_empty() {
            self.propose(nowMs, records);
        }
        if !whole {
            self.list_pulse(nowMs);
        }
    }

    fn walk_failed(&mut self, nowMs: u64, why: String) {
        let Some(lead) = &mut self.lead else { return };
        let news = lead.walk.finding.as_ref() != Some(&why);
        lead.walk.finding = Some(why.clone());
        lead.walk.restart(nowMs + LIST_PAUSE_MS);
        if news {
            self.say(format!("the platform's list: {why}"));
        }
    }
}

/// A page acts at once, the draining mark above all.
fn changes(state: &State, listed: Vec<Target>) -> Vec<Record> {
    let mut records = Vec::new();
    for target in listed {
        let known = state.targets.get(&target.instance);
        let moved = known
            .is_none_or(|known| known.address != target.address || known.service != target.service);
        let down = known.is_some_and(|known| known.down) && !moved;
        let target = Target { down, ..target };
        if known.is_none_or(|known| **known != target) {
            records.push(Record::Target(target));
        }
    }
    records
}

fn absences(state: &State, found: &BTreeMap<Name, Target>) -> Vec<Record> {
    let absent = state.targets.keys().filter(|instance| !found.contains_key(*instance));
    absent.map(|instance| Record::TargetGone(instance.clone())).collect()
}
