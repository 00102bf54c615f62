//! Bounds on the cost of a rule, checked before the rule routes any request.

use crate::{FUNCTIONS, RuleError};
use cel::common::ast::Expr;
use postbarrow_constants::plans::{RULE_BRACKETS, RULE_DEPTH};

/// Checks a rule's text before it is parsed, so that the parser's recursion is bounded.
///
/// # Errors
/// Brackets are nested too deep, or there are too many of the operators `?`, `!` and `-`.
pub(crate) fn check_text(text: &str) -> Result<(), RuleError> {
    let mut bracket_depth = 0;
    let mut operators = 0;
    for byte in text.bytes() {
        match byte {
            b'(' | b'[' | b'{' => bracket_depth += 1,
            b')' | b']' | b'}' if bracket_depth > 0 => bracket_depth -= 1,
            b'?' | b'!' | b'-' => operators += 1,
            _ => {}
        }
        if bracket_depth > RULE_BRACKETS {
            return Err(RuleError::BracketsTooDeep);
        }
        if operators > 2 * RULE_BRACKETS {
            return Err(RuleError::TooManyOperators);
        }
    }
    Ok(())
}

/// Checks a parsed rule: it may have no loops, a bounded depth, and only the few functions whose
/// cost is linear in the length of what they read.
///
/// # Errors
/// The first part of the expression that is not allowed.
pub(crate) fn check_expression(expr: &Expr) -> Result<(), RuleError> {
    check_at_depth(expr, 0)
}

fn check_at_depth(expr: &Expr, depth: usize) -> Result<(), RuleError> {
    if depth > RULE_DEPTH {
        return Err(RuleError::TooDeep);
    }
    let check_inner = |inner: &Expr| check_at_depth(inner, depth + 1);
    match expr {
        Expr::Unspecified => Err(RuleError::Empty),
        Expr::Ident(_) | Expr::Literal(_) => Ok(()),
        Expr::Select(select) => check_inner(&select.operand.expr),
        Expr::List(array) => array.elements.iter().try_for_each(|item| check_inner(&item.expr)),
        Expr::Call(call) => {
            let name = call.func_name.as_str();
            let is_operator = !name.starts_with(|first: char| first.is_ascii_alphabetic());
            if !is_operator && !FUNCTIONS.contains(&name) {
                return Err(RuleError::UnknownFunction(name.to_string()));
            }
            if let Some(target) = &call.target {
                check_inner(&target.expr)?;
            }
            call.args.iter().try_for_each(|item| check_inner(&item.expr))
        }
        Expr::Comprehension(_) => Err(RuleError::Loop),
        Expr::Map(_) | Expr::Struct(_) => Err(RuleError::Map),
    }
}
