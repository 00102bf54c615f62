//! A route's condition on the requests that it takes.

use crate::{RuleError, bounds};
use cel::{Context, Env, ExecutionError, Program, Value};
use postbarrow_constants::plans::{RULE_BYTES, RULE_STACK_BYTES};
use std::collections::HashMap;
use std::sync::Arc;

/// What a rule may read.
pub const VARIABLES: [&str; 3] = ["method", "path", "headers"];
/// What a rule may call; each costs no more than the length of what it reads.
pub const FUNCTIONS: [&str; 4] = ["size", "contains", "startsWith", "endsWith"];

/// A checked and compiled rule.
pub struct Rule {
    program: Program,
    env: Arc<Env>,
}

/// What a rule reads of a request.
pub struct RequestFacts<'a> {
    /// HTTP's method.
    pub method: &'a str,
    /// The raw path.
    pub path: &'a str,
    /// Names and values; a rule reads names in lower case, and values of one name joined by `, `.
    pub headers: &'a [(String, String)],
}

impl Rule {
    /// Checks and compiles a rule.
    ///
    /// # Errors
    /// What of its text or expression is not allowed.
    pub fn compile(text: &str) -> Result<Rule, RuleError> {
        if text.len() > RULE_BYTES {
            return Err(RuleError::TooLong);
        }
        bounds::check_text(text)?;
        let program = parse_on_large_stack(text)?;
        bounds::check_expression(&program.expression().expr)?;
        let references = program.references();
        for name in references.variables() {
            if !VARIABLES.contains(&name) {
                return Err(RuleError::UnknownVariable(name.to_string()));
            }
        }
        let env = Arc::new(Env::stdlib());
        let rule = Rule { program, env };
        rule.check_is_boolean()?;
        Ok(rule)
    }

    /// Whether the rule gives true; an error or any other value does not route.
    pub fn matches(&self, facts: &RequestFacts<'_>) -> bool {
        matches!(self.evaluate(facts), Ok(Value::Bool(true)))
    }

    fn evaluate(&self, facts: &RequestFacts<'_>) -> Result<Value, ExecutionError> {
        let mut context = Context::with_env(self.env.clone());
        let mut headers: HashMap<String, String> = HashMap::new();
        for (name, value) in facts.headers {
            headers
                .entry(name.to_ascii_lowercase())
                .and_modify(|joined| {
                    joined.push_str(", ");
                    joined.push_str(value);
                })
                .or_insert_with(|| value.clone());
        }
        context.add_variable_from_value("method", facts.method.to_string());
        context.add_variable_from_value("path", facts.path.to_string());
        context.add_variable_from_value("headers", headers);
        self.program.execute(&context)
    }

    /// A rule that gives a plain value of another kind for an empty request can never route.
    fn check_is_boolean(&self) -> Result<(), RuleError> {
        let facts = RequestFacts { method: "GET", path: "/", headers: &[] };
        match self.evaluate(&facts) {
            Ok(Value::Bool(_)) | Err(_) => Ok(()),
            Ok(_) => Err(RuleError::NotBoolean),
        }
    }
}

/// The parser recurses deeply, so it gets a thread with a stack of its own.
fn parse_on_large_stack(text: &str) -> Result<Program, RuleError> {
    let text = text.to_string();
    std::thread::Builder::new()
        .stack_size(RULE_STACK_BYTES)
        .spawn(move || {
            Program::compile(&text)
                .map_err(|error| RuleError::Syntax(on_one_line(&error.to_string())))
        })
        .map_err(RuleError::NoThread)?
        .join()
        .unwrap_or(Err(RuleError::ParserFailed))
}

fn on_one_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ")
}
