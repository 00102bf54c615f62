use arc_swap::ArcSwapOption;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::*};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

/// What is known of one connection from outside the library that drives it.
/// Whether what waits may still go out.
pub type Gate = Box<dyn Fn() -> bool + Send + Sync>;

#[derive(Default)]
pub struct Wire {
    opened: AtomicBool,
    sent: AtomicU64,
    gate: ArcSwapOption<Gate>,
}

impl Wire {
    /// Bytes handed to the socket so far; the same before and after means nothing was sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Acquire)
    }

    /// Asked once, before the next first byte.
    pub fn gate(&self, gate: Gate) {
        self.gate.store(Some(Arc::new(gate)));
    }
}

/// Connects once. A second connect would be to somebody unproved, so it is refused.
#[derive(Debug)]
pub struct OnceConnector {
    inner: TcpConnector,
    wire: Arc<Wire>,
}

impl OnceConnector {
    pub fn new(wire: Arc<Wire>) -> Self {
        OnceConnector { inner: TcpConnector::default(), wire }
    }
}

impl Connector for OnceConnector {
    type Out = Counted<<TcpConnector as Connector>::Out>;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        if self.wire.opened.swap(true, AcqRel) {
            return Err(ureq::Error::ConnectionFailed);
        }
        let inner = self.inner.connect(details, chained)?;
        Ok(inner.map(|inner| Counted { inner, wire: self.wire.clone() }))
    }
}

pub struct Counted<T> {
    inner: T,
    wire: Arc<Wire>,
}

impl fmt::Debug for Wire {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Wire({})", self.sent())
    }
}

impl<T> fmt::Debug for Counted<T> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Counted({})", self.wire.sent())
    }
}

impl<T: Transport> Transport for Counted<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    /// Counted before it is tried: a failed write may have sent some.
    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        if self.wire.gate.swap(None).is_some_and(|gate| !gate()) {
            return Err(ureq::Error::ConnectionFailed);
        }
        self.wire.sent.fetch_add(amount as u64, AcqRel);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
