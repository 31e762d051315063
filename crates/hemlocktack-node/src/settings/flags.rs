//! The table of flags; each has an environment variable of the same name.

use getopts::Options;

/// One setting as it appears on the command line.
pub(crate) struct Flag {
    pub(crate) name: &'static str,
    pub(crate) help: &'static str,
    pub(crate) hint: &'static str,
    pub(crate) default: Option<&'static str>,
    pub(crate) required: bool,
    /// A change of it in the settings file is taken over by a running node.
    pub(crate) is_adjustable: bool,
}

impl Flag {
    const fn adjustable(self) -> Flag {
        Flag {
            is_adjustable: true,
            ..self
        }
    }
}

const fn required(name: &'static str, hint: &'static str, help: &'static str) -> Flag {
    Flag {
        name,
        help,
        hint,
        default: None,
        required: true,
        is_adjustable: false,
    }
}

const fn optional(name: &'static str, hint: &'static str, help: &'static str) -> Flag {
    Flag {
        name,
        help,
        hint,
        default: None,
        required: false,
        is_adjustable: false,
    }
}

const fn defaulted(
    name: &'static str,
    hint: &'static str,
    help: &'static str,
    default: &'static str,
) -> Flag {
    Flag {
        name,
        help,
        hint,
        default: Some(default),
        required: false,
        is_adjustable: false,
    }
}

pub(crate) const NODE: &str = "node";
pub(crate) const SERVICE: &str = "service";
pub(crate) const DATA_CENTRE: &str = "data-centre";
pub(crate) const REGION: &str = "region";
pub(crate) const CALLER_ADDRESS: &str = "caller-address";
pub(crate) const CONTROL_ADDRESS: &str = "control-address";
pub(crate) const LINK_ADDRESS: &str = "link-address";
pub(crate) const LINK_LISTEN_ADDRESS: &str = "link-listen-address";
pub(crate) const GOSSIP_ADDRESS: &str = "gossip-address";
pub(crate) const GOSSIP_LISTEN_ADDRESS: &str = "gossip-listen-address";
pub(crate) const PLATFORM_URL: &str = "platform-url";
pub(crate) const SEED_PEERS: &str = "seed-peers";
pub(crate) const FLEET_KEY: &str = "fleet-key";
pub(crate) const PREVIOUS_FLEET_KEY: &str = "previous-fleet-key";
pub(crate) const OPERATOR_TOKEN: &str = "operator-token";
pub(crate) const PREVIOUS_OPERATOR_TOKEN: &str = "previous-operator-token";
pub(crate) const DRAIN_LIMIT_MS: &str = "drain-limit-ms";
pub(crate) const LOG_FORMAT: &str = "log-format";
pub(crate) const OTLP_ENDPOINT: &str = "otlp-endpoint";
pub(crate) const INTERFACE: &str = "interface";
pub(crate) const READINESS_ADDRESS: &str = "readiness-address";
pub(crate) const ANNOUNCE_ADDRESS: &str = "announce-address";
pub(crate) const UPSTREAM_ADDRESS: &str = "upstream-address";
pub(crate) const PLATFORM_READS: &str = "platform-reads-per-second";
pub(crate) const PLATFORM_WRITES: &str = "platform-writes-per-second";
pub(crate) const STOP_GRACE: &str = "stop-grace";
pub(crate) const RETRY_SHARE: &str = "retry-share";
pub(crate) const RETRIES_BESIDE_SHARE: &str = "retries-beside-share";

/// All settings that take a value.
pub(crate) const FLAGS: [Flag; 28] = [
    required(
        NODE,
        "NAME",
        "name of this node, unique in the fleet, the same after a restart",
    ),
    required(SERVICE, "NAME", "service of the upstream beside this node"),
    required(DATA_CENTRE, "NAME", "data centre of this instance"),
    defaulted(REGION, "NAME", "region of the data centre", "default"),
    required(
        CALLER_ADDRESS,
        "IP:PORT",
        "where callers and the own upstream's deeper calls come in",
    ),
    required(
        CONTROL_ADDRESS,
        "IP:PORT",
        "health, metrics, operators' calls, the upstream's announcements",
    ),
    required(
        LINK_ADDRESS,
        "IP:PORT",
        "TCP address for other nodes; must be reachable by them",
    ),
    optional(
        LINK_LISTEN_ADDRESS,
        "IP:PORT",
        "where to listen if other nodes reach it under another address",
    ),
    required(
        GOSSIP_ADDRESS,
        "IP:PORT",
        "UDP address for other nodes; must be reachable by them",
    ),
    optional(
        GOSSIP_LISTEN_ADDRESS,
        "IP:PORT",
        "where to listen if other nodes reach it under another address",
    ),
    required(PLATFORM_URL, "URL", "base URL of the platform's object API"),
    defaulted(
        SEED_PEERS,
        "IP:PORT,...",
        "gossip addresses of nodes to ask first",
        "",
    )
    .adjustable(),
    required(
        FLEET_KEY,
        "TEXT",
        "secret that all nodes share, 32 characters or more; better given in the environment",
    ),
    optional(
        PREVIOUS_FLEET_KEY,
        "TEXT",
        "secret still accepted while the fleet changes its key",
    ),
    required(
        OPERATOR_TOKEN,
        "TEXT",
        "token that operators' calls carry, 16 characters or more; better given in the environment",
    )
    .adjustable(),
    optional(
        PREVIOUS_OPERATOR_TOKEN,
        "TEXT",
        "token still accepted while operators change theirs",
    )
    .adjustable(),
    defaulted(
        DRAIN_LIMIT_MS,
        "MS",
        "longest that a planned stop waits for calls in flight before a configuration says it",
        "30000",
    )
    .adjustable(),
    defaulted(LOG_FORMAT, "text|json", "how log lines are written", "text"),
    optional(
        OTLP_ENDPOINT,
        "URL",
        "where traces go over HTTP; none are exported without it",
    ),
    defaulted(
        INTERFACE,
        "own|cooperative",
        "how callers, upstreams and the platform speak",
        "own",
    ),
    optional(
        READINESS_ADDRESS,
        "IP:PORT",
        "where it is asked whether the node is ready, with an interface that has an address for it",
    ),
    optional(
        ANNOUNCE_ADDRESS,
        "IP:PORT",
        "where the upstream announces itself, with an interface that has an address for it",
    ),
    optional(
        UPSTREAM_ADDRESS,
        "IP:PORT",
        "where the upstream listens, with an interface that tells it beforehand",
    ),
    optional(
        PLATFORM_READS,
        "NUMBER",
        "reading calls a second that the platform takes from all nodes together",
    )
    .adjustable(),
    optional(
        PLATFORM_WRITES,
        "NUMBER",
        "writing calls a second that the platform takes from all nodes together",
    )
    .adjustable(),
    optional(
        STOP_GRACE,
        "TIME",
        "how long after the signal to stop the process may live, such as 6s or 1500ms",
    )
    .adjustable(),
    optional(
        RETRY_SHARE,
        "NUMBER",
        "largest share of retries among a service's calls from all nodes in ten seconds, such as 0.2; goes before the configuration's",
    )
    .adjustable(),
    optional(
        RETRIES_BESIDE_SHARE,
        "NUMBER",
        "retries of a service's calls that all nodes together may make in ten seconds however few calls there are, such as 50",
    )
    .adjustable(),
];

/// Where further settings are read from; not one of them itself.
pub(crate) const SETTINGS_FILE: &str = "settings-file";
pub(crate) const HELP: &str = "help";
pub(crate) const VERSION: &str = "version";
pub(crate) const CHECK: &str = "check";

/// Environment variable of a flag: `data-centre` is `HEMLOCKTACK_DATA_CENTRE`.
pub(crate) fn environment_name(flag: &str) -> String {
    format!("HEMLOCKTACK_{}", flag.replace('-', "_").to_uppercase())
}

/// Flags as the command-line library wants them.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    for flag in &FLAGS {
        let help = describe(flag);
        options.optopt("", flag.name, &help, flag.hint);
    }
    options.optopt(
        "",
        SETTINGS_FILE,
        "further settings, a line NAME=value each under the names of the environment; changes marked (adjustable) are taken over while the node runs",
        "FILE",
    );
    options.optflag("h", HELP, "print this help");
    options.optflag("", VERSION, "print the version");
    options.optflag("", CHECK, "check the settings and stop");
    options
}

/// Text of `--help`.
pub(crate) fn usage() -> String {
    let brief = "Usage: hemlocktackd [options]\n\nOne node beside one upstream instance. Each option may also be given as an\nenvironment variable or a line of the settings file: --data-centre is\nHEMLOCKTACK_DATA_CENTRE. The flag goes first, then the environment, then the file.";
    options().usage(brief)
}

fn describe(flag: &Flag) -> String {
    let adjustable = if flag.is_adjustable {
        " (adjustable)"
    } else {
        ""
    };
    format!("{}{adjustable}", describe_use(flag))
}

fn describe_use(flag: &Flag) -> String {
    match (flag.required, flag.default) {
        (true, _) => format!("{} (required)", flag.help),
        (false, Some(default)) if !default.is_empty() => {
            format!("{} (default {default})", flag.help)
        }
        (false, _) => flag.help.to_owned(),
    }
}
