//! What a deployment's operators, applications and endpoint list speak.

use crate::client_handler::ClientHandler;
use crate::operator_handler::OperatorHandler;
use postbarrow_controller::{ListPage, read_page};
use std::sync::Arc;

/// The findings of a page of the endpoint list that can't be read completely.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{findings}")]
pub struct PageError {
    /// Text for the log and the status page.
    pub findings: String,
}

/// The protocols towards operators, applications and the endpoint list. The product's own dialect
/// is [`NativeDialect`].
pub trait Dialect: Send + Sync {
    /// Answers the operators and applications of this process.
    fn client_handler(&self) -> Arc<dyn ClientHandler>;

    /// The query parameter that names a page of the endpoint list.
    fn cursor_parameter(&self) -> &'static str;

    /// Parses a page of the endpoint list.
    ///
    /// # Errors
    /// The findings of a page that can't be read completely.
    fn parse_page(&self, bytes: &[u8]) -> Result<ListPage, PageError>;
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

    fn parse_page(&self, bytes: &[u8]) -> Result<ListPage, PageError> {
        read_page(bytes).map_err(|findings| PageError { findings: findings.to_string() })
    }
}
