//! Settings of nodes that tests create without running them.

use super::{Invocation, LoadedSettings, RunSettings, read};

/// An address on which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

/// Reads the required flags together with `flags`.
pub(crate) fn with_flags(flags: &[(&str, &str)]) -> LoadedSettings {
    run_with_flags(flags).loaded
}

/// Reads the required flags together with `flags`, and keeps the sources.
pub(crate) fn run_with_flags(flags: &[(&str, &str)]) -> RunSettings {
    let required = [
        ("--node", "howrah-1"),
        ("--service", "listings"),
        ("--data-centre", "howrah"),
        ("--caller-address", UNUSED_ADDRESS),
        ("--control-address", UNUSED_ADDRESS),
        ("--link-address", UNUSED_ADDRESS),
        ("--gossip-address", UNUSED_ADDRESS),
        ("--platform-url", "http://127.0.0.1:9"),
        ("--fleet-key", "a-key-of-32-characters-for-tests-only"),
        ("--operator-token", "a-token-for-tests"),
    ];
    let all = required.iter().chain(flags);
    let pairs = all.flat_map(|(name, value)| [*name, *value]);
    let arguments: Vec<String> = pairs.map(str::to_owned).collect();
    match read(&arguments, |_| None) {
        Ok(Invocation::Run(settings)) => *settings,
        _ => panic!("invalid settings"),
    }
}
