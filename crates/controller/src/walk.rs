mod absence;

use crate::handover::{Handed, Note};
use crate::pace::Pace;
use crate::page::Listed;
use postbarrow_constants::nodes::*;
use postbarrow_state::{Name, Target};
use std::collections::BTreeMap;

/// One page of the present walk: asked for, then read.
struct Page {
    number: u64,
    cursor: Option<String>,
    askedMs: u64,
    read: Option<Listed>,
}

/// What one page, taken in, amounts to.
pub(crate) enum Taken {
    Stale,
    Part(Vec<Target>),
    /// The walk's last piece: besides the page's rows, who is no longer listed, and who may not be.
    Whole {
        rows: Vec<Target>,
        gone: Vec<Name>,
        doubtful: Vec<Name>,
    },
    Failed(String),
}

/// Walks the platform's list over and over. Pages whose cursors the last walk told are asked for
/// beside each other; what the cursors then say decides which of them count.
pub(crate) struct Walk {
    number: u64,
    dueMs: u64,
    startMs: u64,
    pages: Vec<Page>,
    /// Cursors and rows, page by page, of the last whole walk.
    chain: Vec<Option<String>>,
    order: Vec<Name>,
    /// Missing from the last whole walks, but not for certain: from how many.
    suspects: BTreeMap<Name, u8>,
    /// The last whole walk found less than half of what was known.
    shrunk: bool,
    guesses: bool,
    failures: u32,
    pub pace: Pace,
    pub wholeMs: Option<u64>,
    waitMs: u64,
    cycleMs: u64,
    pageMs: u64,
    slowestMs: u64,
    pub finding: Option<String>,
}

impl Walk {
    pub fn new(nowMs: u64, gapMs: u64) -> Self {
        Walk {
            number: 0,
            dueMs: nowMs,
            startMs: nowMs,
            pages: Vec::new(),
            chain: Vec::new(),
            order: Vec::new(),
            suspects: BTreeMap::new(),
            shrunk: false,
            guesses: true,
            failures: 0,
            pace: Pace::new(nowMs, gapMs),
            wholeMs: None,
            waitMs: LIST_PAGE_FIRST_WAIT_MS,
            cycleMs: 0,
            pageMs: 0,
            slowestMs: 0,
            finding: None,
        }
    }

    pub fn note(&self, nowMs: u64) -> Note {
        Note {
            walkedMs: self.wholeMs.map(|wholeMs| nowMs.saturating_sub(wholeMs)),
            order: self.order.clone(),
            chain: self.chain.clone(),
            gapMs: self.pace.gapMs(),
            askedMs: self.pace.asked_ago(nowMs),
        }
    }

    /// Goes on where the controller before left off.
    pub fn take(&mut self, handed: Handed) {
        let Handed { atMs, note } = handed;
        self.pace = Pace::handed(atMs, self.pace.least(), note.gapMs, &note.askedMs);
        self.order = note.order;
        self.chain = note.chain;
        self.wholeMs = note.walkedMs.map(|walkedMs| atMs.saturating_sub(walkedMs));
        self.restart(atMs);
    }

    pub fn begin_anew(&mut self, nowMs: u64) {
        self.restart(nowMs);
        self.wholeMs = None;
    }

    /// A half walk removes nobody: what it found so far is dropped.
    pub fn restart(&mut self, dueMs: u64) {
        self.dueMs = dueMs;
        self.failures = 0;
        self.pages.clear();
    }

    /// The next page to ask for, if its time has come.
    pub fn next(&mut self, nowMs: u64) -> Option<(u64, Option<String>)> {
        let open = self.pages.iter().filter(|page| page.read.is_none()).count();
        if nowMs < self.dueMs
            || open >= LIST_IN_FLIGHT
            || !self.pace.permits(nowMs, self.wholeMs.is_none())
        {
            return None;
        }
        let cursor = match self.pages.last() {
            None => None,
            Some(Page { read: Some(read), .. }) => Some(read.next.clone()?),
            Some(_) if !self.guesses => return None,
            Some(_) => Some(self.chain.get(self.pages.len())?.clone()?),
        };
        if self.pages.is_empty() {
            self.startMs = nowMs;
        }
        self.number += 1;
        self.pace.asked(nowMs);
        let page = Page { number: self.number, cursor, askedMs: nowMs, read: None };
        let asked = (page.number, page.cursor.clone());
        self.pages.push(page);
        Some(asked)
    }

    fn place(&self, number: u64) -> Option<usize> {
        self.pages.iter().position(|page| page.number == number && page.read.is_none())
    }

    /// A page that takes far longer than others did is asked for again; a slow list is given more.
    pub fn gave_up(&mut self, nowMs: u64) -> bool {
        let waitMs = self.waitMs;
        let late = |page: &Page| page.read.is_none() && nowMs > page.askedMs + waitMs;
        let stuck = self.pages.iter().any(late);
        if stuck {
            self.waitMs = (2 * waitMs).min(LIST_PAGE_WAIT_MS);
            self.restart(nowMs);
        }
        stuck
    }

    /// Refused for now: asked for again when the list permits, slower from then on.
    pub fn on_limited(&mut self, nowMs: u64, number: u64, waitMs: u64) -> bool {
        let Some(at) = self.place(number) else { return false };
        self.pages.truncate(at);
        self.pace.refused(nowMs);
        self.dueMs = nowMs + waitMs.clamp(LIST_PAUSE_MS, LIST_RETRY_MOST_MS);
        true
    }

    /// A page that failed is asked for again, a few times a walk. One that only a remembered cursor
    /// named says nothing of this walk.
    pub fn on_failed(&mut self, nowMs: u64, number: u64, why: String) -> Option<String> {
        let at = self.place(number)?;
        if at > 0 && self.pages[at - 1].read.is_none() {
            self.pages.truncate(at);
            self.guesses = false;
            return None;
        }
        self.failures += 1;
        if self.failures > LIST_TRIES {
            self.fail(nowMs);
        } else {
            self.pages.truncate(at);
        }
        Some(why)
    }

    fn fail(&mut self, nowMs: u64) {
        self.guesses = true;
        self.restart(nowMs + LIST_AGAIN_MS);
    }

    pub fn on_page(&mut self, nowMs: u64, number: u64, listed: Listed, known: &[Name]) -> Taken {
        let Some(at) = self.place(number) else { return Taken::Stale };
        let seen = |row: &Target| row.draining || self.is_leaving(&row.instance);
        let rows: Vec<Target> = listed
            .targets
            .iter()
            .map(|row| Target { draining: seen(row), ..row.clone() })
            .collect();
        let next = listed.next.clone();
        self.pageMs = self.pageMs.max(nowMs.saturating_sub(self.pages[at].askedMs));
        if self.pages.get(at + 1).is_some_and(|after| after.cursor != next) {
            self.pages.truncate(at + 1);
        }
        self.pages[at].read = Some(listed);
        let before = &self.pages[..=at];
        if next.is_some() && before.iter().any(|page| page.cursor == next) {
            self.fail(nowMs);
            return Taken::Failed("its cursors go round".into());
        }
        if self.pages.len() > LIST_PAGES {
            self.fail(nowMs);
            return Taken::Failed("has no last page".into());
        }
        let last = self.pages.last().and_then(|page| page.read.as_ref());
        let ends = last.is_some_and(|read| read.next.is_none());
        if !ends || self.pages.iter().any(|page| page.read.is_none()) {
            return Taken::Part(rows);
        }
        let (gone, doubtful) = self.whole(nowMs, known);
        Taken::Whole { rows, gone, doubtful }
    }
}
