//! A leader with two simulated followers, which respond only when the test delivers their
//! responses.
#![allow(dead_code)]
use crate::harness::*;
use postbarrow_consensus::{AppendResponse, Member, Message as LogMessage};
use postbarrow_controller::{Fetched, Input, PageResult};
use postbarrow_messages::*;

pub struct Cluster {
    pub harness: Harness,
}

impl Cluster {
    /// Returns a cluster whose leader has its lease, the scanned endpoint list and one registered
    /// data node.
    pub fn serving() -> Cluster {
        let mut cluster = Cluster { harness: Harness::new(recovered(&[1, 2, 3], Vec::new(), 0)) };
        for _ in 0..100 {
            cluster.step();
        }
        assert!(cluster.harness.node.has_lease(cluster.harness.now_ms), "no lease");
        cluster.harness.renew_lease(5);
        cluster.run_until_idle();
        cluster
    }

    /// Runs one tick of 20 ms and a sync, delivers the followers' responses, and answers requested
    /// pages of the endpoint list.
    pub fn step(&mut self) {
        self.harness.tick(20);
        self.harness.sync();
        let responses = self.follower_responses();
        self.deliver(responses);
        while let Some((number, _)) = self.harness.fetches.pop_front() {
            let rows = [("catalogue-1", "catalogue"), ("ledger-1", "ledger")];
            let rows = rows.map(|(instance, service)| Harness::row(instance, service, false));
            let text = format!("{{\"targets\":[{}],\"next\":null}}", rows.join(","));
            let fetched = Fetched::Page(text.into_bytes());
            self.harness.input(Input::Page(PageResult { number, fetched }));
        }
    }

    pub fn run_until_idle(&mut self) {
        for _ in 0..30 {
            self.step();
        }
    }

    /// Removes the sent messages and returns the followers' responses to them.
    pub fn follower_responses(&mut self) -> Vec<Message> {
        let sent = std::mem::take(&mut self.harness.sent);
        let responses = sent.into_iter().filter_map(|message| match message {
            Message::Consensus { from, to, message } if to != 1 => {
                let message = follower_response(message)?;
                Some(Message::Consensus { from: member(to), to: from.id, message })
            }
            _ => None,
        });
        responses.collect()
    }

    /// Changes the responses so that they renew no lease: they confirm an append sent at time 0.
    pub fn without_lease_renewal(mut responses: Vec<Message>) -> Vec<Message> {
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
        messages.into_iter().for_each(|message| self.harness.receive(message));
    }

    /// Delivers a follower's response with a higher term, which deposes the leader.
    pub fn receive_higher_term(&mut self) {
        let term = self.harness.node.consensus().term() + 1;
        let response = AppendResponse { term, match_index: None, next_index_hint: 0, sent_ms: 0 };
        let from: Member = member(2);
        let message = LogMessage::AppendResponse(response);
        self.harness.receive(Message::Consensus { from, to: 1, message });
    }

    /// Runs until the End of the open transaction is written; checks that it is not committed.
    pub fn step_until_end_is_written(&mut self) {
        let version_in_force =
            |cluster: &Cluster| cluster.harness.node.committed().plan_version().map(str::to_string);
        let before = version_in_force(self);
        while !matches!(
            self.harness.records.last(),
            Some(postbarrow_transactions::BatchRecord::End)
        ) {
            self.step();
        }
        assert_eq!(version_in_force(self), before, "the End is not committed");
    }
}

fn follower_response(message: LogMessage) -> Option<LogMessage> {
    Some(match message {
        LogMessage::PreVote(request) => {
            LogMessage::PreVoteResponse { term: request.term, granted: true }
        }
        LogMessage::Vote(request) => LogMessage::VoteResponse { term: request.term, granted: true },
        LogMessage::Append(append) => LogMessage::AppendResponse(AppendResponse {
            term: append.term,
            match_index: Some(append.prev_index + append.entries.len() as u64),
            next_index_hint: 0,
            sent_ms: append.sent_ms,
        }),
        _ => return None,
    })
}
