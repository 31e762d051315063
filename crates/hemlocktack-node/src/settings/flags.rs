//! The table of flags. Each flag has an environment variable of the same name.

use getopts::Options;

/// One setting as it appears on the command line.
pub(crate) struct Flag {
    pub(crate) name: &'static str,
    pub(crate) help: &'static str,
    pub(crate) hint: &'static str,
    pub(crate) default: Option<&'static str>,
    pub(crate) required: bool,
    /// A running node applies a change of it in the settings file.
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
pub(crate) const REVOCATION_BOUND: &str = "revocation-bound";
pub(crate) const MEMORY_MB: &str = "memory-mb";

/// All settings that take a value.
pub(crate) const FLAGS: [Flag; 30] = [
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
        "listen address for callers and for calls made by this node's upstream",
    ),
    required(
        CONTROL_ADDRESS,
        "IP:PORT",
        "listen address for health checks, metrics, operators and upstream announcements",
    ),
    required(
        LINK_ADDRESS,
        "IP:PORT",
        "TCP address of this node for other nodes; they must be able to reach it",
    ),
    optional(
        LINK_LISTEN_ADDRESS,
        "IP:PORT",
        "listen address, if other nodes use a different address to reach this node",
    ),
    required(
        GOSSIP_ADDRESS,
        "IP:PORT",
        "UDP address of this node for other nodes; they must be able to reach it",
    ),
    optional(
        GOSSIP_LISTEN_ADDRESS,
        "IP:PORT",
        "listen address, if other nodes use a different address to reach this node",
    ),
    required(PLATFORM_URL, "URL", "base URL of the platform's object API"),
    defaulted(
        SEED_PEERS,
        "IP:PORT,...",
        "gossip addresses of the nodes to contact first",
        "",
    )
    .adjustable(),
    required(
        FLEET_KEY,
        "TEXT",
        "secret shared by all nodes, at least 32 characters; preferably set in the environment",
    ),
    optional(
        PREVIOUS_FLEET_KEY,
        "TEXT",
        "previous fleet key, still accepted during a key rotation",
    ),
    required(
        OPERATOR_TOKEN,
        "TEXT",
        "token for operators' requests, at least 16 characters; preferably set in the environment",
    )
    .adjustable(),
    optional(
        PREVIOUS_OPERATOR_TOKEN,
        "TEXT",
        "previous operator token, still accepted during a token rotation",
    )
    .adjustable(),
    defaulted(
        DRAIN_LIMIT_MS,
        "MS",
        "longest time a planned stop waits for calls in flight, until a configuration sets it",
        "30000",
    )
    .adjustable(),
    defaulted(LOG_FORMAT, "text|json", "format of log lines", "text"),
    optional(
        OTLP_ENDPOINT,
        "URL",
        "OTLP/HTTP endpoint for traces; without it none are exported",
    ),
    defaulted(
        INTERFACE,
        "own|cooperative",
        "wire formats of callers, upstreams and the platform",
        "own",
    ),
    optional(
        READINESS_ADDRESS,
        "IP:PORT",
        "listen address for readiness probes, if the interface uses a separate one",
    ),
    optional(
        ANNOUNCE_ADDRESS,
        "IP:PORT",
        "listen address for upstream announcements, if the interface uses a separate one",
    ),
    optional(
        UPSTREAM_ADDRESS,
        "IP:PORT",
        "address of the upstream, if the interface makes it known in advance",
    ),
    optional(
        PLATFORM_READS,
        "NUMBER",
        "read requests per second that the platform accepts from all nodes together",
    )
    .adjustable(),
    optional(
        PLATFORM_WRITES,
        "NUMBER",
        "write requests per second that the platform accepts from all nodes together",
    )
    .adjustable(),
    optional(
        STOP_GRACE,
        "TIME",
        "time between the stop signal and the forced end of the process, such as 6s or 1500ms",
    )
    .adjustable(),
    optional(
        RETRY_SHARE,
        "NUMBER",
        "largest share of retries among a service's calls from all nodes in ten seconds, such as 0.2; overrides the configuration",
    )
    .adjustable(),
    optional(
        RETRIES_BESIDE_SHARE,
        "NUMBER",
        "retries of a service's calls that all nodes together may always make in ten seconds, even with few calls, such as 50",
    )
    .adjustable(),
    defaulted(
        MEMORY_MB,
        "NUMBER",
        "memory in MiB that the process may use at most; four fifths of it, or 128 if that is less, are shared by the node itself, 32, and all bodies that it holds at a time",
        "256",
    ),
    optional(
        REVOCATION_BOUND,
        "TIME",
        "time within which a key that operators take away stops working at every node, such as 5s; a node that has not heard from the platform for so long refuses requests with keys",
    )
    .adjustable(),
];

/// Path of the settings file; not a setting itself.
pub(crate) const SETTINGS_FILE: &str = "settings-file";
pub(crate) const HELP: &str = "help";
pub(crate) const VERSION: &str = "version";
pub(crate) const CHECK: &str = "check";

/// Returns the environment variable of a flag: `data-centre` is `HEMLOCKTACK_DATA_CENTRE`.
pub(crate) fn environment_name(flag: &str) -> String {
    format!("HEMLOCKTACK_{}", flag.replace('-', "_").to_uppercase())
}

/// Returns the flags in the form of the command-line library.
pub(crate) fn options() -> Options {
    let mut options = Options::new();
    for flag in &FLAGS {
        let help = describe(flag);
        options.optopt("", flag.name, &help, flag.hint);
    }
    options.optopt(
        "",
        SETTINGS_FILE,
        "file with further settings, one NAME=value per line with the names of the environment variables; settings marked (adjustable) are reloaded while the node runs",
        "FILE",
    );
    options.optflag("h", HELP, "print this help and exit");
    options.optflag("", VERSION, "print the version and exit");
    options.optflag("", CHECK, "check the settings and exit");
    options
}

/// Returns the text of `--help`.
pub(crate) fn usage() -> String {
    let brief = "Usage: hemlocktackd [options]\n\nRuns one node beside one upstream instance. Each option may also be set by an\nenvironment variable or a line of the settings file: --data-centre is\nHEMLOCKTACK_DATA_CENTRE. A flag overrides the environment, which overrides the file.";
    options().usage(brief)
}

fn describe(flag: &Flag) -> String {
    let adjustable = if flag.is_adjustable {
        " (adjustable)"
    } else {
        ""
    };
    format!("{}{adjustable}", describe_default(flag))
}

fn describe_default(flag: &Flag) -> String {
    match (flag.required, flag.default) {
        (true, _) => format!("{} (required)", flag.help),
        (false, Some(default)) if !default.is_empty() => {
            format!("{} (default {default})", flag.help)
        }
        (false, _) => flag.help.to_owned(),
    }
}
