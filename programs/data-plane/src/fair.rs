use postbarrow_constants::traffic::*;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// How many places each client address has; addresses that share a bucket share its count.
pub struct Clients(Vec<AtomicUsize>);

impl Default for Clients {
    fn default() -> Self {
        Clients((0..CLIENT_BUCKETS).map(|_| AtomicUsize::new(0)).collect())
    }
}

impl Clients {
    pub fn of(&self, client: IpAddr) -> &AtomicUsize {
        let mut hash = DefaultHasher::new();
        client.hash(&mut hash);
        &self.0[hash.finish() as usize % self.0.len()]
    }
}

/// While places are plenty anybody may have them. Once half are taken, none may have more than its
/// share: what is over it is shed, so that the rest stays for others.
pub fn is_over_share(taken: usize, own: usize, most: usize, share_percent: usize) -> bool {
    taken * 2 > most && own * 100 > most * share_percent
}

/// A count that goes down again when dropped.
pub struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    pub fn one(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Relaxed);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
