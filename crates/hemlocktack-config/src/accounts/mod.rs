//! Client accounts: on whose behalf requests are made, how important they are, and how many of
//! them may run.

mod account;
mod directory;
mod key;
mod ranks;

pub use account::{ClientAccount, Quota};
pub use directory::AccountDirectory;
pub use key::{KeyDigest, digest_key};
pub use ranks::RequestRanks;
