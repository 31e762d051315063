//! Names of the safeguards that a run can disable.

use std::str::FromStr;

use hemlocktack_fleet::configuration::ConfigurationSafeguard;
use hemlocktack_fleet::drain::DrainSafeguard;
use hemlocktack_fleet::membership::MembershipSafeguard;
use strum::IntoEnumIterator;

use crate::world::Settings;

/// Returns the names of all safeguards, in the order of the mutation table.
pub(crate) fn names() -> Vec<String> {
    let membership = MembershipSafeguard::iter().map(|safeguard| safeguard.to_string());
    let configuration = ConfigurationSafeguard::iter().map(|safeguard| safeguard.to_string());
    let drain = DrainSafeguard::iter().map(|safeguard| safeguard.to_string());
    membership.chain(configuration).chain(drain).collect()
}

/// Returns settings with the named safeguard disabled, or with all enabled.
pub(crate) fn settings(without: Option<&str>) -> Result<Settings, String> {
    let mut settings = Settings::default();
    let Some(name) = without else {
        return Ok(settings);
    };
    settings.membership.disabled_safeguard = MembershipSafeguard::from_str(name).ok();
    settings.configuration.disabled_safeguard = ConfigurationSafeguard::from_str(name).ok();
    settings.drain.disabled_safeguard = DrainSafeguard::from_str(name).ok();
    match names().iter().any(|known| known == name) {
        true => Ok(settings),
        false => Err(format!("no safeguard is named {name}")),
    }
}
