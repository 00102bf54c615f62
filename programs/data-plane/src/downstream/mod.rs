pub mod body;
pub mod connection;
pub mod head;
mod listen;
mod serve;

pub use listen::listen;
