//! The bounds on a plan's size, which are checked before anything of it is written to the log.

use postbarrow_constants::plans::PLAN_IMAGE_BYTES;
use postbarrow_state::Record;
use postbarrow_transactions::{TransactionError, messagepack_bytes};

/// Why a plan is too large.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum PlanTooLarge {
    /// The plan's transaction exceeds its bound.
    #[error(transparent)]
    Delta(TransactionError),
    /// The image of the plan for data nodes would not fit a frame. Each change towards such a plan
    /// may be small.
    #[error(
        "its routes and services take {size_bytes} bytes, over the bound of {PLAN_IMAGE_BYTES} bytes"
    )]
    Image {
        /// Size of the plan's part of the image in bytes.
        size_bytes: usize,
    },
}

/// Checks that the image with the plan of these submitted records fits a frame.
///
/// # Errors
/// `Image` if the plan's routes, services and limits exceed `PLAN_IMAGE_BYTES`.
pub(crate) fn check_plan_image(submitted: &[Record]) -> Result<(), PlanTooLarge> {
    let in_image = submitted.iter().filter(|record| record.is_routing_update());
    let size_bytes = in_image.map(messagepack_bytes).sum();
    if size_bytes > PLAN_IMAGE_BYTES {
        return Err(PlanTooLarge::Image { size_bytes });
    }
    Ok(())
}
