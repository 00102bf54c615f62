//! Actions of a target that wait until the test triggers them.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// The target's side of a [`Trigger`].
#[derive(Clone)]
pub struct TriggerSignal {
    proceed: Arc<Mutex<Receiver<()>>>,
    done: Sender<()>,
}

/// Triggers one action of a target; owned by the test.
pub struct Trigger {
    proceed: Sender<()>,
    done: Receiver<()>,
}

/// Returns a trigger and its receiving side.
pub fn trigger() -> (Trigger, TriggerSignal) {
    let ((proceed, on_proceed), (done, on_done)) = (channel(), channel());
    let signal = TriggerSignal { proceed: Arc::new(Mutex::new(on_proceed)), done };
    (Trigger { proceed, done: on_done }, signal)
}

impl Trigger {
    /// Triggers the target's action and waits until it is done.
    pub fn fire(&self) {
        self.proceed.send(()).unwrap();
        self.done.recv().unwrap();
    }
}

impl TriggerSignal {
    /// Waits until the test triggers the action.
    pub fn wait(&self) {
        let _ = self.proceed.lock().unwrap().recv();
    }

    /// Reports that the action is done.
    pub fn report_done(&self) {
        let _ = self.done.send(());
    }
}
