//! The protocols of a deployment's operators, applications and endpoint list.

use crate::client_handler::ClientHandler;
use crate::operator_handler::OperatorHandler;
use postbarrow_controller::{ListPage, read_page};
use std::sync::Arc;

/// A page of the endpoint list can't be read completely.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{findings}")]
pub struct PageError {
    /// All findings as one text, for the log and the status response.
    pub findings: String,
}

/// The protocols towards operators, applications and the endpoint list. Postbarrow's own dialect is
/// [`NativeDialect`].
pub trait Dialect: Send + Sync {
    /// Returns the handler of requests from operators and applications.
    fn client_handler(&self) -> Arc<dyn ClientHandler>;

    /// Returns the name of the query parameter that selects a page of the endpoint list.
    fn cursor_parameter(&self) -> &'static str;

    /// Parses a page of the endpoint list.
    ///
    /// # Errors
    /// The page can't be read completely; the error has all findings.
    fn parse_page(&self, bytes: &[u8]) -> Result<ListPage, PageError>;
}

/// Postbarrow's own dialect, with JSON bodies over HTTP.
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
