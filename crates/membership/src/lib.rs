//! Who watches whom on the ring, who relays to whom in the tree, and the news a relay keeps.

mod relay;
mod ring;
mod watch;

pub use relay::{Deliver, NewsEntry, Relay};
pub use ring::{parent, place, watched, watchers};
pub use watch::Watch;
