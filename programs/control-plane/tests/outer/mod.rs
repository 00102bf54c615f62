//! Renders a program's outer interface (help texts and HTTP responses) without values that vary
//! from run to run or from machine to machine.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;

/// Returns the help text of a program, followed by that of each of its verbs.
pub fn help(program: &str, verbs: &[&str]) -> String {
    let help_of = |arguments: &[&str]| {
        let output = Command::new(program).args(arguments).output().expect("the program runs");
        assert!(output.status.success(), "{arguments:?}: {output:?}");
        let name = Path::new(program)
            .file_name()
            .and_then(|name| name.to_str())
            .expect("the program's path ends in a UTF-8 name");
        let text =
            |bytes| String::from_utf8(bytes).expect("the output is UTF-8").replace(program, name);
        let (out, error) = (text(output.stdout), text(output.stderr));
        format!("$ {name} {}\n[out]\n{out}[error]\n{error}\n", arguments.join(" "))
    };
    let verbs = verbs.iter().map(|verb| help_of(&[verb, "--help"]));
    std::iter::once(help_of(&["--help"])).chain(verbs).collect()
}

/// Returns the verbs that a program's help text lists.
pub fn listed_verbs(help: &str) -> Vec<&str> {
    let listed = help.split("Available commands:").nth(1).unwrap_or_default();
    let lines = listed.lines().skip_while(|line| line.trim().is_empty());
    let rows = lines.take_while(|line| line.starts_with(' '));
    rows.filter_map(|row| row.split_whitespace().next()).collect()
}

/// Returns a JSON text with one line per key, in which each value is replaced by its type.
pub fn shape(json: &str) -> String {
    let mut shape = String::new();
    let mut rest = json;
    while let Some(first) = rest.chars().next() {
        let (token, after) = match first {
            '"' => rest.split_at(text_length(rest)),
            '{' | '}' | '[' | ']' | ':' | ',' => rest.split_at(1),
            _ => rest.split_at(rest.find([',', '}', ']']).unwrap_or(rest.len())),
        };
        rest = after;
        shape += match token {
            "{" => "{\n",
            "," => ",\n",
            "}" => "\n}",
            text if first == '"' && rest.starts_with(':') => text,
            _ if first == '"' => "text",
            "true" | "false" => "bool",
            number if number.parse::<f64>().is_ok() => "number",
            other => other,
        };
    }
    shape + "\n"
}

/// Returns the length of the JSON string at the start of the text, in bytes and with its quotes.
fn text_length(text: &str) -> usize {
    let mut escaped = false;
    let end = text.bytes().skip(1).position(|byte| {
        let ends = byte == b'"' && !escaped;
        escaped = byte == b'\\' && !escaped;
        ends
    });
    end.expect("the JSON string has a closing quote") + 2
}

/// Sends a request and returns the response's status, its headers without the values that vary from
/// run to run, and the shape of its body.
pub fn response(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut connection = TcpStream::connect(address).expect("the server accepts the connection");
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n");
    write!(connection, "{head}Content-Length: {length}\r\n\r\n{body}")
        .expect("the request is sent");
    let mut text = String::new();
    connection.read_to_string(&mut text).expect("the server responds");
    let (head, body) = text.split_once("\r\n\r\n").expect("the response has a complete head");
    let head: Vec<&str> = head.lines().map(without_varying_value).collect();
    format!("$ {method} {path}\n{}\n{}\n", head.join("\n"), shape(body))
}

/// Returns a header; only its name if the value is a length, a time or a log offset.
fn without_varying_value(header: &str) -> &str {
    let (name, _) = header.split_once(": ").unwrap_or((header, ""));
    match name.to_lowercase().as_str() {
        "content-length" | "date" | "postbarrow-offset" => name,
        _ => header,
    }
}
