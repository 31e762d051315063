//! Settings that all commands share, read from flags and environment variables.

use std::time::Duration;

use getopts::Options;

/// A setting's flag, its environment variable and its help.
pub(crate) struct Setting {
    pub(crate) flag: &'static str,
    pub(crate) variable: &'static str,
    value: &'static str,
    help: &'static str,
}

pub(crate) const NODE_URL: Setting = Setting {
    flag: "node-url",
    variable: "HEMLOCKTACK_NODE_URL",
    value: "URL",
    help: "control address of any node",
};
pub(crate) const TOKEN: Setting = Setting {
    flag: "token",
    variable: "HEMLOCKTACK_OPERATOR_TOKEN",
    value: "TOKEN",
    help: "operators' token; prefer the variable, because flags are visible in process lists",
};
pub(crate) const OUTPUT: Setting = Setting {
    flag: "output",
    variable: "HEMLOCKTACK_OUTPUT",
    value: "text|json",
    help: "output format; default: text",
};
pub(crate) const TIMEOUT: Setting = Setting {
    flag: "timeout-ms",
    variable: "HEMLOCKTACK_TIMEOUT_MS",
    value: "N",
    help: "timeout of one request in milliseconds; default: 5000",
};
pub(crate) const SETTINGS: [&Setting; 4] = [&NODE_URL, &TOKEN, &OUTPUT, &TIMEOUT];

/// Longer than a node waits for the responses of other nodes that it queries.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Adds the shared flags.
pub(crate) fn add_flags(options: &mut Options) {
    for setting in SETTINGS {
        let help = format!("{} ({})", setting.help, setting.variable);
        options.optopt("", setting.flag, &help, setting.value);
    }
    options.optflag("h", "help", "show this help");
}
