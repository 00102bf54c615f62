//! Reads a coordination call from the method, path, query and JSON body of a request.

use crate::error::CallError;
use postbarrow_constants::traffic::COORDINATION_PREFIX;
use postbarrow_downstream::head::Head;
use postbarrow_reading::{DocumentReader, Fields};
use postbarrow_state::{Call, Name, ResourceKind};

/// Reads the coordination call in an HTTP request.
///
/// # Errors
/// Fails if the resource does not exist or does not support the method, or if the name, the query
/// or the body is invalid; all findings in the body are returned together.
pub fn read_call(head: &Head, body: &[u8]) -> Result<Call, CallError> {
    let text = match body {
        [] => "{}",
        body => std::str::from_utf8(body).map_err(|_| CallError::NotUtf8)?,
    };
    let path = head.path().strip_prefix(COORDINATION_PREFIX).unwrap_or_default();
    let (resource, name) = path.split_once('/').unwrap_or((path, ""));
    let name = unescape(name)?;
    let (value, mut reading) = DocumentReader::parse(text)?;
    let Some(fields) = Fields::of(&value, "$", &mut reading) else {
        let findings =
            reading.finish(()).expect_err("a body that is not an object must result in a finding");
        return Err(findings.into());
    };
    let mut body = CallBody { fields, reading };
    let call = match (resource, head.method.as_str()) {
        ("locks", "POST") => body.read_lock(name),
        ("locks", "PUT") => {
            let ttl_ms = body.number("ttlMs");
            body.read_ownership().map(|(owner, fence)| Call::Renew {
                name,
                holder: owner,
                fence,
                ttl_ms,
            })
        }
        ("locks", "DELETE") => {
            body.read_ownership().map(|(owner, fence)| Call::Free { name, holder: owner, fence })
        }
        ("locks", "GET") => Some(Call::ReadLock { name }),
        ("numbers", "POST") => Some(Call::Next { name, by: body.number("by").unwrap_or(1) }),
        ("numbers", "GET") => Some(Call::ReadNumber { name }),
        ("keys", "PUT") => body.read_put(name),
        ("keys", "DELETE") => Some(Call::Remove { name, revision: body.number("revision") }),
        ("keys", "GET") => Some(Call::ReadKey { name }),
        ("watch", "GET") => Some(read_watch(head, &name)?),
        ("locks" | "numbers" | "keys" | "watch", _) => return Err(CallError::Method),
        _ => return Err(CallError::Resource),
    };
    let CallBody { fields, mut reading } = body;
    fields.finish(&mut reading);
    reading.finish(call)?.ok_or(CallError::MissingField)
}

/// The fields of a call's body, with the findings so far.
struct CallBody<'v> {
    fields: Fields<'v>,
    reading: DocumentReader,
}

impl CallBody<'_> {
    fn text(&mut self, field: &'static str) -> Option<Name> {
        self.fields.text(field, &mut self.reading).map(Name::from)
    }

    fn number(&mut self, field: &'static str) -> Option<u64> {
        self.fields.number(field, 0..=u64::MAX, &mut self.reading)
    }

    /// Reads a number, and records a finding if the field is missing.
    fn required_number(&mut self, field: &'static str) -> Option<u64> {
        self.fields.required(field, &mut self.reading)?;
        self.number(field)
    }

    fn read_lock(&mut self, name: Name) -> Option<Call> {
        let (owner, ttl_ms) = (self.text("holder"), self.required_number("ttlMs"));
        Some(Call::Lock { name, holder: owner?, ttl_ms: ttl_ms? })
    }

    /// Reads the fields `holder` and `fence`, which are both required.
    fn read_ownership(&mut self) -> Option<(Name, u64)> {
        let (owner, fence) = (self.text("holder"), self.required_number("fence"));
        Some((owner?, fence?))
    }

    fn read_put(&mut self, name: Name) -> Option<Call> {
        let (value, revision) = (self.text("value"), self.number("revision"));
        Some(Call::Put { name, value: value?.as_bytes().to_vec(), revision })
    }
}

/// Reads a watch of the resources `name`, with `prefix` and `after` from the query.
fn read_watch(head: &Head, name: &str) -> Result<Call, CallError> {
    let kind = match name {
        "locks" => ResourceKind::Lock,
        "numbers" => ResourceKind::Number,
        "keys" => ResourceKind::Key,
        _ => return Err(CallError::WatchedResource),
    };
    let query = |name: &str| {
        let pairs = head.query().split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(parameter, _)| *parameter == name).map(|(_, value)| value)
    };
    let prefix = unescape(query("prefix").unwrap_or_default())?;
    let after = query("after").map(|text| text.parse().map_err(|_| CallError::AfterNotANumber));
    Ok(Call::Watch { sort: kind, prefix, after: after.transpose()? })
}

/// Decodes the percent escapes of a path segment or query value (RFC 3986, section 2.1).
fn unescape(text: &str) -> Result<Name, CallError> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = after.get(..2).filter(|pair| pair.iter().all(u8::is_ascii_hexdigit));
        let digits =
            std::str::from_utf8(digits.ok_or(CallError::Escape)?).map_err(|_| CallError::Escape)?;
        bytes.push(u8::from_str_radix(digits, 16).map_err(|_| CallError::Escape)?);
        rest = &after[2..];
    }
    String::from_utf8(bytes).map(Name::from).map_err(|_| CallError::Escape)
}
