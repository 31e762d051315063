//! Reads the settings and reports every fault together.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use getopts::Matches;
use hemlocktack_platform::PlatformRates;
use hemlocktack_protocol::parse_time;

use super::flags::{self, FLAGS, environment_name};
use super::{InterfaceName, LogFormat, Settings};

/// Result of reading the settings.
pub(crate) type Result<T> = std::result::Result<T, Error>;

const FLEET_KEY_MIN_CHARS: usize = 32;
const OPERATOR_TOKEN_MIN_CHARS: usize = 16;

/// Settings that cannot be used, with all that is wrong.
#[derive(Debug, Display, Error)]
#[display("{}", findings.join("\n"))]
pub(crate) struct Error {
    /// One line each: the flag, what is wrong, what to do.
    pub(crate) findings: Vec<String>,
}

/// What the command line asks for.
pub(crate) enum Invocation {
    Help,
    Version,
    Check,
    Run(Box<Settings>),
}

/// Reads flags first, then the environment, then defaults.
pub(crate) fn read(
    arguments: &[String],
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Invocation> {
    let matches = flags::options().parse(arguments).map_err(|error| Error {
        findings: vec![error.to_string()],
    })?;
    if matches.opt_present(flags::HELP) {
        return Ok(Invocation::Help);
    }
    if matches.opt_present(flags::VERSION) {
        return Ok(Invocation::Version);
    }
    let settings = Box::new(read_settings(&matches, environment)?);
    if matches.opt_present(flags::CHECK) {
        return Ok(Invocation::Check);
    }
    Ok(Invocation::Run(settings))
}

fn read_settings(
    matches: &Matches,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Settings> {
    let mut reader = Reader {
        matches,
        environment: &environment,
        findings: Vec::new(),
    };
    reader.reject_free_arguments();
    reader.require_all();
    let link_address = reader.address(flags::LINK_ADDRESS);
    let gossip_address = reader.address(flags::GOSSIP_ADDRESS);
    let settings = Settings {
        node_id: reader.name(flags::NODE).into(),
        service: reader.name(flags::SERVICE).into(),
        data_centre: reader.name(flags::DATA_CENTRE).into(),
        region: reader.name(flags::REGION),
        caller_address: reader.address(flags::CALLER_ADDRESS),
        control_address: reader.address(flags::CONTROL_ADDRESS),
        link_address,
        link_listen_address: reader.address_or(flags::LINK_LISTEN_ADDRESS, link_address),
        gossip_address,
        gossip_listen_address: reader.address_or(flags::GOSSIP_LISTEN_ADDRESS, gossip_address),
        platform_url: reader.url(flags::PLATFORM_URL).unwrap_or_default(),
        seed_peers: reader.addresses(flags::SEED_PEERS),
        fleet_key: reader
            .secret(flags::FLEET_KEY, FLEET_KEY_MIN_CHARS)
            .unwrap_or_default(),
        previous_fleet_key: reader.secret(flags::PREVIOUS_FLEET_KEY, FLEET_KEY_MIN_CHARS),
        operator_token: reader
            .secret(flags::OPERATOR_TOKEN, OPERATOR_TOKEN_MIN_CHARS)
            .unwrap_or_default(),
        previous_operator_token: reader
            .secret(flags::PREVIOUS_OPERATOR_TOKEN, OPERATOR_TOKEN_MIN_CHARS),
        drain_limit: Duration::from_millis(reader.parsed(
            flags::DRAIN_LIMIT_MS,
            "a number of milliseconds",
            0,
        )),
        log_format: reader.parsed(flags::LOG_FORMAT, "text or json", LogFormat::Text),
        otlp_endpoint: reader.url(flags::OTLP_ENDPOINT),
        interface: reader.parsed(flags::INTERFACE, "own or cooperative", InterfaceName::Own),
        readiness_address: reader.optional_address(flags::READINESS_ADDRESS),
        announce_address: reader.optional_address(flags::ANNOUNCE_ADDRESS),
        upstream_address: reader.optional_address(flags::UPSTREAM_ADDRESS),
        platform_rates: reader.platform_rates(),
        stop_grace: reader.time(flags::STOP_GRACE),
    };
    if reader.findings.is_empty() {
        Ok(settings)
    } else {
        Err(Error {
            findings: reader.findings,
        })
    }
}

struct Reader<'a> {
    matches: &'a Matches,
    environment: &'a dyn Fn(&str) -> Option<String>,
    findings: Vec<String>,
}

impl Reader<'_> {
    fn reject_free_arguments(&mut self) {
        for argument in &self.matches.free {
            self.findings
                .push(format!("{argument}: not an option; see --help"));
        }
    }

    fn require_all(&mut self) {
        for flag in FLAGS.iter().filter(|flag| flag.required) {
            if self.value(flag.name).is_none() {
                let variable = environment_name(flag.name);
                self.findings.push(format!(
                    "--{}: missing; give --{} {} or {variable}",
                    flag.name, flag.name, flag.hint
                ));
            }
        }
    }

    fn value(&self, name: &str) -> Option<String> {
        let given = self
            .matches
            .opt_str(name)
            .or_else(|| (self.environment)(&environment_name(name)));
        let default = || {
            FLAGS
                .iter()
                .find(|flag| flag.name == name)?
                .default
                .map(str::to_owned)
        };
        given.filter(|text| !text.is_empty()).or_else(default)
    }

    fn find(&mut self, name: &str, fault: &str) {
        self.findings.push(format!("--{name}: {fault}"));
    }

    fn parsed<T: FromStr>(&mut self, name: &str, expected: &str, fallback: T) -> T {
        let Some(text) = self.value(name) else {
            return fallback;
        };
        match text.parse() {
            Ok(value) => value,
            Err(_) => {
                self.find(name, &format!("'{text}' is not {expected}"));
                fallback
            }
        }
    }

    fn name(&mut self, name: &str) -> String {
        let text = self.value(name).unwrap_or_default();
        let usable = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
        if !text.chars().all(usable) {
            self.find(
                name,
                &format!("'{text}' is not a name; use letters, digits, '-', '_' and '.'"),
            );
        }
        text
    }

    fn address(&mut self, name: &str) -> SocketAddr {
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        self.parsed(
            name,
            "an IP number with a port, such as 10.0.0.7:7000",
            fallback,
        )
    }

    fn address_or(&mut self, name: &str, otherwise: SocketAddr) -> SocketAddr {
        match self.value(name) {
            Some(_) => self.address(name),
            None => otherwise,
        }
    }

    fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        self.value(name)?;
        Some(self.address(name))
    }

    /// Both or none: a budget that follows only one of them helps nobody.
    fn platform_rates(&mut self) -> Option<PlatformRates> {
        let is_given =
            [flags::PLATFORM_READS, flags::PLATFORM_WRITES].map(|name| self.value(name).is_some());
        match is_given {
            [false, false] => return None,
            [true, true] => {}
            _ => self.find(
                flags::PLATFORM_READS,
                &format!("give --{} with it", flags::PLATFORM_WRITES),
            ),
        }
        Some(PlatformRates {
            reads_per_second: self.parsed(flags::PLATFORM_READS, "a number", 0.0),
            writes_per_second: self.parsed(flags::PLATFORM_WRITES, "a number", 0.0),
        })
    }

    fn time(&mut self, name: &str) -> Option<Duration> {
        let text = self.value(name)?;
        let read = parse_time(&text);
        if read.is_none() {
            self.find(name, &format!("'{text}' is not a time; write 6s or 1500ms"));
        }
        read
    }

    fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let text = self.value(name).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.find(name, &format!("'{part}' is not an IP number with a port")),
            }
        }
        addresses
    }

    fn url(&mut self, name: &str) -> Option<String> {
        let text = self.value(name)?;
        if !text.starts_with("http://") && !text.starts_with("https://") {
            self.find(
                name,
                &format!("'{text}' is not a URL; it begins with http:// or https://"),
            );
        }
        Some(text.trim_end_matches('/').to_owned())
    }

    /// Never repeats the value: findings end up in logs.
    fn secret(&mut self, name: &str, min_chars: usize) -> Option<String> {
        let text = self.value(name)?;
        if text.chars().count() < min_chars {
            self.find(name, &format!("too short; {min_chars} characters or more"));
        }
        Some(text)
    }
}
