use crate::FUNCTIONS;
use cel::common::ast::Expr;
use postbarrow_constants::plans::{RULE_BRACKETS, RULE_DEPTH};

/// Bounds the reader's recursion before it starts.
pub fn text(text: &str) -> Result<(), String> {
    let mut open = 0;
    let mut signs = 0;
    for byte in text.bytes() {
        match byte {
            b'(' | b'[' | b'{' => open += 1,
            b')' | b']' | b'}' if open > 0 => open -= 1,
            b'?' | b'!' | b'-' => signs += 1,
            _ => {}
        }
        if open > RULE_BRACKETS {
            return Err(format!("has brackets nested deeper than {RULE_BRACKETS}"));
        }
        if signs > 2 * RULE_BRACKETS {
            return Err(format!("has more than {} of ? ! -", 2 * RULE_BRACKETS));
        }
    }
    Ok(())
}

/// No loops, no far depth, no functions but the few whose cost is linear in what they read.
pub fn bounded(expr: &Expr) -> Result<(), String> {
    walk(expr, 0)
}

fn walk(expr: &Expr, depth: usize) -> Result<(), String> {
    if depth > RULE_DEPTH {
        return Err(format!("is nested deeper than {RULE_DEPTH}"));
    }
    match expr {
        Expr::Unspecified => Err("is empty".into()),
        Expr::Ident(_) | Expr::Literal(_) => Ok(()),
        Expr::Select(select) => walk(&select.operand.expr, depth + 1),
        Expr::List(list) => list.elements.iter().try_for_each(|item| walk(&item.expr, depth + 1)),
        Expr::Call(call) => {
            let name = call.func_name.as_str();
            let operator = !name.starts_with(|first: char| first.is_ascii_alphabetic());
            if !operator && !FUNCTIONS.contains(&name) {
                return Err(format!("calls {name}; allowed are {}", FUNCTIONS.join(", ")));
            }
            if let Some(target) = &call.target {
                walk(&target.expr, depth + 1)?;
            }
            call.args.iter().try_for_each(|item| walk(&item.expr, depth + 1))
        }
        Expr::Comprehension(_) => Err("loops over a list, which is not allowed".into()),
        Expr::Map(_) | Expr::Struct(_) => Err("builds a map, which is not allowed".into()),
    }
}

#[cfg(test)]
mod tests;
