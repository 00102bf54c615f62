//! Validates applications' calls before any state is read.

use crate::error::Error;
use postbarrow_constants::coordination::*;
use postbarrow_state::Call;

/// Checks the bounds of a call's fields.
///
/// # Errors
/// A text whose length is out of bounds, a lock's time to live that is out of bounds, or an
/// increment of 0.
pub(crate) fn check_call(call: &Call) -> Result<(), Error> {
    let (name, holder) = match call {
        Call::Lock { name, holder, .. }
        | Call::Renew { name, holder, .. }
        | Call::Free { name, holder, .. }
        | Call::FreeConfirmed { name, holder, .. } => (name, Some(holder)),
        Call::ReadLock { name }
        | Call::Next { name, .. }
        | Call::ReadNumber { name }
        | Call::Put { name, .. }
        | Call::Remove { name, .. }
        | Call::ReadKey { name } => (name, None),
        Call::Watch { prefix, .. } => return check_length("prefix", prefix.len(), 0, NAME_BYTES),
    };
    check_length("name", name.len(), 1, NAME_BYTES)?;
    if let Some(holder) = holder {
        check_length("holder", holder.len(), 1, NAME_BYTES)?;
    }
    match call {
        Call::Lock { ttl_ms, .. } | Call::Renew { ttl_ms: Some(ttl_ms), .. }
            if !(LOCK_TTL_MIN_MS..=LOCK_TTL_MAX_MS).contains(ttl_ms) =>
        {
            Err(Error::LockTtl)
        }
        Call::Put { value, .. } => check_length("value", value.len(), 0, VALUE_BYTES),
        Call::Next { by: 0, .. } => Err(Error::ZeroIncrement),
        _ => Ok(()),
    }
}

fn check_length(field: &'static str, length: usize, min: usize, max: usize) -> Result<(), Error> {
    let is_within = (min..=max).contains(&length);
    if is_within { Ok(()) } else { Err(Error::TextLength { field, min, max }) }
}
