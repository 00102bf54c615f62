#![doc = include_str!("../README.md")]

mod check;

use cel::{Context, Env, Program, Value};
use postbarrow_constants::plans::{RULE_BYTES, RULE_STACK_BYTES};
use std::collections::HashMap;
use std::sync::Arc;

pub const VARIABLES: [&str; 3] = ["method", "path", "headers"];
pub const FUNCTIONS: [&str; 4] = ["size", "contains", "startsWith", "endsWith"];

pub struct Rule {
    program: Program,
    env: Arc<Env>,
}

pub struct RequestFacts<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(String, String)],
}

impl Rule {
    pub fn compile(text: &str) -> Result<Rule, String> {
        if text.len() > RULE_BYTES {
            return Err(format!("is longer than {RULE_BYTES} bytes"));
        }
        check::text(text)?;
        let program = compile_aside(text)?;
        check::bounded(&program.expression().expr)?;
        let references = program.references();
        for name in references.variables() {
            if !VARIABLES.contains(&name) {
                return Err(format!("names {name}, which is none of {}", VARIABLES.join(", ")));
            }
        }
        let env = Arc::new(Env::stdlib());
        let rule = Rule { program, env };
        drop_unless_boolean(&rule)?;
        Ok(rule)
    }

    /// Only a clear true routes: an error or any other value does not.
    pub fn matches(&self, facts: &RequestFacts<'_>) -> bool {
        matches!(self.evaluate(facts), Ok(Value::Bool(true)))
    }

    fn evaluate(&self, facts: &RequestFacts<'_>) -> Result<Value, String> {
        let mut context = Context::with_env(self.env.clone());
        let mut headers: HashMap<String, String> = HashMap::new();
        for (name, value) in facts.headers {
            headers
                .entry(name.to_ascii_lowercase())
                .and_modify(|kept| {
                    kept.push_str(", ");
                    kept.push_str(value);
                })
                .or_insert_with(|| value.clone());
        }
        context.add_variable_from_value("method", facts.method.to_string());
        context.add_variable_from_value("path", facts.path.to_string());
        context.add_variable_from_value("headers", headers);
        self.program.execute(&context).map_err(|error| error.to_string())
    }
}

/// A rule that gives a plain value of another kind on an empty ask can never route.
fn drop_unless_boolean(rule: &Rule) -> Result<(), String> {
    let facts = RequestFacts { method: "GET", path: "/", headers: &[] };
    match rule.evaluate(&facts) {
        Ok(Value::Bool(_)) | Err(_) => Ok(()),
        Ok(_) => Err("does not give true or false".into()),
    }
}

fn one_line(text: &str) -> String {
    text.lines().map(str::trim).filter(|line| !line.is_empty()).collect::<Vec<_>>().join(" ")
}

/// The reader recurses deeply; it gets a stack of its own.
fn compile_aside(text: &str) -> Result<Program, String> {
    let text = text.to_string();
    std::thread::Builder::new()
        .stack_size(RULE_STACK_BYTES)
        .spawn(move || Program::compile(&text).map_err(|error| one_line(&error.to_string())))
        .map_err(|error| format!("can't be read now: {error}"))?
        .join()
        .unwrap_or_else(|_| Err("can't be read".into()))
}
