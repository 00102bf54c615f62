//! The reasons why a rule is refused.

use crate::{FUNCTIONS, VARIABLES};
use postbarrow_constants::plans::{RULE_BRACKETS, RULE_BYTES, RULE_DEPTH};

/// The reason why a rule is refused. Operators read its text after the position of the rule in the
/// plan.
#[derive(Debug, thiserror::Error)]
pub enum RuleError {
    /// The text is longer than `RULE_BYTES`.
    #[error("is longer than {RULE_BYTES} bytes")]
    TooLong,
    /// Brackets in the text are nested deeper than `RULE_BRACKETS`, too deep for the parser's
    /// stack.
    #[error("has brackets nested deeper than {RULE_BRACKETS}")]
    BracketsTooDeep,
    /// The text has more than twice `RULE_BRACKETS` of the operators `?`, `!` and `-`, on which the
    /// parser recurses.
    #[error("has more than {} of ? ! -", 2 * RULE_BRACKETS)]
    TooManyOperators,
    /// The text does not parse; the parser's message, on one line.
    #[error("{0}")]
    Syntax(String),
    /// The parser panicked on the text.
    #[error("can't be read")]
    ParserFailed,
    /// The operating system refused a thread for the parser.
    #[error("can't be read now: {0}")]
    NoThread(#[source] std::io::Error),
    /// The expression is nested deeper than `RULE_DEPTH`.
    #[error("is nested deeper than {RULE_DEPTH}")]
    TooDeep,
    /// The expression is empty.
    #[error("is empty")]
    Empty,
    /// The expression calls a function that is not among [`FUNCTIONS`].
    #[error("calls {0}; allowed are {functions}", functions = FUNCTIONS.join(", "))]
    UnknownFunction(String),
    /// The expression loops.
    #[error("loops over a list, which is not allowed")]
    Loop,
    /// The expression builds a map or a struct.
    #[error("builds a map, which is not allowed")]
    Map,
    /// The expression names a variable that is not among [`VARIABLES`].
    #[error("names {0}, which is none of {variables}", variables = VARIABLES.join(", "))]
    UnknownVariable(String),
    /// The expression evaluates to a value that is neither true nor false.
    #[error("does not give true or false")]
    NotBoolean,
}
