//! Property tests of the decoders of settings and link frames with malformed input.
//!
//! `PROPTEST_CASES=1000000` runs that many cases of each test.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
#[path = "../../src/links/codec.rs"]
mod codec;
#[allow(dead_code)]
#[path = "../../src/links/last_received.rs"]
mod last_received;
#[allow(dead_code)]
#[path = "../../src/memory/gauge.rs"]
mod memory;
#[allow(dead_code, unused_imports)]
#[path = "../../src/settings/mod.rs"]
mod settings;

mod link_frames;
mod settings_texts;
