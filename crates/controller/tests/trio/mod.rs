//! A leader with two followers that answer only when the test lets them.
#![allow(dead_code)]
use crate::bench::*;
use postbarrow_consensus::{AppendResponse, Member, Message as LogMessage};
use postbarrow_controller::{Fetched, Input, PageResult};
use postbarrow_messages::*;

pub struct Trio {
    pub bench: Bench,
}

impl Trio {
    /// Leads with both followers, knows the list, and one node is registered.
    pub fn serving() -> Trio {
        let mut trio = Trio { bench: Bench::new(recovered(&[1, 2, 3], Vec::new(), 0)) };
        for _ in 0..100 {
            trio.step();
        }
        assert!(trio.bench.node.has_lease(trio.bench.now_ms), "it leads");
        trio.bench.fresh(5);
        trio.settle();
        trio
    }

    /// One tick, a sync, and what the followers say to it.
    pub fn step(&mut self) {
        self.bench.tick(20);
        self.bench.sync();
        let responses = self.follower_responses();
        self.deliver(responses);
        while let Some((number, _)) = self.bench.fetches.pop_front() {
            let rows = [("catalogue-1", "catalogue"), ("ledger-1", "ledger")];
            let rows = rows.map(|(instance, service)| Bench::row(instance, service, false));
            let text = format!("{{\"targets\":[{}],\"next\":null}}", rows.join(","));
            let fetched = Fetched::Page(text.into_bytes());
            self.bench.input(Input::Page(PageResult { number, fetched }));
        }
    }

    pub fn settle(&mut self) {
        for _ in 0..30 {
            self.step();
        }
    }

    /// What the followers would say to everything sent so far.
    pub fn follower_responses(&mut self) -> Vec<Message> {
        let sent = std::mem::take(&mut self.bench.sent);
        let answered = sent.into_iter().filter_map(|message| match message {
            Message::Consensus { from, to, message } if to != 1 => {
                let message = follower_says(message)?;
                Some(Message::Consensus { from: member(to), to: from.id, message })
            }
            _ => None,
        });
        answered.collect()
    }

    /// The same, but renewing no lease.
    pub fn without_echo(mut responses: Vec<Message>) -> Vec<Message> {
        for message in &mut responses {
            if let Message::Consensus { message: LogMessage::AppendResponse(response), .. } =
                message
            {
                response.sent_ms = 0;
            }
        }
        responses
    }

    pub fn deliver(&mut self, messages: Vec<Message>) {
        messages.into_iter().for_each(|message| self.bench.message(message));
    }

    /// Another was elected, and a follower says so.
    pub fn higher_term(&mut self) {
        let term = self.bench.node.consensus().term() + 1;
        let response = AppendResponse { term, matched: None, hint: 0, sent_ms: 0 };
        let from: Member = member(2);
        let message = LogMessage::AppendResponse(response);
        self.bench.message(Message::Consensus { from, to: 1, message });
    }

    /// The open transaction's last entry is written, and not committed.
    pub fn step_until_last_is_the_end(&mut self) {
        let open = |trio: &Trio| trio.bench.node.committed().plan_version().map(str::to_string);
        let before = open(self);
        while !matches!(self.bench.lines.last(), Some(postbarrow_transactions::BatchRecord::End)) {
            self.step();
        }
        assert_eq!(open(self), before, "its end is not committed");
    }
}

fn follower_says(message: LogMessage) -> Option<LogMessage> {
    Some(match message {
        LogMessage::PreVote(request) => {
            LogMessage::PreVoteResponse { term: request.term, granted: true }
        }
        LogMessage::Vote(request) => LogMessage::VoteResponse { term: request.term, granted: true },
        LogMessage::Append(append) => LogMessage::AppendResponse(AppendResponse {
            term: append.term,
            matched: Some(append.prev_index + append.entries.len() as u64),
            hint: 0,
            sent_ms: append.sent_ms,
        }),
        _ => return None,
    })
}
