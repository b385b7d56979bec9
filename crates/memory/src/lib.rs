//! A memory budget that all holders of a process share.
//!
//! A dispatcher holds memory for many peers at once: the requests that clients have begun, the
//! responses that endpoints have begun, lists, results. Each has a limit of its own, but there are
//! so many of them that the sum of the limits is several times the memory of the process, which is
//! killed if it passes its limit. Smaller limits would reject what is valid, and fewer holders would
//! let a few slow peers keep out all others.
//!
//! Therefore each holder draws what it needs from one [`MemoryBudget`] before it reads on. While
//! memory is short, the holder whose memory has been held longest, weighed by its size, is revoked:
//! it has to give up, with an error to its peer, and the others wait in turn until it has. A peer that is
//! quick or needs little is thus never the one that pays for those that are slow and need much.
//!
//! ```
//! use pumiceway_memory::{Holder, MemoryBudget};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let budget = MemoryBudget::new(100_000);
//! let mut slow = budget.open(Holder::Response, now);
//! assert!(slow.try_draw(90_000, now).is_ok());
//! let later = now + Duration::from_secs(1);
//! let mut quick = budget.open(Holder::Response, later);
//! // Not yet: the slow one has to give up first.
//! assert!(quick.try_draw(20_000, later).is_err());
//! assert!(slow.is_revoked());
//! drop(slow);
//! assert!(quick.try_draw(20_000, later).is_ok());
//! ```
//!
//! The package does no I/O and reads no clock. All sizes are in bytes.

mod account;
mod budget;
mod buffer;
mod policy;
mod state;

pub use account::{DrawError, MemoryAccount, Revoked};
pub use budget::{MemoryBudget, MemoryReport};
pub use buffer::{AccountedBuffer, AccountedContent};
pub use policy::Holder;
