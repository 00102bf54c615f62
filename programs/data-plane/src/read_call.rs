use crate::downstream::head::Head;
use postbarrow_reading::{Fields, Reading};
use postbarrow_state::{Call, Name, ResourceKind};

type Refusal = (u16, String);

/// An application's call, from method, path, query and JSON body; all findings together.
pub fn read_call(head: &Head, body: &[u8]) -> Result<Call, Refusal> {
    let text = match body {
        [] => "{}",
        body => std::str::from_utf8(body).map_err(|_| (400, "the body is not UTF-8".into()))?,
    };
    let refused = |findings: postbarrow_reading::Findings| (400, findings.to_string());
    let path = head.path().strip_prefix("/coordination/").unwrap_or_default();
    let (part, name) = path.split_once('/').unwrap_or((path, ""));
    let name = unescape(name)?;
    let (value, mut reading) = Reading::parse(text).map_err(refused)?;
    let Some(fields) = Fields::of(&value, "$", &mut reading) else {
        return Err(refused(
            reading.finish(()).expect_err("a body that is no object is a finding"),
        ));
    };
    let mut given = Given { fields, reading };
    let call = match (part, head.method.as_str()) {
        ("locks", "POST") => given.lock(name),
        ("locks", "PUT") => {
            let ttl_ms = given.number("ttlMs");
            given.held().map(|(holder, fence)| Call::Renew { name, holder, fence, ttl_ms })
        }
        ("locks", "DELETE") => {
            given.held().map(|(holder, fence)| Call::Free { name, holder, fence })
        }
        ("locks", "GET") => Some(Call::ReadLock { name }),
        ("numbers", "POST") => Some(Call::Next { name, by: given.number("by").unwrap_or(1) }),
        ("numbers", "GET") => Some(Call::ReadNumber { name }),
        ("keys", "PUT") => given.put(name),
        ("keys", "DELETE") => Some(Call::Remove { name, revision: given.number("revision") }),
        ("keys", "GET") => Some(Call::ReadKey { name }),
        ("watch", "GET") => Some(read_watch(head, &name)?),
        ("locks" | "numbers" | "keys" | "watch", _) => return Err((405, "another method".into())),
        _ => return Err((404, "locks, numbers, keys or watch".into())),
    };
    let Given { fields, mut reading } = given;
    fields.finish(&mut reading);
    match reading.finish(call).map_err(refused)? {
        Some(call) => Ok(call),
        None => Err((400, "a field is missing".into())),
    }
}

struct Given<'v> {
    fields: Fields<'v>,
    reading: Reading,
}

impl Given<'_> {
    fn text(&mut self, field: &'static str) -> Option<Name> {
        self.fields.text(field, &mut self.reading).map(Name::from)
    }

    fn number(&mut self, field: &'static str) -> Option<u64> {
        self.fields.number(field, 0..=u64::MAX, &mut self.reading)
    }

    fn needed(&mut self, field: &'static str) -> Option<u64> {
        self.fields.required(field, &mut self.reading)?;
        self.number(field)
    }

    fn lock(&mut self, name: Name) -> Option<Call> {
        let (holder, ttl_ms) = (self.text("holder"), self.needed("ttlMs"));
        Some(Call::Lock { name, holder: holder?, ttl_ms: ttl_ms? })
    }

    fn held(&mut self) -> Option<(Name, u64)> {
        let (holder, fence) = (self.text("holder"), self.needed("fence"));
        Some((holder?, fence?))
    }

    fn put(&mut self, name: Name) -> Option<Call> {
        let (value, revision) = (self.text("value"), self.number("revision"));
        Some(Call::Put { name, value: value?.as_bytes().to_vec(), revision })
    }
}

fn read_watch(head: &Head, name: &str) -> Result<Call, Refusal> {
    let sort = match name {
        "locks" => ResourceKind::Lock,
        "numbers" => ResourceKind::Number,
        "keys" => ResourceKind::Key,
        _ => return Err((404, "watch locks, numbers or keys".into())),
    };
    let query = |name: &str| {
        let pairs = head.query().split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value)
    };
    let prefix = unescape(query("prefix").unwrap_or_default())?;
    let after = query("after")
        .map(|text| text.parse().map_err(|_| (400, "after must be a whole number".to_string())));
    Ok(Call::Watch { sort, prefix, after: after.transpose()? })
}

fn unescape(text: &str) -> Result<Name, Refusal> {
    let bad = || (400, "a % escape is malformed".to_string());
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = after.get(..2).filter(|two| two.iter().all(u8::is_ascii_hexdigit));
        let digits = std::str::from_utf8(digits.ok_or_else(bad)?).map_err(|_| bad())?;
        bytes.push(u8::from_str_radix(digits, 16).map_err(|_| bad())?);
        rest = &after[2..];
    }
    String::from_utf8(bytes).map(Name::from).map_err(|_| bad())
}
