mod listen;
mod serve;

pub use listen::listen;
pub use postbarrow_downstream::head;
