use crate::Member;

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    pub member: Member,
    pub matched: u64,
    pub next: u64,
    /// Leader's send time of the newest frame this follower answered.
    pub echo_ms: u64,
    pub heard_ms: u64,
    /// Since when this one is followed.
    pub since_ms: u64,
    pub sending: Option<Sending>,
}

#[derive(Clone, Debug)]
pub struct Sending {
    pub index: u64,
    pub offset: u64,
    pub sent_ms: u64,
}

impl Progress {
    pub fn new(member: Member, next: u64, now_ms: u64) -> Self {
        Progress {
            member,
            matched: 0,
            next,
            echo_ms: 0,
            heard_ms: now_ms,
            since_ms: now_ms,
            sending: None,
        }
    }
}
