//! The durable record of what was taken on.
//!
//! Of each transaction with an identity it holds: that it was taken, whether a branch went out, and
//! its one final answer. [`Store::start`] reads what is there and starts a thread that writes;
//! writes are handed over without waiting, and are told safe once they are on disk, many with one
//! sync.
//!
//! A write that the disk refuses is not lost: the store says [`Told::Refusing`], opens its file
//! anew every second, and writes again all that is not safe, in order. Each write can be repeated
//! without harm.

mod file;
mod record;
mod writer;

pub use file::{Open, StoreError, on_disk};
pub use record::{Ended, Kept, Loaded, State, Taken, Write};
pub use writer::{Store, Told};
