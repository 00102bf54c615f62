use crate::listener::ClientHandler;
use crate::operator::OperatorHandler;
use postbarrow_controller::{ListPage, read_page};
use std::sync::Arc;

/// What operators, applications and the list of targets speak. The product's own dialect is `Own`.
pub trait Dialect: Send + Sync {
    /// What operators and applications speak at this process's door.
    fn client_handler(&self) -> Arc<dyn ClientHandler>;

    /// The word in the query that names a page.
    fn cursor_parameter(&self) -> &'static str;

    /// # Errors
    /// The findings of a page that can't be read whole.
    fn parse_page(&self, bytes: &[u8]) -> Result<ListPage, String>;
}

/// The product's own dialect.
pub struct NativeDialect;

impl Dialect for NativeDialect {
    fn client_handler(&self) -> Arc<dyn ClientHandler> {
        Arc::new(OperatorHandler)
    }
    fn cursor_parameter(&self) -> &'static str {
        "cursor"
    }
    fn parse_page(&self, bytes: &[u8]) -> Result<ListPage, String> {
        read_page(bytes).map_err(|findings| findings.to_string())
    }
}
