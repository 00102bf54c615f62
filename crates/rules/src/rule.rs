//! Rules: conditions on the requests that a route accepts.

use crate::{RuleError, bounds};
use cel::{Context, Env, ExecutionError, Program, Value};
use postbarrow_constants::plans::{RULE_BYTES, RULE_STACK_BYTES};
use std::collections::HashMap;
use std::sync::Arc;

/// Names of the variables that a rule may read.
pub const VARIABLES: [&str; 3] = ["method", "path", "headers"];
/// Names of the functions that a rule may call; the cost of each is at most linear in the length of
/// what it reads.
pub const FUNCTIONS: [&str; 4] = ["size", "contains", "startsWith", "endsWith"];

/// A rule that was checked and compiled.
pub struct Rule {
    program: Program,
    env: Arc<Env>,
}

/// The parts of a request that a rule can read.
pub struct RequestFacts<'a> {
    /// HTTP method of the request.
    pub method: &'a str,
    /// Raw path of the request.
    pub path: &'a str,
    /// Names and values of the request's headers. A rule reads names in lower case, and the values
    /// of one name joined by `, `.
    pub headers: &'a [(String, String)],
}

impl Rule {
    /// Checks and compiles a rule.
    ///
    /// # Errors
    /// The part of the rule's text or expression that is not allowed.
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

    /// Returns whether the rule evaluates to true for a request; an error or any other value is no
    /// match.
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

    /// Refuses a rule that evaluates to another type than a boolean for an empty request, since it
    /// can never match.
    fn check_is_boolean(&self) -> Result<(), RuleError> {
        let facts = RequestFacts { method: "GET", path: "/", headers: &[] };
        match self.evaluate(&facts) {
            Ok(Value::Bool(_)) | Err(_) => Ok(()),
            Ok(_) => Err(RuleError::NotBoolean),
        }
    }
}

/// Parses a rule on a thread with a large stack, because the parser recurses deeply.
fn parse_on_large_stack(text: &str) -> Result<Program, RuleError> {
    let text = text.to_string();
    std::thread::Builder::new()
        .stack_size(RULE_STACK_BYTES)
        .spawn(move || {
            Program::compile(&text)
                .map_err(|error| RuleError::Syntax(join_lines(&error.to_string())))
        })
        .map_err(RuleError::NoThread)?
        .join()
        .unwrap_or(Err(RuleError::ParserFailed))
}

fn join_lines(text: &str) -> String {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ")
}
