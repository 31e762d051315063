//! Settings of nodes that tests make without a run.

use super::{Invocation, LoadedSettings, read};

/// Nothing listens there.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";

/// All that every node needs, and these flags.
pub(crate) fn with_flags(flags: &[(&str, &str)]) -> LoadedSettings {
    let needed = [
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
    let all = needed.iter().chain(flags);
    let pairs = all.flat_map(|(name, value)| [*name, *value]);
    let arguments: Vec<String> = pairs.map(str::to_owned).collect();
    match read(&arguments, |_| None) {
        Ok(Invocation::Run(order)) => order.loaded,
        _ => panic!("the settings are not usable"),
    }
}
