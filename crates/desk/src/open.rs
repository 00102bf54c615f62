//! One question that has no answer yet, and what is known of its sends.

use postbarrow_messages::{Ask, Response};

pub(crate) struct Open {
    pub ask: Ask,
    pub again_ms: u64,
    pub until_ms: u64,
    /// Sends to the present controller that got no response.
    pub unheard: u32,
    /// All its sends, and those whose receiver said that it is not the controller: it does nothing
    /// for such a send, and answers each at most once.
    sent: u32,
    declined: u32,
    /// A controller began it and lost its place.
    lost: bool,
}

impl Open {
    pub fn new(now_ms: u64, ask: Ask, wait_ms: u64) -> Open {
        Open {
            ask,
            again_ms: now_ms,
            until_ms: now_ms.saturating_add(wait_ms),
            unheard: 0,
            sent: 0,
            declined: 0,
            lost: false,
        }
    }

    pub fn on_send(&mut self) {
        self.sent += 1;
        self.unheard += 1;
    }

    pub fn on_declined(&mut self) {
        self.declined += 1;
    }

    pub fn on_lost(&mut self) {
        self.lost = true;
    }

    /// Nobody who could have taken it was ever sent it.
    fn is_untaken(&self) -> bool {
        !self.lost && self.declined >= self.sent
    }

    /// The end of a question whose time is up, or that can't be handed on; none while its end is
    /// open and it has time left.
    pub fn end(&self, now_ms: u64, cut_off: bool) -> Option<Response> {
        match (now_ms >= self.until_ms, self.is_untaken()) {
            (true, true) => Some(Response::Unavailable),
            (true, false) => Some(Response::TimedOut),
            (false, untaken) => (untaken && cut_off).then_some(Response::Unavailable),
        }
    }
}
