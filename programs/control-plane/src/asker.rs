use crate::core::Command;
use postbarrow_messages::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Sender, sync_channel};
use std::time::Duration;

/// Asks whoever is controller, on behalf of operators and applications.
#[derive(Clone)]
pub struct Asker {
    commands: Sender<Command>,
    open: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
}

/// A question at work; this process does not end before it is dropped.
pub struct AtWork(Arc<AtomicUsize>);

impl Drop for AtWork {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

impl Asker {
    pub(crate) fn new(commands: Sender<Command>) -> Asker {
        Asker { commands, open: Arc::default(), stopping: Arc::default() }
    }

    /// The controller's response; `Unavailable` where nobody who could take the question was ever
    /// sent it, `TimedOut` after so many milliseconds where somebody may have taken it.
    pub fn ask(&self, request: Request, wait_ms: u64) -> Response {
        let (reply, response) = sync_channel(1);
        if self.commands.send(Command::Request { request, wait_ms, reply }).is_err() {
            return Response::Unavailable;
        }
        let patience = Duration::from_millis(wait_ms + 200);
        response.recv_timeout(patience).unwrap_or(Response::TimedOut)
    }

    pub fn at_work(&self) -> AtWork {
        self.open.fetch_add(1, SeqCst);
        AtWork(self.open.clone())
    }

    /// How many requests are at work here; it is shared, and goes on counting.
    pub(crate) fn open_requests(&self) -> Arc<AtomicUsize> {
        self.open.clone()
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, SeqCst);
    }

    /// This process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(SeqCst)
    }
}
