use crate::Member;

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    pub member: Member,
    pub matched: u64,
    pub next: u64,
    /// Leader's send time of the newest frame this follower answered.
    pub echoMs: u64,
    pub heardMs: u64,
    /// Since when this one is followed.
    pub sinceMs: u64,
    pub sending: Option<Sending>,
}

#[derive(Clone, Debug)]
pub struct Sending {
    pub index: u64,
    pub offset: u64,
    pub sentMs: u64,
}

impl Progress {
    pub fn new(member: Member, next: u64, nowMs: u64) -> Self {
        Progress {
            member,
            matched: 0,
            next,
            echoMs: 0,
            heardMs: nowMs,
            sinceMs: nowMs,
            sending: None,
        }
    }
}
