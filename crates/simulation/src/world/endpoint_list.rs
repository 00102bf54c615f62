//! Fetches of the endpoint list, with its faults.

use crate::event::Event;
use crate::node::endpoint_list::{ListFault, RETRY_MS, Row};
use crate::world::World;
use postbarrow_controller::{Fetched, PageResult};

impl World {
    /// Heals the endpoint list and then injects this fault.
    pub fn inject_list_fault(&mut self, fault: ListFault) {
        self.list.heal(self.now_us);
        self.list.fault = fault;
        self.list.faulty_page_due = true;
        if matches!(fault, ListFault::Down | ListFault::CursorLoop | ListFault::LostPages) {
            self.list.down_us = Some(self.now_us);
        }
    }

    /// Starts a fetch of one page for control machine `at`; the page is read some time before it
    /// arrives.
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
            true => self.schedule(read_us, event),
            false => {
                let result =
                    PageResult { number, fetched: Fetched::RateLimited { wait_ms: RETRY_MS } };
                self.schedule(read_us, Event::Page { at, incarnation, result });
            }
        }
    }

    /// Reads the page of fetch `number` of control machine `at` and schedules its arrival.
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
        self.schedule(took_us, Event::Page { at, incarnation, result });
    }

    /// Adds a row before all others or removes it again, with a probability of 15 %.
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
