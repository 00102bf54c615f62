use crate::door::Callers;
use crate::operator::Operators;
use postbarrow_controller::{Listed, read_page};
use std::sync::Arc;

/// What operators, applications and the list of targets speak. The product's own dialect is `Own`.
pub trait Dialect: Send + Sync {
    /// What operators and applications speak at this process's door.
    fn callers(&self) -> Arc<dyn Callers>;

    /// The word in the query that names a page.
    fn page_word(&self) -> &'static str;

    /// # Errors
    /// The findings of a page that can't be read whole.
    fn page(&self, bytes: &[u8]) -> Result<Listed, String>;
}

/// The product's own dialect.
pub struct Own;

impl Dialect for Own {
    fn callers(&self) -> Arc<dyn Callers> {
        Arc::new(Operators)
    }
    fn page_word(&self) -> &'static str {
        "cursor"
    }
    fn page(&self, bytes: &[u8]) -> Result<Listed, String> {
        read_page(bytes).map_err(|findings| findings.to_string())
    }
}
