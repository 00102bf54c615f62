use crate::{Asker, operator};
use postbarrow_controller::{Listed, read_page};
use std::io;
use std::net::SocketAddr;

/// What operators, applications and the list of targets speak. The product's own dialect is `Own`.
pub trait Dialect: Send + Sync {
    /// Opens the door at which this process is asked; gives back where it is.
    ///
    /// # Errors
    /// The address can't be bound.
    fn open(&self, address: SocketAddr, asker: Asker) -> io::Result<SocketAddr>;

    /// The word in the query that names a page.
    fn page_word(&self) -> &'static str;

    /// # Errors
    /// The findings of a page that can't be read whole.
    fn page(&self, bytes: &[u8]) -> Result<Listed, String>;
}

pub struct Own;

impl Dialect for Own {
    fn open(&self, address: SocketAddr, asker: Asker) -> io::Result<SocketAddr> {
        operator::start(address, asker)
    }
    fn page_word(&self) -> &'static str {
        "cursor"
    }
    fn page(&self, bytes: &[u8]) -> Result<Listed, String> {
        read_page(bytes).map_err(|findings| findings.to_string())
    }
}
