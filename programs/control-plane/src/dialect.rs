use crate::listener::ClientHandler;
use crate::operator::Operators;
use postbarrow_controller::{ListPage, read_page};
use std::sync::Arc;

/// What operators, applications and the list of targets speak. The product's own dialect is `Own`.
pub trait Dialect: Send + Sync {
    /// What operators and applications speak at this process's door.
    fn callers(&self) -> Arc<dyn ClientHandler>;

    /// The word in the query that names a page.
    fn page_word(&self) -> &'static str;

    /// # Errors
    /// The findings of a page that can't be read whole.
    fn page(&self, bytes: &[u8]) -> Result<ListPage, String>;
}

/// The product's own dialect.
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn callers(&self) -> Arc<dyn ClientHandler> {
        Arc::new(Operators)
    }
    fn page_word(&self) -> &'static str {
        "cursor"
    }
    fn page(&self, bytes: &[u8]) -> Result<ListPage, String> {
        read_page(bytes).map_err(|findings| findings.to_string())
    }
}
